package home

import (
	"fmt"
	"time"
)

// Rules are the parts of the decisions that can be left out, to measure them.
type Rules struct {
	// DeferReservations lets gangs whose deadline leaves time reserve later.
	DeferReservations bool `json:"plan"`
}

// DefaultRules are the rules of a node.
func DefaultRules() Rules { return Rules{DeferReservations: true} }

// Waits after which jobs reserve room.
const (
	reserveGang  = 2 * time.Second
	reserveOther = 10 * time.Second
)

// cautious is the part of the runs that a plan's estimate covers.
const cautious = 0.9

// lead is the time before its latest start, in runs of the job, from which a gang
// with a deadline reserves; it covers an estimate that is too short.
const (
	leadRuns  = 2
	leastLead = 30 * time.Second
)

// latestStart returns when a job must start to end by its deadline, or false where
// it has none or its run time is not known.
func (mc *Machine) latestStart(jb *job) (time.Duration, bool) {
	run, known := mc.runs.Quantile(jb.Workload, cautious)
	if jb.Deadline == 0 || !known {
		return 0, false
	}
	return max(1, jb.Deadline-run), true
}

// maxReserving is the number of jobs of a home that reserve at a time, besides
// urgent ones. With a long queue most jobs have waited for long; if all reserved,
// each would keep workers from the others.
const maxReserving = 4

// reserves reports whether a job keeps the room that it finds until it has all.
func (mc *Machine) reserves(now time.Duration, jb *job) bool {
	switch {
	case jb.Urgent || jb.reserving:
		return true
	case mc.reserving >= maxReserving:
		return false
	}
	return mc.mayReserve(now, jb)
}

// reserve notes that a job reserves from now on, or does so no more.
func (mc *Machine) reserve(jb *job, now bool) {
	if jb.reserving == now || jb.Urgent {
		return
	}
	jb.reserving = now
	if now {
		mc.reserving++
	} else {
		mc.reserving--
	}
}

// mayReserve reports whether a job has waited long enough to reserve: gangs after
// a while, somewhat later where their deadline leaves time; others after a long wait.
func (mc *Machine) mayReserve(now time.Duration, jb *job) bool {
	if jb.Tasks == 1 {
		return now-jb.since > reserveOther
	}
	from := jb.since + reserveGang
	if latest, ok := mc.latestStart(jb); ok && mc.rules.DeferReservations {
		from = max(from, min(latest-max(leastLead, leadRuns*(jb.Deadline-latest)), jb.since+reserveOther))
	}
	return now > from
}

// warn says that a waiting job will surely or probably miss its deadline, or "".
func (mc *Machine) warn(now time.Duration, jb *job) string {
	latest, ok := mc.latestStart(jb)
	if !ok || now <= latest {
		return ""
	}
	return fmt.Sprintf("may miss its deadline: it runs about %v, and %v are left",
		(jb.Deadline - latest).Round(time.Millisecond), (jb.Deadline - now).Round(time.Millisecond))
}

// The first tries of a job follow each other quickly: what its home knows of the
// other owners' room may be a second old, and the next answer may be another.
const (
	quickTries = 2
	quickPause = 25 * time.Millisecond
)

// RetryAt returns when a job whose try number tries found no room is to try again,
// or zero where it waits until room may have come free.
func RetryAt(now time.Duration, tries int) time.Duration {
	if tries > quickTries {
		return 0
	}
	return now + quickPause*time.Duration(tries)
}
