package cell

import (
	"tackbeam.example/policy/incarnation"
	"time"

	"tackbeam.example/policy/work"
)

// Pace is an order to let a run work at a percentage of its speed.
type Pace struct {
	Worker  incarnation.ID
	Task    work.Task
	Run     int
	Percent int
}

// Limits of sharing a worker between tasks that serve users and tasks that fill.
const (
	// hot is the part of the promised latency from which fillers are slowed: the
	// workers' figure is half a second old, and shifts within seconds.
	hot = 0.85
	// cool is the part below which they are let go again.
	cool = 0.6
	// paceEvery is the time that a change needs to show in the workers' figure.
	paceEvery = 600 * time.Millisecond
	// paceUp is how many percent fillers get back at a time, slowest the least share
	// of a filler that is not stopped.
	paceUp  = 10
	slowest = 10
)

// share slows the fillers of a worker while a task beside them is near the latency
// that its users are promised, and lets them go step by step after that.
func (cl *Cell) share(now time.Duration, wk *worker) {
	heat, serves := wk.heat()
	if !serves || now-wk.paced < paceEvery {
		return
	}
	for _, pl := range wk.places {
		if !pl.task.step.def.BestEffort || pl.state != running {
			continue
		}
		percent := next(pl.pace, heat)
		if percent == pl.pace {
			continue
		}
		wk.paced = now
		pl.pace = percent
		cl.out.Paces = append(cl.out.Paces, Pace{Worker: wk.ID, Task: pl.task.name(), Run: pl.run, Percent: percent})
	}
}

// next returns the percentage that follows on one: half of it while a neighbour is
// hot, a little more once all are cool.
func next(percent int, heat float64) int {
	switch {
	case heat >= 1:
		return 0
	case heat >= hot && percent/2 < slowest:
		return 0
	case heat >= hot:
		return percent / 2
	case heat < cool:
		return min(percent+paceUp, whole)
	}
	return percent
}

// heat returns the highest latency on the worker as a part of the promised one, and
// whether any task there has promised one.
func (wk *worker) heat() (heat float64, serves bool) {
	for _, pl := range wk.places {
		if tail := pl.task.step.def.TargetLatency; tail > 0 && pl.state == running {
			serves = true
			heat = max(heat, float64(pl.load)/float64(tail.Milliseconds()))
		}
	}
	return heat, serves
}

// HasLatencyTarget reports whether a worker has tasks whose latency must be watched.
func (cl *Cell) HasLatencyTarget(id incarnation.ID) bool {
	wk, ok := cl.workers[id]
	if !ok {
		return false
	}
	_, serves := wk.heat()
	return serves
}

// PaceUnconfirmed takes in that an order to change the pace was not confirmed: the next
// report decides anew.
func (cl *Cell) PaceUnconfirmed(pc Pace) {
	if pl := cl.placement(pc.Worker, pc.Task, pc.Run); pl != nil {
		pl.pace = whole
		pl.worker.paced = 0
	}
}
