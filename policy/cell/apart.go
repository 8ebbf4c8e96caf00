package cell

import (
	"cmp"
	"slices"
)

// suspect reports whether workers crashed under the task.
func (tk *task) suspect() bool { return tk.crashes.blamed() > 0 }

// suspect reports whether workers crashed under a task of the step.
func (st *step) suspect() bool {
	return st.hit && slices.ContainsFunc(st.tasks, (*task).suspect)
}

// crashed reports whether a task of the step waits under which workers crashed, explained or not.
func (st *step) crashed() bool {
	return st.hit && slices.ContainsFunc(st.tasks, func(tk *task) bool {
		return tk.runs == 0 && !tk.done && len(tk.crashes) > 0
	})
}

// fitApart returns the candidate with room that suits a task under which workers crashed, or -1. A
// suspect goes where no other one is, so that the next crash tells them apart, and all go where
// least else runs: a bad one loses least there, and a good one meets no bad one, as those begin where
// the room is tight. Placed like others, suspects take healthy jobs along.
func fitApart(tk *task, cands []candidate) int {
	best, suspect := -1, tk.suspect()
	var least apartness
	for at, cand := range cands {
		if cand.room <= 0 {
			continue
		}
		wk := cand.worker
		here := apartness{tk.avoid[wk.ID], suspect && wk.carriesSuspect(tk.step), tk.step.far(wk), wk.used.Processors()}
		if best < 0 || here.before(least) {
			best, least = at, here
		}
	}
	return best
}

// apartness is how much speaks against a worker for a task under which workers crashed.
type apartness struct {
	failed, suspect bool
	far             int
	taken           int64
}

func (ap apartness) before(other apartness) bool {
	switch {
	case ap.failed != other.failed:
		return other.failed
	case ap.suspect != other.suspect:
		return other.suspect
	}
	return cmp.Or(cmp.Compare(ap.far, other.far), cmp.Compare(ap.taken, other.taken)) < 0
}

// carriesSuspect reports whether workers crashed under a task of another step that a worker has.
// Such tasks are kept apart: the next crash then tells which of them it was.
func (wk *worker) carriesSuspect(st *step) bool {
	for _, pl := range wk.places {
		if pl.task.step != st && pl.task.suspect() {
			return true
		}
	}
	return false
}
