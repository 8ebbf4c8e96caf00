package cell

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the room that is kept free for gangs that wait.
const (
	// claimAfter is how long a gang waits before room is kept free for it: in that time
	// about a seventh of the running tasks end by themselves.
	claimAfter = 300 * time.Millisecond
	// maxClaims is the number of gangs that room is kept free for at one time.
	maxClaims = 3
	// claimEvery is how long a choice of room stands: in that time few of the running
	// tasks end, which take seconds.
	claimEvery = 100 * time.Millisecond
)

// claim keeps room free for a gang: as many tasks as the candidates' room says.
func (cl *Cell) claim(st *step, chosen []candidate) {
	cl.unclaim(st)
	for _, cand := range chosen {
		if wk := cand.worker; wk.claim == nil {
			wk.claim, wk.kept = st, st.need().Times(int64(cand.room))
			st.claims = append(st.claims, wk)
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

// claimLater keeps room free for a gang that has waited for a while: the room that is
// free or comes free soonest.
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
	if chosen, ok := st.soonest(cl.openings(now, st)); ok {
		cl.claim(st, chosen)
	}
}

// opening is room for one task of a step on a worker from a time on.
type opening struct {
	worker *worker
	at     time.Duration
}

// openings returns where and when there will be room for tasks of a gang, as far as the
// running tasks tell.
func (cl *Cell) openings(now time.Duration, st *step) []opening {
	var list []opening
	for cand := range cl.wide(st) {
		wk := cand.worker
		if wk.claim != nil && wk.claim != st || !st.advice.trusts(st, wk) {
			continue
		}
		list = append(list, cl.openingsOn(now, st, wk)...)
	}
	return list
}

func (cl *Cell) openingsOn(now time.Duration, st *step, wk *worker) []opening {
	type ending struct {
		at    time.Duration
		place *placement
	}
	ends := make([]ending, 0, len(wk.places))
	for _, pl := range wk.places {
		ends = append(ends, ending{now + cl.remains(now, pl), pl})
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	free := wk.Capacity.Sub(wk.used)
	var list []opening
	for range free.Holds(st.need()) {
		list = append(list, opening{wk, now})
	}
	for _, end := range ends {
		free = free.Add(end.place.need)
		for range free.Holds(st.need()) - len(list) {
			list = append(list, opening{wk, end.at})
		}
	}
	return list
}

// soonest chooses the openings that come first, one for each task of the gang.
func (st *step) soonest(list []opening) ([]candidate, bool) {
	if len(list) < len(st.tasks) {
		return nil, false
	}
	slices.SortFunc(list, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	counts := map[*worker]int{}
	var chosen []candidate
	for _, op := range list[:len(st.tasks)] {
		if counts[op.worker]++; counts[op.worker] == 1 {
			chosen = append(chosen, candidate{worker: op.worker})
		}
	}
	for at := range chosen {
		chosen[at].room = counts[chosen[at].worker]
	}
	return chosen, true
}
