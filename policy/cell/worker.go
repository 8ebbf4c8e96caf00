package cell

import (
	"maps"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
)

// worker is one worker as the cell knows it.
type worker struct {
	Worker
	// listed workers have an entry in the list of workers, answered ones have reported to this planner.
	listed, answered bool
	// overdue is set while its first answer to this planner is overdue.
	overdue bool
	// evacuated is set while its data hall is evacuated.
	evacuated bool
	// removed is set once the cell has discarded the worker.
	removed    bool
	used       size.Size
	placements map[placementKey]*placement
	// unknownRuns counts the runs on it that the cell does not know.
	unknownRuns int
	// openRecord is the number of the record that says that the worker may hold any run; 0 if it gets no runs.
	openRecord int
	// unreachable is set while it does not answer, unreachableAt is since when. departed is set once it has
	// left the list while it answered: it leaves in an orderly way without announcing it.
	unreachable, departed bool
	unreachableAt         time.Duration
	// unrenewed is set from the record that its lease is not renewed until it answers again. Its lease may be renewed
	// once the journal has the record that follows then, renewRecord.
	unrenewed   bool
	renewRecord int
	// leaseEnd is when the lease of an unreachable worker will surely have expired, 0 if it is not known.
	leaseEnd time.Duration
	// lastEnd is the highest end applied, ackedEnd the highest that the journal has; unacked are those in
	// between.
	lastEnd, ackedEnd int
	unacked           []endNote
	// reportedEnds is the number of ends in its last report, moreEnds is set if that may lack ends. lacksEnds is set until
	// a report of the worker to this planner is complete.
	reportedEnds        int
	moreEnds, lacksEnds bool
	// quarantineUntil is when a worker on which runs fail may get new ones.
	quarantineUntil time.Duration
	failures        int
	// reservedFor is the step that capacity is reserved for, reservedSize how much of it.
	reservedFor  *step
	reservedSize size.Size
	// firstReport is when it first reported to this planner, lastReport when it last did. aliveAt is when the call
	// was sent that it last answered with a report.
	firstReport, lastReport, aliveAt time.Duration
	// usedAt is when a run on it was last placed or released, at least its first report.
	usedAt time.Duration
	// deadlineSentAt is when an order with a deadline was last sent to it, 0 if that is not known.
	deadlineSentAt time.Duration
	// pacedAt is when the pace of its best-effort tasks was last changed.
	pacedAt time.Duration
	// leavesAt is when it may leave if it is draining.
	leavesAt time.Duration
	// pool is the pool that has the worker, nil if it takes no runs; poolIndex is its position there.
	pool      *pool
	poolIndex int
	// sortedFree is its number of free processors when it was last sorted; moved is set if it has been moved since.
	sortedFree int64
	moved      bool
	// slow is set while tasks run slowly on it, fast while they run fast.
	slow, fast bool
}

// endNote is the end of a run, by its number on the worker, and the number of records that must be committed for
// the journal to have its consequences.
type endNote struct{ number, record int }

// Durations of quarantine.
const (
	// quarantineNoCapacity is for a worker that had less capacity than the cell assumed.
	quarantineNoCapacity = 300 * time.Millisecond
	// quarantineFailures is for a worker on which maxFailures runs in a row failed.
	quarantineFailures = 6 * time.Second
	maxFailures        = 3
	// quarantineHung is for a worker on which a task hung.
	quarantineHung = 6 * time.Second
)

