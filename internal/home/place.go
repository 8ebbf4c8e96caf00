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

// Times of one try to place a job.
const (
	holdDuration  = 8 * time.Second
	holdTimeout   = 2 * time.Second
	intentTimeout = 6 * time.Second
	// reserveRetryPause is the pause between the tries of a job that reserves resources. Each try renews the holds.
	reserveRetryPause = 100 * time.Millisecond
)

// startBackoff computes the pause before a job is placed again.
var startBackoff = backoff.Backoff{Initial: 25 * time.Millisecond, Max: time.Second}

// startTry starts requesting resources for a job. The caller holds the lock.
func (hm *Home) startTry(tr *policy.Try) {
	en, ok := hm.jobs[tr.Job]
	if !ok || en.frozen {
		return
	}
	en.placing = true
	en.busy++
	if !en.reserving {
		en.rec.Attempt++ // a reservation keeps its attempt number
	}
	rec, reserved := en.rec, en.reserved
	pm := placement{rec: rec, reserve: en.reserving || tr.Reserve, run: tr.Run, reserved: reserved}
	go func() {
		places, complete := hm.hold(pm)
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.placing = false
		en.busy--
		en.reserved, en.reserving = nil, false
		if !complete {
			en.reserved, en.reserving = places, pm.reserve
			places = nil
		}
		hm.holdDone(en, rec, places)
	}()
}

// placement is one try to get resources for a job.
type placement struct {
	rec     job.Record
	reserve bool
	// run is the expected run time of the tasks; zero if unknown.
	run      time.Duration
	reserved []nodemsg.Place
}

// hold requests resources from the owners until all tasks have a place, and reports whether they do. A job that does
// not reserve releases an incomplete set of places; a job that reserves keeps it and requests the rest at the next try.
func (hm *Home) hold(pm placement) ([]nodemsg.Place, bool) {
	rec, reserve := pm.rec, pm.reserve
	reservedOn := hm.byOwner(pm.reserved)
	remaining := without(rec.TaskIDs(rec.Attempt), pm.reserved)
	var places []nodemsg.Place
	request := ranking.Request{Size: rec.Size, Tasks: rec.Tasks, Reserve: reserve}
	for _, query := range ranking.Order(hm.owners(reservedOn), request) {
		tasks := remaining[:min(len(remaining), query.Tasks)]
		kept := reservedOn[query.Owner]
		if len(tasks)+len(kept) == 0 {
			continue
		}
		granted, err := hm.holdOn(query.Owner, pm, append(nodemsg.TasksOf(kept), tasks...))
		if err != nil {
			places = append(places, kept...) // last known places
			continue
		}
		places = append(places, granted...)
		remaining = without(append(remaining, nodemsg.TasksOf(kept)...), granted)
	}
	// Two owners may have granted a place to the same task if the response of one was lost.
	places = lo.UniqBy(places, func(pl nodemsg.Place) string { return pl.Task })
	complete := len(places) == rec.Tasks
	switch {
	case complete && reserve: // owners without a place may have reserved resources for it
		nodes := lo.Keys(hm.Member.Map().Nodes)
		hm.releaseOn(rec, lo.Without(nodes, lo.Keys(hm.byOwner(places))...))
	case !complete && !reserve:
		hm.releaseAll(rec, places)
		return nil, false
	}
	return places, complete
}

// without returns the tasks that have no place, without duplicates.
func without(tasks []string, places []nodemsg.Place) []string {
	return lo.Without(lo.Uniq(tasks), nodemsg.TasksOf(places)...)
}

// owners lists the owners that a job may request resources from: this node, and the other reachable nodes that are not
// leaving.
func (hm *Home) owners(reservedOn map[string][]nodemsg.Place) []ranking.Owner {
	own := hm.Member.Node().Name
	summary, _ := hm.Local.Summary()
	list := []ranking.Owner{{Name: own, Summary: summary, Placed: len(reservedOn[own]), Local: true}}
	for _, vw := range hm.Member.Peers() {
		if name := vw.Node().Name; vw.Reachable() && !vw.Node().Leaving {
			list = append(list, ranking.Owner{Name: name, Summary: vw.Summary(), Placed: len(reservedOn[name])})
		}
	}
	return list
}

