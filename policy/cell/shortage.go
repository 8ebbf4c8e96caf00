package cell

import (
	"iter"
	"math"
	"time"

	"tackbeam.example/policy/size"
)

// In a full cell most steps find no capacity, and few workers gain any between two plans. A step therefore notes which
// workers it has found full, and looks only at those that have gained capacity since. What is noted saves a search that
// would find nothing; it does not change what a plan does otherwise.
//
// A worker gains when a run on it is released, its entry changes, it begins to take runs, or a reservation on it ends.
// Its gains are logged. What a step may use besides depends on the time, since it may backfill reserved capacity, and
// on the settings of its queue. Both are checked.

// gainsKept is how many gains are kept: those of two plans under heavy load.
const gainsKept = 512

// shortage says that a step has found too little capacity on a set of workers.
type shortage struct {
	known bool
	// position is the end of the log of gains when it was found, settings the version of the queues' settings.
	position, settings int
	// slots is an upper bound of the tasks that the workers could start.
	slots int
	// ignoring is set if capacity reserved for gangs counted as free.
	ignoring bool
	// promised is the latest promised start of the reservations that kept the step from capacity, forever if it may
	// not be assumed that they will.
	promised time.Duration
	// until is the time until which tickets had to be valid, if only workers with tickets are in the set.
	until time.Duration
}

// forever is later than any time.
const forever = time.Duration(math.MaxInt64)

// gained records that a worker may have capacity that it did not have before.
func (cl *Cell) gained(wk *worker) { cl.gains.Add(wk) }

// gain is a worker that has gained capacity.
type gain struct {
	worker *worker
	// free is what is free there, last the position of its last gain in the log.
	free size.Size
	last int
}

// recentGains are the workers that have gained capacity since the last plan began, each once, with what is free there
// now. They are computed when they are first needed after a change.
type recentGains struct {
	// from is the end of the log when the last plan began, began that when this one did.
	from, began int
	// list is valid if valid is set and the log still ends at end. bound is the maximum of what is free, in each
	// dimension: most steps need more, since the first in the order have taken what was free.
	list  []gain
	bound size.Size
	end   int
	valid bool
	// indexes are the positions in the list.
	indexes map[*worker]int
}

// beginGains begins a plan.
func (cl *Cell) beginGains() {
	rg := &cl.recent
	rg.from, rg.began, rg.valid = rg.began, cl.gains.End(), false
}

// updateGains brings the recent gains up to date. It returns false if there are too many of them.
func (cl *Cell) updateGains() bool {
	rg, end := &cl.recent, cl.gains.End()
	if rg.valid && rg.end == end {
		return true
	}
	logged, ok := cl.gains.Since(rg.from)
	if !ok {
		return false
	}
	rg.list, rg.bound = rg.list[:0], size.Size{}
	clear(rg.indexes)
	for i, wk := range logged {
		cl.examined++
		if wk.pool == nil {
			continue
		}
		if at, listed := rg.indexes[wk]; listed {
			rg.list[at].last = rg.from + i
			continue
		}
		free := wk.Capacity.Sub(wk.used)
		rg.bound = rg.bound.Max(free)
		rg.indexes[wk] = len(rg.list)
		rg.list = append(rg.list, gain{wk, free, rg.from + i})
	}
	rg.end, rg.valid = end, true
	return true
}

// workerSet is a set of workers that a step searches.
type workerSet int

const (
	// withTicket are the allowed workers with a ticket that is valid long enough.
	withTicket workerSet = iota
	// allowed are all allowed workers.
	allowed
	// withoutVerdict are the workers of which the advisor has said nothing.
	withoutVerdict
	// everyWorker are all workers, for a step that needs no advice.
	everyWorker
	workerSets
)

// includes reports whether a worker is in a set. Tickets must be valid until the given time.
func (ad *advice) includes(set workerSet, wk *worker, until time.Duration) bool {
	pm, asked := ad.verdicts[wk.ID]
	switch set {
	case withTicket:
		return pm != nil && pm.until > until
	case allowed:
		return pm != nil
	case withoutVerdict:
		return !asked
	}
	return true
}

// lacks reports whether a step is known to have too few slots on a set of workers. until is the time until which tickets
// must be valid, 0 if that does not matter.
func (cl *Cell) lacks(st *step, set workerSet, until time.Duration) bool {
	sh := &st.short.found[set]
	if !sh.known || sh.settings != cl.settings || until < sh.until || cl.ignoreReserved && !sh.ignoring {
		return false
	}
	if !cl.keptOut(st, sh) {
		return false
	}
	if end := cl.gains.End(); sh.position < end {
		if !cl.addGains(st, set, until) {
			sh.known = false
			return false
		}
		sh.position, sh.until = end, until
	}
	return true
}

// keptOut reports whether the reservations that limited the step when the shortage was found still do.
func (cl *Cell) keptOut(st *step, sh *shortage) bool {
	return sh.promised == 0 || sh.promised != forever && cl.now+cl.expectedRunTime(st) > sh.promised
}

