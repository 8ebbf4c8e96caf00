package cell

import (
	"tackbeam.example/policy/incarnation"
	"time"

	"tackbeam.example/policy/size"
)

// worker is one worker as the cell knows it.
type worker struct {
	Worker
	// listed workers stand in the list of workers, answered ones have reported to this planner.
	listed, answered bool
	// forgotten is set once the cell does not know it any more.
	forgotten bool
	used      size.Size
	places    map[key]*placement
	// strangers counts the runs there of which the cell knows nothing.
	strangers int
	// proof is the record that says that the worker may hold any run; 0 where it gets
	// none.
	proof int
	// silent is set while it does not answer, silentAt is since when. left is set once it has left
	// the list though it answered: it leaves in order, without a word.
	silent, left bool
	silentAt     time.Duration
	// seen is the highest end taken in; unnoted are those not yet proved by the journal.
	seen, noted int
	unnoted     []note
	// rest keeps new runs off a worker on which they fail.
	rest  time.Duration
	fails int
	// claim is the gang that room is kept free for, kept is how much of it.
	claim *step
	kept  size.Size
	// first is when it first reported to this planner, reported when it last did.
	first, reported time.Duration
	// paced is when its fillers were last slowed or let go.
	paced time.Duration
	// leaves is when it may leave, if it drains.
	leaves time.Duration
	// pool is where the present plan finds the worker, nil where it takes no runs, and
	// slot its place there.
	pool *pool
	slot int
}

// note is an end with the record that proves what followed from it.
type note struct{ number, proof int }

// Rest times of workers.
const (
	// restRoom keeps a worker alone that had less room than the cell thought.
	restRoom = 300 * time.Millisecond
	// restFails keeps a worker alone on which failsInRow runs of tasks ended failed.
	restFails  = 6 * time.Second
	failsInRow = 3
	// restHung keeps a worker alone on which a task stood still.
	restHung = 6 * time.Second
)

// PutWorker takes in an entry of the list of workers.
func (cl *Cell) PutWorker(now time.Duration, wk Worker) {
	old, known := cl.workers[wk.ID]
	if !known {
		old = &worker{places: map[key]*placement{}}
		cl.workers[wk.ID] = old
	}
	if wk.Draining && !old.Draining {
		old.leaves = now + wk.Remaining
	}
	if wk.Capacity != old.Capacity {
		cl.dropClaim(old) // what is kept free was counted by the other size
	}
	old.Worker = wk
	old.listed, old.left = true, false
	if wk.Draining {
		cl.dropClaim(old)
		cl.shutWorker(old)
	}
}

// shutWorker gives a worker no more runs, and records which it may hold: should it
// fall silent for good, another planner need wait with these tasks only.
func (cl *Cell) shutWorker(wk *worker) {
	if wk.proof == 0 {
		return
	}
	cl.record(Record{Worker: wk.ID, Closed: true, Held: wk.held(), Departed: wk.Draining || wk.left})
	wk.proof = 0
}

// Unreachable takes in that a worker does not answer.
func (cl *Cell) Unreachable(now time.Duration, id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		cl.fellSilent(now, wk)
		cl.shutWorker(wk)
	}
}

// InheritStops takes in that an earlier planner may have told a worker to stop runs
// just before this one was elected.
func (cl *Cell) InheritStops(now time.Duration, id incarnation.ID, runs []Run) {
	cl.InheritRuns(now, id, nil)
	wk := cl.workers[id]
	for _, rn := range runs {
		tk := cl.find(rn.Task)
		if tk == nil || wk.places[key{rn.Task, rn.Number}] != nil {
			continue
		}
		pl := cl.place(now, tk, wk, rn.Number)
		pl.state, pl.inherited = stopping, true
	}
}

// InheritDeparted takes in that a worker was leaving in order.
func (cl *Cell) InheritDeparted(now time.Duration, id incarnation.ID) {
	cl.InheritRuns(now, id, nil)
	cl.workers[id].left = true
}

// InheritRuns takes in that a worker holds at most some runs, as an earlier planner has
// recorded, until it answers or lapses.
func (cl *Cell) InheritRuns(now time.Duration, id incarnation.ID, held []Run) {
	wk, known := cl.workers[id]
	if !known {
		cl.PutWorker(now, Worker{ID: id})
		wk = cl.workers[id]
		wk.listed = false
	}
	for _, rn := range held {
		tk := cl.find(rn.Task)
		if tk == nil || tk.done || wk.places[key{rn.Task, rn.Number}] != nil || tk.step.round.job.phase.Ended() {
			continue
		}
		pl := cl.place(now, tk, wk, rn.Number)
		pl.state, pl.midway = running, true
	}
}

// Deregister takes in that a worker's entry is gone. What it runs is kept until it has
// lapsed.
func (cl *Cell) Deregister(id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		wk.left = wk.left || wk.listed && wk.answered && !wk.silent
		cl.deregister(wk)
	}
}

func (cl *Cell) deregister(wk *worker) {
	wk.listed = false
	cl.dropClaim(wk)
	cl.shutWorker(wk)
}

// Replaced takes in that a worker's incarnation is over: another one answers in its place.
func (cl *Cell) Replaced(now time.Duration, id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		cl.fellSilent(now, wk)
		cl.deregister(wk)
		cl.LeaseExpired(now, id)
	}
}

// LeaseExpired takes in that nothing can run on a worker any more: its lease is over, or
// it is gone. It may answer again later.
func (cl *Cell) LeaseExpired(now time.Duration, id incarnation.ID) {
	wk, ok := cl.workers[id]
	if !ok {
		return
	}
	wk.answered = false
	over := cl.layCrash(now, wk)
	for _, pl := range wk.places {
		cl.release(pl)
		cl.afterLoss(pl)
	}
	cl.giveUp(now, over)
	if !wk.listed {
		cl.forget(wk)
	}
}

// forget forgets a worker that holds nothing.
func (cl *Cell) forget(wk *worker) {
	cl.record(Record{Worker: wk.ID, Gone: true})
	delete(cl.workers, wk.ID)
	wk.forgotten = true
}

// AckedEnd returns the number of the last end of a worker that the journal proves, and
// whether later ones wait for that.
func (cl *Cell) AckedEnd(id incarnation.ID) (number int, waits bool) {
	wk, ok := cl.workers[id]
	if !ok {
		return 0, false
	}
	for len(wk.unnoted) > 0 && wk.unnoted[0].proof <= cl.committed {
		wk.noted = wk.unnoted[0].number
		wk.unnoted = wk.unnoted[1:]
	}
	return wk.noted, len(wk.unnoted) > 0
}

// MayHoldRuns reports whether a worker may have runs of the cell.
func (cl *Cell) MayHoldRuns(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	return ok && (len(wk.places) > 0 || !wk.answered)
}

// HeldRuns returns the runs that a worker may have, in no order.
func (cl *Cell) HeldRuns(id incarnation.ID) []Run {
	wk, ok := cl.workers[id]
	if !ok {
		return nil
	}
	return wk.held()
}

func (wk *worker) held() []Run {
	var runs []Run
	for at := range wk.places {
		runs = append(runs, Run{Task: at.task, Number: at.run})
	}
	return runs
}

// UsesService reports whether any job's tasks run on workers of a service.
func (cl *Cell) UsesService(service string) bool { return cl.services[service] }

// Listed reports whether a worker is known and in the list.
func (cl *Cell) Listed(id incarnation.ID) (known, listed bool) {
	wk, ok := cl.workers[id]
	return ok, ok && wk.listed
}
