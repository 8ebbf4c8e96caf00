package planner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
)

// TestHoldsOfGoneWorkers guards against a planner that spends its processor on calls to workers that are gone: their
// connections are refused at once, so that the number of calls depends only on the pauses. Until the leases have expired,
// all of them together may cost 2,000 calls a second, and few of them are called as often as before.
func TestHoldsOfGoneWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		gone        int
		least, most float64 // calls a second
	}{
		"10 of 1,200":  {10, 80, 110},
		"600 of 1,200": {600, 1000, 2100},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const workers = 1200
				bd := newTestbed(t, time.Second)
				defer bd.end()
				gone := map[string]bool{}
				for at := range workers {
					id := fmt.Sprint("w", at)
					bd.addWorker(id)
					gone[id] = at < tc.gone
				}
				bd.minInUse = workers
				var crashed atomic.Bool
				var calls atomic.Int64
				bd.agents = bd.fleet.Agents()
				hold := bd.agents.Hold
				bd.agents.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
					if crashed.Load() && gone[to.Incarnation.WorkerID()] {
						calls.Add(1)
						return agent.Report{}, errors.New("connection refused")
					}
					return hold(ctx, to, hd)
				}
				bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
				bd.addNode("n1")
				time.Sleep(5 * time.Second)
				crashed.Store(true)
				time.Sleep(1500 * time.Millisecond) // holds of 1 s that were pending fail after it
				const span = 2 * time.Second
				before := calls.Load()
				time.Sleep(span)
				rate := float64(calls.Load()-before) / span.Seconds()
				t.Logf("%.0f calls a second", rate)
				if rate < tc.least || rate > tc.most {
					t.Errorf("%.0f calls a second to workers that are gone, want %.0f to %.0f", rate, tc.least, tc.most)
				}
			})
		})
	}
}
