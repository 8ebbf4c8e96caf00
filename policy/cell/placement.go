package cell

import (
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// state of a placement.
type state int

const (
	ordered state = iota // the start was sent, its answer is open
	unsure               // the start was not answered; a report will tell
	running
	stopping // a stop was sent; the room is taken until the end is seen
)

// placement is a run on a worker. Its room is taken until the worker shows that the
// run is gone, or cannot hold it any more.
type placement struct {
	task   *task
	worker *worker
	run    int
	need   size.Size
	state  state
	// since is when the worker was known to have the run.
	since time.Duration
	// stopped is when the worker confirmed the stop, 0 before that; lost is when the
	// start was given up.
	stopped, lost time.Duration
	// inherited is set for a stop that an earlier planner may have sent.
	inherited bool
	percent   int
	// moved is when percent last rose; from is what it was when the run was first seen at
	// work, at the time begun.
	moved, begun time.Duration
	from         int
	// resumed is set for a run that goes on from a checkpoint, midway for one that another planner
	// started: what it had done when it was first seen says nothing of its speed.
	resumed, midway bool
	// reported is set once the worker has listed the run, delayed where a try of its start had no
	// answer.
	reported, delayed bool
	// load is the worker's figure of the task's load, pace the percentage of its speed
	// that it was last ordered to work at.
	load, pace int
}

// key names a placement on its worker.
type key struct {
	task work.Task
	run  int
}

// FinishRecovery says that every worker on which an earlier planner may have started tasks
// has answered or lapsed.
func (cl *Cell) FinishRecovery() {
	cl.settled = true
	cl.quota.SetUnreported(nil)
	for st := range cl.open {
		if st.def.Gang && st.waits > 0 && st.waits < len(st.tasks) {
			cl.breakGang(st, "gang is not complete")
		}
	}
}

// Recovered reports whether Settle was called.
func (cl *Cell) Recovered() bool { return cl.settled }

// place takes room for a run of a task.
func (cl *Cell) place(now time.Duration, tk *task, wk *worker, run int) *placement {
	need := tk.step.need()
	pl := &placement{task: tk, worker: wk, run: run, need: need, moved: now, begun: now, pace: whole}
	pl.resumed = tk.checkpoint != ""
	wk.places[key{tk.name(), run}] = pl
	wk.used = wk.used.Add(need)
	cl.quota.Add(tk.step.workspace(), need)
	if tk.runs == 0 && !tk.done {
		tk.step.waits--
	}
	tk.runs++
	if tk.place == nil || tk.place.run < run {
		tk.place = pl
	}
	tk.run = max(tk.run, run)
	return pl
}

// release gives the room of a run back.
func (cl *Cell) release(pl *placement) {
	at := key{pl.task.name(), pl.run}
	if pl.worker.places[at] != pl {
		return
	}
	delete(pl.worker.places, at)
	pl.task.runs--
	if st := pl.task.step; pl.task.runs == 0 && !pl.task.done {
		if st.waits == 0 {
			st.lacks = cl.now
		}
		st.waits++
	}
	pl.worker.used = pl.worker.used.Sub(pl.need)
	cl.quota.Sub(pl.task.step.workspace(), pl.need)
	if pl.task.place == pl {
		pl.task.place = nil
	}
}

// stop orders the end of a run.
func (cl *Cell) stop(pl *placement, reason string) {
	if pl.state == stopping {
		return
	}
	pl.state = stopping
	run := Run{Task: pl.task.name(), Number: pl.run}
	cl.record(Record{Worker: pl.worker.ID, Stop: true, Held: []Run{run}})
	cl.stops = append(cl.stops, provenStop{
		Stop{Worker: pl.worker.ID, Task: run.Task, Run: run.Number, Reason: reason}, cl.recorded,
	})
}

// breakGang stops all members, so that the gang can start anew.
func (cl *Cell) breakGang(st *step, reason string) {
	for _, tk := range st.tasks {
		if tk.place != nil {
			cl.stop(tk.place, reason)
		}
	}
}

// afterLoss does what follows when a run is gone without an end that counts.
func (cl *Cell) afterLoss(pl *placement) {
	st := pl.task.step
	if st.def.Gang && !pl.task.done {
		cl.breakGang(st, "gang lost a member")
	}
}

func (cl *Cell) placement(id incarnation.ID, task work.Task, run int) *placement {
	wk, ok := cl.workers[id]
	if !ok {
		return nil
	}
	return wk.places[key{task, run}]
}

// answered takes in that a start that was under way has its answer.
func (cl *Cell) answered(now time.Duration, sr Start) {
	cl.window.add(sr.Urgent, -1)
	cl.window.answered(now, now-sr.DecidedAt)
}

// Started takes in that a worker has a run.
func (cl *Cell) Started(now time.Duration, sr Start) {
	cl.answered(now, sr)
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil || pl.state != ordered {
		return
	}
	pl.state = running
	pl.since, pl.moved, pl.begun = now, now, now
	if !pl.task.step.def.LongRunning {
		pl.task.tries = tries{}
	}
	cl.begin(pl.task.step.round.job)
}

// Refused takes in that a worker did not start a run and never will.
func (cl *Cell) Refused(now time.Duration, sr Start, why Refusal) {
	cl.answered(now, sr)
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil {
		return
	}
	st := pl.task.step
	switch why {
	case RefusedTicket:
		st.advice.lapse(sr.Worker)
	case RefusedNoCapacity:
		pl.worker.rest = now + restRoom
	case RefusedUnhealthy:
		pl.worker.rest = now + restFails
	case RefusedInvalid:
		if pl.task.vain(now); !pl.task.tries.blamed() {
			pl.worker.rest = now + restFails
		}
	case RefusedStale, RefusedLate:
	}
	cl.release(pl)
	cl.afterLoss(pl)
}

// StartValid reports whether a start may still be sent, or sent again: since it was decided its worker may have
// begun to leave, or shrunk, or have told of the run. One that is sent after the run has ended does nothing
// in the same life of the worker, and begins it again in the next.
func (cl *Cell) StartValid(sr Start) bool {
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil || pl.state != ordered {
		return false
	}
	wk := pl.worker
	return wk.listed && !wk.Draining && wk.used.Fits(wk.Capacity)
}

// StartUnconfirmed takes in that nobody knows whether a worker has started a run or will: its
// next report tells, and where it does not have the run, a stop keeps it off for good.
func (cl *Cell) StartUnconfirmed(now time.Duration, sr Start) {
	cl.window.add(sr.Urgent, -1)
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil || pl.state != ordered {
		return
	}
	pl.state, pl.lost = unsure, now
	cl.out.ReportRequests = append(cl.out.ReportRequests, sr.Worker)
}

// Stopped takes in that a worker has confirmed a stop. It reports whether only a
// report will tell that the run is gone, because nobody knows that it ever was there.
func (cl *Cell) Stopped(now time.Duration, sp Stop) bool {
	pl := cl.placement(sp.Worker, sp.Task, sp.Run)
	if pl == nil {
		return false
	}
	pl.stopped = now
	return pl.since == 0
}

// StopUnconfirmed takes in that a stop was not confirmed; it is ordered again while the run
// may be there.
func (cl *Cell) StopUnconfirmed(sp Stop) {
	if pl := cl.placement(sp.Worker, sp.Task, sp.Run); pl != nil && pl.stopped == 0 {
		sp.Attempts++
		cl.out.Stops = append(cl.out.Stops, sp)
	}
}
