package planner

import "time"

// Which waiting steps are logged.
const (
	// waitLogInterval is the interval of the log lines, minLoggedWait the wait from which a step is logged. Most steps
	// start within a second, gangs within a few.
	waitLogInterval = 2 * time.Second
	minLoggedWait   = 4 * time.Second
	// maxLoggedWaits is the number of steps per interval, the longest waits first.
	maxLoggedWaits = 5
)

// logWaits logs the steps that have waited for long, and why. The caller holds the lock.
func (ld *leader) logWaits(now time.Duration) {
	if now-ld.waitsLogged < waitLogInterval {
		return
	}
	ld.waitsLogged = now
	for _, wt := range ld.cell.LongestWaiting(now, minLoggedWait, maxLoggedWaits) {
		ld.log.Info("Step is waiting.", "step", wt.Step.StepName(), "for", wt.Waited.String(), "tasks", wt.Tasks,
			"placed", wt.Placed, "asking", wt.AdvicePending, "asked", wt.Asked, "allowed", wt.Allowed, "room", wt.Startable,
			"kept_free", wt.Reserved, "tickets", wt.Tickets, "questions", wt.Requests, "unanswered", wt.Unanswered, "late", wt.Late,
			"workspace", wt.Usage.Workspace.Name, "at_limit", wt.AtLimit, "excess", wt.Excess,
			"running", wt.Usage.Running.String(), "limit", wt.Usage.Workspace.Limit.String())
	}
	ld.updateLimitGauges()
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
