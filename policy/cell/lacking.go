package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// Restart is the start of a long-running task after the loss of the worker that had its last run.
type Restart struct {
	Task   work.Task
	Worker incarnation.ID
	// After is the time since the last report of that worker, or since the beginning of the term if only an
	// earlier planner had one.
	After time.Duration
}

// answers reports whether the worker answers this planner.
func (wk *worker) answers() bool { return wk.answered && !wk.unreachable }

// lacksRun reports whether the task has no run on a worker that answers.
func (tk *task) lacksRun() bool {
	pl := tk.placement
	return !tk.done && (pl == nil || pl.state != running || !pl.worker.answers())
}

// lackingSince is when the task was last known to run, or became ready if it never did, but not before the term
// began: when tasks of earlier planners ran last is not known.
func (tk *task) lackingSince() time.Duration { return max(tk.lastSeen, tk.step.readyAt, 0) }

// lacking returns the task of a long-running step that has lacked a run for longest, nil if none does, and how
// many tasks lack one.
func (st *step) lacking() (longest *task, count int) {
	for _, tk := range st.tasks {
		if !tk.lacksRun() {
			continue
		}
		count++
		if longest == nil || tk.lackingSince() < longest.lackingSince() {
			longest = tk
		}
	}
	return longest, count
}

// lose releases a run that was lost with its worker.
func (cl *Cell) lose(pl *placement) {
	cl.release(pl)
	pl.task.lost = pl.task.lost || pl.task.runs == 0
}

// runSeen records that a worker has a run of a long-running task.
func (cl *Cell) runSeen(now time.Duration, pl *placement) {
	tk := pl.task
	if !tk.step.def.LongRunning {
		return
	}
	if tk.lost || !tk.seen && !pl.adopted && tk.step.round.job.inherited {
		cl.out.Restarts = append(cl.out.Restarts, Restart{Task: tk.name(), Worker: pl.worker.ID, After: now - tk.lackingSince()})
	}
	tk.lost, tk.seen, tk.lastSeen = false, true, now
}

// LackingTasks returns how many long-running tasks lack a run on a worker that answers, for metrics.
func (cl *Cell) LackingTasks() int {
	sum := 0
	for st := range cl.open {
		if st.def.LongRunning {
			_, count := st.lacking()
			sum += count
		}
	}
	return sum
}

// LongestLacking returns up to limit long-running steps with a task that has lacked a run for at least a given
// time, longest first. Tasks on workers that do not answer lack one.
func (cl *Cell) LongestLacking(now, minLack time.Duration, limit int) []WaitingStep {
	var tks []*task
	for st := range cl.open {
		if !st.def.LongRunning {
			continue
		}
		if tk, _ := st.lacking(); tk != nil && now-tk.lackingSince() >= minLack {
			tks = append(tks, tk)
		}
	}
	slices.SortFunc(tks, func(a, b *task) int {
		rdA, rdB := a.step.round, b.step.round
		return cmp.Or(
			cmp.Compare(a.lackingSince(), b.lackingSince()), cmp.Compare(rdA.job.spec.ID, rdB.job.spec.ID),
			cmp.Compare(rdA.num, rdB.num), cmp.Compare(a.step.num, b.step.num),
		)
	})
	var list []WaitingStep
	for _, tk := range tks[:min(limit, len(tks))] { // describing a step examines each worker
		st := tk.step
		_, count := st.lacking()
		ws := cl.waitingStep(now, st, tk)
		ws.Waited, ws.Tasks, ws.Placed = now-tk.lackingSince(), count, st.remaining-count
		list = append(list, ws)
	}
	return list
}
