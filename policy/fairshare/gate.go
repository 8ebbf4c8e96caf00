package fairshare

import (
	"math"
	"time"
)

// Limits of a gate.
const (
	// minBehind is the time that overdue work must take to be started for the service to be behind: less than that is
	// random, or a single step that few workers can run.
	minBehind = 200 * time.Millisecond
	// minRate is the least rate, as a part of the service, that waiting work is compared with: in a service that starts
	// little because little arrives, one step that fits no worker would take long to be started.
	minRate = 0.1
	// drainTime is the time within which overdue work is to be started, and maxDrain the most of the rate that is used
	// for it. If all of it were, nothing would be admitted for seconds after a burst, then everything.
	drainTime = time.Second
	maxDrain  = 0.25
	// maxLateDrain is the most of the rate that is used for late work, which has a fifth of the value of new work and
	// is planned after it.
	maxLateDrain = 0.1
	// following is the weight of the latest measurement of the rate: runs that begin together end together, which
	// makes single intervals differ.
	following = 0.5
	// minWaiting is the time that waiting work must take to be started to show that the service could not start more.
	minWaiting = 50 * time.Millisecond
	// probing is the part by which the rate rises in the first interval in which less waits, since the service could
	// start more than what was admitted. It doubles with each further one up to maxProbing, so that the rate triples
	// within 2 s after workers or a limit have changed.
	probing    = 0.1
	maxProbing = 0.8
)

// gate follows the rate at which something starts work, while it cannot start all that arrives.
type gate struct {
	closed bool
	rate   float64
	// probe is the part by which the rate rises next.
	probe float64
}

// backlog is work that waits: what may still be in time, what has waited for too long, and what is late.
type backlog struct{ inTime, overdue, late float64 }

// takes reports whether work takes at least a time to be started at a rate.
func takes(work float64, span time.Duration, rate float64) bool {
	return work > 0 && work >= span.Seconds()*rate
}

// allowance is what a gate lets through.
type allowance struct {
	// open is set if all is admitted.
	open bool
	// rate is the work to admit per second, capacity what is started per second.
	rate, capacity float64
	drain          time.Duration
}

// update returns what to admit, given the work that was started, the backlog, and the demand.
func (gt *gate) update(started bin, excess backlog, demand float64) allowance {
	measured := started.rate()
	behind := takes(excess.overdue, minBehind, max(measured, gt.rate, minRate))
	switch {
	case !gt.closed && !behind:
		return allowance{open: true}
	case !gt.closed:
		// The work may have begun to wait halfway through an interval.
		gt.closed, gt.rate, gt.probe = true, started.peak(), probing
	case behind || takes(max(excess.inTime, excess.overdue), minWaiting, max(measured, gt.rate)):
		gt.rate, gt.probe = gt.rate+following*(measured-gt.rate), probing
	default:
		gt.rate = max(gt.rate*(1+gt.probe), measured)
		gt.probe = min(2*gt.probe, maxProbing)
	}
	drained := min(excess.overdue/drainTime.Seconds(), gt.rate*maxDrain)
	drained = max(drained, min((excess.overdue+excess.late)/drainTime.Seconds(), gt.rate*maxLateDrain))
	rate := gt.rate - drained
	if !behind && demand <= rate {
		*gt = gate{}
		return allowance{open: true}
	}
	return allowance{rate: rate, capacity: gt.rate, drain: span(excess.overdue, drained)}
}

// level returns the most demand that is let through.
func (aw allowance) level() float64 {
	if aw.open {
		return math.Inf(1)
	}
	return aw.rate
}

// bound returns the part of a demand that is let through.
func (aw allowance) bound(demand float64) float64 { return min(demand, aw.level()) }

// wait returns how long new work waits behind an amount of work.
func (aw allowance) wait(work float64) time.Duration {
	if aw.open {
		return 0
	}
	return span(work, max(aw.capacity, minRate))
}

// span returns how long an amount of work takes at a rate.
func span(work, rate float64) time.Duration {
	if work <= 0 {
		return 0
	}
	return time.Duration(min(work/rate, maxWait.Seconds()) * float64(time.Second))
}

// ask is the work per second that one of several asks for, with its weight.
type ask struct{ work, weight float64 }

// divide divides the rate by weighted max-min fairness and returns the level of each: who asks for less gets all of it,
// and what it leaves raises the levels of the others.
func (aw allowance) divide(asks []ask) []float64 {
	levels := make([]float64, len(asks))
	rest, weights := aw.level(), 0.0
	for _, ak := range asks {
		weights += ak.weight
	}
	granted := make([]bool, len(asks))
	for changed := true; changed; {
		changed = false
		each := math.Max(rest, 0) / weights
		for at, ak := range asks {
			if granted[at] {
				continue
			}
			if levels[at] = each * ak.weight; ak.work <= levels[at] {
				granted[at], changed = true, true
				rest -= ak.work
				weights -= ak.weight
			}
		}
	}
	return levels
}
