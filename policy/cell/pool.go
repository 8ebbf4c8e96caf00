package cell

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// pool holds the workers of one service that take new runs now, in ascending order of free processors. A plan
// examines only the part that has capacity for a step, so that its cost does not grow with the number of
// workers.
type pool struct {
	workers []*worker
	// used is how many whole workers are in use when the plan begins, idle how many are idle because they are
	// reserved. The scarcest resource of each worker counts.
	used, idle float64
	// unsorted are the workers to be inserted at their position.
	unsorted []*worker
}

// fillPools adds the workers to their pools for a plan. Pools are kept between plans, since few workers gain or
// lose capacity between two of them, and sorting all workers each time costs as much as the rest of a plan when
// little waits.
func (cl *Cell) fillPools(now time.Duration) {
	for service, po := range cl.pools {
		po.idle = 0
		cl.removeUnsorted(now, po, service)
	}
	for wk := range cl.unpooled {
		cl.examined++
		if cl.acceptsRuns(now, wk) {
			delete(cl.unpooled, wk)
			cl.poolChanges++
			cl.gained(wk)
			po := cl.pool(wk.Service)
			wk.pool = po
			po.unsorted = append(po.unsorted, wk)
		}
	}
	for _, po := range cl.pools {
		po.insertUnsorted()
	}
}

// removeUnsorted removes the workers that take no new runs of the pool's service, and those that were moved, or whose
// free processors have changed, since they were sorted. The others are in order.
func (cl *Cell) removeUnsorted(now time.Duration, po *pool, service string) {
	kept := 0
	for i, wk := range po.workers {
		cl.examined++
		switch {
		case !cl.acceptsRuns(now, wk) || wk.removed || wk.Service != service:
			wk.pool = nil
			cl.poolChanges++
			if !wk.removed {
				cl.unpooled[wk] = true
			}
		case wk.moved || wk.freeProcessors() != wk.sortedFree:
			po.unsorted = append(po.unsorted, wk)
		default:
			if kept < i {
				po.workers[kept] = wk
			}
			kept++
		}
	}
	clear(po.workers[kept:])
	po.workers = po.workers[:kept]
}

// pool returns the pool of a service.
func (cl *Cell) pool(service string) *pool {
	po, ok := cl.pools[service]
	if !ok {
		po = &pool{}
		cl.pools[service] = po
	}
	return po
}

// insertUnsorted inserts the unsorted workers at their positions.
func (po *pool) insertUnsorted() {
	slices.SortFunc(po.unsorted, (*worker).compareFree)
	sorted := len(po.workers) // the workers before this position are in order, those behind it are in place
	po.workers = append(po.workers, po.unsorted...)
	for missing := len(po.unsorted); missing > 0; missing-- {
		wk := po.unsorted[missing-1]
		wk.sortedFree, wk.moved = wk.freeProcessors(), false
		at, _ := slices.BinarySearchFunc(po.workers[:sorted], wk, (*worker).compareFree)
		copy(po.workers[at+missing:], po.workers[at:sorted])
		po.workers[at+missing-1] = wk
		sorted = at
	}
	clear(po.unsorted)
	po.unsorted = po.unsorted[:0]
	po.used = 0
	for i, wk := range po.workers {
		if wk.poolIndex != i {
			wk.poolIndex = i
		}
		if !wk.used.IsZero() {
			po.used += min(wk.used.DominantShare(wk.Capacity), 1) // a worker that shrank may be over its capacity
		}
	}
}

// compareFree orders workers by free processors.
func (wk *worker) compareFree(other *worker) int {
	if free, others := wk.freeProcessors(), other.freeProcessors(); free != others {
		return cmp.Compare(free, others)
	}
	return cmp.Compare(wk.ID, other.ID)
}

// moveDown moves a worker to its position after it has lost free capacity.
func (po *pool) moveDown(wk *worker) {
	wk.moved = true // it may be behind workers of the same size, and its run may be released
	for i := wk.poolIndex; i > 0 && po.workers[i-1].freeProcessors() > wk.freeProcessors(); i-- {
		before := po.workers[i-1]
		po.workers[i], before.poolIndex = before, i
		po.workers[i-1], wk.poolIndex = wk, i-1
	}
}

// crowded reports whether most of the workers' capacity is in use.
func (po *pool) crowded() bool { return po.used >= crowdedShare*po.capacity() }

