package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestDelayedStartOutlivesHandover guards against a second run of a task whose start is carried out late, in the worker's
// next incarnation, while another planner takes over.
func TestDelayedStartOutlivesHandover(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const away, maxWait = time.Second, 30 * time.Second
		bd := newTestbed(t, time.Hour, "w1")
		defer bd.end()
		first, _ := bd.addTwo()
		time.Sleep(5 * time.Second)
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				return memworkers.Delayed
			}
			return memworkers.None
		})
		bd.submit(first, "a", 1)
		time.Sleep(150 * time.Millisecond)
		bd.restart(away, "w1")
		bd.addWorker("w2")
		time.Sleep(away + time.Millisecond)
		bd.answerOneHold("w1")
		time.Sleep(1500 * time.Millisecond)
		first.term.Resign(t.Context())
		for began := time.Now(); bd.lastStart("a").worker != "w2" && time.Since(began) < maxWait; {
			time.Sleep(10 * time.Millisecond)
		}
		bd.clearFaults()
		next := agent.Target{Incarnation: incarnation.New("w1", bd.fleet.StartedAt("w1"))}
		report, err := bd.fleet.Agents().Hold(t.Context(), next, agent.Hold{Token: 1 << 60})
		if err != nil || len(report.Runs) > 0 {
			t.Errorf("the task runs on w2 and the next incarnation of w1: %v, %v", report.Runs, err)
		}
	})
}
