package home

import (
	"fmt"
	"time"
)

// Rules are optional parts of the decisions. They can be disabled to measure their effect.
type Rules struct {
	// DeferReservations lets gangs reserve later if their deadline is not close.
	DeferReservations bool `json:"plan"`
}

// DefaultRules returns the rules that nodes use.
func DefaultRules() Rules { return Rules{DeferReservations: true} }

// Waiting times after which jobs reserve resources.
const (
	gangReserveDelay   = 2 * time.Second
	singleReserveDelay = 10 * time.Second
)

// runQuantile is the quantile of the recorded run times that is used as the expected run time.
const runQuantile = 0.9

// A gang with a deadline reserves from leadRuns expected run times before its latest start, but at least minLead
// before it, in case the expected run time is too short.
const (
	leadRuns = 2
	minLead  = 30 * time.Second
)

// latestStart returns when a job must start to end by its deadline, or false if it has none or its run time is
// unknown.
func (mc *Machine) latestStart(jb *job) (time.Duration, bool) {
	run, known := mc.runs.Quantile(jb.Workload, runQuantile)
	if jb.Deadline == 0 || !known {
		return 0, false
	}
	return max(1, jb.Deadline-run), true
}

// maxReserving is the maximum number of jobs of a home that reserve at the same time, not counting urgent ones. In a
// long queue most jobs have waited long enough to reserve; if all did, they would block workers for each other.
const maxReserving = 4

// reserves reports whether a job keeps the resources that it finds until it has enough for all tasks.
func (mc *Machine) reserves(now time.Duration, jb *job) bool {
	switch {
	case jb.Urgent || jb.reserving:
		return true
	case mc.reserving >= maxReserving:
		return false
	}
	return mc.mayReserve(now, jb)
}

// reserve records whether a job reserves from now on.
func (mc *Machine) reserve(jb *job, reserving bool) {
	if jb.reserving == reserving || jb.Urgent {
		return
	}
	jb.reserving = reserving
	if reserving {
		mc.reserving++
	} else {
		mc.reserving--
	}
}

// mayReserve reports whether a job has waited long enough to reserve: gangs after gangReserveDelay or, if their
// deadline is not close, up to singleReserveDelay; single tasks after singleReserveDelay.
func (mc *Machine) mayReserve(now time.Duration, jb *job) bool {
	if jb.Tasks == 1 {
		return now-jb.since > singleReserveDelay
	}
	from := jb.since + gangReserveDelay
	if latest, ok := mc.latestStart(jb); ok && mc.rules.DeferReservations {
		from = max(from, min(latest-max(minLead, leadRuns*(jb.Deadline-latest)), jb.since+singleReserveDelay))
	}
	return now > from
}

// deadlineWarning returns a warning if a waiting job will miss or probably miss its deadline, or "".
func (mc *Machine) deadlineWarning(now time.Duration, jb *job) string {
	latest, ok := mc.latestStart(jb)
	if !ok || now <= latest {
		return ""
	}
	return fmt.Sprintf("may miss its deadline: it runs about %v, and %v are left",
		(jb.Deadline - latest).Round(time.Millisecond), (jb.Deadline - now).Round(time.Millisecond))
}

// The first tries of a job are repeated after a short delay: what its home knows of other owners' free resources may be
// a second old, so the next try may succeed.
const (
	quickTries = 2
	quickDelay = 25 * time.Millisecond
)

// RetryAt returns when a job tries again after the given number of failed tries, or zero if it waits until resources
// may have been freed.
func RetryAt(now time.Duration, tries int) time.Duration {
	if tries > quickTries {
		return 0
	}
	return now + quickDelay*time.Duration(tries)
}
