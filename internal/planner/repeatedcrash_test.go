package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestRepeatedStartsCrashWorkersTwice guards against crashes that count once although a start that got no answer was sent again, and
// the worker's next incarnation carried out the second attempt.
func TestRepeatedStartsCrashWorkersTwice(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 700*time.Millisecond, "w1", "w2", "w3", "w4", "w5", "w6")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.crashOn(ownIDs, "bad")
		bd.fleet.SetDelay(backAfter + 80*time.Millisecond) // the next incarnation is there, and has not been called
		attempts := map[string]int{}
		bd.fleet.SetFault(func(worker, order string) memworkers.Fault { // called with the fleet's lock
			if order != "start" {
				return memworkers.None
			}
			attempts[worker]++
			return []memworkers.Fault{memworkers.None, memworkers.Delayed}[attempts[worker]%2]
		})
		bd.submit(nd, "bad", 1)
		time.Sleep(60 * time.Second)
		bd.checkBound("bad")
		bd.await("bad", cell.Failed, time.Second)
	})
}

// TestLateOnlyStart guards against tasks whose worker was lost and whose next start is stopped because it arrives late:
// it is not sent again.
func TestLateOnlyStart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1", "w2", "w3")
		defer bd.end()
		late := false
		bd.transit = func(_, order string) (there, back time.Duration) {
			if late && order == "start" {
				return 400 * time.Millisecond, 0
			}
			return 0, 0
		}
		nd := bd.addNode("n1")
		worker := bd.submitLongRunning(nd, "service")
		late = true
		bd.store.Delete(workersPrefix + worker)
		bd.fleet.Kill(worker)
		time.Sleep(30 * time.Second)
		if run := bd.lastStart("service").run; run != 2 {
			t.Errorf("the task runs as run %d; the starts of those between were stopped", run)
		}
	})
}
