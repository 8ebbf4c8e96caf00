package cell

import (
	"time"

	"tackbeam.example/policy/advicebudget"
	"tackbeam.example/policy/feature"
)

// newAdviceBudget returns the budget of advice requests, or nil if the feature is not enabled.
func newAdviceBudget(features feature.Set) *advicebudget.Budget {
	if !features.Has(feature.AdviceBudget) {
		return nil
	}
	return advicebudget.New()
}

// SetAdvisorNodes sets the number of nodes that send requests to the advisor.
func (cl *Cell) SetAdvisorNodes(now time.Duration, nodes int) {
	if cl.adviceBudget != nil {
		cl.adviceBudget.SetNodes(now, nodes)
	}
}

// AdviceBudget returns, for metrics, how often a step began to be refused requests for lack of capacity and for lack of
// the advisor's time, and how much of that time is requested per second.
func (cl *Cell) AdviceBudget(now time.Duration) (forRoom, forTime int, busy time.Duration) {
	bu := cl.adviceBudget
	if bu == nil {
		return 0, 0, 0
	}
	return bu.DeferredForRoom(), bu.DeferredForBudget(), bu.Busy(now)
}

// beginAdvicePlan tells the budget the free capacity at the begin of a plan.
func (cl *Cell) beginAdvicePlan() {
	if cl.adviceBudget == nil {
		return
	}
	cl.adviceBudget.BeginPlan(cl.now)
	for service, po := range cl.pools {
		for _, wk := range po.workers {
			cl.adviceBudget.AddFree(service, wk.Capacity.Sub(wk.used))
		}
	}
}

// considerAdvice counts down the capacity by what a step takes, in plan order.
func (cl *Cell) considerAdvice(now time.Duration, st *step) {
	bu := cl.adviceBudget
	if bu == nil {
		return
	}
	qu := st.round.job.spec.Queue
	dm := advicebudget.Demand{
		Service: qu.Service, Urgent: st.urgent(), Need: st.need(), Tasks: st.unplaced, Gang: st.def.Gang, Share: 1,
		Waited: now - st.lackingSince, Reserves: len(st.reserved) > 0, Pending: st.advice.pending > 0,
		Paused: now < st.advice.pausedUntil,
	}
	if !st.advised() {
		bu.Take(dm)
		return
	}
	dm.Share = cl.queue(qu.Name).allowedShare
	dm.Takes = qu.AdviceBase + time.Duration(minWorkers(st))*qu.AdviceEach
	st.advice.noRoom = !bu.Consider(dm, st.advice.noRoom)
}

// budgetRefuses reports whether the budget refuses requests for a step: there is no room for it, or it pauses after
// answers that it did not use and the advisor has no time to spare. A step whose reserved capacity is complete by the time of the answer does not pause, since
// that capacity would be idle.
func (cl *Cell) budgetRefuses(now time.Duration, st *step) bool {
	bu := cl.adviceBudget
	switch {
	case bu == nil:
		return false
	case st.advice.noRoom:
		return true
	case now >= st.advice.pausedUntil || bu.HasSpare(now):
		return false
	}
	takes := st.round.job.spec.Queue.AdviceBase
	return len(st.reserved) == 0 || st.expectedAt > now+takes
}

// withinRequestLimit reports whether another request that is not urgent may be sent in this plan.
func (cl *Cell) withinRequestLimit(now time.Duration, st *step) bool {
	bu := cl.adviceBudget
	if bu == nil || !bu.Known() {
		return cl.requestsSent < requestsPerPlan
	}
	allowed := bu.AllowsTime(now)
	if !allowed && !st.advice.noTime {
		bu.CountDeferred()
	}
	st.advice.noTime = !allowed
	return allowed
}

// spendAdvice takes the time of a request from the budget.
func (cl *Cell) spendAdvice(st *step, rq AdviceRequest) {
	if cl.adviceBudget != nil {
		cl.adviceBudget.Sent(cl.now, rq.Takes, rq.Urgent)
		cl.adviceBudget.Requested(cl.service(st))
	}
}

// refundAdvice returns the time of a request that was not sent or not answered.
func (cl *Cell) refundAdvice(now time.Duration, rq AdviceRequest) {
	if cl.adviceBudget != nil {
		cl.adviceBudget.Refund(now, rq.Takes, rq.Urgent)
	}
}

// adviceAnswered begins the pause of a step after the answer to its last open request.
func (cl *Cell) adviceAnswered(now time.Duration, st *step, rq AdviceRequest, valid time.Duration) {
	bu := cl.adviceBudget
	if bu == nil {
		return
	}
	bu.Answered(valid)
	if st.advice.pending == 0 {
		st.advice.unused++
		st.advice.pausedUntil = now + bu.Pause(rq.Takes, st.advice.unused)
	}
}

// noteReleased tells the budget of capacity that a run has released.
func (cl *Cell) noteReleased(pl *placement) {
	if cl.adviceBudget != nil {
		st := pl.task.step
		cl.adviceBudget.Released(cl.now, cl.service(st), pl.need, st.urgent())
	}
}
