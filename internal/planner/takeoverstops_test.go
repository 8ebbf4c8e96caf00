package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// longestStop is the longest time that workers of any deployment may take to stop a run.
const longestStop = 900 * time.Millisecond

// TestNextTermAwaitsStops guards against a second run of a task while a worker still stops its run for the term before.
func TestNextTermAwaitsStops(t *testing.T) {
	cases := map[string]struct {
		// hungAt is when the planner begins to stop the runs. For the time lost, stops do not arrive. The term ends some time
		// after one was carried out.
		hungAt, lost, ends time.Duration
	}{
		"soon after the stop":             {hungAt: 5 * time.Second, ends: 20 * time.Millisecond},
		"after old keys were removed":     {hungAt: 9800 * time.Millisecond, ends: 300 * time.Millisecond},
		"after many writes":               {hungAt: 3 * time.Second, lost: 5 * time.Second, ends: 20 * time.Millisecond},
		"after a removal and many writes": {hungAt: 9 * time.Second, lost: 5 * time.Second, ends: 20 * time.Millisecond},
	}
	ways := map[string]func(bd *testbed, first *node){
		"planner resigns":    func(bd *testbed, first *node) { bd.resign(first) },
		"planner is deposed": func(_ *testbed, first *node) { first.currentTerm().StepDown("test") },
	}
	for name, tc := range cases {
		for way, end := range ways {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { stopBeforeTakeover(t, tc.hungAt, tc.lost, tc.ends, end) })
			})
		}
	}
}

// stopBeforeTakeover ends a term while workers stop runs that make no progress.
func stopBeforeTakeover(t *testing.T, hungAt, lost, ends time.Duration, end func(bd *testbed, first *node)) {
	const (
		hungAfter = 2600 * time.Millisecond
		// cancelInterval is longer than the planner takes for a write of records.
		cancelInterval = 60 * time.Millisecond
	)
	bd := newTestbed(t, time.Hour, "w1")
	bd.setStopTime(longestStop)
	defer bd.end()
	first, second := bd.addTwo()
	time.Sleep(hungAt - hungAfter)
	submitted := time.Now()
	bd.submit(first, "a", 4)
	time.Sleep(200 * time.Millisecond)
	bd.addWorker("w2")
	bd.fleet.SetFault(func(_, order string) memworkers.Fault {
		if order == "stop" && time.Since(submitted) < hungAfter+lost {
			return memworkers.RequestLost
		}
		return memworkers.None
	})
	if lost > 0 {
		go func() {
			for n := 0; time.Since(submitted) < hungAfter+lost; n++ {
				id := fmt.Sprint("cancelled", n)
				if second.intake.Submit(t.Context(), newJob(bd.accepted, id, 1)) == nil {
					_ = second.intake.Cancel(t.Context(), id, "") // the planner records the job's end
				}
				time.Sleep(cancelInterval)
			}
		}()
	}
	for n := 0; !bd.fleet.Stopping(work.Task{Job: "a"}); n++ {
		if n > 10_000 {
			t.Fatal("no run was stopped")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(ends)
	end(bd, first)
	time.Sleep(3 * time.Second)
	if starts := len(bd.fleet.StartLog("a")); starts < 8 {
		t.Errorf("the four tasks were started %d times in all: not again in the next term", starts)
	}
}
