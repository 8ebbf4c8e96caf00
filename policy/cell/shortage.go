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

const (
	// gainsKept is how many gains are kept: those of some plans under heavy load.
	gainsKept = 512
	// maxGains is how many gains a step looks at instead of searching anew, which takes as long.
	maxGains = 64
)

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

// beginGains begins a plan. largestGain covers the gains since the last plan began.
func (cl *Cell) beginGains() {
	cl.gainsFrom, cl.planBegan = cl.planBegan, cl.gains.End()
	cl.gainsMeasured = -1
}

// gainsUsed records that capacity was taken, so that largestGain may be less than it was.
func (cl *Cell) gainsUsed() { cl.gainsMeasured = -1 }

// largestGain returns an upper bound, in each dimension, of what is free on the workers that have gained capacity since
// the last plan began. Most steps need more, since the first in the order have taken what was free.
func (cl *Cell) largestGain() size.Size {
	if cl.gainsMeasured < 0 {
		cl.gainBound, cl.gainsMeasured = size.Size{}, cl.gainsFrom
	}
	list, ok := cl.gains.Since(cl.gainsMeasured)
	if !ok {
		cl.gainsMeasured = -1
		return size.New(math.MaxInt64, math.MaxInt64, math.MaxInt64)
	}
	cl.gainsMeasured = cl.gains.End()
	for _, wk := range list {
		cl.examined++
		if wk.pool != nil {
			cl.gainBound = cl.gainBound.Max(wk.Capacity.Sub(wk.used))
		}
	}
	return cl.gainBound
}

// workerSet is a set of workers that a step searches.
type workerSet int

const (
	// withTicket are the allowed workers with a ticket that is valid long enough.
	withTicket workerSet = iota
	// allowed are all allowed workers.
	allowed
	// withoutVerdict are the workers of which the advisor has said nothing: all of them if the step needs no advice.
	withoutVerdict
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
	}
	return !asked
}

// lacks reports whether a step is known to have too few slots for a number of tasks on a set of workers. until is the
// time until which tickets must be valid, 0 if that does not matter.
func (cl *Cell) lacks(st *step, set workerSet, need int, until time.Duration) bool {
	sh := &st.short.found[set]
	if !sh.known || sh.settings != cl.settings || until < sh.until || cl.ignoreReserved && !sh.ignoring {
		return false
	}
	if !cl.keptOut(st, sh) {
		return false
	}
	if end := cl.gains.End(); sh.position < end {
		if sh.position < cl.gainsFrom || st.need().Fits(cl.largestGain()) {
			if !cl.addGains(st, set, need, until) {
				sh.known = false
				return false
			}
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
func (cl *Cell) addGains(st *step, set workerSet, need int, until time.Duration) bool {
	sh := &st.short.found[set]
	list, ok := cl.gains.Since(sh.position)
	if !ok || len(list) > maxGains {
		return false
	}
	ignoreReserved := cl.ignoreReserved
	cl.ignoreReserved = sh.ignoring
	defer func() { cl.ignoreReserved = ignoreReserved }()
	service, size := cl.service(st), st.need()
	for _, wk := range list {
		if wk.pool == nil || wk.Service != service || !size.Fits(wk.Capacity.Sub(wk.used)) {
			continue
		}
		cl.examined++
		if !st.hasLabel(wk) || !st.advice.includes(set, wk, until) {
			continue
		}
		sh.note(st, wk)
		if sh.slots += cl.startable(st, wk); sh.slots >= need {
			return false
		}
	}
	return cl.keptOut(st, sh)
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

// search yields the candidates of a set among the workers, which include the whole set as far as it has capacity. It
// notes whether they are too few for a number of tasks. It need not be called if the step is known to lack them.
func (cl *Cell) search(st *step, set workerSet, need int, until time.Duration, workers iter.Seq[*worker]) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		sh := shortage{position: cl.gains.End(), settings: cl.settings, ignoring: cl.ignoreReserved, until: until}
		slots := func(st *step, wk *worker) int {
			sh.note(st, wk)
			count := cl.startable(st, wk)
			if count > 0 && !st.advice.includes(set, wk, until) {
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
		if sh.slots < need && !cl.noShortcuts && !st.def.LongRunning {
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

// answered forgets what depends on the verdicts and tickets. More verdicts make no worker unknown again.
func (sh *shortages) answered() {
	sh.found[withTicket].known, sh.found[allowed].known = false, false
	sh.capacity.known = false
}
