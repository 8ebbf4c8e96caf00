package cell

import (
	"time"

	"tackbeam.example/policy/work"
)

// job is an accepted job.
type job struct {
	spec *work.Job
	// inherited jobs were accepted before this planner took over: workers may hold their tasks.
	inherited bool
	// mayHaveCrashed is set if its tasks may have run on a worker that was lost, without a record of that.
	mayHaveCrashed bool
	arrivedAt      time.Duration
	// excess jobs exceed the rate that their workspace is entitled to.
	excess         bool
	rounds         map[int]*round
	openedRounds   int
	finishedRounds int
	phase          Phase
	// endRecord is the number of records that must be committed to prove that the job has ended.
	endRecord int
	endedAt   time.Duration
	memory    jobMemory
}

// Add adds a job from the journal. Inherited jobs were accepted before this planner took over. A job that is
// already known is left unchanged.
func (cl *Cell) Add(now time.Duration, spec *work.Job, inherited bool) {
	cl.add(now, now, spec, inherited, nil)
}

// AddAged adds an inherited job that was accepted some time ago, so that it keeps its place among the waiting
// jobs. When each planner measured age from its own start, the jobs that had waited longest were put behind the
// rest again.
func (cl *Cell) AddAged(now, age time.Duration, spec *work.Job) {
	cl.add(now, now-age, spec, true, nil)
}

func (cl *Cell) add(now, arrived time.Duration, spec *work.Job, inherited bool, load *Loader) {
	if _, known := cl.jobs[spec.ID]; known {
		return
	}
	jb := &job{spec: spec, inherited: inherited, arrivedAt: arrived, rounds: map[int]*round{}, phase: Queued}
	jb.memory = newJobMemory(spec, load)
	cl.jobs[spec.ID] = jb
	cl.memory.Settle(spec.ID)
	cl.charge(jb)
	if load != nil {
		jb.spec = jb.stub()
		cl.deferred = append(cl.deferred, jb)
	}
	cl.applyLatestSettings(jb)
	cl.services[spec.Queue.Service] = true
	cl.queue(spec.Queue.Name).queuedJobs++
	cl.quota.Set(spec.Workspace)
	jb.excess = !inherited && !cl.quota.WithinRate(spec.Workspace.Name, arrived)
	if cn, cancelled := cl.cancels[spec.ID]; cancelled && jb.belongsTo(cn.workspace) {
		cl.finishJob(now, jb, Cancelled)
		return
	}
	if load == nil {
		cl.begin(arrived, jb)
	}
}

// begin opens the first round of a job, or lets Tick open its rounds as they become due.
func (cl *Cell) begin(arrived time.Duration, jb *job) {
	jb.memory.begun = true
	cl.held++
	if jb.spec.Repeat != nil {
		cl.recurring[jb] = true
		return
	}
	cl.openRound(arrived, jb)
}

// cancel is a cancellation by a caller of a workspace; an empty workspace matches any.
type cancel struct {
	at        time.Duration
	workspace string
}

// belongsTo reports whether the job belongs to a workspace. An empty name matches any, and a job without a
// workspace belongs to all.
func (jb *job) belongsTo(workspace string) bool {
	name := jb.spec.Workspace.Name
	return workspace == "" || name == "" || name == workspace
}

// Cancel applies a cancellation from the journal, which may come before its job. A cancellation by a caller of
// another workspace has no effect.
func (cl *Cell) Cancel(now time.Duration, id, workspace string) {
	jb, ok := cl.jobs[id]
	if ok && !jb.belongsTo(workspace) {
		return
	}
	cl.cancels[id] = cancel{now, workspace}
	if ok && !jb.phase.Ended() {
		cl.finishJob(now, jb, Cancelled)
	}
}

// Restore applies the records of earlier planners. Jobs must have been added before.
func (cl *Cell) Restore(now time.Duration, recs []Record) {
	for _, rec := range recs {
		if jb, ok := cl.jobs[rec.Job]; ok && rec.Phase.Ended() && !jb.phase.Ended() {
			cl.closeJob(now, jb, rec.Phase)
		}
	}
	for _, rec := range recs {
		if rec.Gone {
			cl.forgetStarts(rec.Worker)
		}
		jb, ok := cl.jobs[rec.Job]
		if !ok || jb.phase.Ended() {
			continue
		}
		jb.mayHaveCrashed = jb.mayHaveCrashed || rec.MayHaveCrashed
		if rec.Started != nil {
			cl.restoreStart(now, rec)
		}
		if rec.Task != nil {
			cl.restore(now, jb, rec)
		}
	}
}

