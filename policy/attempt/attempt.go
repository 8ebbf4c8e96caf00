// Package attempt decides the next step of one attempt to run a job, from what
// is known of each of its tasks.
//
// The rules behind it: a task whose fate is unknown is asked for and never
// started again; a job is not run only if no task began; a next attempt starts
// only when every task of the former has surely ended.
package attempt

// Status is what is known of one task.
type Status int

// The statuses. The ones from Unbegun on are final.
const (
	// Unknown tasks may or may not have reached a worker.
	Unknown Status = iota
	// Prepared tasks hold their room and wait for the word to begin.
	Prepared
	// Running tasks have begun and not ended.
	Running
	// NotStarted tasks have not begun and cannot begin any more.
	NotStarted
	// OK tasks have begun and succeeded.
	OK
	// Failed tasks have begun and failed.
	Failed
	// Stopped tasks have begun and were stopped on order.
	Stopped
	// Lost tasks may have begun and have surely ended, with nobody to say how.
	Lost
	statuses
)

// Rules are what the decision depends on besides the statuses.
type Rules struct {
	// Gang is set for gangs: one lost task ends the others.
	Gang bool
	// Repeatable allows a next attempt after one that began.
	Repeatable bool
	// Cancelled is set once the job is to end.
	Cancelled bool
	// Started is set once an earlier attempt has begun: the job cannot be said not
	// to have run any more.
	Started bool
}

// Action is what to do next.
type Action int

// The steps.
const (
	// Wait for a task to end.
	Wait Action = iota
	// Query for the fate of the unknown tasks.
	Query
	// Start tells the prepared tasks to begin.
	Start
	// Stop the prepared and the running tasks.
	Stop
	// Retry with a next attempt.
	Retry
	// NotRun ends the job: no task began.
	NotRun
	// Ran ends the job: every task began, and how each ended is known.
	Ran
	// Indeterminate ends the job: whether or how far it ran is unknown.
	Indeterminate
)

// counts is the number of tasks in each status.
type counts [statuses]int

func count(tasks []Status) counts {
	var ct counts
	for _, st := range tasks {
		ct[st]++
	}
	return ct
}

// open is the number of tasks that still hold room.
func (ct counts) open() int { return ct[Prepared] + ct[Running] }

// broken is the number of tasks that began and did not succeed.
func (ct counts) broken() int { return ct[Failed] + ct[Stopped] + ct[Lost] }

// Next returns the next step of an attempt with the tasks in these statuses.
func Next(tasks []Status, rl Rules) Action {
	ct := count(tasks)
	switch {
	case ct[Unknown] > 0:
		return Query
	case rl.Cancelled && ct.open() > 0:
		return Stop
	case ct[NotStarted] == len(tasks):
		return unbegun(rl)
	case ct[NotStarted] > 0 && ct.open() > 0:
		return Stop
	case ct[NotStarted] > 0:
		return again(rl, Indeterminate)
	case ct[Prepared] > 0:
		return Start
	case rl.Gang && ct.broken() > 0 && ct[Running] > 0:
		return Stop
	case ct[Running] > 0:
		return Wait
	case ct[OK] == len(tasks):
		return Ran
	case ct[Lost] > 0:
		return again(rl, Indeterminate)
	}
	return again(rl, Ran)
}

// unbegun is the step after an attempt in which nothing began.
func unbegun(rl Rules) Action {
	switch {
	case !rl.Cancelled:
		return Retry
	case rl.Started:
		return Indeterminate
	}
	return NotRun
}

// AnyStarted reports whether any task of an ended attempt began, or may have.
func AnyStarted(tasks []Status) bool { return count(tasks)[NotStarted] < len(tasks) }

// again is the step after an attempt that began and did not succeed.
func again(rl Rules, otherwise Action) Action {
	if rl.Repeatable && !rl.Cancelled {
		return Retry
	}
	return otherwise
}