// addGains adds what a step may use on workers that have gained capacity. It returns false if that may be enough.
func (cl *Cell) addGains(st *step, set workerSet, until time.Duration) bool {
	sh, need, rg := &st.short.found[set], st.needOn(set), &cl.recent
	if sh.position < rg.from || !cl.updateGains() {
		return false
	}
	amount := st.need()
	if !amount.Fits(rg.bound) {
		return true
	}
	for i := range rg.list {
		if ga := &rg.list[i]; ga.last >= sh.position && amount.Fits(ga.free) && ga.worker.Service == cl.service(st) {
			cl.examined++
			if st.advice.includes(set, ga.worker, until) && !cl.addWorker(st, sh, need, ga.worker) {
				return false
			}
		}
	}
	return cl.keptOut(st, sh)
}

// addWorker adds what a step may use on a worker of the set. It returns false if that may be enough.
func (cl *Cell) addWorker(st *step, sh *shortage, need int, wk *worker) bool {
	if !st.hasLabel(wk) {
		return true
	}
	ignoreReserved := cl.ignoreReserved
	cl.ignoreReserved = sh.ignoring
	sh.note(st, wk)
	sh.slots += cl.startable(st, wk)
	cl.ignoreReserved = ignoreReserved
	return sh.slots < need
}

// addAnswer adds what a step may use on the workers that the advisor has just allowed, or given a new ticket for. More
// verdicts add nothing to the workers without a verdict.
func (cl *Cell) addAnswer(st *step, rows []Ticket) {
	if len(rows) > 0 {
		st.short.capacity.known = false
	}
	for _, row := range rows {
		wk := cl.workers[row.Worker]
		if wk == nil || wk.pool == nil || !st.need().Fits(wk.Capacity.Sub(wk.used)) {
			continue // once that changes, the worker has gained capacity
		}
		cl.examined++
		for _, set := range []workerSet{withTicket, allowed} {
			if sh := &st.short.found[set]; sh.known && !cl.addWorker(st, sh, st.needOn(set), wk) {
				sh.known = false
			}
		}
	}
}

// needOn is how many slots on a set of workers make a difference: a gang starts as a whole, but advice for it is
// requested one by one.
func (st *step) needOn(set workerSet) int {
	if st.def.Gang && (set == withTicket || set == everyWorker) {
		return len(st.tasks)
	}
	return 1
}

// note notes a reservation that limits what the step may use on a worker.
func (sh *shortage) note(st *step, wk *worker) {
	other := wk.reservedFor
	switch {
	case other == nil || other == st || !st.need().Fits(wk.Capacity.Sub(wk.used)):
	case other.def.LongRunning:
		sh.promised = forever // whether it may be used depends on the runs that the step lacks
	case !sh.ignoring:
		sh.promised = max(sh.promised, other.promisedAt)
	}
}

// search yields the candidates among the workers, which are those of the set, except that some of them may have a verdict
// if it is withoutVerdict, and that workers with too few processors may be left out. It
// notes whether they are too few. It need not be called if the step is known to lack them.
func (cl *Cell) search(st *step, set workerSet, until time.Duration, workers iter.Seq[*worker]) iter.Seq[candidate] {
	if cl.noShortcuts {
		cands := cl.candidates(st, workers, cl.startable)
		if set == withoutVerdict {
			cands = st.advice.withoutVerdict(cands)
		}
		return cands
	}
	return func(yield func(candidate) bool) {
		sh := shortage{position: cl.gains.End(), settings: cl.settings, ignoring: cl.ignoreReserved, until: until}
		slots := func(st *step, wk *worker) int {
			sh.note(st, wk)
			count := cl.startable(st, wk)
			if count > 0 && set == withoutVerdict && !st.advice.includes(set, wk, until) {
				return 0
			}
			return count
		}
		for cand := range cl.candidates(st, workers, slots) {
			sh.slots += cand.slots
			if !yield(cand) {
				return
			}
		}
		if sh.slots < st.needOn(set) && !st.def.LongRunning {
			sh.known = true
			st.short.found[set] = sh
		}
	}
}

// shortages are what a step has found of too little capacity.
type shortages struct {
	found [workerSets]shortage
	// named says that all workers that could hold a task have a verdict, capacity how many tasks the allowed workers
	// would hold if they were empty.
	named, capacity poolFact
}

// poolFact is what holds until a worker enters or leaves a pool or changes, or the queues' settings change.
type poolFact struct {
	known           bool
	pools, settings int
	value           int
}

// factHolds reports whether a fact is known and holds.
func (cl *Cell) factHolds(fa *poolFact) bool {
	return !cl.noShortcuts && fa.known && fa.pools == cl.poolChanges && fa.settings == cl.settings
}

// newFact returns a fact that holds now.
func (cl *Cell) newFact(value int) poolFact {
	return poolFact{known: true, pools: cl.poolChanges, settings: cl.settings, value: value}
}
