package cell

import (
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
		delete(cl.jobs, cl.ended[0].spec.ID)
		cl.ended[0] = nil // the array behind the slice lives on
		cl.ended = cl.ended[1:]
		cl.compacted = max(cl.compacted-1, 0)
	}
	cl.compactEnded(now)
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
		cl.ended[cl.compacted].compact()
		cl.compacted++
	}
}

// compact discards the tasks of an ended job, unless one of them may still have a run.
func (jb *job) compact() {
	for _, rd := range jb.rounds {
		for _, st := range rd.steps {
			for _, tk := range st.tasks {
				if tk.runs > 0 {
					return
				}
			}
		}
	}
	jb.rounds = nil
	jb.spec = &work.Job{ID: jb.spec.ID, Queue: jb.spec.Queue, Workspace: jb.spec.Workspace}
}

// Retains reports whether the cell has a job or a cancellation with the ID.
func (cl *Cell) Retains(id string) bool {
	_, job := cl.jobs[id]
	_, cancel := cl.cancels[id]
	return job || cancel
}
