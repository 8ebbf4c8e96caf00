package cell

import (
	"cmp"
	"slices"
	"time"
)

// ranked is a step that has to be planned, with its rank.
type ranked struct {
	rank rank
	step *step
}

// byRank returns the steps that have tasks to place, in the order in which they are
// served.
func (cl *Cell) byRank(now time.Duration) []ranked {
	var list []ranked
	for st := range cl.open {
		if st.waits == 0 || st.def.Gang && st.waits < len(st.tasks) {
			continue // all of it runs, or members of the gang are being stopped
		}
		if st.pauses(now) {
			continue
		}
		if cl.settled || !st.round.job.inherited {
			list = append(list, ranked{cl.rank(now, st), st})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return a.rank.compare(b.rank) })
	return list
}

// rank orders steps: lower goes first.
type rank struct {
	group int
	// latest is when the step has to start for its job to be in time, or lateFor after
	// that where it is late.
	latest time.Duration
	late   bool
	id     string
	num    int
}

func (rk rank) compare(other rank) int {
	// Most differ in the first two, and a plan compares thousands.
	if rk.group != other.group {
		return cmp.Compare(rk.group, other.group)
	}
	if rk.latest != other.latest {
		return cmp.Compare(rk.latest, other.latest)
	}
	return cmp.Or(cmp.Compare(rk.id, other.id), cmp.Compare(rk.num, other.num))
}

// The groups of ranks: urgent queues go before all others, and what a workspace sends beyond what it is owed after
// all that others are.
const (
	groupUrgent = iota
	groupPatient
	groupExcess
)

// rank of a lasting step counts from when it came to lack tasks, and is never late: it earns
// while its tasks are at work. Counted from its job's arrival, a task that ended after a
// while was begun again only after all that could be in time, up to 13 s later on a cell of
// which twice its room is asked for.
func (cl *Cell) rank(now time.Duration, st *step) rank {
	jb := st.round.job
	qu := jb.spec.Queue
	rk := rank{group: groupPatient, id: jb.spec.ID, num: st.num}
	switch {
	case jb.excess:
		rk.group = groupExcess
	case qu.Priority == 0:
		rk.group = groupUrgent
	}
	if st.def.LongRunning {
		rk.latest = st.lacks + qu.Target
		return rk
	}
	chain, rest := cl.chain(st)
	rk.latest = cl.since(st) + time.Duration(qu.Stretch*float64(chain)) + qu.Target - rest
	rk.late = rk.latest < now
	if rk.late {
		rk.latest += lateFor
	}
	return rk
}

// lateFor is how much later than they had to start late steps rank, so that age counts and
// each is served in the end: behind all that can be in time they waited as long as the
// stream went on. A shorter time has more jobs late.
const lateFor = time.Minute

// since is when the time of the step's round began to count.
func (cl *Cell) since(st *step) time.Duration {
	if st.round.job.spec.Repeat != nil {
		return st.round.due
	}
	return st.round.job.arrived
}

// chain estimates the longest chain of work of a job, and of what is left from a
// step on.
func (cl *Cell) chain(st *step) (whole, rest time.Duration) {
	steps := st.round.steps
	if len(steps) == 1 {
		whole = cl.expect(st)
		return whole, whole
	}
	ends := make([]time.Duration, len(steps))
	for num, each := range steps {
		var begin time.Duration
		for _, before := range each.def.After {
			begin = max(begin, ends[before])
		}
		ends[num] = begin + cl.expect(each)
		whole = max(whole, ends[num])
	}
	return whole, whole - ends[st.num] + cl.expect(st)
}

// expect estimates how long a task of the step runs, by its own estimate as far as those of
// the queue tell: by the queue's mean alone short jobs are taken to be late.
func (cl *Cell) expect(st *step) time.Duration {
	return cl.queue(st.round.job.spec.Queue.Name).runs.Predict(st.def.Estimate)
}
