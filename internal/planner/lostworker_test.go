package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// maxLack is how long a long-running task may lack a run after its worker was lost: the lease and a second.
const maxLack = 6 * time.Second

// TestLostTaskRestarts has the worker of a long-running task fall silent for good in a cell where another one is idle.
func TestLostTaskRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitJob(nd, &work.Job{
			ID: "lasting", Spec: "lasting", Queue: bd.accepted,
			Steps: []work.Step{{Count: 1, Need: size.New(1000, 1, 0), Estimate: time.Second, LongRunning: true}},
		})
		time.Sleep(time.Second)
		bd.addWorker("w2")
		time.Sleep(5 * time.Second)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == "w1" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		time.Sleep(15 * time.Second)
		restart, ok := nd.meters.Get("planner.long_running_restart").(metrics.Histogram)
		if !ok {
			t.Fatal("the task did not run again within 15 s")
		}
		if took := time.Duration(restart.Max()); took > maxLack {
			t.Errorf("runs again %v after the last report of its worker, want %v at most", took, maxLack)
		}
	})
}
