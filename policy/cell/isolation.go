package cell

import (
	"cmp"
	"slices"
)

// suspect reports whether workers crashed under the task without another explanation.
func (tk *task) suspect() bool { return tk.crashes.unexplained() > 0 }

// suspect reports whether workers crashed under a task of the step without another explanation.
func (st *step) suspect() bool {
	return st.crashSeen && slices.ContainsFunc(st.tasks, (*task).suspect)
}

// waitsAfterCrash reports whether workers crashed, explained or not, under a task of the step that now waits.
func (st *step) waitsAfterCrash() bool {
	return st.crashSeen && slices.ContainsFunc(st.tasks, func(tk *task) bool {
		return tk.runs == 0 && !tk.done && len(tk.crashes) > 0
	})
}

// fitIsolated returns the index of the candidate that suits a task under which workers crashed, or -1. A
// suspect goes where no other suspect is, so that the next crash tells which of them causes it. All such tasks
// go where the least else runs: a faulty task does least harm there, and a healthy one does not meet a faulty
// one that runs for the first time, since those start where little is free. Placed like other tasks, suspects
// crash workers that healthy jobs run on.
func fitIsolated(tk *task, cands []candidate, besideSuspects []bool) int {
	best, suspect := -1, tk.suspect()
	var bestCost isolationCost
	for i, cand := range cands {
		if cand.slots <= 0 {
			continue
		}
		wk := cand.worker
		cost := isolationCost{tk.avoid[wk.ID], suspect && besideSuspects[i], tk.step.rackDistance(wk), wk.used.Processors()}
		if best < 0 || cost.less(bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}

// besideSuspects returns which of the candidates have a suspect task of another step. Tasks of this step that are placed later do
// not change it.
func (st *step) besideSuspects(cands []candidate) []bool {
	beside := make([]bool, len(cands))
	if st.suspect() {
		for i, cand := range cands {
			beside[i] = cand.worker.hasOtherSuspect(st)
		}
	}
	return beside
}

// isolationCost is what counts against a worker for a task under which workers crashed.
type isolationCost struct {
	failed, suspect bool
	distance        int
	taken           int64
}

func (ic isolationCost) less(other isolationCost) bool {
	switch {
	case ic.failed != other.failed:
		return other.failed
	case ic.suspect != other.suspect:
		return other.suspect
	}
	return cmp.Or(cmp.Compare(ic.distance, other.distance), cmp.Compare(ic.taken, other.taken)) < 0
}

// hasOtherSuspect reports whether the worker has a task of another step under which workers crashed. Such tasks
// are kept apart, so that the next crash tells which of them causes it.
func (wk *worker) hasOtherSuspect(st *step) bool {
	for _, pl := range wk.placements {
		if pl.task.step != st && pl.task.suspect() {
			return true
		}
	}
	return false
}
