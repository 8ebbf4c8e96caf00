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
type shelf struct{ workers []*worker }

// shelve sorts the workers onto their shelves for one plan.
func (cl *Cell) shelve(now time.Duration) {
	clear(cl.shelves)
	for _, wk := range cl.workers {
		cl.looks++
		wk.shelf = nil
		if !cl.takes(now, wk) {
			continue
		}
		sh, ok := cl.shelves[wk.Service]
		if !ok {
			sh = &shelf{}
			cl.shelves[wk.Service] = sh
		}
		wk.shelf = sh
		sh.workers = append(sh.workers, wk)
	}
	for _, sh := range cl.shelves {
		sh.sort()
	}
}

func (sh *shelf) sort() {
	slices.SortFunc(sh.workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.free(), b.free()), cmp.Compare(a.ID, b.ID))
	})
	for at, wk := range sh.workers {
		wk.slot = at
	}
}

// sink moves a worker to its place after it has lost room.
func (sh *shelf) sink(wk *worker) {
	for at := wk.slot; at > 0 && sh.workers[at-1].free() > wk.free(); at-- {
		before := sh.workers[at-1]
		sh.workers[at], before.slot = before, at
		sh.workers[at-1], wk.slot = wk, at-1
	}
}

// from returns the place of the first worker with so many thousandths of a core left.
func (sh *shelf) from(processors int64) int {
	at, _ := slices.BinarySearchFunc(sh.workers, processors, func(wk *worker, want int64) int {
		return cmp.Compare(wk.free(), want)
	})
	return at
}

// tight yields the workers that could start a task of the step now: near its data
// first, then those that it fills most, so that whole workers stay free for wide gangs.
// Fillers go where most is left of the processors. The shelf must not change meanwhile.
func (cl *Cell) tight(st *step) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		sh, ok := cl.shelves[cl.service(st)]
		if !ok {
			return
		}
		fits := sh.workers[sh.from(st.need().Processors()):]
		for _, far := range st.distances() {
			for at := range fits {
				wk := fits[at]
				if st.def.Filler {
					wk = fits[len(fits)-1-at]
				}
				cl.looks++
				if st.far(wk) != far || !st.labelled(wk) {
					continue
				}
				if room := cl.room(st, wk); room > 0 && !yield(candidate{wk, room}) {
					return
				}
			}
		}
	}
}

// distances are the values of far in the order of preference.
func (st *step) distances() []int {
	if st.def.Rack == "" {
		return []int{0}
	}
	return []int{0, 1}
}

// wide yields the workers that may run the step, full ones too, those with most left
// first, and how many of its tasks each would hold if it were empty.
func (cl *Cell) wide(st *step) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		sh, ok := cl.shelves[cl.service(st)]
		if !ok {
			return
		}
		for _, wk := range slices.Backward(sh.workers) {
			cl.looks++
			if !st.labelled(wk) {
				continue
			}
			if room := wk.Capacity.Holds(st.need()); room > 0 && !yield(candidate{wk, room}) {
				return
			}
		}
	}
}

// roomy yields the workers that could start a task of the step now, those with most
// left first.
func (cl *Cell) roomy(st *step) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		sh, ok := cl.shelves[cl.service(st)]
		if !ok {
			return
		}
		for _, wk := range slices.Backward(sh.workers[sh.from(st.need().Processors()):]) {
			cl.looks++
			if !st.labelled(wk) {
				continue
			}
			if room := cl.room(st, wk); room > 0 && !yield(candidate{wk, room}) {
				return
			}
		}
	}
}

// among yields those of the named workers that could start a task of the step now.
func (cl *Cell) among(st *step, ids iter.Seq[string]) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		for id := range ids {
			cl.looks++
			wk, ok := cl.workers[id]
			if !ok || wk.shelf == nil || !cl.may(st, wk) {
				continue
			}
			if room := cl.room(st, wk); room > 0 && !yield(candidate{wk, room}) {
				return
			}
		}
	}
}
