package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// Limits on capacity that is reserved for waiting steps.
const (
	// reserveAfter is how long a step waits before capacity is reserved for it: about one seventh of the
	// running tasks end by themselves in that time.
	reserveAfter = 300 * time.Millisecond
	// maxIdleShare is the share of a service's capacity that may be idle because it is reserved: with less,
	// gangs wait longer than the tasks that they displace would.
	maxIdleShare = 0.1
	// typicalFreeShare is the share of capacity that is free on a busy day because no waiting task fits into
	// it: beyond it, idle capacity delays nobody.
	typicalFreeShare = 0.25
	// largeTaskShare is the share of a worker's scarcest resource at which single tasks reserve capacity before
	// they are late: small tasks would otherwise leave them none.
	largeTaskShare = 0.25
	// maxCompleteHold limits how long a complete reservation is held: the advisor answers within 1.3 s after at
	// most 0.3 s in its queue. Without a limit, a gang whose tickets did not arrive left nine tenths of a cell
	// idle.
	maxCompleteHold = 2 * time.Second
	// reselectInterval is how long a selection of workers stands: tasks run for seconds, so few end in that
	// time.
	reselectInterval = 100 * time.Millisecond
)

// setReservation reserves capacity for a step on the chosen workers, for as many tasks as each candidate has
// slots.
func (cl *Cell) setReservation(st *step, chosen []candidate) {
	before := make([]reservedWorker, 0, len(st.reserved))
	for _, wk := range st.reserved {
		before = append(before, reservedWorker{wk, wk.reservedSize})
	}
	cl.unreserve(st)
	for _, cand := range chosen {
		wk := cand.worker
		cl.dropReservation(wk) // a step ranked behind this one, which is late, had reserved it
		wk.reservedFor, wk.reservedSize = st, st.need().Times(int64(cand.slots))
		st.reserved = append(st.reserved, wk)
		cl.reserving[st] = true
	}
	for _, rw := range before {
		if rw.worker.reservedFor != st || !rw.size.Fits(rw.worker.reservedSize) {
			cl.gained(rw.worker)
		}
	}
}

// reservedWorker is a worker with the size of a reservation.
type reservedWorker struct {
	worker *worker
	size   size.Size
}

func (cl *Cell) releaseReservation(st *step) {
	for _, wk := range st.reserved {
		if wk.reservedFor == st {
			cl.gained(wk)
		}
	}
	cl.unreserve(st)
}

// unreserve ends the reservations of a step without recording that the workers have gained capacity.
func (cl *Cell) unreserve(st *step) {
	for _, wk := range st.reserved {
		if wk.reservedFor == st {
			wk.reservedFor = nil
		}
	}
	st.reserved = nil
	delete(cl.reserving, st)
}

// dropReservation releases the reservation that a worker is part of, on all its workers.
func (cl *Cell) dropReservation(wk *worker) {
	if wk.reservedFor != nil {
		cl.releaseReservation(wk.reservedFor)
	}
}

// reserve reserves capacity for a step that has waited for some time: capacity that is free or becomes free
// soonest. The first step in the order may always reserve, others only while little capacity is idle because of
// reservations, so that each gets its turn.
func (cl *Cell) reserve(now time.Duration, st *step) {
	po, ok := cl.pools[cl.service(st)]
	if !ok || now-st.readyAt < reserveAfter || !po.allowsReservation() {
		cl.releaseReservation(st)
		return
	}
	if st.reservePlan < cl.planCount-1 {
		st.promisedAt = 0 // the reservation was released in the meantime, so the promise is void
	}
	st.reservePlan = cl.planCount
	if len(st.reserved) == 0 && now >= st.reselectAt || now-st.selectedAt >= reselectInterval {
		st.selectedAt = now
		cl.selectReservation(now, st)
	}
	if st.urgent() {
		return // it is served soon, and must not keep the first of the others from reserving
	}
	for _, wk := range st.reserved {
		po.idle += wk.idleShare(wk.reservedSize)
	}
}

// idleShare is the share of a worker that is idle because it is reserved.
func (wk *worker) idleShare(reserved size.Size) float64 {
	return max(min(reserved.DominantShare(wk.Capacity), 1-wk.used.DominantShare(wk.Capacity)), 0) // a worker that shrank may be overfull
}

// hasLargeTasks reports whether a task of the step takes so much of a worker that capacity for it rarely
// becomes free by itself.
func (cl *Cell) hasLargeTasks(st *step) bool {
	workers := cl.poolWorkers(st)
	return len(workers) > 0 && st.need().DominantShare(workers[len(workers)-1].Capacity) >= largeTaskShare
}

// selectReservation reserves the capacity that becomes free soonest, and requests tickets for it in time.
func (cl *Cell) selectReservation(now time.Duration, st *step) {
	list := cl.openings(now, st, st.mayReserve)
	want := cl.wanted(st)
	if !st.def.Gang {
		want = min(want, openSlots(list)) // its tasks start one by one
	}
	chosen, ok := earliestOpenings(st, list, want)
	if !ok {
		st.reselectAt = now + reselectInterval
		cl.releaseReservation(st)
		return
	}
	first := firstOpenings(list, want)
	st.expectedAt = first[len(first)-1].at
	if st.promisedAt == 0 || st.expectedAt < st.promisedAt {
		st.promisedAt = st.expectedAt
	}
	if st.waitsForTickets(now) {
		cl.releaseReservation(st)
	} else {
		cl.setReservation(st, chosen)
	}
	cl.requestTickets(now, st, list)
}

