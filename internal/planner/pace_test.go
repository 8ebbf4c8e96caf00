package planner

import (
	"testing"
	"time"
)

// TestPace tells a node that keeps up from one whose ticks come late.
func TestPace(t *testing.T) {
	cases := map[string]struct {
		every time.Duration
		slow  bool
	}{
		"on time":           {tick, false},
		"a little late":     {tick * 3 / 2, false},
		"four times slower": {tick * 4, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var pc pace
			slow := false
			for n := range 3 * paceTicks {
				slow = pc.slow(time.Duration(n+1)*tc.every) || slow
			}
			if slow != tc.slow {
				t.Errorf("slow is %v", slow)
			}
		})
	}
}

// TestPatience follows the time that answers take, within its bounds.
func TestPatience(t *testing.T) {
	cases := map[string]struct{ took, want time.Duration }{
		"fast": {2 * time.Millisecond, leastPatience},
		"slow": {60 * time.Millisecond, 480 * time.Millisecond},
		"dead": {time.Minute, mostPatience},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var pt patience
			for range 200 {
				pt.note(tc.took)
			}
			if got := pt.wait(); got < tc.want*9/10 || got > tc.want {
				t.Errorf("waits %v, want %v", got, tc.want)
			}
		})
	}
}
