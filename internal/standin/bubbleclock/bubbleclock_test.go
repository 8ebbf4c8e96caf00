package bubbleclock_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/standin/bubbleclock"
)

// TestTimers checks that timers behave like those of package time.
func TestTimers(t *testing.T) {
	const period = 10 * time.Millisecond
	cases := map[string]struct {
		act func(clock clockwork.Clock, tick func())
		// want are the times of the calls of tick.
		want []time.Duration
	}{
		"after":                 {func(cl clockwork.Clock, tick func()) { <-cl.After(period); tick() }, []time.Duration{period}},
		"after nothing":         {func(cl clockwork.Clock, tick func()) { <-cl.After(0); tick() }, []time.Duration{0}},
		"after a negative time": {func(cl clockwork.Clock, tick func()) { <-cl.After(-period); tick() }, []time.Duration{0}},
		"received late": {func(cl clockwork.Clock, tick func()) {
			timeout := cl.After(period)
			cl.Sleep(3 * period)
			<-timeout
			tick()
		}, []time.Duration{3 * period}},
		"function":          {func(cl clockwork.Clock, tick func()) { cl.AfterFunc(period, tick) }, []time.Duration{period}},
		"function at once":  {func(cl clockwork.Clock, tick func()) { cl.AfterFunc(0, tick) }, []time.Duration{0}},
		"stopped function":  {func(cl clockwork.Clock, tick func()) { cl.AfterFunc(period, tick).Stop() }, nil},
		"function set anew": {func(cl clockwork.Clock, tick func()) { cl.AfterFunc(period, tick).Reset(2 * period) }, []time.Duration{2 * period}},
		"expired timer set anew": {func(cl clockwork.Clock, tick func()) {
			tm := cl.NewTimer(period)
			cl.Sleep(2 * period)
			tm.Reset(period)
			<-tm.Chan()
			tick()
		}, []time.Duration{3 * period}},
		"stopped timer": {func(cl clockwork.Clock, tick func()) {
			tm := cl.NewTimer(period)
			cl.Sleep(2 * period)
			if !tm.Stop() || tm.Stop() {
				tick()
			}
			select {
			case <-tm.Chan():
				tick()
			case <-cl.After(period):
			}
		}, nil},
		"ticker with a late receiver": {func(cl clockwork.Clock, tick func()) {
			tk := cl.NewTicker(period)
			defer tk.Stop()
			cl.Sleep(2*period + period/2)
			for range 3 {
				<-tk.Chan()
				tick()
			}
			tk.Reset(3 * period)
			<-tk.Chan()
			tick()
		}, []time.Duration{2*period + period/2, 3 * period, 4 * period, 7 * period}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var got []time.Duration
				began := time.Now()
				tc.act(bubbleclock.New(), func() {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, time.Since(began))
				})
				time.Sleep(10 * period)
				mu.Lock()
				defer mu.Unlock()
				if !slices.Equal(got, tc.want) {
					t.Errorf("ticks at %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestExpiredTimers guards against expired timers that many goroutines run at once: under the race detector, they end
// the process.
func TestExpiredTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleclock.New()
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() {
				tk := clock.NewTicker(time.Millisecond)
				defer tk.Stop()
				for range 500 {
					late := clock.After(time.Millisecond)
					clock.Sleep(2 * time.Millisecond)
					<-clock.After(0)
					<-late
					<-tk.Chan()
				}
			})
		}
		running.Wait()
	})
}
