package planner_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestEndedSessionLosesNoRuns guards against runs that count as lost when a hold of the worker's earlier session fails.
func TestEndedSessionLosesNoRuns(t *testing.T) {
	const holdTimeout, step = 800 * time.Millisecond, 100 * time.Millisecond
	for offset := time.Duration(0); offset < holdTimeout; offset += step {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1")
				defer bd.end()
				var silent, expired atomic.Bool
				bd.logged = func(line string) {
					if strings.Contains(line, "Worker's lease has expired.") {
						expired.Store(true)
					}
				}
				bd.fleet.SetFault(func(string, string) memworkers.Fault {
					if silent.Load() {
						return memworkers.RequestLost
					}
					return memworkers.None
				})
				nd := bd.addNode("n1")
				time.Sleep(5*time.Second + offset)
				bd.submit(nd, "a", 2)
				time.Sleep(200 * time.Millisecond)
				silent.Store(true)
				time.Sleep(2 * time.Second)
				bd.store.Delete(workersPrefix + "w1")
				for !expired.Load() {
					time.Sleep(time.Millisecond)
				}
				silent.Store(false)
				bd.list("w1")
				for len(bd.fleet.Starts()) < 4 {
					time.Sleep(time.Millisecond)
				}
				bd.addWorker("w2")
				time.Sleep(2 * time.Second)
			})
		})
	}
}