func (hm *Home) holdOn(node string, pm placement, tasks []string) ([]nodemsg.Place, error) {
	rec := pm.rec
	hd := nodemsg.Hold{
		ID: holdID(rec), Tasks: tasks, Size: rec.Size, Expires: holdDuration,
		Priority: rec.Priority, SubmittedAt: rec.Submitted.UnixNano(), Reserve: pm.reserve, Run: pm.run,
		Urgent: rec.Priority >= column.MaxPriority, Repeatable: rec.Repeatable,
	}
	if node == hm.Member.Node().Name {
		return hm.Local.Hold(hd).Places, nil
	}
	ctx, cancel := context.WithTimeout(hm.ctx, holdTimeout)
	defer cancel()
	// A hold whose response is lost expires.
	held, err := peer.Call[nodemsg.Hold, nodemsg.HoldReply](ctx, hm.Peer, hm.Member.Map().Nodes[node].Peer, nodemsg.KindHold, hd)
	return held.Places, err
}

func holdID(rec job.Record) string { return ids.Task(rec.ID, rec.Attempt, 0) }

// releaseAll releases holds. If a message is lost, the hold expires.
func (hm *Home) releaseAll(rec job.Record, places []nodemsg.Place) {
	hm.releaseOn(rec, lo.Keys(hm.byOwner(places)))
}

// releaseOn releases a job's holds on some owners.
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
				hm.Log.V(1).Info("Hold could not be released and will expire.", "node", node, "cause", err.Error())
			}
		}()
	}
}

// holdDone continues after a try. If all tasks have places, the intent to start them is recorded before any start
// message is sent. The caller holds the lock.
func (hm *Home) holdDone(en *entry, rec job.Record, places []nodemsg.Place) {
	switch {
	case en.frozen:
		hm.unreserve(en)
		go hm.releaseAll(rec, places)
	case en.rec.Cancelled:
		hm.step(policy.Event{Remove: &policy.Remove{Job: rec.ID}})
		hm.unreserve(en)
		go hm.releaseAll(rec, places)
		hm.endWaiting(en, "cancelled")
	case places == nil:
		retryAt := policy.RetryAt(hm.now(), rec.Attempt)
		if en.reserving {
			retryAt = hm.now() + reserveRetryPause
		}
		hm.step(policy.Event{NotPlaced: &policy.NotPlaced{Job: rec.ID, RetryAt: retryAt}})
	default:
		hm.recordIntent(en, places)
	}
}

// unreserve releases the resources that a job has reserved. The caller holds the lock.
func (hm *Home) unreserve(en *entry) {
	if en.reserving {
		go hm.releaseOn(en.rec, lo.Keys(hm.Member.Map().Nodes))
	}
	en.reserved, en.reserving = nil, false
}

// recordIntent writes the intent to start the tasks at their places to the journal. The caller holds the lock.
func (hm *Home) recordIntent(en *entry, places []nodemsg.Place) {
	rec := en.rec
	rec.State, rec.Places = job.Placed, places
	rec.Version++
	raw, err := rec.Encode()
	if err != nil {
		hm.Log.Error(err, "Placement record of job could not be encoded.", "job", rec.ID)
		return
	}
	en.placing = true
	en.busy++
	jr := hm.journal
	pending := jr.Append(raw)
	go func() {
		ctx, cancel := context.WithTimeout(hm.ctx, intentTimeout)
		defer cancel()
		err := jr.Wait(ctx, pending)
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.placing = false
		en.busy--
		hm.intentRecorded(en, rec, err)
	}()
}

