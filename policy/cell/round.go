package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/speed"
	"tackbeam.example/policy/work"
)

// round is one execution of all steps of a job.
type round struct {
	job   *job
	num   int
	dueAt time.Duration
	// defs are the definitions of the steps. steps has those that have been opened, or named by a record or a run, without those
	// that were discarded. finished says which are done.
	defs     []work.Step
	steps    []*step
	finished []bool
	// remaining counts the steps that are not done, unopened those that have never been opened.
	remaining, unopened int
	path                path
	// memory is what the steps take, in bytes.
	memory int64
}

// step is one step of a round.
type step struct {
	round *round
	num   int
	def   *work.Step
	tasks []*task
	// remaining counts the tasks that are not done.
	remaining int
	// unplaced counts the tasks that have to be placed: not done, and not on a worker.
	unplaced int
	// restarts counts those of them that have run before, if the step is long-running, in the current plan.
	restarts int
	// restartsSince is since when the first of these has waited.
	restartsSince time.Duration
	// expected counts its long-running tasks whose run is on an unreachable worker, expectedFrom is when the first of
	// these may run again.
	expected     int
	expectedFrom time.Duration
	// unstopped counts the runs of its tasks that are not being stopped.
	unstopped int
	// preemptAfter is when runs of others may be stopped again to make room for restarts.
	preemptAfter time.Duration
	readyAt      time.Duration
	// lackingSince is when tasks last began to wait after none did.
	lackingSince time.Duration
	// failures are the failed runs of the gang.
	failures []int
	advice   advice
	// reserved are the workers on which capacity is reserved for the step.
	reserved []*worker
	// selectedAt is when these were selected, expectedAt when there will be capacity for all tasks, and
	// promisedAt the earliest such time since the step began to reserve, 0 before.
	selectedAt, expectedAt, promisedAt time.Duration
	// completeSince is when the reserved capacity became complete, 0 while it is not. If it stays complete for
	// too long, ticketsFirst is set: the step reserves again only once tickets have arrived.
	completeSince time.Duration
	ticketsFirst  bool
	// reselectAt is when a selection may be tried again after one that found too little capacity.
	reselectAt time.Duration
	// planIndex is the step's position in the current plan, late whether it is late there; reservePlan is the
	// last plan in which it made or kept a reservation.
	planIndex, reservePlan int
	// deferredPlan is the last plan that left capacity to gangs instead of starting tasks of the step.
	deferredPlan int
	// headroomPlan is the last plan that left capacity free for urgent work instead of starting tasks of the step.
	headroomPlan int
	late         bool
	// lackedAt is when a plan last found no room for the step, 0 if none did. It has lacked room since lackedSince.
	lackedAt, lackedSince time.Duration
	// crashSeen is set once a worker has crashed under one of its tasks.
	crashSeen bool
	// hadFailedStarts is set once a start of one of its tasks has failed.
	hadFailedStarts bool
	// lastTried is when the gang was last considered.
	lastTried time.Duration
	// runTimes are the run times of its tasks, from which the speeds of workers are learned.
	runTimes speed.Group
	// speedOrder is the order of workers by speed in the current plan.
	speedOrder speedOrder
	// open is set while the step is ready and not finished, inOrder while it is in Cell.ranking or Cell.notRanked.
	open, inOrder bool
	// queue is what the cell has learned from the queue, looked up under queueSettings. runTime is the expected run
	// time, one less than runTimeFrom the number of runs that it was predicted from.
	queue                      *queue
	queueSettings, runTimeFrom int
	runTime                    time.Duration
	// short says where the step has found too little capacity.
	short shortages
}

