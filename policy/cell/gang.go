package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lookEvery is how often a late gang that does not gather is looked at: a backlog consists
// of such ones, and looking at each in each plan takes longer than the pause between two.
const lookEvery = 50 * time.Millisecond

// planGang places all tasks of a gang, or none. It reports whether the gang lacks room,
// not only the advisor's answer.
func (cl *Cell) planGang(now time.Duration, rd ranked) (short bool) {
	st := rd.step
	if rd.rank.late && len(st.claims) == 0 && now-st.looked < lookEvery {
		return false
	}
	if !cl.window.open(st.urgent()) {
		st.gathered = cl.plans // an urgent gang that asks ahead
		return false
	}
	st.looked = now
	if chosen, ok := cl.seat(st, cl.startable(now, st)); ok {
		cl.startGang(now, st, chosen)
		return false
	}
	cl.gather(now, st)
	cl.askWide(now, st)
	return !st.advised() || len(st.advice.good) > 0
}

// startable returns the workers that could start tasks of the gang now.
func (cl *Cell) startable(now time.Duration, st *step) []candidate {
	if st.advised() {
		return cl.ticketed(now, st)
	}
	return slices.Collect(cl.tight(st))
}

// startGang starts all tasks of the gang with one run number and one checkpoint.
func (cl *Cell) startGang(now time.Duration, st *step, chosen []candidate) {
	run, checkpoint := 0, ""
	for _, tk := range st.tasks {
		run = max(run, tk.run+1)
		if tk.checkpoint != "" {
			checkpoint = tk.checkpoint
		}
	}
	at := 0
	for _, tk := range st.tasks {
		for chosen[at].room == 0 {
			at++
		}
		chosen[at].room--
		tk.checkpoint = checkpoint
		cl.start(now, tk, chosen[at].worker, run)
	}
	cl.unclaim(st)
	st.promised, st.complete = 0, 0
}

// seat chooses workers that together have room for the whole gang: on one rack if
// the gang asks for that and one suffices, near its data first, few of them.
func (cl *Cell) seat(st *step, cands []candidate) ([]candidate, bool) {
	if st.def.SameRack {
		racks := map[string][]candidate{}
		for _, cand := range cands {
			racks[cand.worker.Rack] = append(racks[cand.worker.Rack], cand)
		}
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			if chosen, ok := st.fill(racks[rack]); ok {
				return chosen, true
			}
		}
	}
	return st.fill(cands)
}

// fill takes the workers with most room until the gang has its places.
func (st *step) fill(cands []candidate) ([]candidate, bool) {
	left := len(st.tasks)
	if total(cands) < left {
		return nil, false
	}
	cands = slices.Clone(cands)
	suspect := st.suspect()
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(st.shunned(a.worker, suspect), st.shunned(b.worker, suspect)),
			cmp.Compare(st.far(a.worker), st.far(b.worker)),
			cmp.Compare(b.room, a.room), cmp.Compare(a.worker.free(), b.worker.free()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	var chosen []candidate
	for _, cand := range cands {
		cand.room = min(cand.room, left)
		left -= cand.room
		chosen = append(chosen, cand)
		if left == 0 {
			return chosen, true
		}
	}
	return nil, false
}

// total is the room of all candidates together.
func total(cands []candidate) int {
	sum := 0
	for _, cand := range cands {
		sum += cand.room
	}
	return sum
}

// shunned is 1 for workers on which a member failed or stood still, and where the step is
// suspect for those with another that is.
func (st *step) shunned(wk *worker, suspect bool) int {
	if suspect && wk.carriesSuspect(st) {
		return 1
	}
	for _, tk := range st.tasks {
		if tk.avoid[wk.ID] {
			return 1
		}
	}
	return 0
}
