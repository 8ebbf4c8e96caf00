package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/quota"
	"tackbeam.example/policy/work"
)

// WaitingStep is a step that has waited for long, with what it waits for.
type WaitingStep struct {
	Step work.Task
	// Waited is how long ago it became ready, Tasks how many of its tasks wait, Placed how many are on workers
	// or may be. For a long-running step, Waited is how long a task has lacked a run, and Tasks counts those that
	// lack one, also if they may be on workers that do not answer.
	Waited        time.Duration
	Tasks, Placed int
	// WaitsFor is what the task waits for that has waited longest.
	WaitsFor Wait
	// AdvicePending is set while an advice request for it is open. Asked and Allowed count the workers with a
	// verdict and with a permission, Startable the tasks that the allowed ones could start.
	AdvicePending             bool
	Asked, Allowed, Startable int
	// Tickets counts the allowed workers with a usable ticket.
	Tickets int
	// Requests counts the advice requests for the step, Unanswered those of them that found the advisor busy
	// or got no answer.
	Requests, Unanswered int
	// Reserved counts the workers on which capacity is reserved for it.
	Reserved int
	// Late is set if the job cannot end in time any more.
	Late bool
	// Usage is what the job's workspace has running. AtLimit is set if the workspace's limit keeps the step from
	// starting, Excess if the job exceeds the rate that the workspace is entitled to.
	Usage           quota.Usage
	AtLimit, Excess bool
}

// LongestWaiting returns up to limit steps that have waited for at least a given time, longest first. It leaves
// out long-running steps, which LongestLacking returns.
func (cl *Cell) LongestWaiting(now, minWait time.Duration, limit int) []WaitingStep {
	var steps []*step
	for st := range cl.open {
		if st.unplaced > 0 && !st.def.LongRunning && now-st.readyAt >= minWait {
			steps = append(steps, st)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.readyAt, b.readyAt), cmp.Compare(a.round.job.spec.ID, b.round.job.spec.ID))
	})
	var list []WaitingStep
	for _, st := range steps[:min(limit, len(steps))] {
		list = append(list, cl.waitingStep(now, st, st.firstWaiting(now)))
	}
	return list
}

// firstWaiting returns a task of a step that waits, preferably one that may be started now.
func (st *step) firstWaiting(now time.Duration) *task {
	if tks := st.waiting(now); len(tks) > 0 {
		return tks[0]
	}
	at := slices.IndexFunc(st.tasks, func(tk *task) bool { return !tk.done && tk.runs == 0 })
	return st.tasks[at]
}

// waitingStep describes a step with a task that waits.
func (cl *Cell) waitingStep(now time.Duration, st *step, tk *task) WaitingStep {
	ws := WaitingStep{
		Step:   st.name(),
		Waited: now - st.readyAt,
		Tasks:  st.unplaced, Placed: st.remaining - st.unplaced,
		AdvicePending: st.advice.pending > 0, Asked: len(st.advice.verdicts), Allowed: len(st.advice.allowed),
		Requests: st.advice.requests, Unanswered: st.advice.unanswered,
		Reserved: len(st.reserved), Late: cl.rank(now, st).late,
		Usage: cl.quota.Usage(st.workspace()), AtLimit: cl.atLimit(st), Excess: st.round.job.excess,
	}
	until := cl.latestArrival(now)
	for cand := range cl.allowedCandidates(st) {
		ws.Startable += cand.slots
		if st.advice.hasTicketUntil(cand.worker, until) {
			ws.Tickets++
		}
	}
	if !st.advised() {
		for cand := range cl.bestFit(st) {
			ws.Startable += cand.slots
		}
	}
	ws.WaitsFor = cl.waitsFor(now, tk, &ws)
	return ws
}

// OldestWait returns how long the longest waiting step has waited, and how many workers have capacity reserved,
// for metrics.
func (cl *Cell) OldestWait(now time.Duration) (wait time.Duration, reserved int) {
	for st := range cl.open {
		switch {
		case st.unplaced == 0:
		case st.def.LongRunning:
			tk, _ := st.lacking()
			wait = max(wait, now-tk.lackingSince())
		default:
			wait = max(wait, now-st.readyAt)
		}
		reserved += len(st.reserved)
	}
	return wait, reserved
}
