// Package admission decides which new jobs a cell refuses because more work is waiting than it can start soon, or in
// time, or because there is no planner to start it.
package admission

import (
	"time"

	"tackbeam.example/policy/fairshare"
)

// Limits of the backlog.
//
// They apply when the planner cannot keep up with new jobs, for example when a small node plans because
// the larger ones are down: without limits, jobs then wait for a minute or more.
const (
	// maxUrgentBacklog is the longest backlog of urgent work, as the time to start it, at which an urgent job
	// is accepted: its callers wait for a response within a second or two.
	maxUrgentBacklog = time.Second
	// maxBacklog is the longest backlog at which any other job is accepted: its callers can retry later
	// without harm, and accepted jobs have to start within 14 s of the last job.
	maxBacklog = 4 * time.Second
	// minRetryAfter is the shortest delay that a caller is told to wait before it retries.
	minRetryAfter = time.Second
	// maxAge is the age up to which a reported backlog is used to refuse jobs: the planner reports it
	// each second while the backlog is long.
	maxAge = 3 * time.Second
)

// Controller holds what the planner last reported to a node.
type Controller struct {
	// urgent and all are how long the planner needs to start the waiting urgent work and all waiting work,
	// as reported at a time.
	urgent, all, at time.Duration
	// shares are what is admitted of urgent work, as reported at a time.
	shares   map[fairshare.Key]fairshare.Share
	sharesAt time.Duration
	// term is the term of the last report, startRate the last reported rate of starts per second, 0 if unknown.
	term      uint64
	startRate int
	// unplanned is how many starts the jobs take that were accepted since there last was a planner that had reported.
	unplanned int
}

// Update records how long the planner needs to start the waiting urgent work, and all waiting work.
func (ct *Controller) Update(now, urgent, all time.Duration) {
	ct.urgent, ct.all, ct.at = urgent, all, now
}

// Refuse reports whether a new job is refused, and after how long its caller should retry: when the excess
// over the limit has been started. A node without a recent report of the planner accepts the job.
func (ct *Controller) Refuse(now time.Duration, urgent bool) (retryAfter time.Duration, refuse bool) {
	wait, limit := ct.all, maxBacklog
	if urgent {
		wait, limit = ct.urgent, maxUrgentBacklog
	}
	if wait <= limit || now-ct.at > maxAge {
		return 0, false
	}
	return max(wait-limit, minRetryAfter), true
}
