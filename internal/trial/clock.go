package trial

import (
	"math"
	"time"

	"tackbeam.example/policy/timeline"
)

// clock is the virtual time of a trial: what is planned happens in the order of
// its times, and of its planning among equals.
type clock struct {
	now   time.Duration
	plans timeline.Timeline[func()]
}

// at plans an act.
func (ck *clock) at(when time.Duration, act func()) { ck.plans.Add(max(when, ck.now), act) }

// after plans an act for a while from now.
func (ck *clock) after(wait time.Duration, act func()) { ck.at(ck.now+wait, act) }

// next takes the next plan and its time, or reports false where there is none.
func (ck *clock) next() (at time.Duration, act func(), ok bool) {
	if at, ok = ck.plans.NextDue(); !ok {
		return 0, nil, false
	}
	act, ok = ck.plans.PopDue(math.MaxInt64)
	return at, act, ok
}
