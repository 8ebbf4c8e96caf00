package cell

import (
	"iter"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/speed"
)

// SpeedChange says that a worker has become slow or fast, or ceased to be.
type SpeedChange struct {
	Worker     incarnation.ID
	Slow, Fast bool
	// Speed is relative to the median of the service's workers, Runs is how many runs of the worker were observed.
	Speed float64
	Runs  int
}

// speedOrder is the order of workers by speed that suits a step.
type speedOrder int

const (
	anySpeed speedOrder = iota
	fastFirst
	slowFirst
	fastLast
)

// speedOrder returns the order of workers for a step. Long-running and best-effort tasks lose nothing on a slow worker,
// which leaves the others to steps that do: urgent ones, gangs, which run at the pace of their slowest task, and those
// that must start within their own run time to end in time, since a task may take twice as long on a slow worker. All
// others have time to spare, and leave the fast workers to these steps.
func (cl *Cell) speedOrder(now time.Duration, rd ranked) speedOrder {
	if cl.speeds == nil {
		return anySpeed
	}
	st := rd.step
	switch {
	case st.def.LongRunning || st.def.BestEffort:
		return slowFirst
	case st.urgent() || st.def.Gang || !rd.rank.late && rd.rank.latestStart-now < cl.expectedRunTime(st):
		return fastFirst
	}
	return fastLast
}

// speedClasses is the number of classes that the workers are in for a step.
const speedClasses = 3

// speedClass is lowest for workers that the step should use first.
func (st *step) speedClass(wk *worker) int {
	const first, usual, last = 0, 1, 2
	preferred, avoided := wk.fast, wk.slow
	switch st.speedOrder {
	case anySpeed:
		return first
	case slowFirst:
		preferred, avoided = wk.slow, wk.fast
	case fastLast:
		preferred, avoided = false, wk.fast
	case fastFirst:
	}
	switch {
	case preferred:
		return first
	case avoided:
		return last
	}
	return usual
}

// bySpeed yields the workers by speed class. Each class costs a pass, which only a step makes for which the classes
// before do not suffice.
func (cl *Cell) bySpeed(st *step, workers iter.Seq[*worker]) iter.Seq[*worker] {
	if st.speedOrder == anySpeed {
		return workers
	}
	return func(yield func(*worker) bool) {
		var present [speedClasses]bool
		for class := range speedClasses {
			if class > 0 && !present[class] {
				continue
			}
			for wk := range workers {
				of := st.speedClass(wk)
				present[of] = true
				if of == class && !yield(wk) {
					return
				}
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
		if !ok || wk.slow == md.Slow(id) && wk.fast == md.Fast(id) {
			continue
		}
		wk.slow, wk.fast = md.Slow(id), md.Fast(id)
		relative, runs := md.Speed(now, id)
		cl.out.SpeedChanges = append(cl.out.SpeedChanges, SpeedChange{Worker: id, Slow: wk.slow, Fast: wk.fast, Speed: relative, Runs: runs})
	}
}

// forgetSpeed discards what is known about the speed of a worker that is removed or changes its service.
func (cl *Cell) forgetSpeed(wk *worker) {
	wk.slow, wk.fast = false, false
	if md, ok := cl.speeds[wk.Service]; ok {
		md.Forget(wk.ID)
	}
}

// SpeedClasses returns how many workers are slow and how many are fast, for metrics.
func (cl *Cell) SpeedClasses() (slow, fast int) {
	for _, wk := range cl.workers {
		switch {
		case wk.slow:
			slow++
		case wk.fast:
			fast++
		}
	}
	return slow, fast
}
