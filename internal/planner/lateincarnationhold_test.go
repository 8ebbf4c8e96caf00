package planner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestLateHoldForEarlierIncarnation guards against leases that a late hold for an earlier incarnation gives to the next one.
func TestLateHoldForEarlierIncarnation(t *testing.T) {
	const (
		works = iota
		holdLate
		lost
	)
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1")
		defer bd.end()
		bd.fleet.SetDelay(500 * time.Millisecond)
		nd := bd.addNode("n1")
		time.Sleep(30 * time.Second) // of the clock of the earlier incarnation
		var mode, late atomic.Int64
		bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
			switch {
			case worker != "w1" || mode.Load() == works:
				return memworkers.None
			case mode.Load() == holdLate && order == "hold" && late.Add(1) == 1:
				return memworkers.Delayed
			}
			return memworkers.RequestLost
		})
		mode.Store(holdLate)
		for late.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		bd.fleet.Kill("w1")
		bd.fleet.Add("w1")
		time.Sleep(600 * time.Millisecond)
		mode.Store(works)
		bd.list("w1")
		bd.submit(nd, "a", 1)
		for len(bd.fleet.Starts()) == 0 {
			time.Sleep(time.Millisecond)
		}
		bd.addWorker("w2")
		mode.Store(lost)
		time.Sleep(15 * time.Second)
	})
}
