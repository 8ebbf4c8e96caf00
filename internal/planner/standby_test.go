package planner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// holdCounter counts holds, and the workers that they go to.
type holdCounter struct {
	mu      sync.Mutex
	holds   int
	workers map[string]bool
}

// wrapAgents returns ag with holds that are counted.
func (hc *holdCounter) wrapAgents(ag *agent.Agents) *agent.Agents {
	wrapped := *ag
	wrapped.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		hc.mu.Lock()
		hc.holds++
		hc.workers[to.Incarnation.WorkerID()] = true
		hc.mu.Unlock()
		return ag.Hold(ctx, to, hd)
	}
	return &wrapped
}

// TestIdleWorkersAreNotHeld guards against a planner whose calls grow with the number of workers while the work stays
// the same.
func TestIdleWorkersAreNotHeld(t *testing.T) {
	counts := map[int]*holdCounter{}
	for _, workers := range []int{300, 3000} {
		hc := &holdCounter{workers: map[string]bool{}}
		counts[workers] = hc
		synctest.Test(t, func(t *testing.T) {
			bd := newTestbed(t, time.Second)
			defer bd.end()
			for at := range workers {
				bd.addWorker(fmt.Sprint("w", at))
			}
			bd.agents = hc.wrapAgents(bd.fleet.Agents())
			bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
			nd := bd.addNode("n1")
			time.Sleep(100 * time.Millisecond)
			for at := range 10 {
				id := fmt.Sprint("job", at)
				bd.submit(nd, id, 10)
				bd.await(id, cell.Succeeded, 3*time.Second)
			}
		})
	}
	few, many := counts[300], counts[3000]
	if len(many.workers) > len(few.workers)*11/10 || many.holds > few.holds*11/10 {
		t.Errorf("%d holds to %d of 3,000 workers, and %d to %d of 300, for the same work", many.holds, len(many.workers), few.holds, len(few.workers))
	}
}

// TestTakeoverWithManyWorkers guards against a new planner that reaches the workers with runs only after thousands of
// idle ones, when the leases of the runs have expired.
func TestTakeoverWithManyWorkers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const workers, connectTime, callTime = 3000, 2 * time.Millisecond, 100 * time.Microsecond
		bd := newTestbed(t, 8*time.Second)
		defer bd.end()
		for at := range workers {
			bd.addWorker(fmt.Sprint("w", at))
		}
		bd.agents = bd.fleet.Agents()
		bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		pr := newProcessor()
		bd.agents = pr.wrapAgents(bd.fleet.Agents(), connectTime, callTime)
		bd.wrapStore = func(st *kv.Store) *kv.Store { return pr.wrapStore(st, callTime) }
		second := bd.addNode("n2")
		time.Sleep(4 * time.Second) // as long as the first planner would take to reach all workers
		const tasks = 50
		bd.submit(second, "a", tasks)
		time.Sleep(2 * time.Second)
		bd.cutOff("n1")
		first.cancel()
		bd.await("a", cell.Succeeded, 12*time.Second)
		if starts := len(bd.fleet.Starts()); starts != tasks {
			t.Errorf("%d starts of %d tasks", starts, tasks)
		}
	})
}

// TestStandbyWorkerReplacesDead guards against tasks that wait while the workers in use are dead and others are on
// standby.
func TestStandbyWorkerReplacesDead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second)
		bd.minInUse = 2
		defer bd.end()
		for at := range 20 {
			bd.addWorker(fmt.Sprint("w", at))
		}
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker != "w7" && worker != "w13" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.submit(nd, "a", 16)
		bd.await("a", cell.Succeeded, 10*time.Second)
	})
}

// TestReturningWorkerIsCalled guards against a worker that is lost, returns under its id and stays on standby: it would
// carry out a late order to its earlier incarnation while the task runs elsewhere.
func TestReturningWorkerIsCalled(t *testing.T) {
	for name, tc := range map[string]struct {
		// away is how long the worker is away, and planner how long after its loss the planner dies; 0 for never.
		away, planner time.Duration
	}{
		"same planner":               {away: 14 * time.Second},
		"next planner":               {away: 14 * time.Second, planner: 2 * time.Second},
		"recorded loss, then a next": {away: 14 * time.Second, planner: 11500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				hc := &holdCounter{workers: map[string]bool{}}
				bd := newTestbed(t, time.Second)
				bd.minInUse = 1
				defer bd.end()
				for at := range 20 {
					bd.addWorker(fmt.Sprint("w", at))
				}
				bd.agents = hc.wrapAgents(bd.fleet.Agents())
				bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
				first, _ := bd.addTwo()
				bd.submit(first, "a", 1)
				bd.await("a", cell.Succeeded, 3*time.Second)
				lost := bd.fleet.Starts()[0].Worker.WorkerID()
				bd.fleet.Kill(lost)
				bd.store.Delete(workersPrefix + lost)
				if tc.planner > 0 {
					time.Sleep(tc.planner)
					bd.cutOff("n1")
					first.cancel()
				}
				time.Sleep(tc.away - tc.planner)
				bd.addWorker(lost)
				hc.mu.Lock()
				delete(hc.workers, lost)
				hc.mu.Unlock()
				time.Sleep(time.Second)
				hc.mu.Lock()
				defer hc.mu.Unlock()
				if !hc.workers[lost] {
					t.Errorf("worker %s was not called within a second of its return", lost)
				}
			})
		})
	}
}

// TestRetiredWorkerRestarts has workers go on standby and restart there. Their tasks run once, also if the planner has
// changed meanwhile.
func TestRetiredWorkerRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second)
		bd.minInUse = 1
		retired := make(chan struct{})
		bd.logged = func(line string) {
			if strings.Contains(line, "Workers go on standby.") {
				select {
				case <-retired:
				default:
					close(retired)
				}
			}
		}
		defer bd.end()
		var ids []string
		for at := range 20 {
			ids = append(ids, fmt.Sprint("w", at))
			bd.addWorker(ids[at])
		}
		first, second := bd.addTwo()
		const tasks = 100
		bd.submit(first, "a", tasks)
		bd.await("a", cell.Succeeded, 5*time.Second)
		select {
		case <-retired:
		case <-time.After(time.Minute):
			t.Fatal("no worker went on standby within a minute")
		}
		bd.restart(time.Second, ids...)
		time.Sleep(2 * time.Second)
		bd.submit(first, "b", tasks)
		time.Sleep(500 * time.Millisecond)
		bd.cutOff("n1")
		first.cancel()
		bd.await("b", cell.Succeeded, 10*time.Second)
		bd.submit(second, "c", tasks)
		bd.await("c", cell.Succeeded, 5*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 3*tasks {
			t.Errorf("%d starts of %d tasks", starts, 3*tasks)
		}
	})
}

// TestCrashingStartsWithStandby plays the seeds of TestCrashingStartsAreBounded with most workers on standby.
func TestCrashingStartsWithStandby(t *testing.T) {
	for seed := range crashPlaySeeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runCrashPlay(t, rand.New(rand.NewPCG(seed, 2)), 1) })
		})
	}
}
