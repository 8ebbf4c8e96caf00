package trial

import (
	"container/heap"
	"time"
)

// clock is the virtual time of a trial: what is planned happens in the order of
// its times, and of its planning among equals.
type clock struct {
	now   time.Duration
	plans plans
	count int
}

// plan is something that happens at a time.
type plan struct {
	at    time.Duration
	order int
	act   func()
}

// at plans an act.
func (ck *clock) at(when time.Duration, act func()) {
	ck.count++
	heap.Push(&ck.plans, plan{at: max(when, ck.now), order: ck.count, act: act})
}

// after plans an act for a while from now.
func (ck *clock) after(wait time.Duration, act func()) { ck.at(ck.now+wait, act) }

// next takes the next plan, or reports false where there is none.
func (ck *clock) next() (plan, bool) {
	if len(ck.plans) == 0 {
		return plan{}, false
	}
	return heap.Pop(&ck.plans).(plan), true
}

// plans is a heap of plans, the earliest first.
type plans []plan

// Len, Less, Swap, Push and Pop are what container/heap asks for.
func (ps plans) Len() int { return len(ps) }

// Less orders two plans.
func (ps plans) Less(i, j int) bool {
	if ps[i].at != ps[j].at {
		return ps[i].at < ps[j].at
	}
	return ps[i].order < ps[j].order
}

// Swap exchanges two plans.
func (ps plans) Swap(i, j int) { ps[i], ps[j] = ps[j], ps[i] }

// Push adds a plan.
func (ps *plans) Push(x any) { *ps = append(*ps, x.(plan)) }

// Pop takes the last plan off.
func (ps *plans) Pop() any {
	old := *ps
	last := old[len(old)-1]
	old[len(old)-1] = plan{}
	*ps = old[:len(old)-1]
	return last
}
