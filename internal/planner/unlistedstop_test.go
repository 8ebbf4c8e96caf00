package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"
)

// TestStopOfUnlistedWorker guards against a cancelled task that runs on: its stop was dropped because the worker had no
// entry in the list when the job was cancelled, which a new planner needs to call it.
func TestStopOfUnlistedWorker(t *testing.T) {
	const (
		// maxStop is how long a task may run on after the cancellation, or after its worker has been listed again.
		maxStop = 3 * time.Second
		away    = 700 * time.Millisecond // less than what is left of the lease
	)
	for name, end := range map[string]func(bd *testbed, first *node){
		"planner dies":    func(bd *testbed, _ *node) { bd.lose("n1") },
		"planner resigns": func(bd *testbed, first *node) { bd.resign(first) },
		"planner yields":  func(_ *testbed, first *node) { first.currentTerm().Yield("test") },
		"planner stays":   func(*testbed, *node) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1", "w2")
				defer bd.end()
				first, second := bd.addTwo()
				third := bd.addNode("n3")
				worker := bd.submitLongRunning(first, "service")
				time.Sleep(10 * time.Second)
				bd.store.Delete(workersPrefix + worker)
				time.Sleep(time.Second) // the planner has recorded what runs there
				end(bd, first)
				for range 4000 {
					if second.term.Leading() || third.term.Leading() || name == "planner stays" {
						break
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				if err := second.intake.Cancel(t.Context(), "service", ""); err != nil {
					t.Fatal(err)
				}
				listed := time.Now().Add(away)
				bd.clock.AfterFunc(away, func() { bd.list(worker) })
				bd.await("service", cell.Cancelled, time.Second)
				task := work.Task{Job: "service"}
				for bd.fleet.Runs(task) && time.Since(listed) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if late := time.Since(listed); late > maxStop {
					t.Errorf("the task ran for %v after its worker had been listed again, more than %v", late, maxStop)
				}
			})
		})
	}
}
