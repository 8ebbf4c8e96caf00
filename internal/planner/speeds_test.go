package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
)

// TestSlowWorkerIsLogged guards against a slow worker that operators cannot see, and against one that still counts as
// slow after it has restarted at the usual speed, or under a planner that has not seen its runs.
func TestSlowWorkerIsLogged(t *testing.T) {
	tests := map[string]struct {
		features feature.Set
		want     int64
	}{
		"with the feature":    {feature.WorkerSpeeds, 1},
		"without the feature": {0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var ll logLines
				bd := newTestbed(t, 500*time.Millisecond, "w1", "w2", "w3")
				bd.logged, bd.features, bd.minInUse = ll.add, tt.features, 3
				defer bd.end()
				first, second := bd.addTwo()
				bd.awaitLeader(first)
				slowWorkers := func(nd *node) int64 {
					return metrics.GetOrRegisterGauge("planner.workers_slow", nd.meters).Value()
				}
				runJobs := func(phase string) {
					for n := range 5 {
						id := fmt.Sprint(phase, n)
						bd.submit(second, id, 3*defaultCapacity)
						bd.await(id, cell.Succeeded, 10*time.Second)
					}
					time.Sleep(time.Second)
				}
				bd.fleet.SetSlow("w1", 3)
				runJobs("slow")
				if got := slowWorkers(first); got != tt.want {
					t.Errorf("%d workers are slow, want %d", got, tt.want)
				}
				if got := ll.has(`"Worker is slow."`, `"worker"="w1@`, `"speed"=0.`, `"runs"=`); got != (tt.want > 0) {
					t.Errorf("the slow worker is logged: %v", got)
				}
				bd.fleet.SetSlow("w1", 1)
				bd.restart(100*time.Millisecond, "w1")
				time.Sleep(5 * time.Second)
				runJobs("restarted")
				if got := slowWorkers(first); got != 0 {
					t.Errorf("%d workers are slow after the restart", got)
				}
				bd.fleet.SetSlow("w2", 3)
				runJobs("other")
				first.cancel()
				bd.awaitLeader(second)
				time.Sleep(2 * time.Second)
				if got := slowWorkers(second); got != 0 {
					t.Errorf("%d workers are slow for a new planner", got)
				}
				runJobs("learned")
				if got := slowWorkers(second); got != tt.want {
					t.Errorf("%d workers are slow for a new planner after 5 jobs, want %d", got, tt.want)
				}
			})
		})
	}
}
