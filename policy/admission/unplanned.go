package admission

import (
	"time"

	"tackbeam.example/policy/work"
)

// Limits on what is accepted without a planner.
//
// Nothing is started meanwhile, so whatever is accepted waits, and the first planner has to start all of it beside
// what arrives then.
const (
	// DefaultStartRate is how many starts a second a planner is assumed to sustain if none has reported its rate: the
	// rate of the smallest nodes that plan.
	DefaultStartRate = 280
	// minStartRate is the lowest rate that is assumed. Planners have at least 16 starts in flight, which are answered in
	// little more than 0.1 s on the smallest nodes; a report after quiet seconds can show less.
	minStartRate = DefaultStartRate / 2
	// unplannedTime is the time within which a planner is to start what all nodes together accepted without one:
	// accepted jobs have to start within 14 s, of which an election and the recovery take up to 8 s.
	unplannedTime = 4 * time.Second
	// maxUnreported is how long after its election a planner counts as absent if it has not reported: it reports when
	// it has been planning for 2 s, after it has read the journal. One without the feature never does.
	maxUnreported = 4 * time.Second
	// unplannedRetry and unplannedJitter set the delay until a retry, 1 to 2 s: a planner is elected in that time.
	unplannedRetry  = time.Second
	unplannedJitter = 1
)

// UpdatePlanner records that the planner of a term has reported, and how many starts a second it sustains, 0 if
// unknown.
func (ct *Controller) UpdatePlanner(term uint64, startRate int) {
	ct.term = term
	if startRate > 0 {
		ct.startRate = startRate
	}
}

// RefuseUnplanned reports whether a new job is refused because too much was accepted without a planner, and after how
// long its caller should retry. term is the term of the present planner, 0 if none is known, and age the time since
// the node learned of its election. nodes is how many nodes accept jobs. A job that is not refused counts as accepted.
func (ct *Controller) RefuseUnplanned(term uint64, age time.Duration, nodes int, jb *work.Job, random func() float64) (retryAfter time.Duration, refuse bool) {
	if term != 0 && (term == ct.term || age >= maxUnreported) {
		ct.unplanned = 0
		return 0, false
	}
	rate := DefaultStartRate
	if ct.startRate > 0 {
		rate = max(ct.startRate, minStartRate)
	}
	bound := rate * int(unplannedTime/time.Second) / max(nodes, 1)
	starts := starts(jb)
	if ct.unplanned > 0 && ct.unplanned+starts > bound {
		return jittered(unplannedRetry, unplannedJitter, random), true
	}
	ct.unplanned += starts
	return 0, false
}

// Unplanned reports whether jobs were accepted since there last was a planner that had reported.
func (ct *Controller) Unplanned() bool { return ct.unplanned > 0 }

// starts is how many starts one round of the job takes.
func starts(jb *work.Job) int {
	count := 0
	for _, st := range jb.Steps {
		count += st.Count
	}
	return count
}
