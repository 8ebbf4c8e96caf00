package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// Limits of the room that is kept free for steps that wait.
const (
	// claimAfter is how long a step waits before room is kept free for it: in that time
	// about a seventh of the running tasks end by themselves.
	claimAfter = 300 * time.Millisecond
	// mostIdle is the part of a service's room that may stand idle at one time while
	// room is gathered: with less of it gangs wait longer than what they displace would.
	mostIdle = 0.1
	// usualSpare is the part of the room that is free on a busy day, since tasks leave
	// what none of them fits into: beyond it nobody misses what stands idle.
	usualSpare = 0.25
	// bulkyShare is the part of a worker's scarcest resource from which single tasks have room
	// gathered before they are late: beside small tasks they find none otherwise.
	bulkyShare = 0.25
	// completeMost is how long room may be kept that is all there: the advisor's answer takes
	// 1.3 s at most and the queue before it 0.3 s. Without an end, a gang whose tickets do not
	// come left nine tenths of a cell idle.
	completeMost = 2 * time.Second
	// claimEvery is how long a choice of room stands: in that time few of the running
	// tasks end, which take seconds.
	claimEvery = 100 * time.Millisecond
)

// claim keeps room free for a step: as many tasks as the candidates' room says.
func (cl *Cell) claim(st *step, chosen []candidate) {
	cl.unclaim(st)
	for _, cand := range chosen {
		wk := cand.worker
		cl.dropClaim(wk) // of a step behind this one, which is late
		wk.claim, wk.kept = st, st.need().Times(int64(cand.room))
		st.claims = append(st.claims, wk)
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

// gather keeps room free for a step that has waited for a while: the room that is free or
// comes free soonest. The first step in the order always gathers, others while the room
// that stands idle for all of them is small, so that each gets its turn.
func (cl *Cell) gather(now time.Duration, st *step) {
	po, ok := cl.pools[cl.service(st)]
	if !ok || now-st.ready < claimAfter || !po.mayIdle() {
		cl.unclaim(st)
		return
	}
	if st.gathered < cl.plans-1 {
		st.promised = 0 // the room was given back meanwhile, and with it the promise
	}
	st.gathered = cl.plans
	if len(st.claims) == 0 && now >= st.rechoose || now-st.claimed >= claimEvery {
		st.claimed = now
		cl.chooseRoom(now, st)
	}
	if st.urgent() {
		return // it is served soon, and must not keep the first of the others from gathering
	}
	for _, wk := range st.claims {
		po.idle += wk.idleFor(wk.kept)
	}
}

// idleFor is the part of a worker that stands idle while room on it is kept free.
func (wk *worker) idleFor(kept size.Size) float64 {
	return max(min(kept.DominantShare(wk.Capacity), 1-wk.used.DominantShare(wk.Capacity)), 0) // one that shrank may be over its room
}

// bulky reports whether a task of the step takes so much of a worker that room for it hardly
// comes free by itself.
func (cl *Cell) bulky(st *step) bool {
	stock := cl.stock(st)
	return len(stock) > 0 && st.need().DominantShare(stock[len(stock)-1].Capacity) >= bulkyShare
}

// chooseRoom keeps the room free that comes free soonest, and has tickets there in time.
func (cl *Cell) chooseRoom(now time.Duration, st *step) {
	list := cl.openings(now, st)
	want := cl.wants(st)
	if !st.def.Gang {
		want = min(want, len(list)) // its tasks start one by one
	}
	chosen, ok := soonest(list, want)
	if !ok {
		st.rechoose = now + claimEvery
		cl.unclaim(st)
		return
	}
	st.expected = list[want-1].at
	if st.promised == 0 || st.expected < st.promised {
		st.promised = st.expected
	}
	if st.waitsForTickets(now) {
		cl.unclaim(st)
	} else {
		cl.claim(st, chosen)
	}
	cl.askAhead(now, st, list)
}

// waitsForTickets reports whether a step keeps no room, since the room was all there for
// long and no tickets came. It does until some come.
func (st *step) waitsForTickets(now time.Duration) bool {
	switch {
	case st.expected > now:
		st.complete = 0
	case st.complete == 0:
		st.complete = now
	case now-st.complete > completeMost && st.advised():
		st.ticketsFirst = true
	}
	return st.ticketsFirst
}

// lends reports whether a step may use the room that is kept on a worker for another: if
// its tasks end before that room is promised to be full. The promise never moves back, or
// tasks of 2 s would use the room for ever, each a little longer.
func (cl *Cell) lends(wk *worker, st *step) bool {
	return cl.overClaims || cl.now+cl.expect(st) <= wk.claim.promised
}

// opening is room for one task of a step on a worker from a time on.
type opening struct {
	worker *worker
	at     time.Duration
}

// openings returns where and when there will be room for tasks of a step, as far as the
// running tasks tell.
func (cl *Cell) openings(now time.Duration, st *step) []opening {
	var list []opening
	workers := backward(cl.stock(st))
	if st.advised() {
		workers = cl.allowed(st, nil)
	}
	for cand := range cl.holding(st, workers, capacity) {
		if st.mayClaim(cand.worker) {
			list = append(list, cl.openingsOn(now, st, cand.worker)...)
		}
	}
	return list
}

// mayClaim reports whether a step may have room kept on a worker: no other has, or one that
// comes later in the order than this step, which is late. Steps in time leave each other's
// room alone, since tickets and time would be lost each time the order changes.
func (st *step) mayClaim(wk *worker) bool {
	return wk.claim == nil || wk.claim == st || st.late && wk.claim.turn > st.turn
}

// openingsOn leaves out room that the step could not use: more than its tasks a worker, and
// that of lasting tasks, which do not end.
func (cl *Cell) openingsOn(now time.Duration, st *step, wk *worker) []opening {
	type ending struct {
		at    time.Duration
		place *placement
	}
	ends := make([]ending, 0, len(wk.places))
	for _, pl := range wk.places {
		if pl.task.step.def.LongRunning && pl.state != stopping {
			continue
		}
		ends = append(ends, ending{now + cl.remains(now, pl), pl})
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	free := wk.Capacity.Sub(wk.used)
	most := len(st.tasks)
	if st.def.PerWorker > 0 {
		most = max(st.def.PerWorker-st.on(wk), 0)
	}
	var list []opening
	for range free.FitCount(st.need()) {
		list = append(list, opening{wk, now})
	}
	for _, end := range ends {
		free = free.Add(end.place.need)
		for range free.FitCount(st.need()) - len(list) {
			list = append(list, opening{wk, end.at})
		}
	}
	return list[:min(most, len(list))]
}

// soonest sorts the openings and chooses those that come first, as many as wanted.
func soonest(list []opening, want int) ([]candidate, bool) {
	if want == 0 || len(list) < want {
		return nil, false
	}
	slices.SortFunc(list, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	counts := map[*worker]int{}
	var chosen []candidate
	for _, op := range list[:want] {
		if counts[op.worker]++; counts[op.worker] == 1 {
			chosen = append(chosen, candidate{worker: op.worker})
		}
	}
	for at := range chosen {
		chosen[at].room = counts[chosen[at].worker]
	}
	return chosen, true
}
