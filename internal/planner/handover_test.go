package planner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestHandover checks that a planner whose predecessor's node still runs learns from it what runs where, and does not wait
// for workers that do not answer. A job is accepted before the change; one worker answers the first planner only.
func TestHandover(t *testing.T) {
	const soon = 2 * time.Second // election, journal and runs of 0.3 s; the lease of the silent worker takes 5 s more
	for name, tc := range map[string]struct {
		// end ends the first planner's term.
		end func(bd *testbed, first *node)
		// within is the time limit of the job.
		within time.Duration
	}{
		"resigns": {func(bd *testbed, first *node) {
			ctx, cancel := context.WithTimeout(bd.t.Context(), time.Second)
			defer cancel()
			first.term.Resign(ctx)
		}, soon},
		"is cut off from the store": {func(bd *testbed, _ *node) { bd.cutOff("n1") }, soon + 4*time.Second},
		"yields":                    {func(_ *testbed, first *node) { first.currentTerm().Yield("test") }, soon},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 300*time.Millisecond, "w1", "w2", "w3")
				defer bd.end()
				first, second := bd.addTwo()
				bd.submit(second, "before", 24) // uses all workers
				bd.await("before", cell.Succeeded, 3*time.Second)
				time.Sleep(2 * time.Second) // the journal has all ends
				second.cut("w3")
				tc.end(bd, first)
				bd.submit(second, "between", 8)
				bd.await("between", cell.Succeeded, tc.within)
				second.cut()
				if starts := len(bd.fleet.Starts()); starts != 32 {
					t.Errorf("%d starts of 32 tasks", starts)
				}
			})
		})
	}
}

// TestHandoverOfRuns has the first planner resign while tasks run, and workers that do not answer the second one. The
// tasks must not start again while they may run there.
func TestHandoverOfRuns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 3*time.Second, "w1", "w2", "w3")
		defer bd.end()
		first, second := bd.addTwo()
		bd.submit(second, "long", 24)
		time.Sleep(time.Second)
		second.cut("w1", "w2")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first.term.Resign(ctx)
		time.Sleep(time.Second)
		bd.submit(second, "next", 1)
		time.Sleep(time.Second)
		second.cut()
		bd.await("next", cell.Succeeded, 10*time.Second)
		bd.await("long", cell.Succeeded, 10*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 25 {
			t.Errorf("%d starts of 25 tasks", starts)
		}
	})
}
