package planner

import (
	"time"

	"tackbeam.example/policy/feature"
)

// adviceStats are the counts of deferred advice requests at the last log line about them.
type adviceStats struct {
	loggedAt         time.Duration
	forRoom, forTime int
}

// updateAdviceBudget passes the number of nodes to the cell and publishes how the budget of advice requests is used. The
// caller holds the lock.
func (ld *leader) updateAdviceBudget(now time.Duration) {
	if !ld.opts.Site.Features.Has(feature.AdviceBudget) {
		return
	}
	if ld.opts.NodeCount != nil {
		ld.cell.SetAdvisorNodes(now, ld.opts.NodeCount())
	}
	forRoom, forTime, busy := ld.cell.AdviceBudget(now)
	ld.metrics.gauge("planner.advice.deferred_for_room", forRoom)
	ld.metrics.gauge("planner.advice.deferred_for_budget", forTime)
	ld.metrics.gauge("planner.advice.busy_ms", int(busy.Milliseconds()))
	as := &ld.adviceStats
	if now-as.loggedAt < statsInterval || forRoom == as.forRoom && forTime == as.forTime {
		return
	}
	ld.log.Info("Advice requests were deferred.", "over", (now - as.loggedAt).String(), "for_room", forRoom-as.forRoom,
		"for_budget", forTime-as.forTime, "requested_per_second", busy.String())
	*as = adviceStats{loggedAt: now, forRoom: forRoom, forTime: forTime}
}
