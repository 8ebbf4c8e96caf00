package cell

import (
	"time"

	"tackbeam.example/policy/incarnation"
)

// WaitReason is what a task waits for.
type WaitReason string

// The reasons, in the order in which they apply. The first five are about runs of the task or its gang that may
// still exist, or that the planner cannot know of.
const (
	// WaitRecovery: any worker of an earlier planner that has not answered this one may run the task.
	WaitRecovery WaitReason = "recovery"
	// WaitPredecessor: its run may begin in the next incarnation of a worker, which has not reported.
	WaitPredecessor WaitReason = "predecessor"
	// WaitLease: its run may be on a worker that does not answer.
	WaitLease WaitReason = "lease"
	// WaitStart: its start was sent and has not been answered.
	WaitStart WaitReason = "start"
	// WaitStop: its run is being stopped.
	WaitStop WaitReason = "stop"
	// WaitBackoff: its last starts failed.
	WaitBackoff WaitReason = "backoff"
	// WaitWindow: as many starts are in flight as may be.
	WaitWindow WaitReason = "window"
	// WaitLimit: its workspace is at its limit.
	WaitLimit WaitReason = "limit"
	// WaitGangs: capacity is left to gangs.
	WaitGangs WaitReason = "gangs"
	// WaitHeadroom: capacity is kept for urgent work.
	WaitHeadroom WaitReason = "headroom"
	// WaitCommit: the journal lacks the records that the workers may have runs, or that of the task's start.
	WaitCommit WaitReason = "commit"
	// WaitEvacuation: all workers that may run it are in evacuated data halls.
	WaitEvacuation WaitReason = "evacuation"
	// WaitQuarantine: all workers that may run it are in quarantine or take no runs for another reason.
	WaitQuarantine WaitReason = "quarantine"
	// WaitAdvice: no allowed worker is known, or those with capacity lack a ticket.
	WaitAdvice WaitReason = "advice"
	// WaitCapacity: the workers that may run it have no capacity for it.
	WaitCapacity WaitReason = "capacity"
	// WaitPlan: the next plan can start it.
	WaitPlan WaitReason = "plan"
)

// Wait is what a task waits for.
type Wait struct {
	Reason WaitReason
	// Worker is the worker that the task waits for, empty if it is none.
	Worker incarnation.ID
	// Remaining is the longest time that the reason can still last, 0 if the cell does not know.
	Remaining time.Duration
}

// waitsFor returns what a task of the step waits for; the rest of ws is known.
func (cl *Cell) waitsFor(now time.Duration, tk *task, ws *WaitingStep) Wait {
	st := tk.step
	if other := tk.waitsForMember(); other != nil {
		return cl.waitsForRun(now, other)
	}
	switch {
	case st.round.job.inherited && !cl.recovered:
		return Wait{Reason: WaitRecovery}
	case tk.retryAt() > now:
		return Wait{Reason: WaitBackoff, Remaining: tk.retryAt() - now}
	case !cl.window.open(st.urgent()):
		return Wait{Reason: WaitWindow}
	case ws.AtLimit:
		return Wait{Reason: WaitLimit}
	case st.deferredPlan > 0 && st.deferredPlan == cl.planCount:
		return Wait{Reason: WaitGangs}
	case cl.defersForHeadroom(st):
		return Wait{Reason: WaitHeadroom}
	case cl.awaitsCommit(st):
		return Wait{Reason: WaitCommit}
	case cl.awaitsEvacuated(st):
		return Wait{Reason: WaitEvacuation}
	}
	if wk := cl.firstQuarantined(now, st); wk != nil {
		return Wait{Reason: WaitQuarantine, Worker: wk.ID, Remaining: wk.quarantineUntil - now}
	}
	needed := 1
	if st.def.Gang {
		needed = len(st.tasks)
	}
	switch {
	case st.advised() && (ws.Allowed == 0 || ws.Startable >= needed && ws.Tickets == 0):
		return Wait{Reason: WaitAdvice}
	case ws.Startable < needed:
		return Wait{Reason: WaitCapacity}
	}
	return Wait{Reason: WaitPlan}
}

// waitsForMember returns the task whose run has to end before the task can start: the task itself or a member of
// its gang, nil if there is none.
func (tk *task) waitsForMember() *task {
	if tk.runs > 0 {
		return tk
	}
	if !tk.step.def.Gang {
		return nil
	}
	for _, member := range tk.step.tasks {
		if member.runs > 0 {
			return member
		}
	}
	return nil
}

// waitsForRun returns what a task waits for that may have a run.
func (cl *Cell) waitsForRun(now time.Duration, tk *task) Wait {
	pl := tk.placement
	if pl == nil {
		return Wait{Reason: WaitStop} // only earlier runs are left
	}
	wt := Wait{Reason: WaitStop, Worker: pl.worker.ID}
	if until, ok := cl.predecessorUntil(pl.worker); ok {
		wt.Reason, wt.Remaining = WaitPredecessor, until-now
		return wt
	}
	switch {
	case !pl.worker.answers():
		wt.Reason = WaitLease
	case pl.unsent:
		wt.Reason = WaitCommit
	case pl.state == ordered:
		wt.Reason = WaitStart
	}
	return wt
}

// retryAt is when the task may be started again after failed starts. The tasks of a gang start together.
func (tk *task) retryAt() time.Duration {
	if !tk.step.def.Gang {
		return tk.startFailures.retryAt
	}
	var at time.Duration
	for _, member := range tk.step.tasks {
		at = max(at, member.startFailures.retryAt)
	}
	return at
}

// awaitsCommit reports whether the step has no worker that takes runs, but one that will once the journal has
// its record.
func (cl *Cell) awaitsCommit(st *step) bool {
	if len(cl.poolWorkers(st)) > 0 {
		return false
	}
	for _, wk := range cl.workers {
		if wk.Service == cl.service(st) && wk.listed && wk.answers() && wk.openRecord > cl.committed {
			return true
		}
	}
	return false
}

// firstQuarantined returns the worker whose quarantine ends first if none that may run the step takes runs, or nil.
func (cl *Cell) firstQuarantined(now time.Duration, st *step) *worker {
	var first *worker
	for _, wk := range cl.workers {
		allowed := !st.advised() || st.advice.verdicts[wk.ID] != nil
		if wk.Service != cl.service(st) || !st.hasLabel(wk) || !allowed {
			continue
		}
		if wk.pool != nil {
			return nil
		}
		if wk.listed && wk.answers() && wk.quarantineUntil > now && (first == nil || wk.quarantineUntil < first.quarantineUntil) {
			first = wk
		}
	}
	return first
}
