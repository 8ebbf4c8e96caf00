package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestNextPlannerCountsNoUnsentStart guards against a job that the next planner fails because a start that its predecessor
// had decided, and not sent, was counted as the task's third crash: the worker was lost while the journal did not have
// the start's record yet, and the record of the lost worker named the run.
func TestNextPlannerCountsNoUnsentStart(t *testing.T) {
	for lost := time.Duration(0); lost < 200*time.Millisecond; lost += 5 * time.Millisecond {
		t.Run(lost.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				first, second := bd.addTwo()
				time.Sleep(time.Second)
				bd.submit(second, "a", 1)
				for crashes := range 2 {
					for len(bd.fleet.Starts()) == crashes {
						time.Sleep(10 * time.Millisecond)
					}
					if crashes == 1 {
						bd.addWorker("w2")
					}
					time.Sleep(600 * time.Millisecond)
					bd.fleet.Kill("w1")
					bd.fleet.Add("w1")
					if crashes == 0 {
						bd.list("w1") // it gets no start before it is listed
					}
				}
				time.Sleep(lost)
				first.cut("w2")
				bd.fleet.Kill("w2")
				bd.addWorker("w2")
				time.Sleep(100 * time.Millisecond)
				first.currentTerm().Yield("test")
				time.Sleep(10 * time.Second)
				phase, err := bd.leader().planner.JobPhase(t.Context(), "a", "")
				if phase != cell.Succeeded && bd.fleet.LostRuns("a") < minLosses {
					t.Errorf("job is %q, %v, after the end of %d incarnations that ran it", phase, err, bd.fleet.LostRuns("a"))
				}
			})
		})
	}
}
