package home

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"tackbeam.example/policy/attempt"
	"tackbeam.example/policy/home"
	"tackbeam.example/policy/ledger"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// Times of one try for room.
const (
	holdTime     = 8 * time.Second
	holdTimeout  = 2 * time.Second
	intentTime   = 6 * time.Second
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = time.Second
)

// candidate is an owner that may have room.
type candidate struct {
	node string
	addr string
	room ledger.Room
	fits int64
}

// startTry lets a job try for room. The caller holds the lock.
func (hm *Home) startTry(id string) {
	en, ok := hm.jobs[id]
	if !ok || en.frozen {
		return
	}
	en.placing = true
	en.busy++
	en.rec.Attempt++
	rec := en.rec
	go func() {
		places := hm.hold(rec)
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.placing = false
		en.busy--
		hm.held(en, rec, places)
	}()
}

// hold asks the owners for room until all tasks have a place. Where they do not
// get one, it gives everything back and returns nil.
func (hm *Home) hold(rec job.Record) []nodemsg.Place {
	left := rec.TaskIDs(rec.Attempt)
	var places []nodemsg.Place
	for _, cd := range hm.candidates(rec) {
		ask := left
		if limit := cd.fits + 1; int64(len(ask)) > limit {
			ask = ask[:limit]
		}
		got := hm.holdOn(cd, rec, ask)
		places = append(places, got...)
		left = left[len(got):]
		if len(left) == 0 {
			return places
		}
	}
	hm.releaseAll(rec, places)
	return nil
}

// candidates lists the owners with room for at least one task: first those
// that can take all, the fullest before the emptier; then the others by room.
func (hm *Home) candidates(rec job.Record) []candidate {
	own := hm.Member.Node()
	room, _ := hm.Local.Room()
	all := []candidate{{node: own.Name, addr: own.Peer, room: room}}
	for _, vw := range hm.Member.Peers() {
		if vw.Heard() && !vw.Node().Leaving {
			all = append(all, candidate{node: vw.Node().Name, addr: vw.Node().Peer, room: vw.Room()})
		}
	}
	var list []candidate
	for _, cd := range all {
		if !rec.Size.Fits(cd.room.Largest) {
			continue
		}
		cd.fits = rec.Size.Count(cd.room.Free, int64(rec.Tasks))
		list = append(list, cd)
	}
	sort.SliceStable(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.fits != b.fits {
			return a.fits > b.fits
		}
		return a.room.Free.Share(a.room.Capacity) < b.room.Free.Share(b.room.Capacity)
	})
	return list
}

func (hm *Home) holdOn(cd candidate, rec job.Record, tasks []string) []nodemsg.Place {
	hd := nodemsg.Hold{ID: holdID(rec), Tasks: tasks, Size: rec.Size, Expires: holdTime}
	if cd.node == hm.Member.Node().Name {
		return hm.Local.Hold(hd).Places
	}
	ctx, cancel := context.WithTimeout(hm.ctx, holdTimeout)
	defer cancel()
	held, err := peer.Call[nodemsg.Hold, nodemsg.Held](ctx, hm.Peer, cd.addr, nodemsg.KindHold, hd)
	if err != nil {
		return nil // a hold that was made without our knowledge expires
	}
	return held.Places
}

func holdID(rec job.Record) string { return ids.Task(rec.ID, rec.Attempt, 0) }

// releaseAll gives holds back. A lost message only means that they expire.
func (hm *Home) releaseAll(rec job.Record, places []nodemsg.Place) {
	for node := range hm.byOwner(places) {
		rl := nodemsg.Release{ID: holdID(rec)}
		if node == hm.Member.Node().Name {
			hm.Local.Release(rl)
			continue
		}
		addr := hm.Member.Map().Nodes[node].Peer
		go func() {
			ctx, cancel := context.WithTimeout(hm.ctx, holdTimeout)
			defer cancel()
			_, err := peer.Call[nodemsg.Release, nodemsg.Empty](ctx, hm.Peer, addr, nodemsg.KindRelease, rl)
			if err != nil {
				hm.Log.V(1).Info("Hold was not released and will expire.", "node", node, "cause", err.Error())
			}
		}()
	}
}

// held goes on after a try: with room, the intent to start is kept before any
// start message leaves. The caller holds the lock.
func (hm *Home) held(en *entry, rec job.Record, places []nodemsg.Place) {
	switch {
	case en.frozen:
		go hm.releaseAll(rec, places)
	case en.rec.Cancelled:
		hm.step(home.Event{Remove: &home.Remove{Job: rec.ID}})
		go hm.releaseAll(rec, places)
		hm.settleWaiting(en, "cancelled")
	case places == nil:
		hm.step(home.Event{NotPlaced: &home.NotPlaced{Job: rec.ID, Again: hm.now() + backoff(rec.Attempt)}})
	default:
		hm.intend(en, places)
	}
}

