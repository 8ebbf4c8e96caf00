package planner_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestTermEndsBeforeFirstRenewal guards against a second run on behalf of a planner to which the previous one reports that no
// lease is left, as a worker had answered it but got no deadline yet.
func TestTermEndsBeforeFirstRenewal(t *testing.T) {
	const step, longest = 5 * time.Millisecond, 60 * time.Millisecond
	for delay := time.Duration(0); delay <= longest; delay += step {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1", "w2")
				defer bd.end()
				first, second := bd.addTwo()
				worker := bd.submitLongRunning(first, "service")
				time.Sleep(20 * time.Second)
				run := bd.lastStart("service").run
				first.term.Resign(t.Context())
				first.cancel()
				bd.awaitLeader(second)
				time.Sleep(delay)
				bd.addNode("n3").cut(worker)
				time.Sleep(delay)
				second.term.Resign(t.Context())
				bd.awaitRestart("service", run, 30*time.Second)
			})
		})
	}
}