// intentRecorded starts the job once the journal has its intent. If the journal does not have it, or may not have it,
// no start was sent, and a later attempt gets a number of its own.
func (hm *Home) intentRecorded(en *entry, rec job.Record, err error) {
	if err != nil || en.frozen || en.rec.Cancelled {
		if err != nil && fault.From(err).Begun {
			en.rec.Version = rec.Version // the write may have been applied; the next one needs a higher version
		}
		if err == nil {
			en.rec.Version = rec.Version
		}
		go hm.releaseAll(rec, rec.Places)
		if en.frozen || en.rec.Cancelled {
			hm.holdDone(en, rec, nil)
			return
		}
		retryAt := hm.now() + startBackoff.Jittered(rec.Attempt) // resources were available, but not the store
		hm.step(policy.Event{NotPlaced: &policy.NotPlaced{Job: rec.ID, RetryAt: retryAt}})
		return
	}
	rec.Cancelled = en.rec.Cancelled
	rec.PlacedAt = hm.Clock.Now()
	en.rec = rec
	en.beginAttempt()
	hm.Meter.Observe("wait", rec.Class, rec.Workspace, rec.PlacedAt.Sub(rec.Submitted))
	hm.step(policy.Event{Placed: &policy.Placed{Job: rec.ID}})
	en.notify()
	hm.runPlaced(en, true)
}

// commit starts the tasks on their workers and returns their statuses.
func (hm *Home) commit(rec job.Record) []nodemsg.TaskStatus {
	groups := hm.byOwner(rec.Places)
	return hm.forEachOwner(groups, func(ctx context.Context, node string, group []nodemsg.Place) []nodemsg.TaskStatus {
		cm := nodemsg.Commit{
			ID: holdID(rec), Size: rec.Size, Prepared: len(rec.Places) > 1,
			Payload: rec.Payload, Places: group, Priority: rec.Priority, Repeatable: rec.Repeatable, Resume: rec.SavedWork,
		}
		if node == hm.Member.Node().Name {
			return hm.Local.Commit(ctx, cm).Statuses
		}
		addr := hm.Member.Map().Nodes[node].Peer
		reply, err := peer.Call[nodemsg.Commit, nodemsg.TaskStatuses](ctx, hm.Peer, addr, nodemsg.KindCommit, cm)
		return hm.statuses(node, reply, err)
	})
}

// order sends an order for tasks to their owners and returns the tasks' statuses.
func (hm *Home) order(verb nodemsg.Verb, places []nodemsg.Place) []nodemsg.TaskStatus {
	return hm.forEachOwner(hm.byOwner(places), func(ctx context.Context, node string, group []nodemsg.Place) []nodemsg.TaskStatus {
		od := nodemsg.Order{Verb: verb, Tasks: group}
		if node == hm.Member.Node().Name {
			return hm.Local.Order(ctx, od).Statuses
		}
		addr := hm.Member.Map().Nodes[node].Peer
		reply, err := peer.Call[nodemsg.Order, nodemsg.TaskStatuses](ctx, hm.Peer, addr, nodemsg.KindOrder, od)
		return hm.statuses(node, reply, err)
	})
}

func (hm *Home) statuses(node string, reply nodemsg.TaskStatuses, err error) []nodemsg.TaskStatus {
	if err != nil {
		hm.Log.V(1).Info("Owner did not answer an order for tasks.", "node", node, "cause", err.Error())
	}
	return reply.Statuses
}

// forEachOwner calls act concurrently for each owner's places and collects the statuses.
func (hm *Home) forEachOwner(
	groups map[string][]nodemsg.Place,
	act func(context.Context, string, []nodemsg.Place) []nodemsg.TaskStatus,
) []nodemsg.TaskStatus {
	const timeout = 6 * time.Second
	ctx, cancel := context.WithTimeout(hm.ctx, timeout)
	defer cancel()
	results := make(chan []nodemsg.TaskStatus, len(groups))
	for node, group := range groups {
		go func() { results <- act(ctx, node, group) }()
	}
	var all []nodemsg.TaskStatus
	for range groups {
		all = append(all, <-results...)
	}
	return all
}
