package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestSuspension suspends the planner's VM while tasks are queued and running. Unless the suspension is shorter than
// its lease, the planner must neither start tasks nor answer requests until the store has confirmed that the lease is
// held.
func TestSuspension(t *testing.T) {
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
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 300*time.Millisecond, "w1", "w2")
				defer bd.end()
				nd := bd.addNode("n1")
				bd.submit(nd, "a", 60)
				time.Sleep(500 * time.Millisecond)
				if phase, err := nd.planner.JobPhase(t.Context(), "a", ""); phase != cell.Running || err != nil {
					t.Fatalf("before the suspension: %s, %v", phase, err)
				}
				bd.cutOff("n1") // the lease cannot be renewed yet
				began := len(bd.fleet.Starts())
				nd.suspended.Store(int64(tt.away))
				_, err := nd.planner.JobPhase(t.Context(), "a", "")
				if tt.answers != (err == nil) || !tt.answers && !fault.Is(err, fault.Unavailable) {
					t.Errorf("after the suspension: %v", err)
				}
				time.Sleep(time.Second)
				if starts := len(bd.fleet.Starts()) - began; (starts > 0) != tt.answers {
					t.Errorf("%d starts in the second after the suspension", starts)
				}
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				bd.await("a", cell.Succeeded, 20*time.Second)
			})
		})
	}
}
