// Package advicebudget divides the time of the advisor among the steps that can use its answers.
//
// It is made for load at or above capacity. The advisor serves the calls of each node one at a time, a call takes 16 ms
// to over a second, and a ticket is valid for 2 s. A planner that requests advice for each step that waits keeps the
// advisor busy with steps for which there is no capacity while their tickets are valid; urgent requests then wait, and
// steps with capacity get their tickets late.
//
// A Budget refuses requests for three reasons: the steps ahead take all capacity of the service, the step has had
// answers that it could not use, or the advisor's time is needed for urgent requests.
package advicebudget

import (
	"time"

	"tackbeam.example/policy/size"
)

// Limits of the advisor's time.
const (
	// urgentMargin is the time kept for urgent requests, relative to their recent use: bursts of urgent work are 1.6 to
	// 1.7 times the usual rate, and start sooner than the average follows.
	urgentMargin = 1.5
	// minShare is the share of the nodes that other requests may always use, so that they do not starve in a burst.
	minShare = 0.1
	// maxSaved is how much of their time other requests may save up: the longest requests take a second, and nodes with
	// shorter queues than that are not kept waiting.
	maxSaved = time.Second
	// spareShare is the share of the largest savings from which the advisor has time to spare.
	spareShare = 0.5
	// requestSpan is the span of the average of requests: a shorter one follows single requests, a longer one misses the
	// bursts, which last 3 to 7 s.
	requestSpan = 2 * time.Second
	// releaseSpan is the same for the capacity that ends of runs release. After an outage of the advisor no runs end at
	// first; with 2 s, too few urgent steps got requests in the next second.
	releaseSpan = time.Second
	// longWait is the wait after which a step gets requests regardless of the steps ahead. Objectives of steps that are
	// not urgent leave them about that time.
	longWait = 10 * time.Second
)

// Budget is the state of the decisions of one planner. It has no history at first: no urgent work is expected, all of
// the time of other requests is saved up, and no ends of runs are expected. It is not safe for concurrent use.
type Budget struct {
	// nodes is the number of nodes that send requests, 0 if it is not known.
	nodes int
	// urgent is the recent work of urgent requests in seconds, all that of all requests.
	urgent, all average
	// saved is the time in seconds that other requests may use, as of savedAt. It is negative by at most one request.
	saved   float64
	savedAt time.Duration
	full    bool
	// validity is how long the last tickets were valid.
	validity time.Duration
	services map[string]*service
	// deferredForRoom and deferredForBudget count the refusals of requests.
	deferredForRoom, deferredForBudget int
}

// Demand is what a step asks for.
type Demand struct {
	Service string
	Urgent  bool
	// Need is what one task takes, Tasks how many of them wait.
	Need  size.Size
	Tasks int
	Gang  bool
	// Share is the expected share of workers that the advisor allows.
	Share float64
	// Takes is the advisor's time for one request.
	Takes time.Duration
	// Waited is how long the step has waited.
	Waited time.Duration
	// Reserves is set for a step that holds reserved capacity, Pending while it has an open request, Paused while it
	// pauses between requests.
	Reserves, Pending, Paused bool
}

// New returns a budget without history.
func New() *Budget {
	return &Budget{
		urgent: average{span: requestSpan}, all: average{span: requestSpan}, full: true, services: map[string]*service{}, validity: defaultValidity,
	}
}

// defaultValidity is assumed before the first answer.
const defaultValidity = 2 * time.Second

// SetNodes sets the number of nodes that send requests to the advisor.
func (bu *Budget) SetNodes(now time.Duration, nodes int) {
	if nodes == bu.nodes {
		return
	}
	bu.refill(now)
	bu.nodes = nodes
	bu.refill(now)
}

// Known reports whether the number of nodes is known. Otherwise AllowsTime refuses nothing.
func (bu *Budget) Known() bool { return bu.nodes > 0 }

// AllowsTime reports whether there is time for another request that is not urgent.
func (bu *Budget) AllowsTime(now time.Duration) bool {
	if bu.nodes == 0 {
		return true
	}
	bu.refill(now)
	return bu.saved > 0
}

// HasSpare reports whether most of the time of other requests is saved up. Pauses then save nothing that is needed:
// with them, gangs and long tasks started later at loads up to the capacity.
func (bu *Budget) HasSpare(now time.Duration) bool {
	if bu.nodes == 0 {
		return false
	}
	bu.refill(now)
	return bu.saved >= spareShare*bu.maxSaved(now)
}

// CountDeferred counts a step whose requests begin to be refused because AllowsTime reported false.
func (bu *Budget) CountDeferred() { bu.deferredForBudget++ }

// Sent records a request.
func (bu *Budget) Sent(now, takes time.Duration, urgent bool) {
	bu.all.add(now, takes.Seconds())
	if urgent {
		bu.urgent.add(now, takes.Seconds())
		return
	}
	bu.refill(now)
	bu.saved -= takes.Seconds()
}

// Refund records that a request was not sent, or not answered.
func (bu *Budget) Refund(now, takes time.Duration, urgent bool) {
	if urgent {
		return // the moving average forgets it soon, and too little time for others does no harm until then
	}
	bu.refill(now)
	bu.saved = min(bu.saved+takes.Seconds(), bu.maxSaved(now))
}

// Answered records that the tickets of an answer are valid for some time.
func (bu *Budget) Answered(valid time.Duration) {
	if valid > 0 {
		bu.validity = valid
	}
}

// Pause returns how long a step pauses after a number of answers in a row that led to no start.
func (bu *Budget) Pause(takes time.Duration, answers int) time.Duration {
	pause := takes
	for range answers - 1 {
		if pause >= bu.validity {
			break
		}
		pause *= 2
	}
	return min(pause, bu.validity)
}

// rate returns the time in seconds that other requests may use per second.
func (bu *Budget) rate(now time.Duration) float64 {
	nodes := float64(bu.nodes)
	return max(nodes-urgentMargin*bu.urgent.perSecond(now), minShare*nodes)
}

func (bu *Budget) maxSaved(now time.Duration) float64 { return bu.rate(now) * maxSaved.Seconds() }

// refill adds the time since the last call.
func (bu *Budget) refill(now time.Duration) {
	if bu.full && bu.nodes > 0 {
		bu.full, bu.saved = false, bu.maxSaved(now)
	}
	elapsed := max(now-bu.savedAt, 0).Seconds()
	bu.saved, bu.savedAt = min(bu.saved+elapsed*bu.rate(now), bu.maxSaved(now)), max(now, bu.savedAt)
}

// DeferredForRoom returns how often a step began to be refused requests because the steps ahead take all capacity.
func (bu *Budget) DeferredForRoom() int { return bu.deferredForRoom }

// DeferredForBudget returns how often a step began to be refused requests for lack of the advisor's time.
func (bu *Budget) DeferredForBudget() int { return bu.deferredForBudget }

// Busy returns the advisor's time that was requested per second, as a moving average.
func (bu *Budget) Busy(now time.Duration) time.Duration {
	return time.Duration(bu.all.perSecond(now) * float64(time.Second))
}
