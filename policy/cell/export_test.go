package cell

// DisableShortcuts makes plans compute anew what they otherwise know from earlier ones. It is called before any job is
// added.
func (cl *Cell) DisableShortcuts() { cl.noShortcuts = true }

// MiscountedRuns returns how many open steps have another number of runs that are not being stopped than they count.
func (cl *Cell) MiscountedRuns() int {
	counts := map[*step]int{}
	for st := range cl.open {
		counts[st] = -st.unstopped
	}
	count := func(wk *worker) {
		for _, pl := range wk.placements {
			if pl.state != stopping {
				counts[pl.task.step]++
			}
		}
	}
	for _, wk := range cl.workers {
		count(wk)
	}
	for _, list := range cl.predecessors {
		for _, pr := range list {
			if cl.workers[pr.worker.ID] != pr.worker {
				count(pr.worker)
			}
		}
	}
	miscounted := 0
	for st, difference := range counts {
		if st.open && difference != 0 {
			miscounted++
		}
	}
	return miscounted
}
