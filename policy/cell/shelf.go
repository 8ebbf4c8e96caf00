package cell

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// shelf holds the workers of one service that take new runs now, those with least left
// of their processors first. A plan looks only at the part of it that has room for a
// step, so that its effort does not grow with the workers.
type shelf struct {
	workers []*worker
	// used is how many whole workers are in use when the plan begins, idle how many stand
	// idle while room on them is kept free: of each worker its scarcest resource counts.
	used, idle float64
	// fresh counts the workers that were put there since it was sorted.
	fresh int
}

// shelve puts the workers onto their shelves for one plan. Shelves last from plan to plan, since
// few workers gain or lose room between two of them, and sorting all anew each time costs as much as the
// rest of a plan while little waits.
func (cl *Cell) shelve(now time.Duration) {
	for service, sh := range cl.shelves {
		sh.used, sh.idle = 0, 0
		sh.workers = slices.DeleteFunc(sh.workers, func(wk *worker) bool {
			if cl.takes(now, wk) && wk.Service == service && !wk.forgotten {
				return false
			}
			wk.shelf = nil
			return true
		})
	}
	for _, wk := range cl.workers {
		cl.looks++
		if wk.shelf == nil && cl.takes(now, wk) {
			cl.shelf(wk.Service).put(wk)
		}
	}
	for _, sh := range cl.shelves {
		sh.sort()
		for _, wk := range sh.workers {
			sh.used += min(wk.used.Share(wk.Capacity), 1) // one that shrank may be over its room
		}
	}
}

// shelf returns the shelf of a service.
func (cl *Cell) shelf(service string) *shelf {
	sh, ok := cl.shelves[service]
	if !ok {
		sh = &shelf{}
		cl.shelves[service] = sh
	}
	return sh
}

// put adds a worker at no place yet.
func (sh *shelf) put(wk *worker) {
	wk.shelf = sh
	sh.workers = append(sh.workers, wk)
	sh.fresh++
}

// mostFresh is the part of a shelf from which on it is sorted anew: below that most workers are in
// their places, and the others are moved there.
const mostFresh = 8

func (sh *shelf) sort() {
	if sh.fresh > len(sh.workers)/mostFresh {
		slices.SortFunc(sh.workers, (*worker).byRoom)
	}
	sh.fresh = 0
	for at, wk := range sh.workers {
		for ; at > 0 && wk.byRoom(sh.workers[at-1]) < 0; at-- {
			sh.workers[at] = sh.workers[at-1]
		}
		sh.workers[at] = wk
	}
	for at, wk := range sh.workers {
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
func (sh *shelf) sink(wk *worker) {
	for at := wk.slot; at > 0 && sh.workers[at-1].free() > wk.free(); at-- {
		before := sh.workers[at-1]
		sh.workers[at], before.slot = before, at
		sh.workers[at-1], wk.slot = wk, at-1
	}
}

// crowded reports whether most of the workers' room is in use.
func (sh *shelf) crowded() bool { return sh.used >= mostInUse*sh.all() }

// all is the room of the shelf, in whole workers.
func (sh *shelf) all() float64 { return float64(len(sh.workers)) }

// mayIdle reports whether more room may stand idle for gangs: a small part of the shelf, or
// what nobody else is likely to use.
func (sh *shelf) mayIdle() bool {
	spare := (1-usualSpare)*sh.all() - sh.used
	return sh.idle <= max(mostIdle*sh.all(), spare)
}

// stock returns the workers of the step's service that take new runs, those with least
// left of their processors first. It must not change while it is walked.
func (cl *Cell) stock(st *step) []*worker {
	if sh, ok := cl.shelves[cl.service(st)]; ok {
		return sh.workers
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
	if st.def.Filler {
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
func capacity(st *step, wk *worker) int { return wk.Capacity.Holds(st.need()) }

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
			if wk := cl.worker(lv); wk != nil && wk.shelf != nil && wk.Service == cl.service(st) && !yield(wk) {
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
