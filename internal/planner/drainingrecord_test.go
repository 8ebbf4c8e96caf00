package planner_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestDrainingWorkerIsForgotten guards against a second run of a task on a draining worker that the journal has forgotten: a
// later planner recorded nothing of it, and removed the record of the earlier one.
func TestDrainingWorkerIsForgotten(t *testing.T) {
	for name, led := range map[string]time.Duration{
		"before old records are removed": 2 * time.Second, "after that": 12 * time.Second, "much later": 2 * time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1", "w2")
				defer bd.end()
				first, second := bd.addTwo()
				worker := bd.submitLongRunning(first, "service")
				bd.list(worker, "draining")
				time.Sleep(20 * time.Second)
				run := bd.lastStart("service").run
				first.term.Resign(t.Context())
				first.cancel()
				bd.awaitLeader(second)
				bd.addNode("n3").cut(worker)
				time.Sleep(led)
				second.term.Resign(t.Context())
				bd.awaitRestart("service", run, 30*time.Second)
			})
		})
	}
}