// capacity is the capacity of the pool in whole workers.
func (po *pool) capacity() float64 { return float64(len(po.workers)) }

// allowsReservation reports whether more capacity may be idle for reservations: a small share of the pool, or
// what nobody else is likely to use.
func (po *pool) allowsReservation() bool {
	spare := (1-typicalFreeShare)*po.capacity() - po.used
	return po.idle <= max(maxIdleShare*po.capacity(), spare)
}

// poolWorkers returns the workers of the step's service that take new runs, in ascending order of free
// processors. The slice must not change during iteration.
func (cl *Cell) poolWorkers(st *step) []*worker {
	if po, ok := cl.pools[cl.service(st)]; ok {
		return po.workers
	}
	return nil
}

// withFreeProcessors returns those workers of the pool that have the processors for a task of the step.
func (cl *Cell) withFreeProcessors(st *step) []*worker {
	workers := cl.poolWorkers(st)
	i, _ := slices.BinarySearchFunc(workers, st.need().Processors(), func(wk *worker, want int64) int {
		return cmp.Compare(wk.freeProcessors(), want)
	})
	return workers[i:]
}

// backward yields workers from last to first.
func backward(workers []*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, wk := range slices.Backward(workers) {
			if !yield(wk) {
				return
			}
		}
	}
}

// candidates yields those of the workers that have the step's label and at least one slot for its tasks, as
// counted by the function slots.
func (cl *Cell) candidates(st *step, workers iter.Seq[*worker], slots func(st *step, wk *worker) int) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		for wk := range workers {
			cl.examined++
			if !st.hasLabel(wk) {
				continue
			}
			if count := slots(st, wk); count > 0 && !yield(candidate{wk, count}) {
				return
			}
		}
	}
}

// bestFit yields the workers that could start a task of the step now: by speed class, then those near its data, then by
// best fit, so that whole workers stay free for wide gangs. Best-effort tasks go where most processors are free.
func (cl *Cell) bestFit(st *step) iter.Seq[candidate] {
	return cl.candidates(st, cl.bestFitOrder(st), cl.startable)
}

// bestFitOrder yields the workers with enough free processors in the order of bestFit.
func (cl *Cell) bestFitOrder(st *step) iter.Seq[*worker] {
	workers := cl.withFreeProcessors(st)
	order := slices.Values(workers)
	if st.def.BestEffort {
		order = backward(workers)
	}
	if st.def.Rack != "" {
		order = st.nearFirst(order)
	}
	return cl.bySpeed(st, order)
}

// nearFirst yields the workers in the rack of the step's data, and then the others.
func (st *step) nearFirst(workers iter.Seq[*worker]) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, distance := range []int{0, 1} {
			for wk := range workers {
				if st.rackDistance(wk) == distance && !yield(wk) {
					return
				}
			}
		}
	}
}

// allWorkers yields the workers that may run the step, including full ones, by speed class, those with most free
// processors first, each with the number of the step's tasks that it would hold if it were empty.
func (cl *Cell) allWorkers(st *step) iter.Seq[candidate] {
	return cl.candidates(st, cl.bySpeed(st, backward(cl.poolWorkers(st))), emptyCapacity)
}

// emptyCapacity returns how many tasks of the step a worker would hold if it were empty.
func emptyCapacity(st *step, wk *worker) int { return wk.Capacity.FitCount(st.need()) }

// allowedWorkers yields the workers that the advisor allowed for the step and that take runs now. If filter is
// set, it is applied to their permissions.
func (cl *Cell) allowedWorkers(st *step, filter func(*permission) bool) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, pm := range st.advice.allowed {
			if filter != nil && !filter(pm) {
				continue
			}
			if wk := cl.worker(pm); wk != nil && wk.pool != nil && wk.Service == cl.service(st) && !yield(wk) {
				return
			}
		}
	}
}

// worker returns the worker of a permission, or nil if it is not known.
func (cl *Cell) worker(pm *permission) *worker {
	if pm.worker == nil || pm.worker.removed {
		pm.worker = cl.workers[pm.id]
	}
	return pm.worker
}

// allowedCandidates yields those of the allowed workers that could start a task of the step now.
func (cl *Cell) allowedCandidates(st *step) iter.Seq[candidate] {
	return cl.candidates(st, cl.allowedWorkers(st, nil), cl.startable)
}
