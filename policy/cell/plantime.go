package cell

import (
	"iter"
	"slices"
	"time"

	"tackbeam.example/policy/work"
)

// Bounds of the time of a plan. Meanwhile no report, start or question is handled.
const (
	// maxUrgentPlanTime is how long a plan may take for urgent steps, maxPlanTime for all.
	maxUrgentPlanTime = 30 * time.Millisecond
	maxPlanTime       = 40 * time.Millisecond
	// stepsPerLook is the number of steps between two looks at the time.
	stepsPerLook = 8
)

// planTime says where the next plan continues if the last one was cut: at the first step of a group that was not reached, so that
// each step is reached in its turn.
type planTime struct {
	urgent, others resumption
	// cuts counts the plans that were cut.
	cuts int
	// lookedAt is when the time was last looked at. slowest is the longest time between two looks since TakeSlowestSteps was last
	// called, slowestFirst the first step that was planned in it.
	lookedAt, slowest time.Duration
	slowestFirst      work.Task
}

// resumption is the rank of the first step that was not reached, if set.
type resumption struct {
	set  bool
	rank rank
}

// CutPlans returns how many plans did not reach all steps for lack of time.
func (cl *Cell) CutPlans() int { return cl.planTime.cuts }

// TakeSlowestSteps returns the longest time that up to eight consecutive steps of a plan took since it was last called, and the
// first of these steps.
func (cl *Cell) TakeSlowestSteps() (took time.Duration, first work.Task) {
	pt := &cl.planTime
	took, first = pt.slowest, pt.slowestFirst
	pt.slowest, pt.slowestFirst = 0, work.Task{}
	return took, first
}

// look returns the time, and notes how long the steps since the last look took.
func (cl *Cell) look(first *step) time.Duration {
	pt, now := &cl.planTime, cl.opts.Watch()
	if took := now - pt.lookedAt; took > pt.slowest {
		pt.slowest, pt.slowestFirst = took, first.name()
	}
	pt.lookedAt = now
	return now
}

// withinTime returns the steps to plan, with their positions in the order: urgent ones, then the others, each until their time is
// over. Steps that are not reached keep their reservations.
func (cl *Cell) withinTime(order []ranked) iter.Seq2[int, ranked] {
	return func(yield func(int, ranked) bool) {
		if cl.opts.Watch == nil {
			yieldRange(order, 0, len(order), yield)
			return
		}
		began, pt := cl.opts.Watch(), &cl.planTime
		pt.lookedAt = began
		urgents, _ := slices.BinarySearchFunc(order, groupUrgent+1, func(rd ranked, group int) int { return rd.rank.group - group })
		cutUrgent := cl.yieldUntil(began+maxUrgentPlanTime, order, 0, urgents, &pt.urgent, yield)
		if cl.yieldUntil(began+maxPlanTime, order, urgents, len(order), &pt.others, yield) || cutUrgent {
			pt.cuts++
		}
	}
}

// yieldRange yields a range of the order.
func yieldRange(order []ranked, from, to int, yield func(int, ranked) bool) {
	for i := from; i < to; i++ {
		if !yield(i, order[i]) {
			return
		}
	}
}

// yieldUntil yields a range of the order until a time, from where the last plan was cut. It reports whether it was cut too.
func (cl *Cell) yieldUntil(end time.Duration, order []ranked, from, to int, rs *resumption, yield func(int, ranked) bool) (cut bool) {
	count, first := to-from, 0
	if rs.set {
		first, _ = slices.BinarySearchFunc(order[from:to], rs.rank, func(rd ranked, rk rank) int { return rd.rank.compare(rk) })
	}
	rs.set = false
	var sinceLook *step // the first step that was planned since the last look
	for n := range count {
		i := from + (first+n)%count
		if n%stepsPerLook == stepsPerLook-1 {
			late := cl.look(sinceLook) > end
			sinceLook = nil
			if late {
				*rs = resumption{true, order[i].rank}
				cl.keepReservations(order, from, count, first+n, count-n)
				return true
			}
		}
		if sinceLook == nil {
			sinceLook = order[i].step
		}
		if !yield(i, order[i]) {
			return false
		}
	}
	if sinceLook != nil {
		cl.look(sinceLook)
	}
	return false
}

// keepReservations keeps the reservations of steps that a plan does not reach: a number of them in a range of the order that
// begins again at its end.
func (cl *Cell) keepReservations(order []ranked, from, count, first, steps int) {
	for n := range steps {
		i := from + (first+n)%count
		st := order[i].step
		st.reservePlan, st.planIndex = cl.planCount, i
	}
}
