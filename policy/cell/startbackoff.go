package cell

import (
	"time"

	"tackbeam.example/policy/backoff"
)

// A long-running task is restarted however it ends, and a task that a worker refuses is tried on another. A
// task that always ends or is refused immediately would be restarted in a tight loop, with each failure
// attributed to its worker, until all workers are quarantined.
const (
	// freeFailures is how many failed starts in a row have no consequence for the task: healthy tasks may fail
	// at any time, and the workers may be at fault.
	freeFailures = 2
	// stableAfter is how long a long-running task must be up for its start to count as successful.
	stableAfter = 10 * time.Second
)

// startBackoff delays the starts after freeFailures failed ones. Users check every 2 s whether long-running
// tasks are up, and report one as missing after 6 s.
var startBackoff = backoff.Backoff{Initial: 250 * time.Millisecond, Max: 2 * time.Second}

// startFailures is the recent history of a task's starts.
type startFailures struct {
	// count is the number of failed starts in a row, retryAt when the task may be started again.
	count   int
	retryAt time.Duration
}

// add records a failed start.
func (sf *startFailures) add(now time.Duration) {
	sf.count++
	if over := sf.count - freeFailures; over > 0 {
		sf.retryAt = now + startBackoff.Delay(over-1)
	}
}

// taskAtFault reports whether failed starts are attributed to the task, and not to its workers.
func (sf *startFailures) taskAtFault() bool { return sf.count > freeFailures }

// startFailed records that a start of the task failed.
func (tk *task) startFailed(now time.Duration) {
	tk.startFailures.add(now)
	tk.step.hadFailedStarts = true
}

// longRunEnded records that a run of a long-running task ended.
func (tk *task) longRunEnded(now time.Duration, pl *placement) {
	if pl != nil && pl.runningSince > 0 && now-pl.runningSince >= stableAfter {
		tk.startFailures = startFailures{}
		return
	}
	tk.startFailed(now)
}

// backsOff reports whether no task of the step may be started now. The tasks of a gang start together.
func (st *step) backsOff(now time.Duration) bool {
	if !st.hadFailedStarts {
		return false
	}
	for _, tk := range st.tasks {
		if tk.done || tk.runs > 0 {
			continue
		}
		if waits := tk.startFailures.retryAt > now; waits == st.def.Gang {
			return waits
		}
	}
	return !st.def.Gang
}
