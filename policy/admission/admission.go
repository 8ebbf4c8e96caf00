// Package admission decides which new jobs a cell refuses because more waits than it can start soon.
package admission

import "time"

// What is refused.
//
// The limits answer a planner that can start less than what comes, as a small node that plans since
// the strong ones are gone: what it cannot start soon waits for a minute and more.
const (
	// mostUrgent is how much urgent work may wait, by the time that it takes to start, for an urgent job
	// to be taken: its callers wait for an answer within a second or two.
	mostUrgent = time.Second
	// mostPatient is how much may wait at all for any other job to be taken: its callers come back later
	// without harm, and what was accepted before has to begin within 14 s of the last job.
	mostPatient = 4 * time.Second
	// leastComeBack is the least time after which a caller is asked to come back.
	leastComeBack = time.Second
	// oldest is the age from which what the planner said is no ground to refuse: it says it anew each
	// second while much waits.
	oldest = 3 * time.Second
)

// Controller is what a node knows of the planner's backlog.
type Controller struct {
	// urgent is how long the planner needs to start the urgent work that waits, all for all of it, as it
	// said at a time.
	urgent, all, at time.Duration
}

// Update takes in how long the planner needs to start the urgent work that waits, and all of it.
func (c *Controller) Update(now, urgent, all time.Duration) { c.urgent, c.all, c.at = urgent, all, now }

// Refuse reports whether a new job is refused, and when its caller should come back: when as much
// as is too much now has been started. A node that has not heard of the planner for a while takes
// the job.
func (c *Controller) Refuse(now time.Duration, urgent bool) (comeBack time.Duration, refuse bool) {
	wait, most := c.all, mostPatient
	if urgent {
		wait, most = c.urgent, mostUrgent
	}
	if wait <= most || now-c.at > oldest {
		return 0, false
	}
	return max(wait-most, leastComeBack), true
}
