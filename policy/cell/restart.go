package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

// A worker may restart under its ID. A start sent to its earlier incarnation may have been carried out in the
// next one, or may be yet: orders name the worker by its ID, and what was fenced in one incarnation is not
// fenced in another. A run that the earlier incarnation has not reported is therefore kept until a report of
// the next one either lists it or omits it. That report is requested with a fencing token that makes the worker
// reject all earlier orders.

// MaxOrderDelay is how long an order may be in transit, together with the time for which a run that it begins, or
// whose lease it extends, may then go on. A run is kept for this time after the last order to the earlier
// incarnation if the next one does not answer.
const MaxOrderDelay = 15 * time.Second

// predecessor is an earlier incarnation of a worker, with the runs that may still begin in the next one.
type predecessor struct {
	worker *worker
	until  time.Duration
	// next is the incarnation that follows, nextBegan the latest time at which it can have begun.
	next      incarnation.ID
	nextBegan time.Duration
}

// Restarted records that the next incarnation of a worker has begun, at the given time or before, which ends the
// earlier one. The next one is not listed by this call.
func (cl *Cell) Restarted(now time.Duration, earlier, next incarnation.ID, began time.Duration) {
	wk, ok := cl.workers[earlier]
	if !ok {
		return
	}
	cl.markUnreachable(now, wk)
	cl.deregister(wk)
	wk.answered = false
	cl.releaseUnsent(wk)
	var lost []*placement
	for _, pl := range wk.placements {
		if pl.mayBeDelayed() {
			pl.setState(unconfirmed)
			pl.unconfirmedAt = now
			continue
		}
		lost = append(lost, pl)
	}
	cl.loseRuns(now, wk, lost)
	if len(wk.placements) == 0 {
		cl.removeWorker(wk)
		return
	}
	lastOrder := cmp.Or(wk.deadlineSentAt, now)
	cl.predecessors[next.WorkerID()] = append(cl.predecessors[next.WorkerID()], predecessor{wk, lastOrder + MaxOrderDelay, next, began})
	cl.addUnlisted(now, next)
}

// addUnlisted records that an incarnation may hold any run before it is listed. Without the record, another
// planner would not wait for its report on the runs of the earlier incarnation.
func (cl *Cell) addUnlisted(now time.Duration, id incarnation.ID) {
	cl.InheritRuns(now, id, nil)
	cl.record(Record{Worker: id})
	cl.workers[id].openRecord = cl.recorded
}

// mayBeDelayed reports whether a run may be in the worker's next incarnation or may still begin there: either one may
// have answered its start, or an attempt of the start was unanswered and may have been in transit when this incarnation
// was last known to run. A report that may lack ends need not list a run that this incarnation has had.
func (pl *placement) mayBeDelayed() bool {
	alive := pl.worker.aliveAt
	switch {
	case alive < pl.delayedUntil:
		return true
	case pl.reported:
		return false
	case pl.runningSince > 0: // the incarnation was known to run when the start was sent
		return alive <= pl.runningSince
	case pl.unconfirmedAt > 0:
		return alive < pl.unconfirmedAt+MaxOrderDelay
	}
	return pl.delayedUntil == 0 // an attempt is under way
}

// adopt records that an earlier planner started the run. Which attempts of the start got no answer is not known: one may
// be in transit until MaxOrderDelay after the term began, from which all times count.
func (pl *placement) adopt() {
	pl.setState(running)
	pl.adopted, pl.delayedUntil = true, MaxOrderDelay
}

// MayHaveDelayedRuns reports whether the start of a run on a worker may be carried out in the worker's next incarnation,
// should the present one have ended after its last report.
func (cl *Cell) MayHaveDelayedRuns(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	if !ok {
		return false
	}
	for _, pl := range wk.placements {
		if !pl.unsent && pl.mayBeDelayed() {
			return true
		}
	}
	return false
}

// HasPredecessor reports whether a run that was sent to an earlier incarnation of a worker may still begin.
func (cl *Cell) HasPredecessor(id incarnation.ID) bool {
	return len(cl.predecessors[id.WorkerID()]) > 0
}

// resolvePredecessors applies the reports of an incarnation, up to the first complete one, to the runs of earlier ones.
func (cl *Cell) resolvePredecessors(now time.Duration, id incarnation.ID, runs []Run, ends []End, complete bool) {
	predecessors := cl.predecessors[id.WorkerID()]
	if len(predecessors) == 0 {
		return
	}
	began := make(map[placementKey]bool, len(runs)+len(ends))
	for _, rn := range runs {
		began[placementKey{rn.Task, rn.Number}] = true
	}
	for _, en := range ends {
		began[placementKey{en.Task, en.Number}] = true
	}
	if !complete {
		for _, pr := range predecessors {
			cl.releaseBegun(pr.worker, began)
		}
		return
	}
	delete(cl.predecessors, id.WorkerID())
	for _, pr := range predecessors {
		if pr.next == id {
			cl.releaseNotBegun(pr, began)
		}
		cl.resolvePredecessor(now, pr.worker, began)
	}
}

// releaseBegun releases the runs of an earlier incarnation that began in the next one.
func (cl *Cell) releaseBegun(wk *worker, began map[placementKey]bool) {
	for ky, pl := range wk.placements {
		if began[ky] {
			cl.release(pl)
		}
	}
}

// releaseNotBegun releases the runs that neither incarnation has had: their starts were decided after the next one
// had begun, and its first report omits them.
func (cl *Cell) releaseNotBegun(pr predecessor, began map[placementKey]bool) {
	for ky, pl := range pr.worker.placements {
		if !began[ky] && !pl.adopted && pl.decidedAt >= pr.nextBegan {
			cl.release(pl)
			cl.afterLoss(pl)
		}
	}
}

// resolvePredecessor releases the runs of an earlier incarnation. Those that did not begin in the next one were
// lost with it.
func (cl *Cell) resolvePredecessor(now time.Duration, wk *worker, began map[placementKey]bool) {
	cl.releaseBegun(wk, began)
	cl.loseRuns(now, wk, slices.Collect(maps.Values(wk.placements)))
	cl.removeWorker(wk)
}

// expirePredecessors gives up the runs of earlier incarnations whose next one has not answered for long.
func (cl *Cell) expirePredecessors(now time.Duration) {
	for id, predecessors := range cl.predecessors {
		remaining := slices.DeleteFunc(predecessors, func(pr predecessor) bool {
			if now < pr.until || cl.LacksEnds(pr.next) {
				return false
			}
			cl.resolvePredecessor(now, pr.worker, nil)
			return true
		})
		if cl.predecessors[id] = remaining; len(remaining) == 0 {
			delete(cl.predecessors, id)
		}
	}
}

// predecessorUntil returns how long the runs of an earlier incarnation are kept if the next one does not answer,
// and false if the worker is no earlier incarnation.
func (cl *Cell) predecessorUntil(wk *worker) (time.Duration, bool) {
	for _, pr := range cl.predecessors[wk.ID.WorkerID()] {
		if pr.worker == wk {
			return pr.until, true
		}
	}
	return 0, false
}

// DeadlineSent records that an order with a deadline is sent to a worker: it may extend the lease of what runs there.
func (cl *Cell) DeadlineSent(now time.Duration, id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		wk.deadlineSentAt = max(wk.deadlineSentAt, now)
	}
}

// StartDelayed records that an attempt of a start got no answer although a later one did: it may still be
// carried out.
func (cl *Cell) StartDelayed(now time.Duration, sr Start) {
	if pl := cl.placement(sr.Worker, sr.Task, sr.Run); pl != nil {
		pl.delayedUntil = now + MaxOrderDelay
	}
}