// waitsForTickets reports whether a step holds no reservation because its capacity was complete for long
// without tickets arriving. It reserves again once some arrive.
func (st *step) waitsForTickets(now time.Duration) bool {
	switch {
	case st.expectedAt > now:
		st.completeSince = 0
	case st.completeSince == 0:
		st.completeSince = now
	case now-st.completeSince > maxCompleteHold && st.advised():
		st.ticketsFirst = true
	}
	return st.ticketsFirst
}

// allowsBackfill reports whether a step may use capacity that is reserved on a worker for another step: only if
// its tasks are expected to end before the promised start of the reserving step. The promise is never
// postponed, or tasks of 2 s would use the capacity forever, each a little longer. An urgent step that finds no
// other capacity may use it in any case, and so may a long-running step that has lost tasks. What is reserved for
// the latter is little, and nobody else uses it.
func (cl *Cell) allowsBackfill(wk *worker, st *step) bool {
	if wk.reservedFor.restarting() {
		return false
	}
	return st.restarting() || cl.ignoreReserved || cl.now+cl.expectedRunTime(st) <= wk.reservedFor.promisedAt
}

// opening is free capacity for a number of tasks of a step on a worker from a time on.
type opening struct {
	worker *worker
	at     time.Duration
	slots  int
}

// openSlots is the number of tasks that all openings have capacity for.
func openSlots(list []opening) int {
	sum := 0
	for _, op := range list {
		sum += op.slots
	}
	return sum
}

// firstOpenings returns the first of the openings, with capacity for as many tasks as wanted, or all of them if they have less.
func firstOpenings(list []opening, want int) []opening {
	for i, op := range list {
		if want <= op.slots {
			first := slices.Clone(list[:i+1])
			first[i].slots = want
			return first
		}
		want -= op.slots
	}
	return list
}

// openings returns where and when there will be capacity for tasks of a step on the admitted workers, estimated from the
// running tasks.
func (cl *Cell) openings(now time.Duration, st *step, admits func(*worker) bool) []opening {
	var list []opening
	workers := backward(cl.poolWorkers(st))
	if st.advised() {
		workers = cl.allowedWorkers(st, nil)
	}
	for cand := range cl.candidates(st, workers, emptyCapacity) {
		if admits(cand.worker) {
			list = append(list, cl.openingsOn(now, st, cand.worker)...)
		}
	}
	return list
}

// mayReserve reports whether a step may reserve capacity on a worker: no other step has, or this step is late
// and the other is ranked behind it. Steps that are in time leave each other's reservations alone, since
// tickets and time would be lost whenever the order changes. Restarts of long-running tasks go before both.
func (st *step) mayReserve(wk *worker) bool {
	other := wk.reservedFor
	switch {
	case other == nil || other == st:
		return true
	case st.restarting() || other.restarting():
		return !other.restarting()
	}
	return st.late && other.planIndex > st.planIndex
}

// openingsOn returns the openings on one worker, sorted by time. There is at most one for what is free now and one for each
// run that ends, however many tasks fit. It leaves out capacity that the step could not use: more than its limit of tasks per
// worker, and that of long-running tasks, which do not end.
func (cl *Cell) openingsOn(now time.Duration, st *step, wk *worker) []opening {
	limit := len(st.tasks)
	if st.def.PerWorker > 0 {
		limit = max(st.def.PerWorker-st.tasksOn(wk), 0)
	}
	free, slots := wk.Capacity.Sub(wk.used), 0
	var list []opening
	add := func(at time.Duration) {
		if count := min(free.FitCount(st.need()), limit); count > slots {
			list = append(list, opening{wk, at, count - slots})
			slots = count
		}
	}
	if add(now); slots == limit {
		return list
	}
	for _, end := range cl.endings(now, wk) {
		free = free.Add(end.placement.need)
		add(end.at)
	}
	return list
}

// ending is when a run is expected to end.
type ending struct {
	at        time.Duration
	placement *placement
}

// endings returns when the runs of a worker are expected to end, sorted by time, without long-running ones.
func (cl *Cell) endings(now time.Duration, wk *worker) []ending {
	ends := make([]ending, 0, len(wk.placements))
	for _, pl := range wk.placements {
		if pl.task.step.def.LongRunning && pl.state != stopping {
			continue
		}
		remaining := cl.remainingTime(now, pl)
		if pl.state == stopping {
			remaining = min(remaining, cl.opts.StopTimeout)
		}
		ends = append(ends, ending{now + remaining, pl})
	}
	slices.SortFunc(ends, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
	return ends
}

// earliestOpenings sorts the openings by time and chooses the first ones, with capacity for as many tasks as wanted.
func earliestOpenings(st *step, list []opening, want int) ([]candidate, bool) {
	if want == 0 || openSlots(list) < want {
		return nil, false
	}
	sortOpenings(st, list)
	indexes := map[*worker]int{}
	var chosen []candidate
	for _, op := range firstOpenings(list, want) {
		i, known := indexes[op.worker]
		if !known {
			i = len(chosen)
			indexes[op.worker] = i
			chosen = append(chosen, candidate{worker: op.worker})
		}
		chosen[i].slots += op.slots
	}
	return chosen, true
}

// sortOpenings sorts openings for tasks of a step by time, those at the same time by speed class.
func sortOpenings(st *step, list []opening) {
	slices.SortFunc(list, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(st.speedClass(a.worker), st.speedClass(b.worker)), cmp.Compare(a.worker.ID, b.worker.ID))
	})
}
