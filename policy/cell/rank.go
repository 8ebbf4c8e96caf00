package cell

import (
	"cmp"
	"slices"
	"time"
)

// ranked is a step to be planned, with its rank.
type ranked struct {
	rank rank
	step *step
}

// byRank returns the steps that have tasks to place, in the order in which they are served. It begins with the order of
// the last plan, since few steps change places between two plans.
func (cl *Cell) byRank(now time.Duration) []ranked {
	prepares := cl.awaitsUnreachable()
	if cl.noShortcuts {
		return cl.rankAnew(now, prepares)
	}
	last, others := cl.ranking, cl.spareSteps[:0]
	list := last[:0]
	for _, rd := range last {
		switch st := rd.step; {
		case !st.open:
			st.inOrder = false
		case cl.considers(now, st, prepares):
			list = append(list, ranked{cl.rank(now, st), st})
		default:
			others = append(others, st)
		}
	}
	kept := len(list)
	for _, st := range cl.notRanked {
		switch {
		case !st.open:
			st.inOrder = false
		case cl.considers(now, st, prepares):
			list = append(list, ranked{cl.rank(now, st), st})
		default:
			others = append(others, st)
		}
	}
	if len(list) < len(last) {
		clear(last[len(list):]) // closed steps are not kept in memory
	}
	clear(cl.notRanked)
	cl.spareSteps, cl.notRanked = cl.notRanked, others
	cl.ranking = cl.sorter.Sort(list, kept)
	return cl.ranking
}

// dropClosed removes the closed steps from those that are not ranked, once they are most of these. Otherwise they would be kept
// in memory until the next plan: all of them while the records of earlier planners are restored.
func (cl *Cell) dropClosed() {
	const minSteps = 1000
	if len(cl.notRanked) < max(minSteps, 2*len(cl.open)) {
		return
	}
	cl.notRanked = slices.DeleteFunc(cl.notRanked, func(st *step) bool {
		st.inOrder = st.open
		return !st.open
	})
}

// rankAnew is byRank without the order of the last plan.
func (cl *Cell) rankAnew(now time.Duration, prepares bool) []ranked {
	var list []ranked
	for st := range cl.open {
		if cl.considers(now, st, prepares) {
			list = append(list, ranked{cl.rank(now, st), st})
		}
	}
	slices.SortFunc(list, compareRanked)
	return list
}

func compareRanked(a, b ranked) int { return a.rank.compare(b.rank) }

// considers reports whether a plan considers a step. prepares is set while restarts are prepared before the recovery is
// complete.
func (cl *Cell) considers(now time.Duration, st *step, prepares bool) bool {
	st.countRestarts(now)
	if st.lacksNone() || st.def.Gang && st.unplaced < len(st.tasks) {
		return false // all of it runs, or members of the gang are being stopped
	}
	if st.expected == 0 && st.backsOff(now) {
		return false
	}
	return cl.mayStart(st) || prepares && (st.restarting() || st.mayHaveRun())
}

// mayStart reports whether tasks of the step may be started: before the recovery is complete, a worker may run those of
// an inherited job without the cell knowing.
func (cl *Cell) mayStart(st *step) bool { return cl.recovered || !st.round.job.inherited }

// rank orders steps; the lowest is served first.
type rank struct {
	group int
	// latestStart is when the step must start for its job to end in time; latePenalty is added if the step is
	// late.
	latestStart time.Duration
	late        bool
	id          string
	num         int
}

func (rk rank) compare(other rank) int {
	// Most ranks differ in the first two fields, and a plan compares thousands of them.
	if rk.group != other.group {
		return cmp.Compare(rk.group, other.group)
	}
	if rk.latestStart != other.latestStart {
		return cmp.Compare(rk.latestStart, other.latestStart)
	}
	return cmp.Or(cmp.Compare(rk.id, other.id), cmp.Compare(rk.num, other.num))
}

// Groups of ranks. Urgent queues come before all others, and then long-running steps that have lost tasks; jobs
// beyond the rate of their workspace come last.
const (
	groupUrgent = iota
	groupRestart
	groupNormal
	groupExcess
)

