package cell

import (
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// state is the state of a placement.
type state int

const (
	ordered     state = iota // the start was sent and has not been answered
	unconfirmed              // the start got no answer; a report will show whether it was carried out
	running
	stopping // a stop was sent; the resources are taken until the end is seen
)

// placement is a run on a worker. Its resources are taken until the worker shows that the run is gone, or
// cannot hold it any more.
type placement struct {
	task   *task
	worker *worker
	run    int
	need   size.Size
	state  state
	// decidedAt is when its start was decided (see Start.DecidedAt); unknown for an adopted run.
	decidedAt time.Duration
	// unsent is set until the journal has the record that the start must wait for.
	unsent bool
	// runningSince is when the worker was first known to have the run.
	runningSince time.Duration
	// stoppedAt is when the worker confirmed the stop, 0 before that; unconfirmedAt is when the start was given
	// up.
	stoppedAt, unconfirmedAt time.Duration
	// inherited is set for a stop that an earlier planner may have sent.
	inherited bool
	percent   int
	// progressAt is when percent last changed; initialPercent is its value when the run was first seen at work,
	// at the time begunAt.
	progressAt, begunAt time.Duration
	initialPercent      int
	// resumed is set for a run that continues from a checkpoint, adopted for one that another planner started:
	// the progress that it had when first seen says nothing about its speed.
	resumed, adopted bool
	// reported is set once the worker has listed the run. delayedUntil is how long an attempt of its start that got
	// no answer may be in transit, 0 if there is none.
	reported     bool
	delayedUntil time.Duration
	// tailLatencyMS is the latency reported for the task, pace the percentage of full speed that it was last
	// ordered to run at.
	tailLatencyMS, pace int
}

// placementKey identifies a placement on its worker.
type placementKey struct {
	task work.Task
	run  int
}

// FinishRecovery records that every worker on which an earlier planner may have started tasks has answered, or
// that its lease has expired.
func (cl *Cell) FinishRecovery() {
	cl.recovered = true
	cl.quota.SetUnreported(nil)
	for st := range cl.open {
		if st.def.Gang && st.unplaced > 0 && st.unplaced < len(st.tasks) {
			cl.stopGang(st, st.latestRun(), "gang is incomplete")
		}
	}
}

// RecordLeasesResolved records that no lease which an earlier planner renewed protects a run any more.
func (cl *Cell) RecordLeasesResolved() { cl.record(Record{LeasesResolved: true}) }

// Recovered reports whether FinishRecovery was called.
func (cl *Cell) Recovered() bool { return cl.recovered }

// place takes resources on a worker for a run of a task.
func (cl *Cell) place(now time.Duration, tk *task, wk *worker, run int) *placement {
	need := tk.step.need()
	pl := &placement{task: tk, worker: wk, run: run, need: need, decidedAt: now, progressAt: now, begunAt: now, pace: fullPercent}
	pl.resumed = tk.checkpoint != ""
	wk.placements[placementKey{tk.name(), run}] = pl
	wk.used, wk.usedAt = wk.used.Add(need), now
	cl.recent.valid = false // what is free there is less
	cl.quota.Add(tk.step.workspace(), need)
	cl.memory.AddRuns(runMemory)
	if tk.runs == 0 && !tk.done {
		tk.step.unplaced--
	}
	tk.runs++
	tk.step.unstopped++
	if tk.placement == nil || tk.placement.run < run {
		tk.placement = pl
	}
	tk.run = max(tk.run, run)
	return pl
}

// release frees the resources of a run.
func (cl *Cell) release(pl *placement) {
	ky := placementKey{pl.task.name(), pl.run}
	if pl.worker.placements[ky] != pl {
		return
	}
	delete(pl.worker.placements, ky)
	delete(cl.stopping, pl)
	if pl.state != stopping {
		pl.task.step.unstopped--
	}
	pl.task.runs--
	if st := pl.task.step; pl.task.runs == 0 && !pl.task.done {
		pl.task.releasedAt = cl.now
		if st.unplaced == 0 {
			st.lackingSince = cl.now
		}
		st.unplaced++
	}
	pl.worker.used, pl.worker.usedAt = pl.worker.used.Sub(pl.need), max(cl.now, pl.worker.lastReport)
	cl.quota.Sub(pl.task.step.workspace(), pl.need)
	cl.memory.AddRuns(-runMemory)
	cl.noteEnd(pl.task.step)
	cl.gained(pl.worker)
	cl.noteReleased(pl)
	if pl.task.placement == pl {
		pl.task.placement = nil
	}
	cl.resolveStart(pl)
}

// setState sets the state of a run.
func (pl *placement) setState(next state) {
	switch st := pl.task.step; {
	case pl.state != stopping && next == stopping:
		st.unstopped--
	case pl.state == stopping && next != stopping:
		st.unstopped++
	}
	pl.state = next
}

// stop orders the end of a run.
func (cl *Cell) stop(pl *placement, reason string) {
	if pl.state == stopping {
		return
	}
	if pl.unsent {
		cl.release(pl)
		return
	}
	pl.setState(stopping)
	cl.stopping[pl] = true
	run := Run{Task: pl.task.name(), Number: pl.run}
	cl.record(Record{Worker: pl.worker.ID, Stop: true, Held: []Run{run}})
	cl.stops = append(cl.stops, journaledStop{
		Stop{Worker: pl.worker.ID, Task: run.Task, Run: run.Number, Reason: reason}, cl.recorded,
	})
}

// RecordStops records again the stops that are not over. Another planner looks for them in the latest records only.
func (cl *Cell) RecordStops() {
	held := map[incarnation.ID][]Run{}
	for pl := range cl.stopping {
		if pl.state == stopping {
			held[pl.worker.ID] = append(held[pl.worker.ID], Run{Task: pl.task.name(), Number: pl.run})
		}
	}
	for id, runs := range held {
		cl.record(Record{Worker: id, Stop: true, Held: runs})
	}
}

// stopGang stops all members of a run of a gang, and of earlier ones, so that the gang can restart. It is called for each member
// that is lost, and looks at the members only while some are not being stopped.
func (cl *Cell) stopGang(st *step, run int, reason string) {
	if st.unstopped == 0 {
		return
	}
	for _, tk := range st.tasks {
		if tk.placement != nil && tk.placement.run <= run {
			cl.stop(tk.placement, reason)
		}
	}
}

// latestRun returns the highest run number of the step's tasks.
func (st *step) latestRun() int {
	run := 0
	for _, tk := range st.tasks {
		run = max(run, tk.run)
	}
	return run
}

// afterLoss stops the other members of a gang after a run of one is gone without having finished its task, so
// that the gang can restart.
func (cl *Cell) afterLoss(pl *placement) {
	st := pl.task.step
	if st.def.Gang && !pl.task.done {
		cl.stopGang(st, pl.run, "gang lost a member")
	}
}

func (cl *Cell) placement(id incarnation.ID, task work.Task, run int) *placement {
	wk, ok := cl.workers[id]
	if !ok {
		return nil
	}
	return wk.placements[placementKey{task, run}]
}

// startAnswered records that a start in flight was answered.
func (cl *Cell) startAnswered(now time.Duration, sr Start) {
	cl.window.add(sr.Urgent, -1)
	cl.window.answered(now, now-sr.DecidedAt)
}

// Started records that a worker has a run.
func (cl *Cell) Started(now time.Duration, sr Start) {
	cl.startAnswered(now, sr)
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil {
		return
	}
	if pl.state != ordered {
		if pl.state == stopping { // the stop was ordered before the answer came
			pl.runningSince = now
		}
		return
	}
	pl.setState(running)
	pl.runningSince, pl.progressAt, pl.begunAt = now, now, now
	cl.runSeen(now, pl)
	if !pl.task.step.def.LongRunning {
		pl.task.startFailures = startFailures{}
	}
	cl.beginJob(pl.task.step.round.job)
}

// Refused records that a worker did not start a run and never will.
func (cl *Cell) Refused(now time.Duration, sr Start, why Refusal) {
	cl.startAnswered(now, sr)
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil {
		return
	}
	st := pl.task.step
	switch why {
	case RefusedTicket:
		st.advice.expireTicket(sr.Worker)
	case RefusedNoCapacity:
		pl.worker.quarantineUntil = now + quarantineNoCapacity
	case RefusedUnhealthy:
		pl.worker.quarantineUntil = now + quarantineFailures
	case RefusedInvalid:
		if pl.task.startFailed(now); !pl.task.startFailures.taskAtFault() {
			pl.worker.quarantineUntil = now + quarantineFailures
		}
	case RefusedStale:
		cl.skipRuns(pl)
	case RefusedLate:
	}
	cl.release(pl)
	cl.afterLoss(pl)
}

// Limits of how many run numbers are skipped after one refusal. Terms of minutes need minSkip. maxSkip keeps the numbers in 32
// bits for hours even if a worker refuses all runs.
const (
	minSkip = 64
	maxSkip = 1 << 12
)

// skipRuns raises the number of a task's next run after a worker has refused one as stale. Unless the run is being stopped, an
// earlier planner has started the task more often than the first number of this one allows for. How many numbers are
// skipped doubles each time, since a start for each of them would take seconds.
func (cl *Cell) skipRuns(pl *placement) {
	if pl.state == ordered {
		pl.task.run += min(max(pl.run-cl.opts.FirstRun, minSkip), maxSkip)
	}
}

// StartValid reports whether a start may still be sent or repeated: since it was decided, its worker may have
// begun to drain, shrunk, or reported the run, or its hall was evacuated. Sent after the run has ended, a start has no effect in the same
// incarnation of the worker, but would run the task again in the next.
func (cl *Cell) StartValid(sr Start) bool {
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil || pl.state != ordered {
		return false
	}
	wk := pl.worker
	return wk.listed && !wk.Draining && !wk.evacuated && wk.used.Fits(wk.Capacity)
}

// StartUnconfirmed records that it is unknown whether a worker has started a run or will. Its next report
// tells; if the run is not in it, a stop prevents it for good.
func (cl *Cell) StartUnconfirmed(now time.Duration, sr Start) {
	cl.window.add(sr.Urgent, -1)
	pl := cl.placement(sr.Worker, sr.Task, sr.Run)
	if pl == nil || pl.state != ordered {
		return
	}
	pl.setState(unconfirmed)
	pl.unconfirmedAt = now
	cl.out.ReportRequests = append(cl.out.ReportRequests, sr.Worker)
}

// Stopped records that a worker has confirmed a stop. It reports whether only a report will show that the run
// is gone, because it is unknown whether it ever began.
func (cl *Cell) Stopped(now time.Duration, sp Stop) bool {
	pl := cl.placement(sp.Worker, sp.Task, sp.Run)
	if pl == nil {
		return false
	}
	pl.stoppedAt = now
	return pl.runningSince == 0
}

// StopUnconfirmed records that a stop was not confirmed. It is ordered again while the run may exist.
func (cl *Cell) StopUnconfirmed(sp Stop) {
	if pl := cl.placement(sp.Worker, sp.Task, sp.Run); pl != nil && pl.stoppedAt == 0 {
		sp.Attempts++
		cl.out.Stops = append(cl.out.Stops, sp)
	}
}
