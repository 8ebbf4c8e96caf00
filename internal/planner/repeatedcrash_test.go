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
