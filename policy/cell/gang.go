package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

// lateGangInterval is how often a late gang without a reservation is considered: a backlog consists of such
// gangs, and considering each in every plan takes longer than the pause between two plans.
const lateGangInterval = 50 * time.Millisecond

// planGang places all tasks of a gang or none. It reports whether the gang lacks capacity, and not just the
// advisor's answer.
func (cl *Cell) planGang(now time.Duration, rd ranked) (lacksCapacity bool) {
	st := rd.step
	if rd.rank.late && len(st.reserved) == 0 && now-st.lastTried < lateGangInterval {
		return false
	}
	if !cl.window.open(st.urgent()) || !cl.mayStartRuns(st, len(st.tasks)) {
		st.reservePlan = cl.planCount // an urgent gang is not skipped while the window is full; it keeps its reservation
		return false
	}
	st.lastTried = now
	if chosen, ok := cl.selectGangWorkers(st, cl.gangCandidates(now, st)); ok {
		if !cl.withholds(st, chosen...) {
			cl.startGang(now, st, chosen)
		}
		return false
	}
	if !st.advised() {
		cl.noteLack(now, st)
	}
	cl.reserve(now, st)
	cl.requestForReservation(now, st)
	return !st.advised() || len(st.advice.allowed) > 0
}

// gangCandidates returns the workers that could start tasks of the gang now.
func (cl *Cell) gangCandidates(now time.Duration, st *step) []candidate {
	if st.advised() {
		return cl.withTickets(now, st)
	}
	if cl.lacks(st, everyWorker, 0) {
		return nil
	}
	return slices.Collect(cl.search(st, everyWorker, 0, cl.bestFitOrder(st)))
}

// startGang starts all tasks of the gang with the same run number and checkpoint.
func (cl *Cell) startGang(now time.Duration, st *step, chosen []candidate) {
	run, checkpoint := 0, ""
	for _, tk := range st.tasks {
		run = max(run, tk.run+1)
		if tk.checkpoint != "" {
			checkpoint = tk.checkpoint
		}
	}
	i := 0
	for _, tk := range st.tasks {
		for chosen[i].slots == 0 {
			i++
		}
		chosen[i].slots--
		tk.checkpoint = checkpoint
		cl.start(now, tk, chosen[i].worker, run)
	}
	cl.releaseReservation(st)
	st.promisedAt, st.completeSince = 0, 0
}

// selectGangWorkers chooses workers that together have capacity for the whole gang: in one rack if the gang
// asks for that and one suffices, preferably near its data, and as few as possible.
func (cl *Cell) selectGangWorkers(st *step, cands []candidate) ([]candidate, bool) {
	if totalSlots(cands) < len(st.tasks) {
		return nil, false
	}
	avoided := st.avoidedWorkers(cands)
	if st.def.SameRack {
		racks := map[string][]candidate{}
		for _, cand := range cands {
			racks[cand.worker.Rack] = append(racks[cand.worker.Rack], cand)
		}
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			if chosen, ok := st.fill(racks[rack], avoided); ok {
				return chosen, true
			}
		}
	}
	return st.fill(cands, avoided)
}

// fill takes workers until all tasks of the gang have a place: first those not to be avoided, among them the
// fast ones, then those of usual speed and the slow ones, then those near the step's data, and among these the ones with most slots.
func (st *step) fill(cands []candidate, avoided map[*worker]int) ([]candidate, bool) {
	remaining := len(st.tasks)
	if totalSlots(cands) < remaining {
		return nil, false
	}
	cands = slices.Clone(cands)
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(avoided[a.worker], avoided[b.worker]),
			cmp.Compare(st.speedClass(a.worker), st.speedClass(b.worker)),
			cmp.Compare(st.rackDistance(a.worker), st.rackDistance(b.worker)),
			cmp.Compare(b.slots, a.slots), cmp.Compare(a.worker.freeProcessors(), b.worker.freeProcessors()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	var chosen []candidate
	for _, cand := range cands {
		cand.slots = min(cand.slots, remaining)
		remaining -= cand.slots
		chosen = append(chosen, cand)
		if remaining == 0 {
			return chosen, true
		}
	}
	return nil, false
}

// totalSlots is the number of tasks that all candidates together could start.
func totalSlots(cands []candidate) int {
	sum := 0
	for _, cand := range cands {
		sum += cand.slots
	}
	return sum
}

// avoidedWorkers returns 1 for those of the workers on which a member failed or hung, and, if the step is suspect, for workers
// with another suspect.
func (st *step) avoidedWorkers(cands []candidate) map[*worker]int {
	avoided, suspect := map[*worker]int{}, st.suspect()
	ids := map[incarnation.ID]bool{}
	for _, tk := range st.tasks {
		maps.Copy(ids, tk.avoid)
	}
	for _, cand := range cands {
		if wk := cand.worker; ids[wk.ID] || suspect && wk.hasOtherSuspect(st) {
			avoided[wk] = 1
		}
	}
	return avoided
}
