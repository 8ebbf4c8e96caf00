package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestRecordsThroughPeer has the store ignore the planner just before its runs end. The job must be shown as succeeded while
// the planner's lease is held, and the next planner must not run its tasks again.
func TestRecordsThroughPeer(t *testing.T) {
	for name, tc := range map[string]struct {
		peers bool
		want  cell.Phase
	}{
		"through another node":    {true, cell.Succeeded},
		"without any other nodes": {false, cell.Running},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1", "w2")
				bd.peerCommits = tc.peers
				defer bd.end()
				first, second := bd.addTwo()
				time.Sleep(time.Second)
				bd.submit(first, "a", 16)
				time.Sleep(900 * time.Millisecond)
				bd.cutOff("n1")
				time.Sleep(500 * time.Millisecond)
				if phase, err := first.planner.JobPhase(t.Context(), "a", ""); phase != tc.want {
					t.Errorf("the job is %q, %v, want %s", phase, err, tc.want)
				}
				for !second.term.Leading() {
					time.Sleep(10 * time.Millisecond)
				}
				bd.await("a", cell.Succeeded, 10*time.Second)
				if starts := len(bd.fleet.Starts()); starts != 16 {
					t.Errorf("%d starts of 16 tasks", starts)
				}
			})
		})
	}
}
