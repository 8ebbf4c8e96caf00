package bubbleclock

import (
	"sync"
	"time"
)

// timer behaves like a time.Timer: after Stop or Reset, no earlier expiration is received.
type timer struct {
	c      chan time.Time // nil for a timer of AfterFunc
	expire func()

	mu sync.Mutex
	// setting counts the calls of Reset and Stop, so that expirations of earlier settings are ignored.
	setting int
	waiting bool
	// period is the time between expirations, 0 for a single one.
	period time.Duration
	timer  *time.Timer
}

func newChanTimer() *timer {
	tm := &timer{c: make(chan time.Time, 1)}
	tm.expire = func() {
		select {
		case tm.c <- time.Now():
		default:
		}
	}
	return tm
}

func (tm *timer) Chan() <-chan time.Time { return tm.c }

func (tm *timer) Stop() bool {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	return tm.stop()
}

func (tm *timer) Reset(d time.Duration) bool {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	stopped := tm.stop()
	tm.start(d)
	return stopped
}

// stop reports whether it prevented an expiration. The caller holds the lock.
func (tm *timer) stop() bool {
	stopped := tm.waiting
	if tm.timer != nil {
		tm.timer.Stop()
	}
	tm.setting++
	tm.waiting = false
	select {
	case <-tm.c:
		return true
	default:
		return stopped
	}
}

// start sets the timer. The caller holds the lock.
func (tm *timer) start(d time.Duration) {
	if d <= 0 {
		tm.expire()
		return
	}
	setting := tm.setting
	tm.waiting = true
	tm.timer = time.AfterFunc(d, func() { tm.fire(setting) })
}

func (tm *timer) fire(setting int) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.setting != setting {
		return
	}
	tm.waiting = false
	tm.expire()
	if tm.period > 0 {
		tm.start(tm.period)
	}
}

// ticker is a timer that expires repeatedly.
type ticker struct{ timer *timer }

func (tk ticker) Chan() <-chan time.Time { return tk.timer.c }

func (tk ticker) Stop() { tk.timer.Stop() }

func (tk ticker) Reset(d time.Duration) {
	tm := tk.timer
	tm.mu.Lock()
	defer tm.mu.Unlock()
	tm.stop()
	tm.period = d
	tm.start(d)
}
