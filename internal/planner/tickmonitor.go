package planner

import "time"

// Limits for the detection of a node that is too slow to plan.
const (
	// slowTicks is the number of ticks over which the delay is measured: 2 s if they are on time.
	slowTicks = 40
	// slowFactor is the ratio from which the node is too slow. At twice the time, the planner's answers are delayed by
	// more than its orders take.
	slowFactor = 2
	// takeoverBase is the time that a planner may take for its first calls to any number of workers, and
	// minFirstAnswers how many workers a second it must reach beyond that: a node that is slower cannot hold as many.
	takeoverBase    = 4 * time.Second
	minFirstAnswers = 500
)

// takeoverTime returns for how long a planner that reaches the workers of earlier planners is not taken for slow.
func takeoverTime(workers int) time.Duration {
	return takeoverBase + time.Duration(workers)*time.Second/minFirstAnswers
}

// tickMonitor detects a node whose processor is too slow for the planner's work by its late ticks.
type tickMonitor struct {
	ticks int
	since time.Duration
}

// slow records a tick and reports whether the last slowTicks ticks took far too long.
func (mo *tickMonitor) slow(now time.Duration) bool {
	if mo.ticks++; mo.ticks < slowTicks {
		return false
	}
	took := now - mo.since
	mo.ticks, mo.since = 0, now
	return took > slowFactor*slowTicks*tickInterval
}
