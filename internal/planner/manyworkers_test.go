package planner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// processor simulates the CPU of a single-core node: operations run one at a time.
type processor struct {
	busy chan struct{}

	mu sync.Mutex
	// connected holds the workers that have been called before.
	connected map[incarnation.ID]bool
}

func newProcessor() *processor {
	return &processor{busy: make(chan struct{}, 1), connected: map[incarnation.ID]bool{}}
}

// use waits for the processor and occupies it for span.
func (pr *processor) use(span time.Duration) {
	pr.busy <- struct{}{}
	time.Sleep(span)
	<-pr.busy
}

// wrapAgents returns ag with holds that use the processor: connectTime for the first hold to a worker, callTime for
// later ones.
func (pr *processor) wrapAgents(ag *agent.Agents, connectTime, callTime time.Duration) *agent.Agents {
	wrapped := *ag
	wrapped.Hold = func(ctx context.Context, to agent.Target, hold agent.Hold) (agent.Report, error) {
		pr.mu.Lock()
		span := callTime
		if !pr.connected[to.Incarnation] {
			span = connectTime
		}
		pr.connected[to.Incarnation] = true
		pr.mu.Unlock()
		pr.use(span)
		return ag.Hold(ctx, to, hold)
	}
	return &wrapped
}

// wrapStore returns st with lease renewals that use the processor for callTime.
func (pr *processor) wrapStore(st *kv.Store, callTime time.Duration) *kv.Store {
	wrapped := *st
	wrapped.Renew = func(ctx context.Context, lease uint64) error {
		pr.use(callTime)
		return st.Renew(ctx, lease)
	}
	return &wrapped
}

// TestBeginsWithManyWorkers guards against a new planner losing its lease because its renewals wait for the processor
// behind the first holds to thousands of workers.
func TestBeginsWithManyWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		workers int
		// dead is the number of workers that do not answer.
		dead int
		// within is the time limit of the job, and how long the node is observed after it.
		within time.Duration
	}{
		"3,000 workers":                         {workers: 3000, within: 8 * time.Second},
		"3,000 workers, a quarter of them dead": {workers: 3000, dead: 750, within: 10 * time.Second},
		"10 workers":                            {workers: 10, within: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const connectTime, callTime = time.Millisecond, 100 * time.Microsecond
				bd := newTestbed(t, time.Second)
				defer bd.end()
				dead := map[string]bool{}
				for at := range tc.workers {
					id := fmt.Sprintf("w%d", at)
					bd.addWorker(id)
					dead[id] = at < tc.dead
				}
				bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
					if dead[worker] {
						return memworkers.RequestLost
					}
					return memworkers.None
				})
				pr := newProcessor()
				bd.agents = pr.wrapAgents(bd.fleet.Agents(), connectTime, callTime)
				bd.wrapStore = func(st *kv.Store) *kv.Store { return pr.wrapStore(st, callTime) }
				nd := bd.addNode("n1")
				time.Sleep(100 * time.Millisecond)
				bd.submit(nd, "a", 10)
				bd.await("a", cell.Succeeded, tc.within)
				time.Sleep(tc.within)
				if number := nd.currentTerm().Number; number != 1 {
					t.Errorf("the node lost leadership %d times", number-1)
				}
			})
		})
	}
}
