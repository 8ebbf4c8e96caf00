package cell

import (
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// Pace is an order to run at a percentage of full speed.
type Pace struct {
	Worker  incarnation.ID
	Task    work.Task
	Run     int
	Percent int
}

// Limits of sharing a worker between tasks that serve users and best-effort tasks.
const (
	// throttleAbove is the share of the target latency at which best-effort tasks are throttled: the
	// reported latency is half a second old, and changes within seconds.
	throttleAbove = 0.85
	// releaseBelow is the share below which they are sped up again.
	releaseBelow = 0.6
	// paceInterval is the time that a change takes to show in the reported latency.
	paceInterval = 600 * time.Millisecond
	// paceStep is by how many percent best-effort tasks are sped up at a time, minPace the lowest pace of a
	// task that is not paused.
	paceStep = 10
	minPace  = 10
)

// throttle slows the best-effort tasks of a worker while a task beside them is near its target latency, and
// speeds them up step by step afterwards.
func (cl *Cell) throttle(now time.Duration, wk *worker) {
	ratio, hasTarget := wk.latencyRatio()
	if !hasTarget || now-wk.pacedAt < paceInterval {
		return
	}
	for _, pl := range wk.placements {
		if !pl.task.step.def.BestEffort || pl.state != running {
			continue
		}
		percent := nextPace(pl.pace, ratio)
		if percent == pl.pace {
			continue
		}
		wk.pacedAt = now
		pl.pace = percent
		cl.out.Paces = append(cl.out.Paces, Pace{Worker: wk.ID, Task: pl.task.name(), Run: pl.run, Percent: percent})
	}
}

// nextPace returns the pace that follows on a percentage: half of it while a neighbour is near its target
// latency, 0 if the neighbour has reached it or half would be less than minPace, and a little more once all
// neighbours are well below theirs.
func nextPace(percent int, ratio float64) int {
	switch {
	case ratio >= 1:
		return 0
	case ratio >= throttleAbove && percent/2 < minPace:
		return 0
	case ratio >= throttleAbove:
		return percent / 2
	case ratio < releaseBelow:
		return min(percent+paceStep, fullPercent)
	}
	return percent
}

// latencyRatio returns the highest latency on the worker relative to its target, and whether any task there has
// a target.
func (wk *worker) latencyRatio() (ratio float64, hasTarget bool) {
	for _, pl := range wk.placements {
		if target := pl.task.step.def.TargetLatency; target > 0 && pl.state == running {
			hasTarget = true
			ratio = max(ratio, float64(pl.tailLatencyMS)/float64(target.Milliseconds()))
		}
	}
	return ratio, hasTarget
}

// HasLatencyTarget reports whether a worker has tasks whose latency must be monitored.
func (cl *Cell) HasLatencyTarget(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	if !ok {
		return false
	}
	_, hasTarget := wk.latencyRatio()
	return hasTarget
}

// PaceUnconfirmed records that an order to change the pace was not confirmed. The next report decides again.
func (cl *Cell) PaceUnconfirmed(pc Pace) {
	if pl := cl.placement(pc.Worker, pc.Task, pc.Run); pl != nil {
		pl.pace = fullPercent
		pl.worker.pacedAt = 0
	}
}
