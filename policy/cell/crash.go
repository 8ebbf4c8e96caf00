package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// A task may crash each worker that starts it, and a worker that crashed reports no end. Its runs
// are counted here, or it is started without an end and takes worker after worker along. A healthy task that ran beside it must not be lost for that, nor
// one whose workers died of something else.
const (
	// mostBlamed is how many workers may crash under a task, with nothing else to explain it,
	// before its job fails. Two may be chance.
	mostBlamed = 3
	// mostCrashed is the same with all crashes, explained or not. Users allow two starts more
	// after the third crash; one is left for a crash that nobody saw, as its planner died with it.
	mostCrashed = 4
	// provenAtWork is how long a run of a lasting task is at work before it clears the task: it
	// meets every crash of a day.
	provenAtWork = 20 * time.Second
	// together is the time within which workers that fall silent may have one cause: a hold
	// notices after 0 to 1 s that its worker is gone.
	together = 500 * time.Millisecond
	// manyTogether is how many others have to fall silent then.
	manyTogether = 2
	// silencesKept is how long silences are remembered: what follows from one is known after
	// the lease of the worker, 5 s.
	silencesKept = 30 * time.Second
)

// crashes are the runs of a task under which a worker crashed; true are those that nothing else
// explains.
type crashes map[int]bool

// blamed counts the crashes that nothing else explains.
func (cs crashes) blamed() int {
	count := 0
	for _, blamed := range cs {
		if blamed {
			count++
		}
	}
	return count
}

// tooMany reports whether the task is to be given up.
func (cs crashes) tooMany() bool { return cs.blamed() >= mostBlamed || len(cs) >= mostCrashed }

// excuse is what a lapsed worker's runs are cleared of, should the worker answer again.
type excuse struct {
	at   time.Duration
	runs []Run
}

// fellSilent notes when a worker ceased to answer.
func (cl *Cell) fellSilent(now time.Duration, wk *worker) {
	if wk.silent {
		return
	}
	wk.silent, wk.silentAt = true, now
	cl.silences = append(cl.silences, now)
}

// withOthers reports whether other workers fell silent when this one did.
func (cl *Cell) withOthers(wk *worker) bool {
	count := 0
	for _, at := range cl.silences {
		if max(at-wk.silentAt, wk.silentAt-at) <= together {
			count++
		}
	}
	return count > manyTogether // itself is one of them
}

// layCrash lays the loss of a worker to the tasks that ran on it, and returns those that are to
// be given up.
func (cl *Cell) layCrash(now time.Duration, wk *worker) (over []*task) {
	if wk.Draining || wk.left {
		return nil // it left, as it said or as others do that do not say so
	}
	blamed := !cl.withOthers(wk)
	for _, pl := range wk.places {
		tk := pl.task
		if pl.inherited || tk.done || tk.step.round.job.phase.Ended() || cl.proven(wk, pl) {
			continue
		}
		cl.lay(now, pl, blamed)
		if tk.crashes.tooMany() {
			over = append(over, tk)
		}
	}
	return over
}

// lay lays a crash to the task of a run.
func (cl *Cell) lay(now time.Duration, pl *placement, blamed bool) {
	if !pl.task.addCrash(pl.run, blamed) {
		return
	}
	name, id := pl.task.name(), pl.worker.ID
	cl.record(Record{Job: name.Job, Task: &name, Result: ResultCrashed, Run: pl.run, Explained: !blamed, LostWorker: id})
	cl.keepExcuse(now, id, Run{Task: name, Number: pl.run})
}

// keepExcuse remembers what was attributed to a run, should its worker answer again.
func (cl *Cell) keepExcuse(now time.Duration, id incarnation.ID, run Run) {
	cl.excuses[id] = excuse{now, append(cl.excuses[id].runs, run)}
}

// proven reports whether a run shows that its task does not crash workers, and clears the task.
func (cl *Cell) proven(wk *worker, pl *placement) bool {
	tk := pl.task
	if !tk.step.def.LongRunning || pl.since == 0 || wk.reported-pl.since < provenAtWork {
		return false
	}
	for run := range tk.crashes {
		cl.clear(tk, run)
	}
	return true
}

// clear takes a crash off a task.
func (cl *Cell) clear(tk *task, run int) {
	if _, laid := tk.crashes[run]; !laid {
		return
	}
	delete(tk.crashes, run)
	name := tk.name()
	cl.record(Record{Job: name.Job, Task: &name, Result: ResultCleared, Run: run})
}

// addCrash counts a run under which a worker crashed. It reports false where it was counted before.
func (tk *task) addCrash(run int, blamed bool) bool {
	if _, known := tk.crashes[run]; known {
		return false
	}
	if tk.crashes == nil {
		tk.crashes = crashes{}
	}
	tk.crashes[run], tk.step.hit = blamed, true
	return true
}

// giveUp fails the jobs of tasks under which too many workers crashed.
func (cl *Cell) giveUp(now time.Duration, tks []*task) {
	for _, tk := range tks {
		if jb := tk.step.round.job; !jb.phase.Ended() {
			cl.finish(now, jb, Failed)
		}
	}
}

// excuse takes the loss of a worker off the tasks that ran on it: it answers again, so that it was
// cut off and did not crash.
func (cl *Cell) excuse(id incarnation.ID) {
	for _, rn := range cl.excuses[id].runs {
		if tk := cl.find(rn.Task); tk != nil {
			cl.clear(tk, rn.Number)
		}
	}
	delete(cl.excuses, id)
}

// forgetLosses forgets silences and excuses that can matter no more.
func (cl *Cell) forgetLosses(now time.Duration) {
	cl.silences = slices.DeleteFunc(cl.silences, func(at time.Duration) bool { return now-at > silencesKept })
	for id, ex := range cl.excuses {
		if now-ex.at > cl.opts.Retention {
			delete(cl.excuses, id)
		}
	}
}

// CrashCounts returns how many workers crashed under a task, and how many of these crashes nothing
// else explains, for the log.
func (cl *Cell) CrashCounts(name work.Task) (all, blamed int) {
	if tk := cl.find(name); tk != nil {
		return len(tk.crashes), tk.crashes.blamed()
	}
	return 0, 0
}
