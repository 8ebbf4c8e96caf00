package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestCancelAfterEnd guards against a job that is shown as succeeded and, after a change of planner, as cancelled, because a
// cancellation came after its end. A cancellation that came before the end must hold in the next term too.
func TestCancelAfterEnd(t *testing.T) {
	tests := map[string]struct {
		cancelAfter time.Duration
		want        cell.Phase
	}{
		"after the end":  {3 * time.Second, cell.Succeeded},
		"before the end": {500 * time.Millisecond, cell.Cancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1", "w2")
				defer bd.end()
				_, second := bd.addTwo()
				bd.addNode("n3")
				bd.submit(second, "a", 4)
				time.Sleep(tt.cancelAfter)
				if err := second.intake.Cancel(t.Context(), "a", ""); err != nil {
					t.Fatal(err)
				}
				bd.await("a", tt.want, time.Second)
				bd.lose("n1")
				for range 2 { // the third term reads what the second one wrote
					time.Sleep(5 * time.Second)
					nd := bd.leader()
					if nd == nil {
						t.Fatal("no node plans")
					}
					phase, err := nd.planner.JobPhase(t.Context(), "a", "")
					if err != nil || phase != tt.want {
						t.Errorf("the job is shown as %q in the next term, error %v; want %q", phase, err, tt.want)
					}
					bd.resign(nd)
				}
			})
		})
	}
}
