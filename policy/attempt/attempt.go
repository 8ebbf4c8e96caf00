// Package attempt decides the next action of one attempt to run a job, from the known status of its tasks.
//
// The rules: a task with unknown status is queried and never started again; a job is reported as not run only
// if no task started; another attempt starts only when every task of the previous one is known to have ended.
package attempt

// Status is what is known of one task.
type Status int

// The statuses, final from NotStarted on.
const (
	// Unknown tasks may or may not have reached a worker.
	Unknown Status = iota
	// Prepared tasks hold their resources and wait for the start command.
	Prepared
	// Running tasks have started and not ended.
	Running
	// NotStarted tasks have not started and can no longer start.
	NotStarted
	// OK tasks have started and succeeded.
	OK
	// Failed tasks have started and failed.
	Failed
	// Stopped tasks have started and were stopped by a command.
	Stopped
	// Lost tasks may have started and have certainly ended, but their result is unknown.
	Lost
	statuses
)

// Rules are the inputs of the decision other than the statuses.
type Rules struct {
	// Gang is set for gangs: if one task fails, is stopped or is lost, the others are stopped.
	Gang bool
	// Repeatable allows another attempt after one that started.
	Repeatable bool
	// Cancelled is set once the job is to be stopped.
	Cancelled bool
	// Started is set once an earlier attempt has started: the job can no longer be reported as not run.
	Started bool
}

// Action is what to do next.
type Action int

// The actions.
const (
	// Wait for a task to end.
	Wait Action = iota
	// Query the status of the unknown tasks.
	Query
	// Start the prepared tasks.
	Start
	// Stop the prepared and the running tasks.
	Stop
	// Retry with another attempt.
	Retry
	// NotRun ends the job: no task started.
	NotRun
	// Ran ends the job: every task started, and its result is known.
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

// active returns the number of tasks that still hold resources.
func (ct counts) active() int { return ct[Prepared] + ct[Running] }

// unsuccessful returns the number of tasks that may have started and did not succeed.
func (ct counts) unsuccessful() int { return ct[Failed] + ct[Stopped] + ct[Lost] }

// Next returns the next action of an attempt with tasks in these statuses.
func Next(tasks []Status, rl Rules) Action {
	ct := count(tasks)
	switch {
	case ct[Unknown] > 0:
		return Query
	case rl.Cancelled && ct.active() > 0:
		return Stop
	case ct[NotStarted] == len(tasks):
		return notStarted(rl)
	case ct[NotStarted] > 0 && ct.active() > 0:
		return Stop
	case ct[NotStarted] > 0:
		return retryOr(rl, Indeterminate)
	case ct[Prepared] > 0:
		return Start
	case rl.Gang && ct.unsuccessful() > 0 && ct[Running] > 0:
		return Stop
	case ct[Running] > 0:
		return Wait
	case ct[OK] == len(tasks):
		return Ran
	case ct[Lost] > 0:
		return retryOr(rl, Indeterminate)
	}
	return retryOr(rl, Ran)
}

// notStarted returns the action after an attempt in which no task started.
func notStarted(rl Rules) Action {
	switch {
	case !rl.Cancelled:
		return Retry
	case rl.Started:
		return Indeterminate
	}
	return NotRun
}

// AnyStarted reports whether any task of an ended attempt started or may have started.
func AnyStarted(tasks []Status) bool { return count(tasks)[NotStarted] < len(tasks) }

// retryOr returns the action after an attempt that started and did not succeed: Retry where allowed.
func retryOr(rl Rules, otherwise Action) Action {
	if rl.Repeatable && !rl.Cancelled {
		return Retry
	}
	return otherwise
}
