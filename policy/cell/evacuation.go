package cell

import "slices"

// SetEvacuated sets the data halls that are evacuated. Their workers get no new runs, also if a start was decided
// before and has not been sent. Runs that are there go on, except for those of long-running tasks, which move as far as
// their steps allow tasks to be unavailable.
func (cl *Cell) SetEvacuated(halls []string) {
	cl.evacuated = make(map[string]bool, len(halls))
	for _, hall := range halls {
		cl.evacuated[hall] = true
	}
	for _, wk := range cl.workers {
		cl.applyEvacuation(wk)
	}
}

// applyEvacuation updates whether the worker's hall is evacuated.
func (cl *Cell) applyEvacuation(wk *worker) {
	wk.evacuated = cl.evacuated[wk.Hall]
	if wk.evacuated {
		cl.dropReservation(wk)
	}
}

// moveOffEvacuated stops long-running tasks in evacuated halls, so that they start again elsewhere. They stay as long as no
// other worker that takes runs could run them, and so do the members of a gang, all of which would have to stop.
func (cl *Cell) moveOffEvacuated() {
	if len(cl.evacuated) == 0 {
		return
	}
	mv, elsewhere := moves{}, map[*step]bool{}
	for _, wk := range cl.workers {
		if !wk.evacuated || !wk.answers() {
			continue
		}
		for _, pl := range wk.placements {
			st := pl.task.step
			if pl.state != running || !st.def.LongRunning || st.def.Gang || st.unplaced > 0 || st.def.MaxUnavailable == 0 {
				continue
			}
			may, known := elsewhere[st]
			if !known {
				may = cl.mayRunElsewhere(st)
				elsewhere[st] = may
			}
			if may && mv.take(pl) {
				cl.stop(pl, "data hall is evacuated")
			}
		}
	}
}

// RunsInEvacuatedHalls returns how many runs workers of evacuated halls still have, by hall.
func (cl *Cell) RunsInEvacuatedHalls() map[string]int {
	runs := make(map[string]int, len(cl.evacuated))
	for hall := range cl.evacuated {
		runs[hall] = 0
	}
	if len(runs) == 0 {
		return runs
	}
	for _, wk := range cl.workers {
		if wk.evacuated {
			runs[wk.Hall] += len(wk.placements)
		}
	}
	return runs
}

// awaitsEvacuated reports whether no worker that could run a task of the step takes runs, but one would if its hall were
// not evacuated.
func (cl *Cell) awaitsEvacuated(st *step) bool {
	if len(cl.evacuated) == 0 || cl.mayRunElsewhere(st) {
		return false
	}
	for _, wk := range cl.workers {
		if wk.evacuated && wk.Service == cl.service(st) && wk.usable() && st.mayRunOn(&wk.Worker) {
			return true
		}
	}
	if sb := cl.standby[cl.service(st)]; sb != nil {
		for _, wk := range sb.workers {
			if !cl.mayActivate(&wk) && st.mayRunOn(&wk) {
				return true
			}
		}
	}
	return false
}

// mayRunElsewhere reports whether a worker that takes runs could run a task of the step if it were empty.
func (cl *Cell) mayRunElsewhere(st *step) bool {
	return slices.ContainsFunc(cl.poolWorkers(st), func(wk *worker) bool { return !wk.evacuated && st.mayRunOn(&wk.Worker) })
}

// mayRunOn reports whether a worker could run a task of the step if it were empty, as far as the advisor is known to
// allow it.
func (st *step) mayRunOn(wk *Worker) bool {
	permission, asked := st.advice.verdicts[wk.ID]
	return st.suits(wk) && (!st.advised() || !asked || permission != nil)
}
