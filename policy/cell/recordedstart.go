package cell

import (
	"maps"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// A planner that fails shortly after a worker has not recorded which runs the worker had, and the next planner cannot
// attribute that crash. So that a task that crashes its workers has at most one such crash, all starts after its first
// crash, recorded or not, wait until the journal names their workers.

// journaledStart is a start together with the record that the journal must have first.
type journaledStart struct {
	Start
	record int
}

// recordsStarts reports whether starts of the task must be recorded: it has crashed a worker, or may have. The starts of
// a gang are sent together.
func (tk *task) recordsStarts() bool {
	st := tk.step
	return len(tk.crashes) > 0 || st.def.Gang && st.crashSeen || st.round.job.mayHaveCrashed
}

// RecordUnknownLoss records that a worker was lost on which an earlier planner may have started any task.
func (cl *Cell) RecordUnknownLoss() {
	if cl.unknownLoss {
		return
	}
	cl.unknownLoss = true
	for id, jb := range cl.jobs {
		if jb.inherited && !jb.mayHaveCrashed && !jb.phase.Ended() {
			jb.mayHaveCrashed = true
			cl.record(Record{Job: id, MayHaveCrashed: true})
		}
	}
}

// recordStart records a start, and holds it back until the journal has the record.
func (cl *Cell) recordStart(pl *placement, sr Start) {
	pl.unsent = true
	cl.recordedStarts[placementKey{sr.Task, sr.Run}] = sr.Worker
	cl.record(Record{Job: sr.Task.Job, Started: &Run{Task: sr.Task, Number: sr.Run}, RunWorker: sr.Worker})
	cl.starts = append(cl.starts, journaledStart{sr, cl.recorded})
}

// releaseStarts orders the starts whose records are in the journal, unless their runs have been released since.
func (cl *Cell) releaseStarts() {
	for len(cl.starts) > 0 && cl.starts[0].record <= cl.committed {
		sr := cl.starts[0].Start
		cl.starts = cl.starts[1:]
		pl := cl.placement(sr.Worker, sr.Task, sr.Run)
		if pl == nil || !cl.maySend(pl) {
			cl.window.add(sr.Urgent, -1)
			if pl != nil {
				cl.release(pl)
				cl.afterLoss(pl)
			}
			continue
		}
		pl.unsent = false
		pl.decidedAt, sr.DecidedAt = cl.now, cl.now
		sr.Ticket = pl.task.step.advice.ticket(pl.worker)
		cl.out.Starts = append(cl.out.Starts, sr)
	}
}

// maySend reports whether a start that was held back may be sent: its ticket is still valid, and its worker answers, so
// that the worker's loss can be attributed to the run.
func (cl *Cell) maySend(pl *placement) bool {
	st := pl.task.step
	return pl.worker.answers() && (!st.advised() || st.advice.hasTicketUntil(pl.worker, cl.latestArrival(cl.now)))
}

// releaseUnsent releases the runs on a worker whose starts were not sent.
func (cl *Cell) releaseUnsent(wk *worker) {
	for _, pl := range wk.placements {
		if pl.unsent {
			cl.release(pl)
			cl.afterLoss(pl)
		}
	}
}

// mayNotHaveBegun reports whether only the record of a run's start is known: the earlier planner may not have sent it.
func (cl *Cell) mayNotHaveBegun(pl *placement) bool {
	_, recorded := cl.recordedStarts[placementKey{pl.task.name(), pl.run}]
	return recorded && pl.adopted && !pl.reported
}

// resolveStart records that a run whose start was recorded is over. A crash and the end of the task have records of
// their own.
func (cl *Cell) resolveStart(pl *placement) {
	ky := placementKey{pl.task.name(), pl.run}
	if _, recorded := cl.recordedStarts[ky]; !recorded {
		return
	}
	delete(cl.recordedStarts, ky)
	tk := pl.task
	if _, crashed := tk.crashes[pl.run]; crashed || tk.done || tk.step.round.job.phase.Ended() {
		return
	}
	cl.record(Record{Job: ky.task.Job, Task: &ky.task, Result: ResultCleared, Run: pl.run})
}

// restoreStart restores a recorded start of an earlier planner.
func (cl *Cell) restoreStart(now time.Duration, rec Record) {
	name := rec.Started.Task
	if tk := cl.openTask(now, name); tk != nil {
		tk.run = max(tk.run, rec.Started.Number)
		cl.recordedStarts[placementKey{name, rec.Started.Number}] = rec.RunWorker
	}
}

// forgetStarts forgets the recorded starts on a worker that is gone. A planner that does not know of such records leaves
// them unresolved.
func (cl *Cell) forgetStarts(id incarnation.ID) {
	maps.DeleteFunc(cl.recordedStarts, func(_ placementKey, one incarnation.ID) bool { return one == id })
}

// RecordedStarts returns the runs that workers may have by the recorded starts of earlier planners.
func (cl *Cell) RecordedStarts() map[incarnation.ID][]Run {
	runs := map[incarnation.ID][]Run{}
	for ky, id := range cl.recordedStarts {
		if cl.unfinished(ky.task) {
			runs[id] = append(runs[id], Run{Task: ky.task, Number: ky.run})
		}
	}
	return runs
}

// unfinished reports whether a task is known and has not ended.
func (cl *Cell) unfinished(name work.Task) bool {
	tk := cl.findTask(name)
	return tk != nil && !tk.done && !tk.step.round.job.phase.Ended()
}
