package planner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// hideStartTimes makes workers report no start time, as those do that have a new id in each incarnation.
func (bd *testbed) hideStartTimes() {
	bd.agents = bd.fleet.Agents()
	hold := bd.agents.Hold
	bd.agents.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		report, err := hold(ctx, to, hd)
		report.StartedAt = 0
		return report, err
	}
	bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
}

// TestPartialReport guards against tasks that run again because their ends were not among those that one report lists: a
// worker had 640 ends when a new planner called it, listed 500 of them, and 64 to 124 of the other tasks were started
// elsewhere.
func TestPartialReport(t *testing.T) {
	const tasks, maxEnds, run = 40, 5, 3 * time.Second
	ways := map[string]func(bd *testbed, first *node){
		"planner dies":                      func(bd *testbed, _ *node) { bd.lose("n1") },
		"planner resigns":                   func(bd *testbed, first *node) { bd.resign(first) },
		"planner is cut off from the store": func(bd *testbed, _ *node) { bd.cutOff("n1") },
		"planner yields":                    func(_ *testbed, first *node) { first.currentTerm().Yield("test") },
		"worker does not answer": func(bd *testbed, _ *node) {
			bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
				if worker == "w1" && order == "hold" {
					return memworkers.RequestLost
				}
				return memworkers.None
			})
			bd.clock.AfterFunc(1500*time.Millisecond, bd.clearFaults)
		},
		"answers of the worker are lost": func(bd *testbed, _ *node) {
			bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
				if worker == "w1" && order == "hold" {
					return memworkers.ResponseLost
				}
				return memworkers.None
			})
			bd.clock.AfterFunc(1500*time.Millisecond, bd.clearFaults)
		},
		"store does not answer": func(bd *testbed, _ *node) {
			bd.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
			bd.clock.AfterFunc(2500*time.Millisecond, func() { bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None }) })
		},
		"all tasks end at once": func(*testbed, *node) {},
	}
	for name, disturb := range ways {
		for _, startTimes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, start times reported: %t", name, startTimes), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					bd := newTestbed(t, run)
					defer bd.end()
					bd.fleet.SetMaxEnds(maxEnds)
					if !startTimes {
						bd.hideStartTimes()
					}
					bd.addRoomyWorker("w1", tasks, startTimes)
					first, second := bd.addTwo()
					time.Sleep(time.Second)
					bd.submitSmall(second, "a", tasks)
					time.Sleep(run - time.Second)
					bd.addRoomyWorker("w2", tasks, startTimes)
					time.Sleep(500 * time.Millisecond)
					disturb(bd, first)
					bd.await("a", cell.Succeeded, 30*time.Second)
					time.Sleep(time.Second)
					if starts := len(bd.fleet.Starts()); starts != tasks {
						t.Errorf("%d starts of %d tasks", starts, tasks)
					}
				})
			})
		}
	}
}

// TestPartialReportsOfTwoTerms guards against a planner that tells the next one of fewer runs than a worker may have ended:
// its term ends while the worker's reports lack ends of runs that the planner before it started.
func TestPartialReportsOfTwoTerms(t *testing.T) {
	const tasks, run = 40, 3 * time.Second
	// An acknowledgement takes ackTime, so that terms end with a partial report whose ends are in the journal, too.
	const ackTime, step, most = 100 * time.Millisecond, 25 * time.Millisecond, 200 * time.Millisecond
	for name, end := range map[string]func(bd *testbed, second *node){
		"resigns": func(bd *testbed, second *node) { bd.resign(second) },
		"dies":    func(bd *testbed, _ *node) { bd.lose("n2") },
	} {
		for after := time.Duration(0); after < most; after += step {
			t.Run(fmt.Sprint(name, after), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					bd := newTestbed(t, run)
					defer bd.end()
					bd.fleet.SetMaxEnds(1)
					bd.hideStartTimes()
					hold := bd.agents.Hold
					bd.agents.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
						if hd.Acked > 0 {
							time.Sleep(ackTime)
						}
						return hold(ctx, to, hd)
					}
					bd.addRoomyWorker("w1", tasks, false)
					_, second := bd.addTwo()
					time.Sleep(time.Second)
					bd.submitSmall(second, "a", tasks)
					time.Sleep(run - time.Second)
					bd.lose("n1")
					bd.awaitLeader(second)
					bd.addNode("n3")
					bd.addRoomyWorker("w2", tasks, false)
					time.Sleep(500*time.Millisecond + after)
					end(bd, second)
					bd.await("a", cell.Succeeded, 30*time.Second)
					if starts := len(bd.fleet.Starts()); starts != tasks {
						t.Errorf("%d starts of %d tasks", starts, tasks)
					}
				})
			})
		}
	}
}

