package cell

import (
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

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
	// lacks is when tasks last began to wait after none did.
	lacks time.Duration
	// fails are the gang's failed runs.
	fails  []int
	advice advice
	// claims are the workers on which room is kept free for the step.
	claims []*worker
	// claimed is when they were chosen, expected when there will be room for all, and
	// promised the earliest such time since the step began to gather, 0 before.
	claimed, expected, promised time.Duration
	// complete is when the room was first all there, 0 while it is not. A step for which it was
	// there for long has ticketsFirst set: it keeps room again once tickets have come.
	complete     time.Duration
	ticketsFirst bool
	// rechoose is when room may be chosen again after there was none to choose.
	rechoose time.Duration
	// turn is the step's place in the present plan and late whether it is late; gathered is
	// the last plan in which it gathered.
	turn, gathered int
	late           bool
	// hit is set once a worker crashed under one of its tasks.
	hit bool
	// pausing is set once starts of its tasks came to nothing.
	pausing bool
	// looked is when room for the gang was last looked for.
	looked time.Duration
}

// task is one task. Its runs that are on workers, or may be, are counted; place is the
// one that counts, the others are being stopped.
type task struct {
	step    *step
	index   int
	done    bool
	place   *placement
	runs    int
	run     int
	fails   []int
	crashes crashes
	tries   tries
	// hangs counts the workers on which it stood still.
	hangs      int
	checkpoint string
	// avoid are the workers on which it failed or stood still.
	avoid map[incarnation.ID]bool
}

func (tk *task) name() work.Task {
	return work.Task{Job: tk.step.round.job.spec.ID, Round: tk.step.round.num, Step: tk.step.num, Index: tk.index}
}

// round returns a round that some planner has opened, or nil where it is none of the
// job's.
func (cl *Cell) round(now time.Duration, jb *job, num int) *round {
	for !jb.phase.Ended() && jb.opened <= num && jb.opened < jb.spec.Rounds() {
		cl.openRound(now, jb)
	}
	return jb.rounds[num]
}

func (rd *round) task(name work.Task) *task {
	if name.Step >= len(rd.steps) || name.Index >= len(rd.steps[name.Step].tasks) {
		return nil
	}
	return rd.steps[name.Step].tasks[name.Index]
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
		st.ready, st.lacks = now, now
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
			due := rep.Start + time.Duration(jb.opened)*rep.Every
			cl.openRound(now-(wall-due), jb)
		}
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
