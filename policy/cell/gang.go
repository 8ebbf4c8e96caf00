package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the room that is kept free for gangs that wait.
const (
	// claimAfter is how long a gang waits before workers are kept free for it: in
	// that time about a seventh of the running tasks end by themselves.
	claimAfter = 300 * time.Millisecond
	// maxClaims is the number of gangs that workers are kept free for at one time.
	maxClaims = 3
	// claimEvery is how long a choice of workers stands: in that time few of the
	// running tasks end, which take seconds.
	claimEvery = 100 * time.Millisecond
)

// planGang places all tasks of a gang, or none.
func (cl *Cell) planGang(now time.Duration, st *step, claims *int) {
	if !st.round.job.spec.Queue.Advised {
		if chosen, ok := cl.seat(st, slices.Collect(cl.tight(st))); ok {
			cl.startGang(now, st, chosen)
			return
		}
		cl.claimLater(now, st, claims)
		return
	}
	if chosen, ok := cl.seat(st, cl.ticketed(now, st)); ok {
		cl.startGang(now, st, chosen)
		return
	}
	trusted := slices.Collect(cl.among(st, slices.Values(st.advice.good)))
	if chosen, ok := cl.seat(st, trusted); ok {
		cl.claim(st, chosen) // the tickets are over; keep the places while asking again
		cl.askAgain(now, st, chosen)
		return
	}
	cl.askGang(now, st)
	cl.claimLater(now, st, claims)
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
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(st.shunned(a.worker), st.shunned(b.worker)),
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

// shunned is 1 for workers on which a member failed or stood still.
func (st *step) shunned(wk *worker) int {
	for _, tk := range st.tasks {
		if tk.avoid[wk.ID] {
			return 1
		}
	}
	return 0
}

// claim keeps workers free for a gang.
func (cl *Cell) claim(st *step, chosen []candidate) {
	cl.unclaim(st)
	for _, cand := range chosen {
		if cand.worker.claim == nil {
			cand.worker.claim = st
			st.claims = append(st.claims, cand.worker)
		}
	}
}

func (cl *Cell) unclaim(st *step) {
	for _, wk := range st.claims {
		if wk.claim == st {
			wk.claim = nil
		}
	}
	st.claims = nil
}

func (cl *Cell) dropClaim(wk *worker) {
	if wk.claim != nil {
		cl.unclaim(wk.claim)
	}
}

// claimLater keeps workers free for a gang that has waited for a while: the ones on
// which its room comes free soonest.
func (cl *Cell) claimLater(now time.Duration, st *step, claims *int) {
	if now-st.ready < claimAfter || *claims >= maxClaims {
		cl.unclaim(st)
		return
	}
	*claims++
	if len(st.claims) > 0 && now-st.claimed < claimEvery {
		return
	}
	st.claimed = now
	var cands []candidate
	for cand := range cl.wide(st) {
		if wk := cand.worker; (wk.claim == nil || wk.claim == st) && st.advice.trusts(st, wk) {
			cands = append(cands, cand)
		}
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(cl.load(now, a.worker), cl.load(now, b.worker)), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	left := len(st.tasks)
	for at, cand := range cands {
		if left -= cand.room; left <= 0 {
			cl.claim(st, cands[:at+1])
			return
		}
	}
}

// load is how much work a worker has before it is free, in core-seconds.
func (cl *Cell) load(now time.Duration, wk *worker) float64 {
	var sum float64
	for _, pl := range wk.places {
		rest := max(cl.expect(pl.task.step)-(now-pl.since), 0)
		sum += rest.Seconds() * float64(pl.need.Processors())
	}
	return sum
}
