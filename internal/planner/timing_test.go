package planner

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/incarnation"
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

// TestUnreachableSessions checks that a session counts as unreachable at most once, and not after its end.
func TestUnreachableSessions(t *testing.T) {
	ld := &leader{sessions: map[incarnation.ID]*session{}, current: map[string]*session{}}
	first, second := &session{leader: ld, incarnation: "w1"}, &session{leader: ld, incarnation: "w2"}
	for at, step := range []struct {
		act  func()
		want int
	}{
		{func() { first.setUnreachable(true); first.setUnreachable(true) }, 1},
		{func() { second.setUnreachable(true) }, 2},
		{func() { second.setUnreachable(false); second.setUnreachable(false) }, 1},
		{first.end, 0},
		{func() { first.setUnreachable(true) }, 0}, // a hold that was pending
	} {
		if step.act(); ld.unreachableSessions != step.want {
			t.Errorf("%d sessions after step %d, want %d", ld.unreachableSessions, at, step.want)
		}
	}
}

// TestTakingOver checks when late ticks are taken for the first calls to the workers of earlier planners. A worker that does
// not answer must not keep a slow node from yielding.
func TestTakingOver(t *testing.T) {
	const workers = 1000
	cases := map[string]struct {
		notLoaded bool
		worker    session // that of the only worker that has not been resolved
		after     time.Duration
		want      bool
	}{
		"journal is read":          {notLoaded: true, after: time.Second, want: true},
		"journal takes too long":   {notLoaded: true, after: takeoverTime(0) + time.Millisecond},
		"worker has not answered":  {after: 5 * time.Second, want: true},
		"worker takes too long":    {after: takeoverTime(workers) + time.Millisecond},
		"worker has answered":      {worker: session{answered: true}, after: time.Second},
		"worker does not answer":   {worker: session{unreachable: true}, after: time.Second},
		"worker's session is over": {worker: session{ended: true}, after: time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			ld := &leader{
				clock: clock, began: clock.Now(), loaded: !tc.notLoaded, inheritedWorkers: workers,
				unresolved: map[incarnation.ID]bool{"w1": true}, sessions: map[incarnation.ID]*session{},
			}
			if tc.notLoaded {
				ld.inheritedWorkers = 0 // not known yet
			}
			if !tc.worker.ended {
				ld.sessions["w1"] = &tc.worker
			}
			clock.Advance(tc.after)
			if got := ld.takingOver(); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