// rank of a long-running step is measured from when it last began to lack tasks, and is never late, since it is
// of use while its tasks run. Measured from the arrival of its job, a task that ended after some time was
// restarted only after all steps that could still be in time, up to 13 s later in a cell whose load was twice
// its capacity.
func (cl *Cell) rank(now time.Duration, st *step) rank {
	jb := st.round.job
	qu := jb.spec.Queue
	rk := rank{group: groupNormal, id: jb.spec.ID, num: st.num}
	switch {
	case st.urgent():
		rk.group = groupUrgent
	case st.restarting():
		rk.group = groupRestart
	case jb.excess:
		rk.group = groupExcess
	}
	if st.def.LongRunning {
		rk.latestStart = st.lackingSince + qu.Target
		return rk
	}
	path, remaining := cl.criticalPath(st)
	rk.latestStart = cl.roundStart(st) + time.Duration(qu.Stretch*float64(path)) + qu.Target - remaining
	rk.late = rk.latestStart < now
	if rk.late {
		rk.latestStart += latePenalty
	}
	return rk
}

// latePenalty is added to the latest start of late steps, so that age counts and each of them is served
// eventually: ranked behind all steps that can be in time, late steps waited for as long as new ones arrived. A
// shorter penalty makes more jobs late.
const latePenalty = time.Minute

// roundStart is when the time of the step's round began to count.
func (cl *Cell) roundStart(st *step) time.Duration {
	if st.round.job.spec.Repeat != nil {
		return st.round.dueAt
	}
	return st.round.job.arrivedAt
}

// criticalPath estimates the longest chain of dependent steps of a job, and the part of it from a step on.
func (cl *Cell) criticalPath(st *step) (total, remaining time.Duration) {
	rd := st.round
	if len(rd.defs) == 1 {
		total = cl.expectedRunTime(st)
		return total, total
	}
	runs := cl.queueOf(st).runTimes.Runs()
	if pa := &rd.path; cl.noShortcuts || len(pa.begins) == 0 || pa.settings != cl.settings || pa.runs != runs {
		pa.settings, pa.runs = cl.settings, runs
		cl.longestChains(rd, cl.queueOf(st))
	}
	return rd.path.total, rd.path.total - rd.path.begins[st.num]
}

// path has the critical paths of a round, which are valid until the queue has learned more or its settings have changed.
type path struct {
	settings, runs int
	total          time.Duration
	// begins are the earliest times at which the steps can begin, since the round began.
	begins []time.Duration
}

// longestChains computes the critical paths of a round. One pass serves all of its steps: a round may have thousands that are open.
func (cl *Cell) longestChains(rd *round, qu *queue) {
	pa, predicted := &rd.path, map[time.Duration]time.Duration{}
	if pa.begins == nil {
		pa.begins = make([]time.Duration, len(rd.defs))
	}
	pa.total = 0
	takes := func(num int) time.Duration {
		estimate := rd.defs[num].Estimate
		took, ok := predicted[estimate]
		if !ok {
			took = qu.runTimes.Predict(estimate)
			predicted[estimate] = took
		}
		return took
	}
	for num := range rd.defs {
		var begin time.Duration
		for _, before := range rd.defs[num].After {
			begin = max(begin, pa.begins[before]+takes(before))
		}
		pa.begins[num] = begin
		pa.total = max(pa.total, begin+takes(num))
	}
}

// expectedRunTime estimates how long a task of the step runs, from the caller's estimate as far as the
// estimates of the queue have been accurate. With the mean of the queue alone, short jobs would be taken to be
// late.
func (cl *Cell) expectedRunTime(st *step) time.Duration {
	qu := cl.queueOf(st)
	if runs := qu.runTimes.Runs(); cl.noShortcuts || st.runTimeFrom != runs+1 {
		st.runTime, st.runTimeFrom = qu.runTimes.Predict(st.def.Estimate), runs+1
	}
	return st.runTime
}

// queueOf returns what the cell has learned from the jobs of the step's queue.
func (cl *Cell) queueOf(st *step) *queue {
	if st.queue == nil || st.queueSettings != cl.settings {
		st.queue, st.queueSettings, st.runTimeFrom = cl.queue(st.round.job.spec.Queue.Name), cl.settings, 0
	}
	return st.queue
}
