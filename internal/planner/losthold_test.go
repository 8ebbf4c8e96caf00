package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestLostHoldInOutageEndsRuns guards against runs that lapse in an outage of the store since a single hold was lost.
func TestLostHoldInOutageEndsRuns(t *testing.T) {
	const lost = 1800 * time.Millisecond // one hold with its slack
	for name, outage := range map[string]time.Duration{"5 s": 5 * time.Second, "6 s": 6 * time.Second, "7 s": 7 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1", "w2")
				defer bd.end()
				nd := bd.addNode("n1")
				time.Sleep(100 * time.Millisecond)
				worker := bd.submitLongRunning(nd, "service")
				time.Sleep(20 * time.Second)
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
				bd.fleet.SetFault(func(id, _ string) memworkers.Fault {
					if id == worker {
						return memworkers.RequestLost
					}
					return memworkers.None
				})
				time.Sleep(lost)
				bd.clearFaults()
				time.Sleep(outage - lost)
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				time.Sleep(15 * time.Second)
				if starts := len(bd.fleet.Starts()); starts != 1 {
					t.Errorf("%d starts, want 1", starts)
				}
			})
		})
	}
}
