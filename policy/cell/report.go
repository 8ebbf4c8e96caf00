package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

// Report applies what a worker reported about its runs and their ends, in the answer to a call that was sent at
// the given time. It returns the ends that were not reported before.
func (cl *Cell) Report(now time.Duration, id incarnation.ID, sent time.Duration, runs []Run, ends []End) (newEnds []End) {
	return cl.report(now, id, sent, runs, ends, true)
}

// PartialReport is Report for a report that may lack ends. A run that it omits may have ended, and its end is in a later
// report: nothing follows from the omission.
func (cl *Cell) PartialReport(now time.Duration, id incarnation.ID, sent time.Duration, runs []Run, ends []End) (newEnds []End) {
	return cl.report(now, id, sent, runs, ends, false)
}

func (cl *Cell) report(now time.Duration, id incarnation.ID, sent time.Duration, runs []Run, ends []End, complete bool) (newEnds []End) {
	wk, ok := cl.workers[id]
	if !ok {
		return nil
	}
	if !wk.answered {
		wk.answered, wk.lacksEnds, wk.firstReport, wk.usedAt = true, true, now, max(wk.usedAt, now)
	}
	firstComplete := wk.lacksEnds && complete
	if wk.lacksEnds {
		cl.resolvePredecessors(now, id, runs, ends, complete)
	}
	cl.recordAnswer(wk)
	wk.lastReport, wk.aliveAt = now, max(wk.aliveAt, sent)
	wk.unreachable, wk.overdue, wk.reportedEnds, wk.moreEnds = false, false, len(ends), !complete
	cl.withdrawAttributions(id)
	for _, en := range ends {
		if en.Seq > wk.lastEnd {
			wk.lastEnd = en.Seq
			newEnds = append(newEnds, en)
			cl.runEnded(now, wk, en)
			wk.unacked = append(wk.unacked, endNote{en.Seq, cl.recorded})
		}
	}
	listed := make(map[placementKey]bool, len(runs))
	wk.unknownRuns = 0
	for _, rn := range runs {
		listed[placementKey{rn.Task, rn.Number}] = true
		cl.runListed(now, wk, rn)
	}
	if complete {
		wk.lacksEnds = false
		cl.releaseMissing(wk, listed, sent)
	}
	if firstComplete && wk.openRecord == 0 && len(wk.placements) > 0 {
		cl.record(wk.closed()) // the record of the planner that used it is removed
	}
	cl.throttle(now, wk)
	return newEnds
}

// releaseMissing handles the runs that a complete report does not list.
func (cl *Cell) releaseMissing(wk *worker, listed map[placementKey]bool, sent time.Duration) {
	for ky, pl := range wk.placements {
		if !listed[ky] {
			cl.runMissing(pl, sent)
		}
	}
}

// LacksEnds reports whether a worker may have ended runs that the cell does not know: all of its reports so far may lack
// ends.
func (cl *Cell) LacksEnds(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	return ok && wk.answered && wk.lacksEnds
}

// recordAnswer records what the next planner must know of a worker that answers: it may get any run, or its lease is
// renewed again.
func (cl *Cell) recordAnswer(wk *worker) {
	unrenewed := wk.unrenewed
	wk.unrenewed = false
	switch {
	case wk.openRecord == 0 && wk.listed && !wk.Draining:
		cl.record(Record{Worker: wk.ID})
		wk.openRecord = cl.recorded
	case unrenewed:
		cl.record(wk.closed())
	}
	if unrenewed {
		wk.renewRecord = cl.recorded
	}
}

// runListed applies a run that a report lists.
func (cl *Cell) runListed(now time.Duration, wk *worker, rn Run) {
	if pl := wk.placements[placementKey{rn.Task, rn.Number}]; pl != nil {
		cl.updateRun(now, pl, rn)
		return
	}
	jb, known := cl.jobs[rn.Task.Job]
	if known {
		cl.round(now, jb, rn.Task.Round)
	}
	tk := cl.findTask(rn.Task)
	if tk == nil {
		wk.unknownRuns++
		wk.quarantineUntil = max(wk.quarantineUntil, now+cl.opts.StopTimeout+stopMargin) // what the run takes is not known
		cl.out.Stops = append(cl.out.Stops, Stop{Worker: wk.ID, Task: rn.Task, Run: rn.Number, Reason: "unknown job", Unknown: true})
		return
	}
	other := tk.placement
	pl := cl.place(now, tk, wk, rn.Number)
	pl.adopt()
	pl.runningSince = now
	cl.clearCrash(tk, rn.Number) // it did not crash an earlier incarnation
	cl.beginJob(jb)
	cl.updateRun(now, pl, rn)
	switch {
	case jb.phase.Ended() || tk.done:
		cl.stop(pl, "task has ended")
	case other != nil && other.run > pl.run:
		cl.stop(pl, "a later run is on another worker")
	case other != nil:
		cl.stop(other, "a later run is on another worker")
	}
}

const (
	// stopMargin is added to the time that a worker may take to stop a run.
	stopMargin = 100 * time.Millisecond
	// lateStopMargin is added as well if the run may have an end to list: a worker that is late with the stop lists it later.
	lateStopMargin = 500 * time.Millisecond
)

