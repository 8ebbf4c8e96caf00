package home

import (
	"context"
	"time"

	"github.com/samber/lo"

	"tackbeam.example/policy/backoff"
	policy "tackbeam.example/policy/home"
	"tackbeam.example/policy/ranking"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// Times of one try for room.
const (
	holdTime    = 8 * time.Second
	holdTimeout = 2 * time.Second
	intentTime  = 6 * time.Second
	// reservePause is the pause between the tries of a job that reserves; its
	// holds are renewed by each.
	reservePause = 100 * time.Millisecond
)

// startPause is the pause before a job is placed again.
var startPause = backoff.Backoff{Initial: 25 * time.Millisecond, Max: time.Second}

// startTry lets a job try for room. The caller holds the lock.
func (hm *Home) startTry(tr *policy.Try) {
	en, ok := hm.jobs[tr.Job]
	if !ok || en.frozen {
		return
	}
	en.placing = true
	en.busy++
	if !en.reserving {
		en.rec.Attempt++ // a reservation goes on under its own number
	}
	rec, reserved := en.rec, en.reserved
	sk := seek{rec: rec, reserve: en.reserving || tr.Reserve, run: tr.Run, reserved: reserved}
	go func() {
		places, whole := hm.hold(sk)
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.placing = false
		en.busy--
		en.reserved, en.reserving = nil, false
		if !whole {
			en.reserved, en.reserving = places, sk.reserve
			places = nil
		}
		hm.held(en, rec, places)
	}()
}

// seek is one try for room of a job.
type seek struct {
	rec     job.Record
	reserve bool
	// run is how long the tasks are expected to run; zero is not known.
	run      time.Duration
	reserved []nodemsg.Place
}

// hold asks the owners for room until all tasks have a place, and reports
// whether they do. A job that does not reserve gives a part of its places back;
// one that does keeps them, and asks for the rest at the next try.
func (hm *Home) hold(sk seek) ([]nodemsg.Place, bool) {
	rec, reserve := sk.rec, sk.reserve
	have := hm.byOwner(sk.reserved)
	left := without(rec.TaskIDs(rec.Attempt), sk.reserved)
	var places []nodemsg.Place
	want := ranking.Request{Size: rec.Size, Tasks: rec.Tasks, Reserve: reserve}
	for _, ask := range ranking.Order(hm.owners(have), want) {
		tasks := left[:min(len(left), ask.Tasks)]
		mine := have[ask.Owner]
		if len(tasks)+len(mine) == 0 {
			continue
		}
		got, err := hm.holdOn(ask.Owner, sk, append(nodemsg.TasksOf(mine), tasks...))
		if err != nil {
			places = append(places, mine...) // as far as is known
			continue
		}
		places = append(places, got...)
		left = without(append(left, nodemsg.TasksOf(mine)...), got)
	}
	// Two owners may have given a task a place, where an answer of one was lost.
	places = lo.UniqBy(places, func(pl nodemsg.Place) string { return pl.Task })
	whole := len(places) == rec.Tasks
	switch {
	case whole && reserve: // owners without a place of it may keep room free for it
		nodes := lo.Keys(hm.Member.Map().Nodes)
		hm.releaseOn(rec, lo.Without(nodes, lo.Keys(hm.byOwner(places))...))
	case !whole && !reserve:
		hm.releaseAll(rec, places)
		return nil, false
	}
	return places, whole
}

// without returns the tasks that have no place, each once.
func without(tasks []string, places []nodemsg.Place) []string {
	return lo.Without(lo.Uniq(tasks), nodemsg.TasksOf(places)...)
}

// owners lists the owners of workers that a job may ask: this node, and the others
// that are heard and stay.
func (hm *Home) owners(have map[string][]nodemsg.Place) []ranking.Owner {
	own := hm.Member.Node().Name
	room, _ := hm.Local.Room()
	list := []ranking.Owner{{Name: own, Summary: room, Placed: len(have[own]), Local: true}}
	for _, vw := range hm.Member.Peers() {
		if name := vw.Node().Name; vw.Reachable() && !vw.Node().Leaving {
			list = append(list, ranking.Owner{Name: name, Summary: vw.Summary(), Placed: len(have[name])})
		}
	}
	return list
}

func (hm *Home) holdOn(node string, sk seek, tasks []string) ([]nodemsg.Place, error) {
	rec := sk.rec
	hd := nodemsg.Hold{
		ID: holdID(rec), Tasks: tasks, Size: rec.Size, Expires: holdTime,
		Priority: rec.Priority, Age: rec.Submitted.UnixNano(), Reserve: sk.reserve, Run: sk.run,
		Urgent: rec.Priority >= column.MaxPriority, Repeatable: rec.Repeatable,
	}
	if node == hm.Member.Node().Name {
		return hm.Local.Hold(hd).Places, nil
	}
	ctx, cancel := context.WithTimeout(hm.ctx, holdTimeout)
	defer cancel()
	// A hold that is made without our knowledge expires.
	held, err := peer.Call[nodemsg.Hold, nodemsg.Held](ctx, hm.Peer, hm.Member.Map().Nodes[node].Peer, nodemsg.KindHold, hd)
	return held.Places, err
}

func holdID(rec job.Record) string { return ids.Task(rec.ID, rec.Attempt, 0) }

// releaseAll gives holds back. A lost message only means that they expire.
func (hm *Home) releaseAll(rec job.Record, places []nodemsg.Place) {
	hm.releaseOn(rec, lo.Keys(hm.byOwner(places)))
}

// releaseOn gives a job's holds on some owners back.
func (hm *Home) releaseOn(rec job.Record, nodes []string) {
	for _, node := range nodes {
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
		hm.unreserve(en)
		go hm.releaseAll(rec, places)
	case en.rec.Cancelled:
		hm.step(policy.Event{Remove: &policy.Remove{Job: rec.ID}})
		hm.unreserve(en)
		go hm.releaseAll(rec, places)
		hm.settleWaiting(en, "cancelled")
	case places == nil:
		again := policy.RetryAt(hm.now(), rec.Attempt)
		if en.reserving {
			again = hm.now() + reservePause
		}
		hm.step(policy.Event{NotPlaced: &policy.NotPlaced{Job: rec.ID, RetryAt: again}})
	default:
		hm.intend(en, places)
	}
}

// unreserve gives back what a job has reserved. The caller holds the lock.
func (hm *Home) unreserve(en *entry) {
	if en.reserving {
		go hm.releaseOn(en.rec, lo.Keys(hm.Member.Map().Nodes))
	}
	en.reserved, en.reserving = nil, false
}

// intend keeps the intent to start the tasks at their places. The caller holds
// the lock.
func (hm *Home) intend(en *entry, places []nodemsg.Place) {
	rec := en.rec
	rec.State, rec.Places = job.Placed, places
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
		go hm.releaseAll(rec, rec.Places)
		if en.frozen || en.rec.Cancelled {
			hm.held(en, rec, nil)
			return
		}
		again := hm.now() + startPause.Jittered(rec.Attempt) // there was room, but no store
		hm.step(policy.Event{NotPlaced: &policy.NotPlaced{Job: rec.ID, RetryAt: again}})
		return
	}
	rec.Cancelled = en.rec.Cancelled
	rec.PlacedAt = hm.Clock.Now()
	en.rec = rec
	en.begin()
	hm.Meter.Observe("wait", rec.Class, rec.Workspace, rec.PlacedAt.Sub(rec.Submitted))
	hm.step(policy.Event{Placed: &policy.Placed{Job: rec.ID}})
	en.notify()
	hm.see(en, true)
}

// commit starts the tasks on their workers and returns their fates.
func (hm *Home) commit(rec job.Record) []nodemsg.Fate {
	groups := hm.byOwner(rec.Places)
	return hm.scatter(groups, func(ctx context.Context, node string, group []nodemsg.Place) []nodemsg.Fate {
		cm := nodemsg.Commit{
			ID: holdID(rec), Size: rec.Size, Prepared: len(rec.Places) > 1,
			Payload: rec.Payload, Places: group, Priority: rec.Priority, Repeatable: rec.Repeatable, Resume: rec.SavedWork,
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
