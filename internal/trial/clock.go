package trial

import (
	"math"
	"time"

	"tackbeam.example/policy/timeline"
)

// clock is the virtual time of a trial. Scheduled functions run in order of time; those with equal times run in the
// order in which they were scheduled.
type clock struct {
	now      time.Duration
	timeline timeline.Timeline[func()]
}

// at schedules a function for a time, or for now if the time has passed.
func (ck *clock) at(when time.Duration, act func()) { ck.timeline.Add(max(when, ck.now), act) }

// after schedules a function for a time from now.
func (ck *clock) after(wait time.Duration, act func()) { ck.at(ck.now+wait, act) }

// next removes and returns the next function and its time; ok is false if there is none.
func (ck *clock) next() (at time.Duration, act func(), ok bool) {
	if at, ok = ck.timeline.NextDue(); !ok {
		return 0, nil, false
	}
	act, ok = ck.timeline.PopDue(math.MaxInt64)
	return at, act, ok
}
