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
	// Waited is how long ago it became ready, Tasks how many of its tasks wait, Placed how
	// many are on workers or may be there.
	Waited        time.Duration
	Tasks, Placed int
	// AdvicePending is set while the advisor has a question about it. Asked and Allowed count
	// the workers of which it has spoken, Room the tasks that those allowed could start.
	AdvicePending             bool
	Asked, Allowed, Startable int
	// Tickets counts the allowed workers whose tickets can still be used.
	Tickets int
	// Questions counts those asked about the step, Unanswered those of them that found
	// the advisor too busy, or no answer.
	Questions, Unanswered int
	// Reserved counts the workers that are kept free for it.
	Reserved int
	// Late is set where the job cannot be in time any more.
	Late bool
	// Use is what the job's workspace has running, AtLimit is set where its limit keeps the step from starting,
	// Excess where the job is beyond what the workspace is owed.
	Use             quota.Usage
	AtLimit, Excess bool
}

// LongestWaiting returns the steps that have waited longest, at most a number of them, and only
// ones that have waited for a time.
func (cl *Cell) LongestWaiting(now, least time.Duration, most int) []WaitingStep {
	var steps []*step
	for st := range cl.open {
		if st.waits > 0 && now-st.ready >= least {
			steps = append(steps, st)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(a.round.job.spec.ID, b.round.job.spec.ID))
	})
	var list []WaitingStep
	for _, st := range steps[:min(most, len(steps))] {
		list = append(list, cl.wait(now, st))
	}
	return list
}

func (cl *Cell) wait(now time.Duration, st *step) WaitingStep {
	wt := WaitingStep{
		Step:   work.Task{Job: st.round.job.spec.ID, Round: st.round.num, Step: st.num},
		Waited: now - st.ready,
		Tasks:  st.waits, Placed: st.left - st.waits,
		AdvicePending: st.advice.open > 0, Asked: len(st.advice.verdicts), Allowed: len(st.advice.good),
		Questions: st.advice.questions, Unanswered: st.advice.unanswered,
		Reserved: len(st.claims), Late: cl.rank(now, st).late,
		Use: cl.quota.Usage(st.workspace()), AtLimit: cl.atLimit(st), Excess: st.round.job.excess,
	}
	need := cl.reaches(now)
	for cand := range cl.trusted(st) {
		wt.Startable += cand.room
		if st.advice.goodUntil(cand.worker, need) {
			wt.Tickets++
		}
	}
	return wt
}

// OldestWait returns how long the step that has waited longest has waited, and how many
// workers are kept free for gangs, for measures.
func (cl *Cell) OldestWait(now time.Duration) (wait time.Duration, kept int) {
	for st := range cl.open {
		if st.waits > 0 {
			wait = max(wait, now-st.ready)
		}
		kept += len(st.claims)
	}
	return wait, kept
}
