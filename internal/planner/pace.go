package planner

import "time"

// Limits of a node that is fast enough to plan.
const (
	// paceTicks is the number of ticks over which the pace is measured, 2 s on time.
	paceTicks = 40
	// paceFactor is how much longer they may take: at twice the time the planner's
	// answers are late by more than its orders take.
	paceFactor = 2
)

// pace measures whether the node keeps up: its ticks come late where the processor is
// too slow for the planner's work.
type pace struct {
	ticks int
	since time.Duration
}

// slow takes a tick in and reports whether the last ones took far too long.
func (pc *pace) slow(now time.Duration) bool {
	if pc.ticks++; pc.ticks < paceTicks {
		return false
	}
	took := now - pc.since
	pc.ticks, pc.since = 0, now
	return took > paceFactor*paceTicks*tick
}
