package cell

import (
	"time"

	"tackbeam.example/policy/work"
)

// job is one accepted job.
type job struct {
	spec *work.Job
	// inherited jobs were there before this planner: workers may hold their tasks.
	inherited bool
	arrived   time.Duration
	// excess jobs are beyond what their workspace is owed.
	excess   bool
	rounds   map[int]*round
	opened   int
	finished int
	phase    Phase
	// proof is the number of records that must be committed to show that the job has ended.
	proof   int
	endedAt time.Duration
}

// Add takes in a job of the journal. Inherited ones were there before this planner.
// A job that is known already stays as it is.
func (cl *Cell) Add(now time.Duration, spec *work.Job, inherited bool) {
	cl.add(now, now, spec, inherited)
}

// AddAged takes in an inherited job that was accepted a while ago: with its age it keeps its
// place among those that wait. Where each planner counted from its own beginning, what had
// waited longest began anew behind the rest.
func (cl *Cell) AddAged(now, age time.Duration, spec *work.Job) {
	cl.add(now, now-age, spec, true)
}

func (cl *Cell) add(now, arrived time.Duration, spec *work.Job, inherited bool) {
	if _, known := cl.jobs[spec.ID]; known {
		return
	}
	jb := &job{spec: spec, inherited: inherited, arrived: arrived, rounds: map[int]*round{}, phase: Queued}
	cl.jobs[spec.ID] = jb
	cl.services[spec.Queue.Service] = true
	cl.queue(spec.Queue.Name).pending++
	cl.quota.Set(spec.Workspace)
	jb.excess = !inherited && !cl.quota.WithinRate(spec.Workspace.Name, arrived)
	if cn, cancelled := cl.cancels[spec.ID]; cancelled && jb.isOf(cn.workspace) {
		cl.finish(now, jb, Cancelled)
		return
	}
	if spec.Repeat == nil {
		cl.openRound(arrived, jb)
	}
}

// cancel is a cancel by a workspace's caller, at a time; an empty workspace stands for any.
type cancel struct {
	at        time.Duration
	workspace string
}

// isOf reports whether the job is a workspace's; an empty name stands for any, and a job without a workspace
// is everybody's.
func (jb *job) isOf(workspace string) bool {
	name := jb.spec.Workspace.Name
	return workspace == "" || name == "" || name == workspace
}

// Cancel takes in a cancel of the journal, which may come before its job. One by a caller of another
// workspace has no effect.
func (cl *Cell) Cancel(now time.Duration, id, workspace string) {
	jb, ok := cl.jobs[id]
	if ok && !jb.isOf(workspace) {
		return
	}
	cl.cancels[id] = cancel{now, workspace}
	if ok && !jb.phase.Ended() {
		cl.finish(now, jb, Cancelled)
	}
}

// Restore takes in the records of earlier planners. Jobs come before their records.
func (cl *Cell) Restore(now time.Duration, recs []Record) {
	for _, rec := range recs {
		if jb, ok := cl.jobs[rec.Job]; ok && rec.Phase.Ended() && !jb.phase.Ended() {
			cl.close(now, jb, rec.Phase)
		}
	}
	for _, rec := range recs {
		if jb, ok := cl.jobs[rec.Job]; ok && rec.Task != nil && !jb.phase.Ended() {
			cl.restore(now, jb, rec)
		}
	}
}

func (cl *Cell) restore(now time.Duration, jb *job, rec Record) {
	cl.begin(jb)
	if rd := cl.round(now, jb, rec.Task.Round); rd != nil {
		cl.restoreTask(now, rd, rec)
	}
}

func (cl *Cell) restoreTask(now time.Duration, rd *round, rec Record) {
	tk := rd.task(*rec.Task)
	if tk == nil {
		return
	}
	tk.run = max(tk.run, rec.Run)
	over := false
	switch rec.Result {
	case ResultDone:
		cl.taskDone(now, tk, false)
	case ResultCrashed:
		tk.addCrash(rec.Run, !rec.Explained)
		cl.keepExcuse(now, rec.LostWorker, Run{Task: *rec.Task, Number: rec.Run})
		over = tk.crashes.tooMany()
	case ResultCleared:
		delete(tk.crashes, rec.Run)
	default:
		over = tk.addFail(rec.Run) && tk.exhausted()
	}
	if over {
		cl.finish(now, rd.job, Failed) // the earlier planner ended before it could say so
	}
}

// find returns the task of the name, or nil where no open round has it.
func (cl *Cell) find(name work.Task) *task {
	jb, ok := cl.jobs[name.Job]
	if !ok {
		return nil
	}
	rd, ok := jb.rounds[name.Round]
	if !ok {
		return nil
	}
	return rd.task(name)
}

// begin notes that a task of the job has begun.
func (cl *Cell) begin(jb *job) {
	if jb.phase == Queued {
		jb.phase = Running
		cl.queue(jb.spec.Queue.Name).pending--
	}
}

// finish ends a job, stops what it still runs and records the end.
func (cl *Cell) finish(now time.Duration, jb *job, phase Phase) {
	cl.close(now, jb, phase)
	cl.record(Record{Job: jb.spec.ID, Phase: phase})
	jb.proof = cl.recorded
}

func (cl *Cell) close(now time.Duration, jb *job, phase Phase) {
	if jb.phase == Queued {
		cl.queue(jb.spec.Queue.Name).pending--
	}
	jb.phase = phase
	jb.endedAt = now
	cl.ended = append(cl.ended, jb)
	for _, rd := range jb.rounds {
		for _, st := range rd.steps {
			cl.shut(st)
			for _, tk := range st.tasks {
				if tk.place != nil && !tk.done {
					cl.stop(tk.place, "job "+string(phase))
				}
			}
		}
	}
}

// prune forgets jobs that ended long ago, and cancels whose job never came.
func (cl *Cell) prune(now time.Duration) {
	for len(cl.ended) > 0 && now-cl.ended[0].endedAt > cl.opts.Retention {
		delete(cl.jobs, cl.ended[0].spec.ID)
		cl.ended = cl.ended[1:]
	}
	cl.forgetLosses(now)
	for id, cn := range cl.cancels {
		if now-cn.at > cl.opts.Retention {
			delete(cl.cancels, id)
		}
	}
}

// Retains reports whether the cell still keeps a job or a cancel with the id.
func (cl *Cell) Retains(id string) bool {
	_, job := cl.jobs[id]
	_, cancel := cl.cancels[id]
	return job || cancel
}

// UpdateQueues takes the present settings of queues over into the jobs that have not
// ended, unless they came with later ones. A queue whose route is gone keeps the settings that its jobs came with.
func (cl *Cell) UpdateQueues(settings func(name string) (work.Queue, bool)) {
	for _, jb := range cl.jobs {
		if qu, ok := settings(jb.spec.Queue.Name); ok && !jb.phase.Ended() {
			jb.spec.Queue = jb.spec.Queue.Later(qu)
		}
	}
}
