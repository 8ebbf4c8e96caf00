package home

import (
	"fmt"
	"time"
)

// Rules are the parts of the decisions that can be left out, to measure them.
type Rules struct {
	// Plan lets gangs with a deadline reserve by their latest start.
	Plan bool `json:"plan"`
}

// DefaultRules are the rules of a node.
func DefaultRules() Rules { return Rules{Plan: true} }

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

// reserves reports whether a job keeps the room that it finds until it has all:
// urgent jobs from the first try, gangs after a while, or, where their deadline
// leaves time, close to their latest start; others after a long wait.
func (mc *Machine) reserves(now time.Duration, jb *job) bool {
	switch {
	case jb.Urgent:
		return true
	case jb.Tasks == 1:
		return now-jb.since > reserveOther
	}
	from := jb.since + reserveGang
	if latest, ok := mc.latestStart(jb); ok && mc.rules.Plan {
		from = max(from, latest-max(leastLead, leadRuns*(jb.Deadline-latest)))
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