// TestPartialReportOfNextIncarnation guards against tasks that run again because a new planner no longer waits for a worker
// once an incarnation answers that the records do not name, although that answer lacks ends: starts that were sent to the
// recorded incarnation were carried out by this one.
func TestPartialReportOfNextIncarnation(t *testing.T) {
	t.Parallel()
	const tasks, run = 40, 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, run)
		defer bd.end()
		bd.fleet.SetMaxEnds(5)
		bd.addRoomyWorker("w1", tasks, true)
		_, second := bd.addTwo()
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
			if worker == "w1" && order == "hold" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		time.Sleep(1010 * time.Millisecond) // the pending hold is answered, the next one is not
		bd.fleet.Kill("w1")
		bd.fleet.Add("w1")
		bd.submitSmall(second, "a", tasks)
		time.Sleep(150 * time.Millisecond)
		bd.lose("n1")
		bd.list("w1", "room", strconv.Itoa(tasks))
		bd.addRoomyWorker("w2", tasks, true)
		bd.clearFaults()
		bd.await("a", cell.Succeeded, 30*time.Second)
		time.Sleep(time.Second)
		if starts := len(bd.fleet.Starts()); starts != tasks {
			t.Errorf("%d starts of %d tasks", starts, tasks)
		}
	})
}

// addRoomyWorker adds a worker that can run a number of tasks at once.
func (bd *testbed) addRoomyWorker(id string, tasks int, startTime bool) {
	bd.fleet.Add(id)
	words := []string{"room", strconv.Itoa(tasks)}
	if !startTime {
		words = append(words, "born", "0")
	}
	bd.list(id, words...)
}

// submitSmall submits a job whose tasks need so little that a worker with room for them can run all at once.
func (bd *testbed) submitSmall(nd *node, id string, tasks int) {
	bd.t.Helper()
	bd.submitJob(nd, &work.Job{ID: id, Spec: id, Queue: bd.accepted, Steps: []work.Step{
		{Count: tasks, Need: size.New(1000, 100, 0), Estimate: time.Second},
	}})
}

// TestPartialReports draws from a seed how many ends a report lists, which orders are lost or late, and when planners end
// their terms, die, are cut off from the store or stand still, or the store does not answer. No task may run again after a
// successful end that its worker still has, and all jobs must succeed.
//
//	TACKBEAM_PARTIAL_SEEDS=200 go test ./internal/planner -run TestPartialReports
func TestPartialReports(t *testing.T) {
	for seed := range seedCount(t, "TACKBEAM_PARTIAL_SEEDS", "12") {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playPartialReports(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

// playPartialReports plays one seed of TestPartialReports.
func playPartialReports(t *testing.T, rnd *rand.Rand) {
	const workers, jobs, room = 4, 24, 30
	var mu sync.Mutex
	draw := func(most int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(most)
	}
	bd := newTestbed(t, time.Duration(200+rnd.IntN(2500))*time.Millisecond)
	defer bd.end()
	bd.fleet.SetMaxEnds(1 + rnd.IntN(8))
	startTimes := rnd.IntN(2) == 0
	if !startTimes {
		bd.hideStartTimes()
	}
	for n := range workers {
		bd.addRoomyWorker(fmt.Sprint("w", n), room, startTimes)
	}
	bd.addTwo()
	bd.addNode("n3")
	time.Sleep(time.Second)
	odds := rnd.Float64() / 10
	bd.fleet.SetFault(func(string, string) memworkers.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rnd.Float64() >= odds {
			return memworkers.None
		}
		return []memworkers.Fault{memworkers.RequestLost, memworkers.ResponseLost, memworkers.Delayed}[rnd.IntN(3)]
	})
	need := size.New(1000, 100, 0)
	for n := range jobs {
		id := fmt.Sprint("j", n)
		steps := []work.Step{{Count: 1 + draw(12), Need: need, Estimate: time.Second, Gang: draw(5) == 0}}
		if draw(3) == 0 {
			steps = append(steps, work.Step{Count: 1 + draw(6), Need: need, Estimate: time.Second, After: []int{0}})
		}
		bd.submitJob(bd.nodes["n2"], &work.Job{ID: id, Spec: id, Queue: bd.accepted, Steps: steps})
		time.Sleep(time.Duration(draw(200)) * time.Millisecond)
		if draw(8) == 0 {
			bd.disturbPlanner(draw)
		}
	}
	bd.clearFaults()
	bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	time.Sleep(60 * time.Second)
	for n := range jobs {
		bd.await(fmt.Sprint("j", n), cell.Succeeded, time.Second)
	}
}

// disturbPlanner ends the planner's term, or has it or the store stand still for some seconds.
func (bd *testbed) disturbPlanner(draw func(most int) int) {
	nd := bd.leader()
	if nd == nil {
		return
	}
	span := time.Duration(500+draw(3500)) * time.Millisecond
	heal := func() { bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None }) }
	switch draw(4) {
	case 0:
		nd.currentTerm().Yield("test")
	case 1:
		for name, one := range bd.nodes {
			if one == nd {
				bd.cutOff(name)
			}
		}
		time.Sleep(span)
		heal()
	case 2:
		bd.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
		time.Sleep(span)
		heal()
	default:
		nd.currentTerm().StepDown("test")
	}
}
