package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/loop"
)

// yieldIfSlow lets another node plan if this one is too slow, unless the first calls to the workers of earlier planners
// keep it busy: the next planner would have to begin them anew.
func (ld *leader) yieldIfSlow() {
	if ld.tickMonitor.slow(ld.now()) && !ld.takingOver() {
		ld.term.Yield("this node is too slow to plan")
	}
}

// takingOver reports whether the journal has not been read or the first calls to workers of earlier planners are not over, and
// the time for that is not over either. Workers that do not answer are not waited for.
func (ld *leader) takingOver() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.now() > takeoverTime(ld.inheritedWorkers) {
		return false
	}
	if !ld.loaded {
		return true
	}
	for id := range ld.unresolved {
		if se, ok := ld.sessions[id]; ok && !se.answered && !se.unreachable {
			return true
		}
	}
	return false
}

// planLoop plans after changes, and at each tick.
func (ld *leader) planLoop(ctx context.Context) {
	timer := ld.clock.NewTicker(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ld.wake:
		case <-timer.Chan():
			ld.tick()
		}
		if !loop.Sleep(ctx, ld.clock, cell.PlanPause(ld.plan(), planPause)) {
			return
		}
	}
}

func (ld *leader) schedulePlan() {
	ld.dirty = true
	ld.wake.Notify()
}

func (ld *leader) tick() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded {
		return
	}
	now := ld.now()
	ld.checkOutage()
	ld.cell.Tick(now, ld.wall())
	ld.expireLeases(now)
	ld.checkRecovery(now)
	ld.listNewlyUsed()
	ld.activateWorkers()
	ld.retireWorkers(now)
	ld.dirty = true
	ld.logWaits(now)
	ld.logRecovery(now)
	ld.logLossRate()
	ld.logStats(now)
	ld.updateAdviceBudget(now)
	ld.reportBacklog(now)
	ld.reportHeadroom()
	ld.reportMemory()
	ld.reportEvacuations()
	jobs, waiting, workers := ld.cell.Counts()
	ld.metrics.gauge("planner.jobs", jobs)
	ld.metrics.gauge("planner.steps_waiting", waiting)
	ld.metrics.gauge("planner.workers", workers)
	ld.metrics.gauge("planner.workers_standby", len(ld.standby.entries))
	ld.metrics.gauge("planner.long_running_lacking", ld.cell.LackingTasks())
	oldest, kept := ld.cell.OldestWait(now)
	ld.metrics.gauge("planner.oldest_wait_ms", int(oldest.Milliseconds()))
	ld.metrics.gauge("planner.workers_kept_free", kept)
	ld.metrics.gauge("planner.workers_resting", ld.cell.Quarantined(now))
	slow, fast := ld.cell.SpeedClasses()
	ld.metrics.gauge("planner.workers_slow", slow)
	ld.metrics.gauge("planner.workers_fast", fast)
}

// plan runs a planning pass, if the planner may start tasks, and sends the resulting orders. It returns the duration of
// the pass.
func (ld *leader) plan() (took time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.loaded && ld.dirty && ld.canPlan() {
		ld.dirty = false
		ld.checkOutage()
		began := ld.clock.Now()
		ld.cell.Plan(ld.now())
		took = ld.clock.Since(began)
		ld.metrics.observe("planner.plan", took)
		ld.stats.plan(took)
		ld.metrics.gauge("planner.plans_cut", ld.cell.CutPlans())
		ld.metrics.count("planner.plans")
	}
	ld.dispatch()
	return took
}

// dispatch sends the orders of the cell and queues its records. The caller holds the lock.
func (ld *leader) dispatch() {
	out := ld.cell.TakeOutput()
	ld.records.add(out.Records)
	for _, rec := range out.Records {
		if rec.Gone {
			ld.standby.lostAt[rec.Worker.WorkerID()] = ld.now()
		}
		if rec.Phase.Ended() {
			ld.log.Info("Job has ended.", "job", rec.Job, "phase", rec.Phase)
			ld.metrics.count("planner.jobs." + string(rec.Phase))
		}
		if rec.Result == cell.ResultCrashed {
			crashes, blamed := ld.cell.CrashCounts(*rec.Task)
			ld.log.Info("Crash was attributed to a run.", "task", rec.Task.String(), "run", rec.Run, "worker", rec.RunWorker,
				"crashes", crashes, "blamed", blamed)
		}
	}
	for _, id := range out.Loaded {
		ld.log.Info("Job that was kept encoded has been loaded.", "job", id)
	}
	for _, un := range out.Unloadable {
		ld.log.Error(un.Err, "Job that was kept encoded cannot be loaded.", "job", un.Job)
	}
	for _, om := range out.Omitted {
		ld.metrics.count("planner.runs_omitted")
		ld.log.Info("Run has gone without an end.", "task", om.Task.String(), "run", om.Run, "worker", om.Worker, "adopted", om.Adopted, "stopping", om.Stopping)
	}
	for _, rs := range out.Restarts {
		ld.metrics.observe("planner.long_running_restart", rs.After)
		ld.log.Info("Long-running task runs again.", "task", rs.Task.String(), "worker", rs.Worker, "after", rs.After.String())
	}
	for _, sc := range out.SpeedChanges {
		message := "Worker is neither slow nor fast any more."
		switch {
		case sc.Slow:
			message = "Worker is slow."
		case sc.Fast:
			message = "Worker is fast."
		}
		ld.log.Info(message, "worker", sc.Worker, "speed", sc.Speed, "runs", sc.Runs)
	}
	for _, sr := range out.Starts {
		ld.stats.begin()
		ld.spawn(func() { ld.sendStart(sr) })
	}
	for _, sp := range out.Stops {
		ld.spawn(func() { ld.sendStop(sp) })
	}
	for _, id := range out.ReportRequests {
		if se, ok := ld.sessions[id]; ok {
			se.requestReport()
		}
	}
	for _, pc := range out.Paces {
		ld.spawn(func() { ld.sendPace(pc) })
	}
	ld.stats.adviceRequests += len(out.AdviceRequests)
	for _, qn := range out.AdviceRequests {
		ld.spawn(func() { ld.requestAdvice(qn) })
	}
}