// PutWorker adds or updates an entry of the list of workers.
func (cl *Cell) PutWorker(now time.Duration, wk Worker) {
	old, known := cl.workers[wk.ID]
	if !known {
		old = &worker{placements: map[placementKey]*placement{}}
		cl.workers[wk.ID] = old
		cl.unpooled[old] = true
	}
	if wk.Draining && !old.Draining {
		old.leavesAt = now + wk.Remaining
	}
	if wk.Service != old.Service {
		cl.forgetSpeed(old)
	}
	if wk.Capacity != old.Capacity || wk.Service != old.Service || !slices.Equal(wk.Labels, old.Labels) {
		cl.poolChanges++
		cl.gained(old)
	}
	if wk.Capacity != old.Capacity {
		cl.dropReservation(old) // the reservation was computed for the old capacity
	}
	old.Worker = wk
	old.listed, old.departed = true, false
	cl.applyEvacuation(old)
	if wk.Draining {
		cl.dropReservation(old)
		cl.closeWorker(old)
	}
}

// SetOutdated records that the entries read so far may be outdated. Their workers get no new runs until a later entry has been
// read, or until a time at which each worker has surely written one.
func (cl *Cell) SetOutdated(now, until time.Duration) {
	cl.outdatedAt, cl.outdatedUntil = now, until
}

// outdated reports whether a worker's entry may be outdated.
func (cl *Cell) outdated(now time.Duration, wk *worker) bool {
	return now < cl.outdatedUntil && wk.SeenAt <= cl.outdatedAt
}

// closeWorker gives a worker no more runs, and records which it may hold: if it never answers again, another
// planner has to wait for these tasks only.
func (cl *Cell) closeWorker(wk *worker) {
	if wk.openRecord == 0 {
		return
	}
	cl.record(wk.closed())
	wk.openRecord = 0
}

// closed is the record of a worker that gets no more runs. While the cell may not know all of its runs, another planner
// must take it for one that may hold any.
func (wk *worker) closed() Record {
	return Record{Worker: wk.ID, Closed: !wk.answered || !wk.lacksEnds, Held: wk.heldRuns(), Departed: wk.Draining || wk.departed, Unrenewed: wk.unrenewed}
}

// Unreachable records that a worker does not answer, and when its lease will surely have expired.
func (cl *Cell) Unreachable(now time.Duration, id incarnation.ID, leaseEnd time.Duration) {
	wk, ok := cl.workers[id]
	if !ok {
		return
	}
	repeated := wk.unreachable
	cl.markUnreachable(now, wk)
	wk.leaseEnd = leaseEnd
	// After a single lost call the lease must be renewed at once, also while the journal cannot be written. Before the
	// worker's first answer, an earlier planner may renew its lease.
	if repeated && wk.answered && !wk.unrenewed {
		wk.unrenewed, wk.openRecord = true, 0
		cl.record(wk.closed())
		return
	}
	cl.closeWorker(wk)
}

// MayRenew reports whether a worker's lease may be renewed: the journal does not say otherwise.
func (cl *Cell) MayRenew(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	return !ok || !wk.unrenewed && wk.renewRecord <= cl.committed
}

// InheritStops records that an earlier planner may have told a worker to stop runs just before this one was
// elected.
func (cl *Cell) InheritStops(now time.Duration, id incarnation.ID, runs []Run) {
	cl.InheritRuns(now, id, nil)
	wk := cl.workers[id]
	for _, rn := range runs {
		tk := cl.openTask(now, rn.Task)
		if tk == nil {
			continue
		}
		pl := wk.placements[placementKey{rn.Task, rn.Number}]
		if pl == nil {
			pl = cl.place(now, tk, wk, rn.Number)
		}
		pl.setState(stopping)
		pl.inherited, pl.delayedUntil = true, MaxOrderDelay
		cl.stopping[pl] = true
	}
}

// InheritDeparted records that a worker was leaving in an orderly way.
func (cl *Cell) InheritDeparted(now time.Duration, id incarnation.ID) {
	cl.InheritRuns(now, id, nil)
	cl.workers[id].departed = true
}