// task is one task. runs counts its runs that are, or may be, on workers. placement is the current one; the
// others are being stopped.
type task struct {
	step      *step
	index     int
	done      bool
	placement *placement
	runs      int
	run       int
	// releasedAt is when the last of its runs was released.
	releasedAt    time.Duration
	failures      []int
	crashes       crashes
	startFailures startFailures
	// hangs counts how often it hung.
	hangs      int
	checkpoint string
	// lastSeen is when a worker was last known to have a run of a long-running task, seen whether one ever was. lost
	// is set while the task waits after the loss of the worker that had its last run.
	lastSeen   time.Duration
	seen, lost bool
	// avoid are the workers on which it failed or hung.
	avoid map[incarnation.ID]bool
}

// name names the step by its first task.
func (st *step) name() work.Task {
	return work.Task{Job: st.round.job.spec.ID, Round: st.round.num, Step: st.num}
}

func (tk *task) name() work.Task {
	return work.Task{Job: tk.step.round.job.spec.ID, Round: tk.step.round.num, Step: tk.step.num, Index: tk.index}
}

// round returns a round that this planner or an earlier one has opened, or nil if the job has no such round. It
// opens the rounds up to it that this planner has not opened yet.
func (cl *Cell) round(now time.Duration, jb *job, num int) *round {
	cl.load(jb)
	for !jb.phase.Ended() && jb.openedRounds <= num && jb.openedRounds < jb.spec.Rounds() {
		cl.openRound(now, jb)
	}
	return jb.rounds[num]
}

// task returns a task of a round, or nil if there is none or its step was discarded.
func (cl *Cell) task(rd *round, name work.Task) *task {
	if name.Step >= len(rd.defs) || name.Index >= rd.defs[name.Step].Count {
		return nil
	}
	st := cl.stepOf(rd, name.Step)
	if st == nil {
		return nil
	}
	return st.tasks[name.Index]
}

// stepOf returns a step of a round, or nil if it was discarded. Steps are made when they are needed: most of those of a chain are
// not for a long time.
func (cl *Cell) stepOf(rd *round, num int) *step {
	if rd.steps[num] != nil || rd.finished[num] {
		return rd.steps[num]
	}
	def := &rd.defs[num]
	st := &step{round: rd, num: num, def: def, remaining: def.Count, unplaced: def.Count, advice: newAdvice()}
	for index := range def.Count {
		st.tasks = append(st.tasks, &task{step: st, index: index})
	}
	rd.steps[num] = st
	cl.chargeSteps(rd, def.Footprint())
	return st
}

func (cl *Cell) openRound(now time.Duration, jb *job) {
	rd := cl.newRound(now, jb)
	cl.openSteps(now, rd)
	cl.noteArrival(now, rd)
}

func (cl *Cell) newRound(now time.Duration, jb *job) *round {
	count := len(jb.spec.Steps)
	rd := &round{
		job: jb, num: jb.openedRounds, dueAt: now, remaining: count, unopened: count,
		defs: jb.spec.Steps, steps: make([]*step, count), finished: make([]bool, count),
	}
	jb.openedRounds++
	jb.rounds[rd.num] = rd
	cl.charge(jb)
	return rd
}

// openSteps opens the steps of a round whose predecessors have ended.
func (cl *Cell) openSteps(now time.Duration, rd *round) {
	if rd.unopened == 0 {
		return
	}
	for num := range rd.defs {
		if rd.finished[num] || rd.steps[num] != nil && rd.steps[num].open || !rd.ended(rd.defs[num].After) {
			continue
		}
		st := cl.stepOf(rd, num)
		st.readyAt, st.lackingSince = now, now
		cl.open[st], st.open = true, true
		rd.unopened--
		if !st.inOrder {
			st.inOrder = true
			cl.notRanked = append(cl.notRanked, st)
		}
		cl.urgentArrived(now, st)
	}
}

func (rd *round) ended(steps []int) bool {
	for _, num := range steps {
		if !rd.finished[num] {
			return false
		}
	}
	return true
}

// Bounds of the open rounds of a job. A round with one task takes about 1 kB, and all rounds of a job may be due at once,
// for example if it was submitted after the times of most of them.
const (
	// maxOpenTasks is the number of tasks in open rounds from which no further round is opened. The jobs of known
	// deployments have a few hundred tasks in all.
	maxOpenTasks = 10000
	// minOpenRounds is the number of rounds that may be open however many tasks they have.
	minOpenRounds = work.MinOpenRounds
)

