package planner

import (
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
)

// Which waiting steps are logged.
const (
	// waitLogInterval is the interval of the log lines, minLoggedWait the wait from which a step is logged. Most steps
	// start within a second, gangs within a few.
	waitLogInterval = 2 * time.Second
	minLoggedWait   = 4 * time.Second
	// maxLoggedWaits is the number of steps per interval, the longest waits first.
	maxLoggedWaits = 5
	// maxLoggedLacking is the number of long-running steps per interval that lack tasks. Users report such a task as
	// missing soon after the lease of its worker, so they are logged even if many other steps wait longer.
	maxLoggedLacking = 20
	// lackSlack is the time after the lease of a lost worker within which its long-running tasks are usually started
	// again.
	lackSlack = time.Second
)

// logWaits logs the steps that have waited for long, and why. The caller holds the lock.
func (ld *leader) logWaits(now time.Duration) {
	if now-ld.waitsLogged < waitLogInterval {
		return
	}
	ld.waitsLogged = now
	for _, wt := range ld.cell.LongestLacking(now, ld.lease+lackSlack, maxLoggedLacking) {
		ld.logWait(now, wt)
	}
	for _, wt := range ld.cell.LongestWaiting(now, minLoggedWait, maxLoggedWaits) {
		ld.logWait(now, wt)
	}
	ld.updateLimitGauges()
}

func (ld *leader) logWait(now time.Duration, wt cell.WaitingStep) {
	if wt.WaitsFor.Reason == cell.WaitLease {
		wt.WaitsFor.Remaining = ld.leaseRemaining(now, wt.WaitsFor.Worker)
	}
	ld.log.Info("Step is waiting.", "step", wt.Step.StepName(), "for", wt.Waited.String(), "waits_for", wt.WaitsFor.Reason,
		"worker", wt.WaitsFor.Worker, "remaining", wt.WaitsFor.Remaining.String(), "can_plan", ld.canPlan(), "tasks", wt.Tasks,
		"placed", wt.Placed, "asking", wt.AdvicePending, "asked", wt.Asked, "allowed", wt.Allowed, "room", wt.Startable,
		"kept_free", wt.Reserved, "tickets", wt.Tickets, "questions", wt.Requests, "unanswered", wt.Unanswered, "late", wt.Late,
		"workspace", wt.Usage.Workspace.Name, "at_limit", wt.AtLimit, "excess", wt.Excess,
		"running", wt.Usage.Running.String(), "limit", wt.Usage.Workspace.Limit.String())
}

// leaseRemaining returns the time until a worker that does not answer has surely ended all its runs. The caller holds
// the lock.
func (ld *leader) leaseRemaining(now time.Duration, id incarnation.ID) time.Duration {
	if se, ok := ld.sessions[id]; ok {
		return max(se.leaseEnd()-now, 0)
	}
	return max(ld.inheritedLeaseEnd(id)-now, 0)
}

// updateLimitGauges counts the workspaces that use at least nine tenths of a limit, and those over a limit. A workspace
// is over a limit only if the limit was lowered below its usage. The caller holds the lock.
func (ld *leader) updateLimitGauges() {
	const nearly = 0.9
	near, over := 0, 0
	for _, use := range ld.cell.WorkspaceUsages() {
		if _, exceeds := use.Workspace.Exceeds(use.Running); exceeds {
			over++
		}
		if use.Running.DominantShare(use.Workspace.Limit) >= nearly {
			near++
		}
	}
	ld.metrics.gauge("planner.workspaces_near_limit", near)
	ld.metrics.gauge("planner.workspaces_over_limit", over)
}