func backoff(try int) time.Duration {
	const doublings = 6
	pause := min(firstBackoff<<min(try, doublings), maxBackoff)
	return pause/2 + rand.N(pause/2)
}

// intend keeps the intent to start the tasks at their places. The caller holds
// the lock.
func (hm *Home) intend(en *entry, places []nodemsg.Place) {
	rec := en.rec
	rec.State, rec.Places = job.Placed, places
	rec.PlacedAt = hm.Clock.Now()
	rec.Version++
	raw, err := rec.Encode()
	if err != nil {
		hm.Log.Error(err, "Intent of job cannot be encoded.", "job", rec.ID)
		return
	}
	en.placing = true
	en.busy++
	jr := hm.journal
	pending := jr.Append(raw)
	go func() {
		ctx, cancel := context.WithTimeout(hm.ctx, intentTime)
		defer cancel()
		err := jr.Wait(ctx, pending)
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.placing = false
		en.busy--
		hm.intended(en, rec, err)
	}()
}

// intended starts the job once its intent is kept. Where it is not, or may not
// be, nothing was sent, and a later attempt has a number of its own.
func (hm *Home) intended(en *entry, rec job.Record, err error) {
	if err != nil || en.frozen || en.rec.Cancelled {
		if err != nil && fault.From(err).Begun {
			en.rec.Version = rec.Version // the next write must come after this one
		}
		if err == nil {
			en.rec.Version = rec.Version
		}
		hm.held(en, rec, nil)
		go hm.releaseAll(rec, rec.Places)
		return
	}
	rec.Cancelled = en.rec.Cancelled
	en.rec = rec
	en.statuses = make([]attempt.Status, len(rec.Places))
	hm.Meter.Observe("wait", rec.Class, rec.Workspace, rec.PlacedAt.Sub(rec.Submitted))
	hm.step(home.Event{Placed: &home.Placed{Job: rec.ID}})
	en.notify()
	hm.see(en, true)
}

// commit starts the tasks on their workers and returns their fates.
func (hm *Home) commit(rec job.Record) []nodemsg.Fate {
	groups := hm.byOwner(rec.Places)
	return hm.scatter(groups, func(ctx context.Context, node string, group []nodemsg.Place) []nodemsg.Fate {
		cm := nodemsg.Commit{
			ID: holdID(rec), Size: rec.Size, Prepared: len(rec.Places) > 1,
			Payload: rec.Payload, Places: group,
		}
		if node == hm.Member.Node().Name {
			return hm.Local.Commit(ctx, cm).Fates
		}
		addr := hm.Member.Map().Nodes[node].Peer
		got, err := peer.Call[nodemsg.Commit, nodemsg.Fates](ctx, hm.Peer, addr, nodemsg.KindCommit, cm)
		return hm.fates(node, got, err)
	})
}

// order sends an order about places to their owners and returns the fates.
func (hm *Home) order(verb nodemsg.Verb, places []nodemsg.Place) []nodemsg.Fate {
	return hm.scatter(hm.byOwner(places), func(ctx context.Context, node string, group []nodemsg.Place) []nodemsg.Fate {
		od := nodemsg.Order{Verb: verb, Tasks: group}
		if node == hm.Member.Node().Name {
			return hm.Local.Order(ctx, od).Fates
		}
		addr := hm.Member.Map().Nodes[node].Peer
		got, err := peer.Call[nodemsg.Order, nodemsg.Fates](ctx, hm.Peer, addr, nodemsg.KindOrder, od)
		return hm.fates(node, got, err)
	})
}

func (hm *Home) fates(node string, got nodemsg.Fates, err error) []nodemsg.Fate {
	if err != nil {
		hm.Log.V(1).Info("Owner did not answer an order.", "node", node, "cause", err.Error())
	}
	return got.Fates
}

// scatter runs act for each owner's places side by side and gathers the fates.
func (hm *Home) scatter(
	groups map[string][]nodemsg.Place,
	act func(context.Context, string, []nodemsg.Place) []nodemsg.Fate,
) []nodemsg.Fate {
	const patience = 6 * time.Second
	ctx, cancel := context.WithTimeout(hm.ctx, patience)
	defer cancel()
	answers := make(chan []nodemsg.Fate, len(groups))
	for node, group := range groups {
		go func() { answers <- act(ctx, node, group) }()
	}
	var all []nodemsg.Fate
	for range groups {
		all = append(all, <-answers...)
	}
	return all
}
