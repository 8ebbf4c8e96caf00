package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/loop"
)

// keepPace has another node plan where this one is too slow.
func (ld *lead) keepPace() {
	if ld.pace.slow(ld.now()) {
		ld.reign.Yield("this node is too slow to plan")
	}
}

// planLoop plans when something has changed, and at each tick.
func (ld *lead) planLoop(ctx context.Context) {
	timer := ld.clock.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ld.wake:
		case <-timer.Chan():
			ld.tick()
		}
		if !loop.Pause(ctx, ld.clock, cell.PlanPause(ld.plan(), planGap)) {
			return
		}
	}
}

func (ld *lead) kick() {
	ld.dirty = true
	ld.wake.Give()
}

func (ld *lead) tick() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded {
		return
	}
	now := ld.now()
	ld.cell.Tick(now, ld.wall())
	ld.settle(now)
	ld.relist()
	ld.dirty = true
	ld.tellWaits(now)
	ld.tellLosses()
	ld.tellEffort(now)
	ld.tellBacklog(now)
	jobs, waiting, workers := ld.cell.Counts()
	ld.measures.gauge("planner.jobs", jobs)
	ld.measures.gauge("planner.steps_waiting", waiting)
	ld.measures.gauge("planner.workers", workers)
	oldest, kept := ld.cell.OldestWait(now)
	ld.measures.gauge("planner.oldest_wait_ms", int(oldest.Milliseconds()))
	ld.measures.gauge("planner.workers_kept_free", kept)
	ld.measures.gauge("planner.workers_resting", ld.cell.Quarantined(now))
}

// plan decides, if the reign may start tasks, and has the orders carried out. It returns
// how long it took to decide.
func (ld *lead) plan() (took time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.loaded && ld.dirty && ld.mayStart() {
		ld.dirty = false
		began := ld.clock.Now()
		ld.cell.Plan(ld.now())
		took = ld.clock.Since(began)
		ld.measures.timed("planner.plan", took)
		ld.effort.plan(took)
		ld.measures.count("planner.plans")
	}
	ld.flush()
	return took
}

// flush carries out what the cell wants done. The caller holds the lock.
func (ld *lead) flush() {
	out := ld.cell.TakeOutput()
	ld.records.add(out.Records)
	for _, rec := range out.Records {
		if rec.Phase.Ended() {
			ld.log.Info("Job has ended.", "job", rec.Job, "phase", rec.Phase)
			ld.measures.count("planner.jobs." + string(rec.Phase))
		}
	}
	for _, sr := range out.Starts {
		ld.effort.begin()
		ld.spawn(func() { ld.start(sr) })
	}
	for _, sp := range out.Stops {
		ld.spawn(func() { ld.stop(sp) })
	}
	for _, id := range out.ReportRequests {
		if se, ok := ld.sessions[id]; ok {
			se.ask()
		}
	}
	for _, pc := range out.Paces {
		ld.spawn(func() { ld.setPace(pc) })
	}
	ld.effort.questions += len(out.AdviceRequests)
	for _, qn := range out.AdviceRequests {
		ld.spawn(func() { ld.advise(qn) })
	}
}
