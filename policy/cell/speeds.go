package cell

import (
	"iter"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/speed"
)

// SpeedChange says that a worker has become slow or ceased to be slow.
type SpeedChange struct {
	Worker incarnation.ID
	Slow   bool
	// Speed is relative to the median of the service's workers, Runs is how many runs of the worker were observed.
	Speed float64
	Runs  int
}

// speedOrder is the order of workers by speed that suits a step.
type speedOrder int

const (
	anySpeed speedOrder = iota
	slowLast
	slowFirst
)

// speedOrder returns the order of workers for a step. Long-running and best-effort tasks lose nothing on a slow worker,
// which leaves the others to steps that do: urgent ones, gangs, which run at the pace of their slowest task, and those
// that must start within their own run time to end in time, since a task may take twice as long on a slow worker.
func (cl *Cell) speedOrder(now time.Duration, rd ranked) speedOrder {
	if cl.speeds == nil {
		return anySpeed
	}
	st := rd.step
	switch {
	case st.def.LongRunning || st.def.BestEffort:
		return slowFirst
	case st.urgent() || st.def.Gang || !rd.rank.late && rd.rank.latestStart-now < cl.expectedRunTime(st):
		return slowLast
	}
	return anySpeed
}

// speedClass is 0 for workers that the step should use first, 1 for others.
func (st *step) speedClass(wk *worker) int {
	if st.speedOrder == slowLast && wk.slow || st.speedOrder == slowFirst && !wk.slow {
		return 1
	}
	return 0
}

// bySpeed yields the workers by speed class. The second class costs a second pass, which only a step makes for which
// the first class does not suffice.
func (cl *Cell) bySpeed(st *step, workers iter.Seq[*worker]) iter.Seq[*worker] {
	if st.speedOrder == anySpeed {
		return workers
	}
	return func(yield func(*worker) bool) {
		others := false
		for wk := range workers {
			if st.speedClass(wk) > 0 {
				others = true
			} else if !yield(wk) {
				return
			}
		}
		if !others {
			return
		}
		for wk := range workers {
			if st.speedClass(wk) > 0 && !yield(wk) {
				return
			}
		}
	}
}

// learnSpeed adds a run that has ended to the speeds of workers. The tasks of a gang end together and show nothing.
func (cl *Cell) learnSpeed(now time.Duration, pl *placement) {
	st := pl.task.step
	if cl.speeds == nil || st.def.Gang || st.def.BestEffort {
		return
	}
	service := pl.worker.Service
	md, ok := cl.speeds[service]
	if !ok {
		md = speed.New()
		cl.speeds[service] = md
	}
	st.runTimes.Add(pl.worker.ID, now-pl.runningSince)
	md.Observe(now, &st.runTimes, cl.expectedRunTime(st), st.remaining-1)
	cl.applySpeeds(now, md)
}

// refreshSpeeds applies the passage of time to the speeds of workers.
func (cl *Cell) refreshSpeeds(now time.Duration) {
	for _, md := range cl.speeds {
		md.Refresh(now)
		cl.applySpeeds(now, md)
	}
}

// applySpeeds updates the workers whose speed class has changed.
func (cl *Cell) applySpeeds(now time.Duration, md *speed.Model) {
	for _, id := range md.TakeChanges() {
		wk, ok := cl.workers[id]
		if !ok || wk.slow == md.Slow(id) {
			continue
		}
		wk.slow = md.Slow(id)
		relative, runs := md.Speed(now, id)
		cl.out.SpeedChanges = append(cl.out.SpeedChanges, SpeedChange{Worker: id, Slow: wk.slow, Speed: relative, Runs: runs})
	}
}

// forgetSpeed discards what is known about the speed of a worker that is removed or changes its service.
func (cl *Cell) forgetSpeed(wk *worker) {
	wk.slow = false
	if md, ok := cl.speeds[wk.Service]; ok {
		md.Forget(wk.ID)
	}
}

// SlowWorkers returns how many workers are slow, for metrics.
func (cl *Cell) SlowWorkers() int {
	count := 0
	for _, wk := range cl.workers {
		if wk.slow {
			count++
		}
	}
	return count
}
