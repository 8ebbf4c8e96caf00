package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// A task may crash every worker that starts it. A crashed worker reports no end, so crashes are counted here:
// otherwise such a task would be restarted forever and take down one worker after the other. A healthy task
// that ran beside it must not fail for that, nor one whose workers were lost for another reason.
const (
	// maxUnexplained is how many workers may crash under a task, without another explanation, before its
	// job fails. Two may be coincidence.
	maxUnexplained = 3
	// maxCrashes is the limit for all crashes, explained or not. Users allow two more starts after the third
	// crash; one of them is left for a crash that went unrecorded because the planner failed at the same time.
	maxCrashes = 4
	// harmlessAfter is how long a run of a long-running task must be up before the task is cleared of its
	// crashes: longer than any crash of a day's load takes to occur.
	harmlessAfter = 20 * time.Second
	// correlationWindow is the time within which workers that become unreachable may have a common cause: a
	// pending report call notices after 0 to 1 s that its worker is gone.
	correlationWindow = 500 * time.Millisecond
	// minCorrelated is how many other workers must become unreachable in that window.
	minCorrelated = 2
	// unreachableRetention is how long the times at which workers became unreachable are kept: the consequences
	// are known MaxOrderDelay after the worker's lease of 5 s has expired, at the latest.
	unreachableRetention = 30 * time.Second
)

// crashes maps the runs of a task under which a worker crashed to whether the crash has no other explanation.
type crashes map[int]bool

// unexplained counts the crashes without another explanation.
func (cs crashes) unexplained() int {
	count := 0
	for _, unexplained := range cs {
		if unexplained {
			count++
		}
	}
	return count
}

// exceeded reports whether the task is to be given up.
func (cs crashes) exceeded() bool { return cs.unexplained() >= maxUnexplained || len(cs) >= maxCrashes }

// attribution lists the runs that a worker's loss was attributed to, to be withdrawn if the worker answers
// again.
type attribution struct {
	at   time.Duration
	runs []Run
}

// markUnreachable records when a worker stopped answering.
func (cl *Cell) markUnreachable(now time.Duration, wk *worker) {
	if wk.unreachable {
		return
	}
	wk.unreachable, wk.unreachableAt = true, now
	cl.unreachableTimes = append(cl.unreachableTimes, now)
}

// correlated reports whether other workers became unreachable at the same time as this one.
func (cl *Cell) correlated(wk *worker) bool {
	count := 0
	for _, at := range cl.unreachableTimes {
		if max(at-wk.unreachableAt, wk.unreachableAt-at) <= correlationWindow {
			count++
		}
	}
	return count > minCorrelated // the worker itself is one of them
}

// loseRuns releases runs that were lost with their worker, attributes the loss to their tasks, and fails the jobs
// of tasks to be given up.
func (cl *Cell) loseRuns(now time.Duration, wk *worker, lost []*placement) {
	exceeded := cl.attributeLoss(now, wk, lost)
	for _, pl := range lost {
		cl.lose(pl)
		cl.afterLoss(pl)
	}
	cl.failJobs(now, exceeded)
}

// attributeLoss attributes the loss of a worker to the tasks of the runs that were lost with it, and returns those to
// be given up.
func (cl *Cell) attributeLoss(now time.Duration, wk *worker, lost []*placement) (exceeded []*task) {
	if wk.Draining || wk.departed {
		return nil // it left, announced or not
	}
	unexplained := !cl.correlated(wk)
	for _, pl := range lost {
		tk := pl.task
		// A run that is known only from the record of its stop may have ended before.
		if pl.inherited && !pl.adopted || tk.done || tk.step.round.job.phase.Ended() || cl.harmless(wk, pl) {
			continue
		}
		cl.attributeCrash(now, pl, unexplained && !cl.mayNotHaveBegun(pl))
		if tk.crashes.exceeded() {
			exceeded = append(exceeded, tk)
		}
	}
	return exceeded
}

// attributeCrash attributes a crash to the task of a run.
func (cl *Cell) attributeCrash(now time.Duration, pl *placement, unexplained bool) {
	if !pl.task.addCrash(pl.run, unexplained) {
		return
	}
	name, id := pl.task.name(), pl.worker.ID
	cl.record(Record{Job: name.Job, Task: &name, Result: ResultCrashed, Run: pl.run, Explained: !unexplained, RunWorker: id})
	cl.keepAttribution(now, id, Run{Task: name, Number: pl.run})
}

// keepAttribution remembers an attribution, to be withdrawn if the worker answers again.
func (cl *Cell) keepAttribution(now time.Duration, id incarnation.ID, run Run) {
	cl.attributions[id] = attribution{now, append(cl.attributions[id].runs, run)}
}

// harmless reports whether a run proves that its task does not crash workers, and if so clears the task.
func (cl *Cell) harmless(wk *worker, pl *placement) bool {
	tk := pl.task
	if !tk.step.def.LongRunning || pl.runningSince == 0 || wk.lastReport-pl.runningSince < harmlessAfter {
		return false
	}
	for run := range tk.crashes {
		cl.clearCrash(tk, run)
	}
	return true
}

// clearCrash removes a crash from a task.
func (cl *Cell) clearCrash(tk *task, run int) {
	if _, attributed := tk.crashes[run]; !attributed {
		return
	}
	delete(tk.crashes, run)
	name := tk.name()
	cl.record(Record{Job: name.Job, Task: &name, Result: ResultCleared, Run: run})
}

// addCrash counts a run under which a worker crashed. It reports false if the run was counted before.
func (tk *task) addCrash(run int, unexplained bool) bool {
	if _, known := tk.crashes[run]; known {
		return false
	}
	if tk.crashes == nil {
		tk.crashes = crashes{}
	}
	tk.crashes[run], tk.step.crashSeen = unexplained, true
	return true
}

// failJobs fails the jobs of tasks under which too many workers crashed.
func (cl *Cell) failJobs(now time.Duration, tks []*task) {
	for _, tk := range tks {
		if jb := tk.step.round.job; !jb.phase.Ended() {
			cl.finishJob(now, jb, Failed)
		}
	}
}

// withdrawAttributions removes the loss of a worker from the tasks that ran on it: it answers again, so it was
// disconnected and did not crash.
func (cl *Cell) withdrawAttributions(id incarnation.ID) {
	for _, rn := range cl.attributions[id].runs {
		if tk := cl.findTask(rn.Task); tk != nil {
			cl.clearCrash(tk, rn.Number)
		}
	}
	delete(cl.attributions, id)
}

// pruneLosses discards unreachable times and attributions that no longer matter.
func (cl *Cell) pruneLosses(now time.Duration) {
	cl.unreachableTimes = slices.DeleteFunc(cl.unreachableTimes, func(at time.Duration) bool { return now-at > unreachableRetention })
	for id, attr := range cl.attributions {
		if now-attr.at > cl.opts.Retention {
			delete(cl.attributions, id)
		}
	}
}

// CrashCounts returns how many workers crashed under a task, and how many of these crashes have no other
// explanation, for the log.
func (cl *Cell) CrashCounts(name work.Task) (all, unexplained int) {
	if tk := cl.findTask(name); tk != nil {
		return len(tk.crashes), tk.crashes.unexplained()
	}
	return 0, 0
}
