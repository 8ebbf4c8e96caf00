// Package bubbleclock provides the clock of a bubble of testing/synctest, for tests that run under the race detector.
//
// The runtime gives the timers of a bubble one race context and does not lock it. It runs them one after the other,
// except for timers that are set to the present time and channel timers that have expired without a receiver: the
// goroutine that uses such a timer runs it. If another timer of the bubble runs meanwhile, the race detector fails an
// internal check or crashes. The timers of this clock are never run by the goroutines that use them.
package bubbleclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// New returns the clock of the bubble in which its methods are called.
func New() clockwork.Clock { return clock{clockwork.NewRealClock()} }

type clock struct{ clockwork.Clock }

func (cl clock) After(d time.Duration) <-chan time.Time { return cl.NewTimer(d).Chan() }

func (cl clock) NewTimer(d time.Duration) clockwork.Timer {
	tm := newChanTimer()
	tm.Reset(d)
	return tm
}

func (cl clock) NewTicker(d time.Duration) clockwork.Ticker {
	if d <= 0 {
		panic("bubbleclock: ticker without a period")
	}
	tk := ticker{newChanTimer()}
	tk.Reset(d)
	return tk
}

func (cl clock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	tm := &timer{expire: func() { go f() }}
	tm.Reset(d)
	return tm
}
