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

// byRank returns the steps that have tasks to place, in the order in which they are served.
func (cl *Cell) byRank(now time.Duration) []ranked {
	var list []ranked
	prepares := cl.awaitsUnreachable()
	for st := range cl.open {
		st.countRestarts(now)
		if st.lacksNone() || st.def.Gang && st.unplaced < len(st.tasks) {
			continue // all of it runs, or members of the gang are being stopped
		}
		if st.expected == 0 && st.backsOff(now) {
			continue
		}
		if cl.mayStart(st) || prepares && (st.restarting() || st.mayHaveRun()) {
			list = append(list, ranked{cl.rank(now, st), st})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return a.rank.compare(b.rank) })
	return list
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
	steps := st.round.steps
	if len(steps) == 1 {
		total = cl.expectedRunTime(st)
		return total, total
	}
	ends := make([]time.Duration, len(steps))
	for num, each := range steps {
		var begin time.Duration
		for _, before := range each.def.After {
			begin = max(begin, ends[before])
		}
		ends[num] = begin + cl.expectedRunTime(each)
		total = max(total, ends[num])
	}
	return total, total - ends[st.num] + cl.expectedRunTime(st)
}

// expectedRunTime estimates how long a task of the step runs, from the caller's estimate as far as the
// estimates of the queue have been accurate. With the mean of the queue alone, short jobs would be taken to be
// late.
func (cl *Cell) expectedRunTime(st *step) time.Duration {
	return cl.queue(st.round.job.spec.Queue.Name).runTimes.Predict(st.def.Estimate)
}
