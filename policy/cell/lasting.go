package cell

import "time"

// A lasting task is begun again however it ends. One that ends at once each time was begun again
// at once, and each end was laid to its worker: 80 starts in 10 s on 20 workers, with all of them at
// rest and nothing else begun (TestLastingThatFailsAtOnce).
const (
	// freeRestarts is how many early ends in a row have no consequence for the task: healthy ones
	// fail at any moment.
	freeRestarts = 2
	// firstPause is the pause before the next start then, which doubles with each early end.
	firstPause = 250 * time.Millisecond
	// mostPause is the longest: users count the tasks at work each 2 s, and miss one after 6 s.
	mostPause = 2 * time.Second
	// steady is how long a run is at work before its end is no early one.
	steady = 10 * time.Second
)

// restarts is how a lasting task ended of late.
type restarts struct {
	// early counts the early ends in a row, until is when it may be begun again.
	early int
	until time.Duration
}

// ended takes in the end of a run of a lasting task.
func (rs *restarts) ended(now time.Duration, pl *placement) {
	if pl != nil && pl.since > 0 && now-pl.since >= steady {
		*rs = restarts{}
		return
	}
	rs.early++
	if over := rs.early - freeRestarts; over > 0 {
		rs.until = now + pauseAfter(over)
	}
}

func pauseAfter(ends int) time.Duration {
	pause := firstPause
	for range ends - 1 {
		if pause *= 2; pause >= mostPause {
			return mostPause
		}
	}
	return pause
}

// blamed reports whether the task's ends are its own doing.
func (rs *restarts) blamed() bool { return rs.early > freeRestarts }

// pauses reports whether no task of a lasting step may be begun now; a gang's begin together.
func (st *step) pauses(now time.Duration) bool {
	if !st.def.Lasting {
		return false
	}
	for _, tk := range st.tasks {
		if tk.done || tk.runs > 0 {
			continue
		}
		if paused := tk.restarts.until > now; paused == st.def.Gang {
			return paused
		}
	}
	return !st.def.Gang
}