// InheritRuns records that a worker holds at most the given runs, according to an earlier planner, until it
// answers or its lease expires.
func (cl *Cell) InheritRuns(now time.Duration, id incarnation.ID, held []Run) {
	wk, known := cl.workers[id]
	if !known {
		cl.PutWorker(now, Worker{ID: id})
		wk = cl.workers[id]
		wk.listed = false
	}
	for _, rn := range held {
		tk := cl.openTask(now, rn.Task)
		if tk == nil || tk.done || wk.placements[placementKey{rn.Task, rn.Number}] != nil || tk.step.round.job.phase.Ended() {
			continue
		}
		cl.place(now, tk, wk, rn.Number).adopt()
	}
}

// Deregister records that a worker's entry is gone. Its runs are kept until its lease has expired.
func (cl *Cell) Deregister(id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		wk.departed = wk.departed || wk.listed && wk.answered && !wk.unreachable
		cl.deregister(wk)
	}
}

// DeregisterSilent is Deregister for a worker that owes an answer: it may have crashed before its entry was removed, so the
// loss of its runs is attributed to their tasks.
func (cl *Cell) DeregisterSilent(id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		cl.deregister(wk)
	}
}

func (cl *Cell) deregister(wk *worker) {
	wk.listed = false
	cl.dropReservation(wk)
	cl.closeWorker(wk)
}

// Replaced records that a worker's incarnation is over, since another one answers in its place.
func (cl *Cell) Replaced(now time.Duration, id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		cl.markUnreachable(now, wk)
		cl.deregister(wk)
		cl.LeaseExpired(now, id)
	}
}

// LeaseExpired records that nothing can run on a worker any more: its lease has expired, or it is gone. It may
// answer again later.
func (cl *Cell) LeaseExpired(now time.Duration, id incarnation.ID) {
	wk, ok := cl.workers[id]
	if !ok {
		return
	}
	wk.answered = false
	cl.releaseUnsent(wk)
	cl.loseRuns(now, wk, slices.Collect(maps.Values(wk.placements)))
	if !wk.listed {
		cl.removeWorker(wk)
	}
}

// removeWorker discards a worker that holds nothing.
func (cl *Cell) removeWorker(wk *worker) {
	cl.record(Record{Worker: wk.ID, Gone: true})
	delete(cl.workers, wk.ID)
	delete(cl.unpooled, wk)
	cl.forgetSpeed(wk)
	wk.removed = true
}

// AckedEnd returns the number of the last end of a worker that the journal has, and whether later ones are
// waiting to be committed.
func (cl *Cell) AckedEnd(id incarnation.ID) (number int, waits bool) {
	wk, ok := cl.workers[id]
	if !ok {
		return 0, false
	}
	for len(wk.unacked) > 0 && wk.unacked[0].record <= cl.committed {
		wk.ackedEnd = wk.unacked[0].number
		wk.unacked = wk.unacked[1:]
	}
	return wk.ackedEnd, len(wk.unacked) > 0
}

// MayHoldRuns reports whether a worker may have runs of the cell.
func (cl *Cell) MayHoldRuns(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	return ok && (len(wk.placements) > 0 || !wk.answered)
}

// HeldRuns returns the runs that a worker may have, in no particular order.
func (cl *Cell) HeldRuns(id incarnation.ID) []Run {
	wk, ok := cl.workers[id]
	if !ok {
		return nil
	}
	return wk.heldRuns()
}

// heldRuns returns the runs whose starts were sent. Another start may still be sent, but the journal has a record of it
// then.
func (wk *worker) heldRuns() []Run {
	var runs []Run
	for ky, pl := range wk.placements {
		if !pl.unsent {
			runs = append(runs, Run{Task: ky.task, Number: ky.run})
		}
	}
	return runs
}

// UsesService reports whether tasks of any job run on workers of a service.
func (cl *Cell) UsesService(service string) bool { return cl.services[service] }

// Listed reports whether a worker is known, and whether it is in the list of workers.
func (cl *Cell) Listed(id incarnation.ID) (known, listed bool) {
	wk, ok := cl.workers[id]
	return ok, ok && wk.listed
}
