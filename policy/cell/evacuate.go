package cell

import "time"

// Limits of moving work off workers that leave.
const (
	// lastCall is how long before a worker leaves the tasks that save their progress
	// are stopped, so that they go on elsewhere from there: a stop takes up to 0.9 s.
	lastCall = 1200 * time.Millisecond
	// hopeless is by how much more than the worker's remaining time a task must need to
	// be moved at once: a worker may stay longer than it promises.
	hopeless = 1500 * time.Millisecond
)

// evacuate moves work off workers that leave, where staying would lose it.
func (cl *Cell) evacuate(now time.Duration) {
	for _, wk := range cl.workers {
		if !wk.Draining || !wk.answered {
			continue
		}
		for _, pl := range wk.places {
			if pl.state == running && cl.shouldMove(now, wk, pl) {
				cl.stop(pl, "worker leaves")
				if pl.task.step.def.Gang {
					cl.breakGang(pl.task.step, "gang's worker leaves")
				}
			}
		}
	}
}

// shouldMove reports whether a run is better ended now than by the worker's leaving.
func (cl *Cell) shouldMove(now time.Duration, wk *worker, pl *placement) bool {
	def := pl.task.step.def
	left := wk.leaves - now
	switch {
	case def.LongRunning:
		return pl.task.step.away() < def.MaxUnavailable
	case pl.percent >= whole:
		return false
	case cl.remains(now, pl) <= left:
		return false
	case def.Checkpoints:
		return left < lastCall
	}
	return cl.remains(now, pl) > left+hopeless
}

// away counts the tasks of a lasting step that are not at work.
func (st *step) away() int {
	count := 0
	for _, tk := range st.tasks {
		if tk.place == nil || tk.place.state != running || tk.place.percent < whole {
			count++
		}
	}
	return count
}
