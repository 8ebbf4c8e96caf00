package cell

import "time"

// Limits of moving work off draining workers.
const (
	// checkpointLead is how long before a worker leaves that tasks which save checkpoints are stopped, so that
	// they continue elsewhere from there: a stop takes up to 0.9 s.
	checkpointLead = 1200 * time.Millisecond
	// overrunMargin is how far a task's remaining time must exceed the worker's for it to be moved at once: a
	// worker may stay longer than it announced.
	overrunMargin = 1500 * time.Millisecond
)

// moveOffDraining moves work off draining workers if staying would lose it.
func (cl *Cell) moveOffDraining(now time.Duration) {
	mv := moves{}
	for _, wk := range cl.workers {
		if !wk.Draining || !wk.answered {
			continue
		}
		for _, pl := range wk.placements {
			if pl.state == running && cl.shouldMove(now, wk, pl, mv) {
				cl.stop(pl, "worker is draining")
				if pl.task.step.def.Gang {
					cl.stopGang(pl.task.step, pl.run, "worker of a gang member is draining")
				}
			}
		}
	}
}

// shouldMove reports whether a run is better ended now than when the worker leaves. A long-running one that is
// is counted in mv.
func (cl *Cell) shouldMove(now time.Duration, wk *worker, pl *placement, mv moves) bool {
	def := pl.task.step.def
	timeLeft := wk.leavesAt - now
	switch {
	case def.LongRunning:
		return mv.take(pl)
	case pl.percent >= fullPercent:
		return false
	case cl.remainingTime(now, pl) <= timeLeft:
		return false
	case def.Checkpoints:
		return timeLeft < checkpointLead
	}
	return cl.remainingTime(now, pl) > timeLeft+overrunMargin
}

// moves counts the tasks of long-running steps that are not up, including those that are being moved, so that the tasks of a
// step are counted once however many of them are to move.
type moves map[*step]int

// take reports whether a running task may be moved now, and if so counts it.
func (mv moves) take(pl *placement) bool {
	st := pl.task.step
	count, known := mv[st]
	if !known {
		count = st.unavailable()
	}
	may := count < st.def.MaxUnavailable
	if may && pl.percent >= fullPercent {
		count++
	}
	mv[st] = count
	return may
}

// unavailable counts the tasks of a long-running step that are not up.
func (st *step) unavailable() int {
	count := 0
	for _, tk := range st.tasks {
		if tk.placement == nil || tk.placement.state != running || tk.placement.percent < fullPercent {
			count++
		}
	}
	return count
}
