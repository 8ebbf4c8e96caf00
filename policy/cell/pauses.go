package cell

import (
	"time"

	"tackbeam.example/policy/backoff"
)

// A lasting task is begun again however it ends, and a task that a worker refuses is tried on
// another. One that ends, or is refused, at once each time would be tried again at once, and attributed to its
// worker each time, until all workers are at rest for it.
const (
	// freeTries is how many vain starts in a row have no consequence for the task: healthy ones
	// fail at any moment, and workers may be at fault.
	freeTries = 2
	// steady is how long a lasting task is at work before its start was no vain one.
	steady = 10 * time.Second
)

// vainPause is the pause before the next start then. Users count lasting tasks at work each 2 s, and miss
// one after 6 s.
var vainPause = backoff.Backoff{Initial: 250 * time.Millisecond, Max: 2 * time.Second}

// tries is what came of a task's starts of late.
type tries struct {
	// vain counts the vain ones in a row, until is when it may be started again.
	vain  int
	until time.Duration
}

// failed takes in a vain start.
func (ts *tries) failed(now time.Duration) {
	ts.vain++
	if over := ts.vain - freeTries; over > 0 {
		ts.until = now + vainPause.Delay(over-1)
	}
}

// blamed reports whether vain starts are attributed to the task, not to its workers.
func (ts *tries) blamed() bool { return ts.vain > freeTries }

// vain takes in that a start of the task came to nothing.
func (tk *task) vain(now time.Duration) {
	tk.tries.failed(now)
	tk.step.pausing = true
}

// lastingEnded takes in that a run of a lasting task ended.
func (tk *task) lastingEnded(now time.Duration, pl *placement) {
	if pl != nil && pl.since > 0 && now-pl.since >= steady {
		tk.tries = tries{}
		return
	}
	tk.vain(now)
}

// pauses reports whether no task of the step may be started now; a gang's start together.
func (st *step) pauses(now time.Duration) bool {
	if !st.pausing {
		return false
	}
	for _, tk := range st.tasks {
		if tk.done || tk.runs > 0 {
			continue
		}
		if paused := tk.tries.until > now; paused == st.def.Gang {
			return paused
		}
	}
	return !st.def.Gang
}