// mayOpenRound reports whether another round of the job may be opened. Long-running tasks that have been placed do not count:
// they do not end, and there are no more of them than workers have capacity for.
func (cl *Cell) mayOpenRound(jb *job) bool {
	open := jb.openedRounds - jb.finishedRounds
	if open >= minOpenRounds && !cl.memory.Holds(jb.memory.round, false) {
		return false
	}
	return open < jb.maxOpenRounds() || (open+1)*jb.roundTasks()-jb.placedLongRunning() <= maxOpenTasks
}

// maxOpenRounds returns how many rounds of the job may be open if none of their tasks is long-running.
func (jb *job) maxOpenRounds() int { return max(minOpenRounds, maxOpenTasks/max(jb.roundTasks(), 1)) }

// roundTasks returns the number of tasks in a round.
func (jb *job) roundTasks() int {
	count := 0
	for num := range jb.spec.Steps {
		count += jb.spec.Steps[num].Count
	}
	return count
}

// placedLongRunning counts the long-running tasks of open rounds that are on workers.
func (jb *job) placedLongRunning() int {
	count := 0
	if !slices.ContainsFunc(jb.spec.Steps, func(st work.Step) bool { return st.LongRunning }) {
		return 0
	}
	for _, rd := range jb.rounds {
		for _, st := range rd.steps {
			if st != nil && st.def.LongRunning {
				count += len(st.tasks) - st.unplaced
			}
		}
	}
	return count
}

// openDue opens the rounds that are due by the wall clock, in order and as far as mayOpenRound allows: the others are opened
// as earlier ones end.
func (cl *Cell) openDue(now, wall time.Duration) {
	for jb := range cl.recurring {
		for jb.openedRounds < jb.spec.Rounds() && cl.mayOpenRound(jb) {
			due := jb.spec.Repeat.Due(jb.openedRounds)
			if due > wall {
				break
			}
			cl.openRound(now-(wall-due), jb)
		}
	}
}

// taskDone records that a task is done, with the consequences for its step and job.
func (cl *Cell) taskDone(now time.Duration, tk *task, record bool) {
	st := tk.step
	if tk.done {
		return
	}
	before := st.remaining
	all := []*task{tk}
	if st.def.Gang {
		all = st.tasks // they end together: one end counts for all
	}
	for _, member := range all {
		if !member.done {
			member.done = true
			st.remaining--
			if member.runs == 0 {
				st.unplaced--
			}
		}
	}
	cl.urgentReleased(now, st, before-st.remaining)
	if record {
		name := tk.name()
		cl.record(Record{Job: name.Job, Task: &name, Result: ResultDone})
	}
	if st.remaining > 0 {
		return
	}
	rd := st.round
	rd.remaining--
	rd.finished[st.num] = true
	if !st.open {
		rd.unopened--
	}
	cl.closeStep(st)
	cl.openSteps(now, rd)
	if rd.remaining > 0 {
		cl.finishedSteps = append(cl.finishedSteps, finishedStep{st, now})
		if !record {
			cl.compactSteps(now, maxFinishedSteps)
			cl.dropClosed()
		}
		return
	}
	jb := rd.job
	jb.finishedRounds++
	if jb.finishedRounds == jb.spec.Rounds() {
		cl.finishJob(now, jb, Succeeded)
		return
	}
	cl.finishedRounds = append(cl.finishedRounds, finishedRound{rd, now})
	if !record {
		cl.compactRounds(now, jb.maxOpenRounds())
		cl.dropClosed()
	}
}

// closeStep removes a step from the open ones.
func (cl *Cell) closeStep(st *step) {
	delete(cl.open, st)
	st.open = false
	cl.releaseReservation(st)
	st.advice, st.short = advice{requests: st.advice.requests, unanswered: st.advice.unanswered}, shortages{}
}
