package planner

import (
	"testing"
	"time"
)

// TestTickMonitor distinguishes a node that keeps up from one whose ticks are late.
func TestTickMonitor(t *testing.T) {
	cases := map[string]struct {
		every time.Duration
		slow  bool
	}{
		"on time":           {tickInterval, false},
		"a little late":     {tickInterval * 3 / 2, false},
		"four times slower": {tickInterval * 4, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var mo tickMonitor
			slow := false
			for n := range 3 * slowTicks {
				slow = mo.slow(time.Duration(n+1)*tc.every) || slow
			}
			if slow != tc.slow {
				t.Errorf("slow is %v", slow)
			}
		})
	}
}

// TestReplyTimeout checks that the timeout follows the answer times, within its limits.
func TestReplyTimeout(t *testing.T) {
	cases := map[string]struct{ took, want time.Duration }{
		"fast": {2 * time.Millisecond, minReplyTimeout},
		"slow": {60 * time.Millisecond, 480 * time.Millisecond},
		"dead": {time.Minute, maxReplyTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var rt replyTimeout
			for range 200 {
				rt.record(tc.took)
			}
			if got := rt.next(); got < tc.want*9/10 || got > tc.want {
				t.Errorf("waits %v, want %v", got, tc.want)
			}
		})
	}
}

// TestTakeoverTime checks for how long a planner is not taken for slow while it reaches the workers of an earlier one.
func TestTakeoverTime(t *testing.T) {
	cases := map[string]struct {
		workers int
		want    time.Duration
	}{
		"none":           {0, 4 * time.Second},
		"300 workers":    {300, 4600 * time.Millisecond},
		"6,000 workers":  {6000, 16 * time.Second},
		"12,000 workers": {12_000, 28 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if got := takeoverTime(tc.workers); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