func (cl *Cell) restore(now time.Duration, jb *job, rec Record) {
	cl.beginJob(jb)
	if rd := cl.round(now, jb, rec.Task.Round); rd != nil {
		cl.restoreTask(now, rd, rec)
	}
}

func (cl *Cell) restoreTask(now time.Duration, rd *round, rec Record) {
	tk := cl.task(rd, *rec.Task)
	if tk == nil {
		return
	}
	tk.run = max(tk.run, rec.Run)
	delete(cl.recordedStarts, placementKey{*rec.Task, rec.Run})
	exceeded := false
	switch rec.Result {
	case ResultDone:
		cl.taskDone(now, tk, false)
	case ResultCrashed:
		tk.addCrash(rec.Run, !rec.Explained)
		cl.keepAttribution(now, rec.RunWorker, Run{Task: *rec.Task, Number: rec.Run})
		exceeded = tk.crashes.exceeded()
	case ResultCleared:
		delete(tk.crashes, rec.Run)
	default:
		exceeded = tk.addFailure(rec.Run) && tk.exhausted()
	}
	if exceeded {
		cl.finishJob(now, rd.job, Failed) // the earlier planner ended before it could record that
	}
}

// findTask returns the task of that name, or nil if no open round has it.
func (cl *Cell) findTask(name work.Task) *task {
	jb, ok := cl.jobs[name.Job]
	if !ok {
		return nil
	}
	rd, ok := jb.rounds[name.Round]
	if !ok {
		return nil
	}
	return cl.task(rd, name)
}

// openTask returns the task of that name, and opens its round if an earlier planner has. It returns nil if there is no
// such task.
func (cl *Cell) openTask(now time.Duration, name work.Task) *task {
	if jb, ok := cl.jobs[name.Job]; ok {
		cl.round(now, jb, name.Round)
	}
	return cl.findTask(name)
}

// beginJob records that a task of the job has begun.
func (cl *Cell) beginJob(jb *job) {
	if jb.phase == Queued {
		jb.phase = Running
		cl.queue(jb.spec.Queue.Name).queuedJobs--
	}
}

// finishJob ends a job, stops its remaining runs and records its end.
func (cl *Cell) finishJob(now time.Duration, jb *job, phase Phase) {
	cl.closeJob(now, jb, phase)
	cl.record(Record{Job: jb.spec.ID, Phase: phase})
	jb.endRecord = cl.recorded
}

func (cl *Cell) closeJob(now time.Duration, jb *job, phase Phase) {
	if jb.phase == Queued {
		cl.queue(jb.spec.Queue.Name).queuedJobs--
	}
	if !jb.phase.Ended() && jb.memory.begun {
		cl.held--
	}
	jb.phase = phase
	jb.endedAt = now
	cl.ended = append(cl.ended, jb)
	delete(cl.recurring, jb)
	for _, rd := range jb.rounds {
		for _, st := range rd.steps {
			if st == nil {
				continue
			}
			cl.urgentReleased(now, st, st.remaining)
			cl.closeStep(st)
			for _, tk := range st.tasks {
				if tk.placement != nil && !tk.done {
					cl.stop(tk.placement, "job "+string(phase))
				}
			}
		}
	}
}

// UpdateQueues applies the current settings of queues to the jobs that have not ended, unless a job of the queue came with
// later ones.
func (cl *Cell) UpdateQueues(settings func(name string) (work.Queue, bool)) {
	cl.settings++
	for name, row := range cl.queues {
		if qu, ok := settings(name); ok {
			row.settings = row.settings.Later(qu)
		}
	}
	for _, jb := range cl.jobs {
		_, ok := settings(jb.spec.Queue.Name)
		if latest := cl.queue(jb.spec.Queue.Name).settings; !jb.phase.Ended() && (ok || jb.spec.Queue.Version < latest.Version) {
			jb.spec.Queue = jb.spec.Queue.Later(latest)
		}
	}
}

// applyLatestSettings gives a new job the latest settings of its queue, or the queue's other jobs the settings of the new one. A
// node with an older copy of the configuration must not take a queue back to settings by which others were planned.
func (cl *Cell) applyLatestSettings(jb *job) {
	row, own := cl.queue(jb.spec.Queue.Name), jb.spec.Queue
	if own.Version < row.settings.Version {
		jb.spec.Queue = row.settings
		return
	}
	previous := row.settings
	row.settings = own
	if previous.Name == "" || previous.Version == own.Version {
		return
	}
	if previous.Version = own.Version; previous == own {
		return // only the number of the version is another one
	}
	cl.settings++
	for _, other := range cl.jobs {
		if other.spec.Queue.Name == own.Name && !other.phase.Ended() {
			other.spec.Queue = other.spec.Queue.Later(own)
		}
	}
}