// runMissing handles a run that a complete report omits. A run that was there is gone. A run that is being stopped is
// gone once the time for the stop is over, and a margin for late workers unless it may never have begun.
func (cl *Cell) runMissing(pl *placement, sent time.Duration) {
	stopTime := cl.opts.StopTimeout + stopMargin
	switch {
	case pl.state == unconfirmed && pl.unconfirmedAt <= sent:
		cl.stop(pl, "start was not answered")
		cl.afterLoss(pl)
		return
	case pl.state == running && pl.runningSince <= sent:
	case pl.stoppedAt > 0 && pl.stoppedAt+stopTime <= sent && (!pl.begun() || pl.stoppedAt+stopTime+lateStopMargin <= sent):
	case pl.inherited && pl.worker.firstReport+stopTime+lateStopMargin <= sent:
	default:
		return
	}
	cl.out.Omitted = append(cl.out.Omitted, OmittedRun{
		Worker: pl.worker.ID, Task: pl.task.name(), Run: pl.run, Adopted: pl.adopted || pl.inherited, Stopping: pl.state == stopping,
	})
	cl.release(pl)
	cl.afterLoss(pl)
}

// begun reports whether the worker is known to have begun the run.
func (pl *placement) begun() bool { return pl.reported || pl.runningSince > 0 }

// runEnded applies the end of a run.
func (cl *Cell) runEnded(now time.Duration, wk *worker, en End) {
	pl := wk.placements[placementKey{en.Task, en.Number}]
	if pl != nil {
		cl.release(pl)
	}
	if jb, known := cl.jobs[en.Task.Job]; known {
		cl.round(now, jb, en.Task.Round)
	}
	tk := cl.findTask(en.Task)
	if tk == nil {
		return
	}
	tk.run = max(tk.run, en.Number)
	if tk.done || tk.step.round.job.phase.Ended() {
		return
	}
	cl.clearCrash(tk, en.Number) // it did not crash an earlier incarnation
	cl.beginJob(tk.step.round.job)
	if en.Checkpoint != "" {
		tk.checkpoint = en.Checkpoint
	}
	if pl != nil && en.Result != ResultLeaseExpired {
		tk.lastSeen = now // a lapsed run ended at any time since the last report
	}
	if tk.step.def.LongRunning && (en.Result == ResultDone || en.Result == ResultFailed) {
		tk.longRunEnded(now, pl)
	}
	switch {
	case en.Result == ResultDone && !tk.step.def.LongRunning:
		cl.learnRunTime(now, tk, pl)
		wk.failures = 0
		cl.taskDone(now, tk, true)
		if tk.placement != nil {
			cl.stop(tk.placement, "task ended on another worker")
		}
		return
	case en.Result == ResultFailed:
		cl.countFailure(now, wk, tk, en)
	}
	if tk.step.def.Gang && !tk.step.round.job.phase.Ended() {
		cl.stopGang(tk.step, en.Number, "a gang member ended "+string(en.Result))
	}
}

// countFailure counts a failed run against the worker and the task.
func (cl *Cell) countFailure(now time.Duration, wk *worker, tk *task, en End) {
	if !tk.startFailures.taskAtFault() {
		wk.failures++
	}
	if wk.failures >= maxFailures {
		wk.quarantineUntil = now + quarantineFailures
	}
	tk.avoidWorker(wk)
	st := tk.step
	jb := st.round.job
	if st.def.LongRunning {
		return
	}
	if !tk.addFailure(en.Number) {
		return
	}
	name := tk.name()
	cl.record(Record{Job: name.Job, Task: &name, Result: ResultFailed, Run: en.Number})
	if tk.exhausted() {
		cl.finishJob(now, jb, Failed)
	}
}

// addFailure counts a failed run, for the whole gang if the task is in one. It reports false if the run was
// counted before.
func (tk *task) addFailure(run int) bool {
	failures := &tk.failures
	if tk.step.def.Gang {
		failures = &tk.step.failures
	}
	if slices.Contains(*failures, run) {
		return false
	}
	*failures = append(*failures, run)
	return true
}

// exhausted reports whether the task, or its gang, has used up its attempts.
func (tk *task) exhausted() bool {
	failures := len(tk.failures)
	if tk.step.def.Gang {
		failures = len(tk.step.failures)
	}
	return failures >= tk.step.round.job.spec.Queue.Attempts
}

// avoidWorker keeps the task off a worker as long as others have capacity.
func (tk *task) avoidWorker(wk *worker) {
	if tk.avoid == nil {
		tk.avoid = map[incarnation.ID]bool{}
	}
	tk.avoid[wk.ID] = true
}

// learnRunTime adds the duration of a run to the run times of the queue.
func (cl *Cell) learnRunTime(now time.Duration, tk *task, pl *placement) {
	if pl == nil || pl.runningSince == 0 || pl.resumed || pl.adopted {
		return
	}
	cl.learnSpeed(now, pl)
	cl.queue(tk.step.round.job.spec.Queue.Name).runTimes.Observe(tk.step.def.Estimate, now-pl.runningSince)
}
