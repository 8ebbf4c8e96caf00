package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestWakes has the planner's VM suspended while work waits and runs. When it wakes, it neither
// starts tasks nor tells what it knows, unless the time was shorter than its lease, until the store
// has said again that the lease holds.
func TestWakes(t *testing.T) {
	tests := map[string]struct {
		away    time.Duration
		answers bool
	}{
		"half a second": {500 * time.Millisecond, true},
		"3 s":           {3 * time.Second, false},
		"20 s":          {20 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, 300*time.Millisecond, "w1", "w2")
				defer bd.end()
				nd := bd.addNode("n1")
				bd.submit(nd, "a", 60)
				time.Sleep(500 * time.Millisecond)
				if phase, err := nd.planner.JobPhase(t.Context(), "a", ""); phase != cell.Running || err != nil {
					t.Fatalf("before: %s, %v", phase, err)
				}
				bd.cutOff("n1") // the lease cannot be proven yet
				began := len(bd.fleet.Starts())
				nd.suspended.Store(int64(tt.away))
				_, err := nd.planner.JobPhase(t.Context(), "a", "")
				if tt.answers != (err == nil) || !tt.answers && !fault.Is(err, fault.Unavailable) {
					t.Errorf("on waking: %v", err)
				}
				time.Sleep(time.Second)
				if starts := len(bd.fleet.Starts()) - began; (starts > 0) != tt.answers {
					t.Errorf("%d starts in the second after waking", starts)
				}
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				bd.await("a", cell.Succeeded, 20*time.Second)
			})
		})
	}
}
