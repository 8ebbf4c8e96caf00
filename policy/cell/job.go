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
	rounds    map[int]*round
	opened    int
	finished  int
	phase     Phase
	// proof is the number of records that must be committed to show that the job has ended.
	proof   int
	endedAt time.Duration
}

// round is one run of all steps of a job.
type round struct {
	job   *job
	num   int
	due   time.Duration
	steps []*step
	left  int
}

// step is one step of a round.
type step struct {
	round *round
	num   int
	def   *work.Step
	tasks []*task
	// left counts the tasks that have not ended done.
	left int
	// waits counts the tasks that have to be placed: not done, and on no worker.
	waits int
	ready time.Duration
	// fails are the gang's failed runs.
	fails  []int
	advice advice
	// claims are the workers on which room is kept free for the gang.
	claims []*worker
	// claimed is when they were chosen, promised the earliest time at which there was
	// expected to be room for all, 0 before.
	claimed, promised time.Duration
	// looked is when room for the gang was last looked for.
	looked time.Duration
}

// task is one task. Its runs that are on workers, or may be, are counted; place is the
// one that counts, the others are being stopped.
type task struct {
	step       *step
	index      int
	done       bool
	place      *placement
	runs       int
	run        int
	fails      []int
	checkpoint string
	// avoid are the workers on which it failed or stood still.
	avoid map[string]bool
}

func (tk *task) name() work.Task {
	return work.Task{Job: tk.step.round.job.spec.ID, Round: tk.step.round.num, Step: tk.step.num, Index: tk.index}
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
	cl.queue(spec.Queue.Name).pending++
	if _, cancelled := cl.cancels[spec.ID]; cancelled {
		cl.finish(now, jb, Cancelled)
		return
	}
	if spec.Repeat == nil {
		cl.openRound(arrived, jb)
	}
}

// Cancel takes in a cancel of the journal, which may come before its job.
func (cl *Cell) Cancel(now time.Duration, id string) {
	cl.cancels[id] = now
	if jb, ok := cl.jobs[id]; ok && !jb.phase.Ended() {
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

// round returns a round that some planner has opened, or nil where it is none of the
// job's.
func (cl *Cell) round(now time.Duration, jb *job, num int) *round {
	for !jb.phase.Ended() && jb.opened <= num && jb.opened < jb.spec.Rounds() {
		cl.openRound(now, jb)
	}
	return jb.rounds[num]
}

func (cl *Cell) restoreTask(now time.Duration, rd *round, rec Record) {
	tk := rd.task(*rec.Task)
	if tk == nil {
		return
	}
	if rec.Result == ResultDone {
		cl.taskDone(now, tk, false)
		return
	}
	tk.run = max(tk.run, rec.Run)
	if tk.addFail(rec.Run) && tk.exhausted() {
		cl.finish(now, rd.job, Failed) // the earlier planner ended before it could say so
	}
}

func (rd *round) task(name work.Task) *task {
	if name.Step >= len(rd.steps) || name.Index >= len(rd.steps[name.Step].tasks) {
		return nil
	}
	return rd.steps[name.Step].tasks[name.Index]
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

func (cl *Cell) openRound(now time.Duration, jb *job) {
	rd := &round{job: jb, num: jb.opened, due: now, left: len(jb.spec.Steps)}
	jb.opened++
	jb.rounds[rd.num] = rd
	for num := range jb.spec.Steps {
		def := &jb.spec.Steps[num]
		st := &step{round: rd, num: num, def: def, left: def.Count, waits: def.Count, advice: newAdvice()}
		for index := range def.Count {
			st.tasks = append(st.tasks, &task{step: st, index: index})
		}
		rd.steps = append(rd.steps, st)
	}
	cl.openSteps(now, rd)
}

// openSteps opens the steps of a round whose earlier ones have ended.
func (cl *Cell) openSteps(now time.Duration, rd *round) {
	for _, st := range rd.steps {
		if st.left == 0 || cl.open[st] || !rd.ended(st.def.After) {
			continue
		}
		st.ready = now
		cl.open[st] = true
	}
}

func (rd *round) ended(steps []int) bool {
	for _, num := range steps {
		if rd.steps[num].left > 0 {
			return false
		}
	}
	return true
}

// openDue opens the rounds whose time of day has come.
func (cl *Cell) openDue(now, wall time.Duration) {
	for _, jb := range cl.jobs {
		rep := jb.spec.Repeat
		if rep == nil || jb.phase.Ended() {
			continue
		}
		for jb.opened < rep.Count && rep.Start+time.Duration(jb.opened)*rep.Every <= wall {
			cl.openRound(now, jb)
		}
	}
}

// begin notes that a task of the job has begun.
func (cl *Cell) begin(jb *job) {
	if jb.phase == Queued {
		jb.phase = Running
		cl.queue(jb.spec.Queue.Name).pending--
	}
}

// taskDone notes that a task has ended done, and what follows from it.
func (cl *Cell) taskDone(now time.Duration, tk *task, record bool) {
	st := tk.step
	if tk.done {
		return
	}
	all := []*task{tk}
	if st.def.Gang {
		all = st.tasks // they end together: one end counts for all
	}
	for _, member := range all {
		if !member.done {
			member.done = true
			st.left--
			if member.runs == 0 {
				st.waits--
			}
		}
	}
	if record {
		name := tk.name()
		cl.record(Record{Job: name.Job, Task: &name, Result: ResultDone})
	}
	if st.left > 0 {
		return
	}
	cl.shut(st)
	rd := st.round
	rd.left--
	cl.openSteps(now, rd)
	if rd.left > 0 {
		return
	}
	jb := rd.job
	jb.finished++
	if jb.finished == jb.spec.Rounds() {
		cl.finish(now, jb, Succeeded)
	}
}

// shut takes a step off the ones that wait.
func (cl *Cell) shut(st *step) {
	delete(cl.open, st)
	cl.unclaim(st)
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
	for len(cl.ended) > 0 && now-cl.ended[0].endedAt > cl.opts.Keep {
		delete(cl.jobs, cl.ended[0].spec.ID)
		cl.ended = cl.ended[1:]
	}
	for id, at := range cl.cancels {
		if now-at > cl.opts.Keep {
			delete(cl.cancels, id)
		}
	}
}

// Known reports whether the cell still keeps a job or a cancel with the id.
func (cl *Cell) Known(id string) bool {
	_, job := cl.jobs[id]
	_, cancel := cl.cancels[id]
	return job || cancel
}

// Reroute takes the present settings of queues over into the jobs that have not
// ended. A queue whose route is gone keeps the settings that its jobs came with.
func (cl *Cell) Reroute(settings func(name string) (work.Queue, bool)) {
	for _, jb := range cl.jobs {
		if qu, ok := settings(jb.spec.Queue.Name); ok && !jb.phase.Ended() {
			jb.spec.Queue = qu
		}
	}
}
