package cell

import (
	"math"
	"slices"
	"time"

	"tackbeam.example/policy/work"
)

// A job can be queried for Options.Retention after its end. Most of what the cell knows of it is needed for a shorter
// time: the advisor's answers until the step is closed, the tasks until no order or run of them can exist any more.

// compactAfter is how long after the end of a job its tasks are kept. An order may be in transit for MaxOrderDelay, and
// the stop of a run that it began is reported soon after.
const compactAfter = 2 * MaxOrderDelay

// prune discards what is not needed any more of ended jobs, and cancellations whose job never arrived.
func (cl *Cell) prune(now time.Duration) {
	for len(cl.ended) > 0 && now-cl.ended[0].endedAt > cl.opts.Retention {
		cl.discharge(cl.ended[0])
		delete(cl.jobs, cl.ended[0].spec.ID)
		cl.ended[0] = nil // the array behind the slice lives on
		cl.ended = cl.ended[1:]
		cl.compacted = max(cl.compacted-1, 0)
	}
	cl.compactEnded(now)
	if cl.recovered {
		cl.compactRounds(now, math.MaxInt)
		cl.compactSteps(now, math.MaxInt)
	}
	cl.pruneLosses(now)
	for id, cn := range cl.cancels {
		if now-cn.at > cl.opts.Retention {
			delete(cl.cancels, id)
		}
	}
}

// compactEnded discards the tasks of jobs that ended a while ago. Before the recovery is complete, tasks of failed jobs
// count as usage that is not reported.
func (cl *Cell) compactEnded(now time.Duration) {
	for cl.recovered && cl.compacted < len(cl.ended) && now-cl.ended[cl.compacted].endedAt > compactAfter {
		cl.compact(cl.ended[cl.compacted])
		cl.compacted++
	}
}

// finishedRound is a round whose tasks are done.
type finishedRound struct {
	*round
	at time.Duration
}

// compactRounds discards the rounds that finished a while ago, and the first ones beyond a limit, unless one of their tasks
// may still have a run. The limit is for the records of earlier planners, which name all rounds since the beginning of a job:
// workers may have runs of the latest ones at most.
func (cl *Cell) compactRounds(now time.Duration, limit int) {
	for range len(cl.finishedRounds) {
		rd := cl.finishedRounds[0]
		if len(cl.finishedRounds) <= limit && now-rd.at <= compactAfter {
			return
		}
		cl.finishedRounds[0].round = nil // the array behind the slice lives on
		cl.finishedRounds = cl.finishedRounds[1:]
		switch {
		case rd.job.phase.Ended(): // compactEnded discards it
		case rd.mayHaveRuns():
			cl.finishedRounds = append(cl.finishedRounds, finishedRound{rd.round, now})
		default:
			delete(rd.job.rounds, rd.num)
			cl.chargeSteps(rd.round, -rd.memory)
		}
	}
}

// finishedStep is a step whose tasks are done.
type finishedStep struct {
	*step
	at time.Duration
}

// maxFinishedSteps is how many finished steps are kept of those that the records of earlier planners name.
const maxFinishedSteps = 4096

// compactSteps discards the steps that finished a while ago, and the first ones beyond a limit, as compactRounds does with rounds.
func (cl *Cell) compactSteps(now time.Duration, limit int) {
	for range len(cl.finishedSteps) {
		fs := cl.finishedSteps[0]
		if len(cl.finishedSteps) <= limit && now-fs.at <= compactAfter {
			return
		}
		cl.finishedSteps[0].step = nil // the array behind the slice lives on
		cl.finishedSteps = cl.finishedSteps[1:]
		switch rd := fs.round; {
		case rd.remaining == 0 || rd.job.phase.Ended(): // compactRounds or compactEnded discards it
		case fs.mayHaveRuns():
			cl.finishedSteps = append(cl.finishedSteps, finishedStep{fs.step, now})
		default:
			rd.steps[fs.num] = nil
			cl.chargeSteps(rd, -fs.def.Footprint())
		}
	}
}

// mayHaveRuns reports whether a task of the round may have a run.
func (rd *round) mayHaveRuns() bool {
	return slices.ContainsFunc(rd.steps, (*step).mayHaveRuns)
}

// mayHaveRuns reports whether a task of the step may have a run. There is none of a step that has not been made.
func (st *step) mayHaveRuns() bool {
	return st != nil && slices.ContainsFunc(st.tasks, func(tk *task) bool { return tk.runs > 0 })
}

// compact discards the tasks of an ended job, unless one of them may still have a run.
func (cl *Cell) compact(jb *job) {
	for _, rd := range jb.rounds {
		if rd.mayHaveRuns() {
			return
		}
	}
	jb.rounds = nil
	jb.spec = jb.stub()
	jb.memory.load = nil
	cl.charge(jb)
}

// stub returns the job without what only its tasks need.
func (jb *job) stub() *work.Job {
	return &work.Job{ID: jb.spec.ID, Queue: jb.spec.Queue, Workspace: jb.spec.Workspace}
}

// Retains reports whether the cell has a job or a cancellation with the ID.
func (cl *Cell) Retains(id string) bool {
	_, job := cl.jobs[id]
	_, cancel := cl.cancels[id]
	return job || cancel
}
