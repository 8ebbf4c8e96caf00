package cell

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// pool holds the workers of one service that take new runs now, those with least left
// of their processors first. A plan looks only at the part of it that has room for a
// step, so that its effort does not grow with the workers.
type pool struct {
	workers []*worker
	// used is how many whole workers are in use when the plan begins, idle how many stand
	// idle while room on them is kept free: of each worker its scarcest resource counts.
	used, idle float64
	// fresh counts the workers that were put there since it was sorted.
	fresh int
}

// fillPools puts the workers into their pools for one plan. Pools last from plan to plan, since
// few workers gain or lose room between two of them, and sorting all anew each time costs as much as the
// rest of a plan while little waits.
func (cl *Cell) fillPools(now time.Duration) {
	for service, po := range cl.pools {
		po.used, po.idle = 0, 0
		po.workers = slices.DeleteFunc(po.workers, func(wk *worker) bool {
			if cl.takes(now, wk) && wk.Service == service && !wk.forgotten {
				return false
			}
			wk.pool = nil
			return true
		})
	}
	for _, wk := range cl.workers {
		cl.looks++
		if wk.pool == nil && cl.takes(now, wk) {
			cl.pool(wk.Service).put(wk)
		}
	}
	for _, po := range cl.pools {
		po.sort()
		for _, wk := range po.workers {
			po.used += min(wk.used.DominantShare(wk.Capacity), 1) // one that shrank may be over its room
		}
	}
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

// put adds a worker at no place yet.
func (po *pool) put(wk *worker) {
	wk.pool = po
	po.workers = append(po.workers, wk)
	po.fresh++
}

// mostFresh is the part of a pool from which on it is sorted anew: below that most workers are in
// their places, and the others are moved there.
const mostFresh = 8

func (po *pool) sort() {
	if po.fresh > len(po.workers)/mostFresh {
		slices.SortFunc(po.workers, (*worker).byRoom)
	}
	po.fresh = 0
	for at, wk := range po.workers {
		for ; at > 0 && wk.byRoom(po.workers[at-1]) < 0; at-- {
			po.workers[at] = po.workers[at-1]
		}
		po.workers[at] = wk
	}
	for at, wk := range po.workers {
		wk.slot = at
	}
}

// byRoom orders workers by what is left of their processors.
func (wk *worker) byRoom(other *worker) int {
	if free, others := wk.free(), other.free(); free != others {
		return cmp.Compare(free, others)
	}
	return cmp.Compare(wk.ID, other.ID)
}

// sink moves a worker to its place after it has lost room.
func (po *pool) sink(wk *worker) {
	for at := wk.slot; at > 0 && po.workers[at-1].free() > wk.free(); at-- {
		before := po.workers[at-1]
		po.workers[at], before.slot = before, at
		po.workers[at-1], wk.slot = wk, at-1
	}
}

// crowded reports whether most of the workers' room is in use.
func (po *pool) crowded() bool { return po.used >= mostInUse*po.all() }

// all is the room of the pool, in whole workers.
func (po *pool) all() float64 { return float64(len(po.workers)) }

// mayIdle reports whether more room may stand idle for gangs: a small part of the pool, or
// what nobody else is likely to use.
func (po *pool) mayIdle() bool {
	spare := (1-usualSpare)*po.all() - po.used
	return po.idle <= max(mostIdle*po.all(), spare)
}

// stock returns the workers of the step's service that take new runs, those with least
// left of their processors first. It must not change while it is walked.
func (cl *Cell) stock(st *step) []*worker {
	if po, ok := cl.pools[cl.service(st)]; ok {
		return po.workers
	}
	return nil
}

// fits returns the part of the stock that has the processors for a task of the step.
func (cl *Cell) fits(st *step) []*worker {
	stock := cl.stock(st)
	at, _ := slices.BinarySearchFunc(stock, st.need().Processors(), func(wk *worker, want int64) int {
		return cmp.Compare(wk.free(), want)
	})
	return stock[at:]
}

// backward yields workers from the last to the first.
func backward(workers []*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, wk := range slices.Backward(workers) {
			if !yield(wk) {
				return
			}
		}
	}
}

// holding yields those of the workers that may run the step and have room for a task of
// it, by the measure given.
func (cl *Cell) holding(st *step, workers iter.Seq[*worker], room func(st *step, wk *worker) int) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		for wk := range workers {
			cl.looks++
			if !st.labelled(wk) {
				continue
			}
			if count := room(st, wk); count > 0 && !yield(candidate{wk, count}) {
				return
			}
		}
	}
}

// tight yields the workers that could start a task of the step now: near its data
// first, then those that it fills most, so that whole workers stay free for wide gangs.
// Fillers go where most is left of the processors.
func (cl *Cell) tight(st *step) iter.Seq[candidate] {
	fits := cl.fits(st)
	order := slices.Values(fits)
	if st.def.BestEffort {
		order = backward(fits)
	}
	if st.def.Rack == "" {
		return cl.holding(st, order, cl.room)
	}
	return cl.holding(st, st.nearFirst(order), cl.room)
}

// nearFirst yields the workers on the rack of the step's data, and then the others.
func (st *step) nearFirst(workers iter.Seq[*worker]) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, far := range []int{0, 1} {
			for wk := range workers {
				if st.far(wk) == far && !yield(wk) {
					return
				}
			}
		}
	}
}

// wide yields the workers that may run the step, full ones too, those with most left
// first, and how many of its tasks each would hold if it were empty.
func (cl *Cell) wide(st *step) iter.Seq[candidate] {
	return cl.holding(st, backward(cl.stock(st)), capacity)
}

// capacity returns how many tasks of the step a worker would hold if it were empty.
func capacity(st *step, wk *worker) int { return wk.Capacity.FitCount(st.need()) }

// roomy yields the workers that could start a task of the step now, those with most
// left first.
func (cl *Cell) roomy(st *step) iter.Seq[candidate] {
	return cl.holding(st, backward(cl.fits(st)), cl.room)
}

// allowed yields the workers that the advisor allowed for the step and that take runs
// now, where only is set those whose leave it takes.
func (cl *Cell) allowed(st *step, only func(*leave) bool) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, lv := range st.advice.good {
			if only != nil && !only(lv) {
				continue
			}
			if wk := cl.worker(lv); wk != nil && wk.pool != nil && wk.Service == cl.service(st) && !yield(wk) {
				return
			}
		}
	}
}

// worker returns the worker of a leave, or nil where it is not known.
func (cl *Cell) worker(lv *leave) *worker {
	if lv.worker == nil || lv.worker.forgotten {
		lv.worker = cl.workers[lv.id]
	}
	return lv.worker
}

// trusted yields those of the allowed workers that could start a task of the step now.
func (cl *Cell) trusted(st *step) iter.Seq[candidate] {
	return cl.holding(st, cl.allowed(st, nil), cl.room)
}
