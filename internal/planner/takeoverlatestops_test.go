package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/work"
)

// TestNextTermAwaitsLateStops guards against a second run of a task while a worker that is late with a stop still stops its run
// for the term before.
func TestNextTermAwaitsLateStops(t *testing.T) {
	const (
		late = 300 * time.Millisecond // less than what one planner allows for a run that has begun
		// earlier is by how much another run is stopped before: its end makes the worker report.
		earlier = 70 * time.Millisecond
	)
	ways := map[string]func(bd *testbed, first *node){
		"planner resigns":    func(bd *testbed, first *node) { bd.resign(first) },
		"planner is deposed": func(_ *testbed, first *node) { first.currentTerm().StepDown("test") },
	}
	for name, end := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1", "w2")
				bd.setStopTime(longestStop)
				bd.fleet.SetStopTime(longestStop + late)
				defer bd.end()
				first, _ := bd.addTwo()
				time.Sleep(time.Second)
				bd.submit(first, "b", 1)
				time.Sleep(earlier)
				bd.submit(first, "a", 4)
				for n := 0; !bd.fleet.Stopping(work.Task{Job: "a"}); n++ {
					if n > 10_000 {
						t.Fatal("no run was stopped")
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
				end(bd, first)
				time.Sleep(3 * time.Second)
			})
		})
	}
}
