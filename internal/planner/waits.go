package planner

import "time"

// Which waits are logged.
const (
	// waitsEvery is how often, waitsLeast from which age on: most steps start within a
	// second, gangs within a few.
	waitsEvery = 2 * time.Second
	waitsLeast = 4 * time.Second
	// waitsMost is how many at a time, the longest ones.
	waitsMost = 5
)

// tellWaits logs what waits for long, and why. The caller holds the lock.
func (ld *lead) tellWaits(now time.Duration) {
	if now-ld.told < waitsEvery {
		return
	}
	ld.told = now
	for _, wt := range ld.cell.LongestWaiting(now, waitsLeast, waitsMost) {
		ld.log.Info("Step waits.", "step", wt.Step.StepName(), "for", wt.Waited.String(), "tasks", wt.Tasks,
			"placed", wt.Placed, "asking", wt.AdvicePending, "asked", wt.Asked, "allowed", wt.Allowed, "room", wt.Startable,
			"kept_free", wt.Reserved, "tickets", wt.Tickets, "questions", wt.Requests, "unanswered", wt.Unanswered, "late", wt.Late,
			"workspace", wt.Usage.Workspace.Name, "at_limit", wt.AtLimit, "excess", wt.Excess,
			"running", wt.Usage.Running.String(), "limit", wt.Usage.Workspace.Limit.String())
	}
	ld.measureLimits()
}

// measureLimits tells how many workspaces are full to nine tenths of their limits, and how many are over them, as
// those are whose limit was lowered below what runs. The caller holds the lock.
func (ld *lead) measureLimits() {
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
	ld.measures.gauge("planner.workspaces_near_limit", near)
	ld.measures.gauge("planner.workspaces_over_limit", over)
}
