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
	t.Parallel()
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

// TestLateHoldBeforeFirstCall guards against the same where workers cut leases down to the longest that they accept: the hold is
// carried out just before the planner's first call to the next incarnation, and no later hold is answered.
func TestLateHoldBeforeFirstCall(t *testing.T) {
	for delay := time.Second; delay <= 2*time.Second; delay += 50 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playLateHold(t, delay) })
		})
	}
}

func playLateHold(t *testing.T, delay time.Duration) {
	const (
		works = iota
		holdLate
		next
		lost
		down = time.Second
	)
	bd := newTestbed(t, time.Hour, "w1")
	defer bd.end()
	bd.fleet.SetDelay(delay)
	nd := bd.addNode("n1")
	time.Sleep(30 * time.Second) // of the clock of the earlier incarnation
	var mode, delayed, answered atomic.Int64
	bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
		switch {
		case worker != "w1" || mode.Load() == works:
			return memworkers.None
		case mode.Load() == holdLate && order == "hold" && delayed.Add(1) == 1:
			return memworkers.Delayed
		case mode.Load() == next && (order != "hold" || answered.Add(1) <= 3): // of which the last one is of the next session
			return memworkers.None
		case mode.Load() == next:
			return memworkers.ResponseLost
		}
		return memworkers.RequestLost
	})
	mode.Store(holdLate)
	for delayed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	bd.fleet.Kill("w1")
	bd.fleet.Add("w1")
	time.Sleep(down)
	mode.Store(next)
	bd.list("w1")
	bd.submit(nd, "a", 1)
	for range 2000 {
		if len(bd.fleet.Starts()) > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	bd.addWorker("w2")
	mode.Store(lost)
	time.Sleep(15 * time.Second)
	if len(bd.fleet.Starts()) < 2 {
		t.Errorf("%d starts, want one on each worker", len(bd.fleet.Starts()))
	}
}
