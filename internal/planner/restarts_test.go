package planner_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestWorkersRestart restarts workers under their ids, and checks that no task is started again after it ended
// successfully.
//
// The new incarnation numbers its ends from 1. If the planner remembers by worker id which ends it has received, it
// tells the new incarnation to forget ends that it has not read, and ignores others as duplicates until their number
// exceeds that of the previous incarnation (14 in the observed case). Then runs seem to have disappeared without an
// end, and their tasks are started again.
func TestWorkersRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 200*time.Millisecond, "w1", "w2", "w3")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitMany(10, "before")
		time.Sleep(2 * time.Second)
		bd.restart(500*time.Millisecond, "w1", "w2")
		time.Sleep(time.Second)
		bd.submitMany(10, "after")
		for n := range 10 {
			bd.await(fmt.Sprintf("after%d", n), cell.Succeeded, 5*time.Second)
		}
		if starts := len(bd.fleet.Starts()); starts != 40 {
			t.Errorf("%d starts of 40 tasks, none of which was running when a worker crashed", starts)
		}
	})
}

// TestNextStepAfterWorkersRestarted runs a job whose second step depends on its first, after all workers have restarted
// under their ids. Jobs were stuck in their first step although most of the workers' capacity was free.
//
// The cause is that of TestWorkersRestart. A gang whose ends are ignored has lost its members each time it finishes. It
// was stopped and started again, up to 13 times, until each worker's numbers exceeded those of its previous
// incarnation.
func TestNextStepAfterWorkersRestarted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 200*time.Millisecond, "w1", "w2", "w3")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitMany(40, "before")
		time.Sleep(4 * time.Second)
		bd.restart(500*time.Millisecond, "w1", "w2", "w3")
		time.Sleep(time.Second)
		need := size.New(1000, 1000, 0)
		bd.submitJob(bd.leader(), &work.Job{ID: "steps", Spec: "steps", Queue: bd.accepted, Steps: []work.Step{
			{Count: 4, Need: need, Estimate: time.Second, Gang: true},
			{Count: 4, Need: need, Estimate: time.Second, After: []int{0}},
		}})
		bd.await("steps", cell.Succeeded, 3*time.Second)
	})
}

// submitMany submits jobs of two tasks each, one after the other.
func (bd *testbed) submitMany(count int, name string) {
	for n := range count {
		bd.submit(bd.leader(), fmt.Sprint(name, n), 2)
	}
}

// TestLateStartInNextIncarnation guards against a start that is carried out by the wrong incarnation: the start goes
// unanswered, its worker restarts under the same id, and the new incarnation carries out the start seconds later, when
// the task has already run elsewhere.
//
// Orders name a worker by its id, and tokens rejected by one incarnation are not rejected by the next. A start of run 1
// for the first incarnation was carried out by the second one, 2 s after run 2 had succeeded on another worker.
func TestLateStartInNextIncarnation(t *testing.T) {
	for name, tt := range map[string]struct {
		// late is the number of attempts of the start that arrive late.
		late int
		// silence is how long the next incarnation answers nothing after its first answer.
		silence time.Duration
		// run is the duration of the task, ends the time from its submission to the end of its worker's incarnation.
		run, ends time.Duration
		// starts is the number of starts that are carried out.
		starts int
	}{
		"next incarnation answers":                    {3, 0, time.Second, 150 * time.Millisecond, 1},
		"next incarnation answers once only":          {3, 4 * time.Second, time.Second, 150 * time.Millisecond, 1},
		"second attempt is answered, run is reported": {1, 4 * time.Second, 2500 * time.Millisecond, 1500 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, tt.run, "w1")
				defer bd.end()
				bd.addNode("n1")
				time.Sleep(time.Second)
				tries := 0
				bd.fleet.SetFault(func(_, order string) memworkers.Fault {
					if order != "start" {
						return memworkers.None
					}
					if tries++; tries <= tt.late {
						return memworkers.Delayed
					}
					return memworkers.None
				})
				bd.submit(bd.leader(), "a", 1)
				time.Sleep(tt.ends) // the first attempt is under way
				bd.restart(200*time.Millisecond, "w1")
				bd.addWorker("w2")
				time.Sleep(201 * time.Millisecond) // the next incarnation has just begun
				calls := 0
				var since time.Time
				bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
					if worker != "w1" || order != "hold" || tt.silence == 0 {
						return memworkers.None
					}
					// The first call uses a connection that has ended, the second one is answered.
					if calls++; calls <= 2 {
						since = bd.clock.Now()
						return memworkers.None
					}
					if bd.clock.Since(since) < tt.silence {
						return memworkers.RequestLost
					}
					return memworkers.None
				})
				bd.await("a", cell.Succeeded, 10*time.Second)
				time.Sleep(memworkers.DelayedBy)
				if starts := len(bd.fleet.Starts()); starts != tt.starts {
					t.Errorf("%d starts, want %d", starts, tt.starts)
				}
			})
		})
	}
}

// TestEndsOfNextIncarnationAreRead has a worker's next incarnation carry out a late start, and end its run, before the
// planner knows of that incarnation. The end must be applied, not forgotten unread.
//
// A worker that did not answer was asked for reports with the number of the last end that it need not report again. Its
// next incarnation had ended run 1 as its end number 1 by then, and forgot it, so that the first end that it reported
// was that of run 2, with number 2.
func TestEndsOfNextIncarnationAreRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 5*time.Millisecond, "w1")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitMany(4, "before")
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				return memworkers.Delayed
			}
			return memworkers.None
		})
		bd.submit(bd.leader(), "a", 1)
		time.Sleep(30 * time.Millisecond) // the start is under way
		bd.fleet.Kill("w1")
		bd.clearFaults()
		bd.clock.AfterFunc(memworkers.DelayedBy-35*time.Millisecond, func() { bd.fleet.Add("w1") })
		bd.clock.AfterFunc(memworkers.DelayedBy, func() { bd.list("w1") })
		bd.await("a", cell.Succeeded, 10*time.Second)
	})
}

// TestAckForgetsEndsOfNextIncarnation guards against a task that runs again because the planner made its worker's next
// incarnation forget the end, although the answer to the start showed that incarnation's clock.
func TestAckForgetsEndsOfNextIncarnation(t *testing.T) {
	for name, lostHolds := range map[string]int{"first report is answered": 0, "first report is lost": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 5*time.Millisecond, "w1")
				defer bd.end()
				bd.logged = func(line string) {
					if strings.Contains(line, "Run has ended.") && strings.Contains(line, "steps.0.0.0") {
						go bd.restart(0, "w1") // no hold is pending now that would fail
					}
				}
				bd.addNode("n1")
				time.Sleep(time.Second)
				bd.submitMany(4, "before")
				time.Sleep(time.Second)
				starts, holds := 0, 0
				bd.fleet.SetFault(func(_, order string) memworkers.Fault {
					switch {
					case order == "start":
						// The second start uses a connection of before, which has gone silent.
						if starts++; starts == 2 {
							return memworkers.ResponseLost
						}
					case starts >= 2:
						if holds++; holds <= lostHolds {
							return memworkers.RequestLost
						}
					}
					return memworkers.None
				})
				need := size.New(1000, 1000, 0)
				bd.submitJob(bd.leader(), &work.Job{ID: "steps", Spec: "steps", Queue: bd.accepted, Steps: []work.Step{
					{Count: 1, Need: need, Estimate: time.Second},
					{Count: 3, Need: need, Estimate: time.Second, After: []int{0}},
				}})
				bd.await("steps", cell.Succeeded, 10*time.Second)
				if starts := len(bd.fleet.Starts()); starts != 12 {
					t.Errorf("%d starts of 12 tasks", starts)
				}
			})
		})
	}
}

// TestWaitingHoldAcknowledgesNothing guards against a task that runs again because a hold with an acknowledgement waited
// at a worker's next incarnation, which had just begun: that one forgot an end by its number.
func TestWaitingHoldAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 200*time.Millisecond, "w1")
		defer bd.end()
		const silence = 500 * time.Millisecond
		var restarted, answers atomic.Bool
		bd.agents = bd.fleet.Agents()
		hold := bd.agents.Hold
		bd.agents.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
			switch {
			case hd.Acked > 0 && restarted.CompareAndSwap(false, true):
				bd.restart(0, "w1")
				bd.clock.AfterFunc(silence, func() { answers.Store(true) })
				time.Sleep(time.Millisecond)
				_, _ = hold(ctx, to, agent.Hold{Token: hd.Token}) // on a connection that has ended
			case restarted.Load() && !answers.Load() && hd.Acked == 0 && hd.Wait == 0:
				<-ctx.Done() // the reports that are requested meanwhile are lost
				return agent.Report{}, agent.ErrNoAnswer
			}
			return hold(ctx, to, hd)
		}
		bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submit(bd.leader(), "a", 1)
		for !restarted.Load() {
			time.Sleep(time.Millisecond)
		}
		bd.submit(bd.leader(), "b", 1)
		bd.await("a", cell.Succeeded, 5*time.Second)
		bd.await("b", cell.Succeeded, 10*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 2 {
			t.Errorf("%d starts of 2 tasks", starts)
		}
	})
}

// TestEntryOfOtherIncarnation writes entries that name another incarnation of a worker than the one that answers. Only
// the worker's own reports tell which incarnation is running: its runs go on, and it gets more.
func TestEntryOfOtherIncarnation(t *testing.T) {
	for name, born := range map[string]string{
		"later, from another writer": "9999999999999", "earlier": "5", "start time unknown": "0",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 2*time.Second, "w1")
				defer bd.end()
				bd.addNode("n1")
				time.Sleep(time.Second)
				bd.submit(bd.leader(), "a", 4)
				time.Sleep(500 * time.Millisecond)
				bd.store.Set(workersPrefix+"w1", []byte("born "+born))
				time.Sleep(500 * time.Millisecond)
				bd.submit(bd.leader(), "b", 4)
				bd.await("a", cell.Succeeded, 2*time.Second)
				bd.await("b", cell.Succeeded, 3*time.Second)
				if starts := len(bd.fleet.Starts()); starts != 8 {
					t.Errorf("%d starts of 8 tasks", starts)
				}
			})
		})
	}
}

// TestIncarnationBeforeItsEntry has a worker's next incarnation answer before its entry is in the list, and the entry
// of the previous one removed meanwhile. It must get tasks once it is listed, and none before.
func TestIncarnationBeforeItsEntry(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 300*time.Millisecond, "w1")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.fleet.Kill("w1")
		bd.fleet.Add("w1")
		time.Sleep(time.Second)
		bd.submit(bd.leader(), "a", 1)
		time.Sleep(500 * time.Millisecond)
		bd.store.Delete(workersPrefix + "w1")
		time.Sleep(500 * time.Millisecond)
		if starts := len(bd.fleet.Starts()); starts > 0 {
			t.Errorf("%d starts on a worker without an entry", starts)
		}
		bd.list("w1")
		bd.await("a", cell.Succeeded, 2*time.Second)
	})
}

// TestOldTasksWaitForNextIncarnation guards against a task that runs twice at a time. A planner starts the task on an
// incarnation of a worker that it does not know of, and dies. For the next planner the worker's entry and the records
// name the previous incarnation, but the first answer comes from the new one. With the previous incarnation that
// planner removed the worker from those that may run old tasks, finished its recovery, and started the task elsewhere
// before it had read the new incarnation's first report.
func TestOldTasksWaitForNextIncarnation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 3*time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
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
		bd.submit(second, "a", 1)
		time.Sleep(100 * time.Millisecond)
		bd.cutOff("n1")
		first.cancel()
		bd.addWorker("w2")
		answers := 0
		bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
			if worker != "w1" || order != "hold" {
				return memworkers.None
			}
			if answers++; answers == 2 {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.await("a", cell.Succeeded, 12*time.Second)
	})
}

// TestNextIncarnationIsRecorded has a planner learn of a worker's next incarnation before its entry is in the list, and
// die. The next planner must not start the task again that this incarnation runs. The records name the previous
// incarnation as gone; if they lack the new one, nothing waits for its runs.
func TestNextIncarnationIsRecorded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 9*time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		time.Sleep(time.Second)
		silence := func(worker, order string) memworkers.Fault {
			if worker == "w1" && order == "hold" {
				return memworkers.RequestLost
			}
			return memworkers.None
		}
		bd.fleet.SetFault(silence)
		time.Sleep(1010 * time.Millisecond) // the pending hold is answered, the next one is not
		bd.fleet.Kill("w1")
		bd.fleet.Add("w1")
		bd.submit(second, "a", 1)
		time.Sleep(100 * time.Millisecond)
		bd.clearFaults()
		time.Sleep(2 * time.Second) // the planner learns of the next incarnation, and that it runs the task
		bd.fleet.SetFault(silence)
		bd.cutOff("n1")
		first.cancel()
		bd.addWorker("w2")
		time.Sleep(4 * time.Second) // the next planner gets no answers
		bd.clearFaults()
		bd.await("a", cell.Succeeded, 6*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 1 {
			t.Errorf("%d starts of one task", starts)
		}
	})
}

// TestOldTasksDoNotWaitForPreviousIncarnation has a worker restart, with a new entry, while there is no planner. The
// next planner must not wait until the lease of the previous incarnation, which the records name, has surely expired.
func TestOldTasksDoNotWaitForPreviousIncarnation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 2*time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		time.Sleep(time.Second)
		bd.submit(second, "a", 4)
		time.Sleep(500 * time.Millisecond)
		bd.cutOff("n1")
		first.cancel()
		bd.restart(100*time.Millisecond, "w1")
		bd.await("a", cell.Succeeded, 7*time.Second)
	})
}

// TestNextPlannerFailsNoJobOfNextIncarnation guards against a job that the next planner fails because the worker that
// ended after a start was counted as the task's third crash, although the next incarnation carried out the start.
func TestNextPlannerFailsNoJobOfNextIncarnation(t *testing.T) {
	for name, listed := range map[string]bool{"next incarnation is listed": true, "previous incarnation is listed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				first, second := bd.addTwo()
				time.Sleep(time.Second)
				bd.submit(second, "a", 1)
				for crashes := range 2 {
					for len(bd.fleet.Starts()) == crashes {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(300 * time.Millisecond)
					bd.restart(500*time.Millisecond, "w1")
				}
				var sent atomic.Bool
				bd.fleet.SetFault(func(_, order string) memworkers.Fault {
					switch {
					case order == "start":
						sent.Store(true)
						return memworkers.Delayed
					case sent.Load():
						return memworkers.RequestLost
					}
					return memworkers.None
				})
				for !sent.Load() {
					time.Sleep(10 * time.Millisecond)
				}
				bd.fleet.Kill("w1")
				bd.fleet.Add("w1")
				if listed {
					bd.list("w1")
				}
				time.Sleep(2 * time.Second) // the planner records that the previous incarnation may have the run
				bd.cutOff("n1")
				first.cancel()
				time.Sleep(memworkers.DelayedBy - 2*time.Second)
				bd.clearFaults()
				bd.await("a", cell.Succeeded, 10*time.Second)
				if starts := len(bd.fleet.Starts()); starts != crashesUntil {
					t.Errorf("%d starts, want %d", starts, crashesUntil)
				}
			})
		})
	}
}

// TestStartAfterRestartIsNoCrash guards against a job that fails because a start that never arrived was counted as the
// task's third crash, although the worker had restarted before the start was decided.
func TestStartAfterRestartIsNoCrash(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submit(nd, "a", 1)
		for crashes := range 2 {
			for len(bd.fleet.Starts()) == crashes {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			bd.fleet.Kill("w1")
			time.Sleep(500 * time.Millisecond)
			bd.fleet.Add("w1")
			if crashes == 0 {
				bd.list("w1")
			}
		}
		entry := fmt.Sprint("born ", bd.fleet.StartedAt("w1")) // it gets no start before it is listed
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(string, string) memworkers.Fault { return memworkers.RequestLost })
		bd.fleet.Kill("w1")
		bd.fleet.Add("w1")
		time.Sleep(10 * time.Millisecond)
		bd.store.Set(workersPrefix+"w1", []byte(entry))
		time.Sleep(300 * time.Millisecond) // no attempt of the start arrives
		bd.clearFaults()
		bd.list("w1")
		bd.await("a", cell.Succeeded, 10*time.Second)
	})
}

// TestRestarts draws from a seed how workers end and restart under their ids (one, several or all of them; at once,
// after a heartbeat, or after their lease), with lost, unanswered or late orders and changes of the planner. No task
// may run twice at a time, and every job must succeed unless minLosses incarnations have ended under it.
//
//	TACKBEAM_LIVES_SEEDS=200 go test ./internal/planner -run TestRestarts
func TestRestarts(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("TACKBEAM_LIVES_SEEDS"), "12"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRestarts(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// runRestarts runs one seed of TestRestarts.
func runRestarts(t *testing.T, rnd *rand.Rand) {
	const workers, jobs = 6, 60
	need := size.New(1000, 1000, 0)
	var ids []string
	for n := range workers {
		ids = append(ids, fmt.Sprint("w", n))
	}
	bd := newTestbed(t, time.Duration(50+rnd.IntN(900))*time.Millisecond, ids...)
	defer bd.end()
	bd.addTwo()
	time.Sleep(time.Second)
	odds := rnd.Float64() / 4
	var mu sync.Mutex
	bd.fleet.SetFault(func(string, string) memworkers.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rnd.Float64() >= odds {
			return memworkers.None
		}
		return []memworkers.Fault{memworkers.RequestLost, memworkers.ResponseLost, memworkers.Delayed}[rnd.IntN(3)]
	})
	draw := func(most int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(most)
	}
	for n := range jobs {
		steps := []work.Step{{Count: 1 + draw(3), Need: need, Estimate: time.Second, Gang: draw(4) == 0}}
		if draw(3) == 0 {
			steps = append(steps, work.Step{Count: 1 + draw(3), Need: need, Estimate: time.Second, After: []int{0}})
		}
		id := fmt.Sprint("j", n)
		bd.submitJob(bd.nodes["n2"], &work.Job{ID: id, Spec: id, Queue: bd.accepted, Steps: steps})
		time.Sleep(time.Duration(draw(150)) * time.Millisecond)
		if draw(12) == 0 {
			away := []time.Duration{0, 100 * time.Millisecond, time.Second, 7 * time.Second}[draw(4)]
			first := draw(workers)
			bd.restart(away, ids[first:min(first+1+draw(workers), workers)]...)
		}
		if nd := bd.leader(); nd != nil && draw(12) == 0 {
			nd.currentTerm().Yield("test")
		}
	}
	bd.clearFaults()
	time.Sleep(40 * time.Second)
	for n := range jobs {
		id := fmt.Sprint("j", n)
		phase, err := bd.leader().planner.JobPhase(t.Context(), id, "")
		switch {
		case phase == cell.Succeeded:
		case phase == cell.Failed && bd.fleet.LostRuns(id) >= minLosses:
		default:
			t.Errorf("job %s is %q, %v, after the end of %d incarnations that ran it", id, phase, err, bd.fleet.LostRuns(id))
		}
	}
}

// minLosses is the number of incarnations that must have ended under a job before the job may fail.
const minLosses = 3

// TestRestartLongAfterDelayedStart guards against a long wait for a worker's next incarnation, which is silent after
// its first answer, when an attempt of the start got no answer long before the restart.
func TestRestartLongAfterDelayedStart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		tries := 0
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				if tries++; tries == 1 {
					return memworkers.Delayed
				}
			}
			return memworkers.None
		})
		bd.submitJob(bd.leader(), &work.Job{
			ID: "lasting", Spec: "lasting", Queue: bd.accepted,
			Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second, LongRunning: true}},
		})
		time.Sleep(30 * time.Second)
		bd.addWorker("w2")
		bd.restart(200*time.Millisecond, "w1")
		time.Sleep(201 * time.Millisecond) // the next incarnation has just begun
		bd.answerOneHold("w1")
		time.Sleep(6 * time.Second)
		if starts := len(bd.fleet.Starts()); starts != 2 {
			t.Errorf("%d starts 6 s after the restart, want 2", starts)
		}
	})
}

// TestSilentNextIncarnation guards against a wait that counts from when a worker's restart was noticed. The worker is away
// for 4 s after the start of a task got no answer, and its next incarnation answers one call only. The task must start
// elsewhere 15 s after the last order to the earlier one.
func TestSilentNextIncarnation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(5 * time.Second) // an earlier planner would send no orders any more
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.submit(bd.leader(), "a", 1)
		time.Sleep(150 * time.Millisecond) // the last attempt is under way
		const away = 4 * time.Second
		bd.restart(away, "w1")
		bd.addWorker("w2")
		time.Sleep(away + time.Millisecond)
		bd.answerOneHold("w1")
		time.Sleep(15*time.Second - away - 100*time.Millisecond)
		if starts := len(bd.fleet.Starts()); starts != 0 {
			t.Errorf("%d starts within 15 s after the last order", starts)
		}
		time.Sleep(time.Second)
		if starts := len(bd.fleet.Starts()); starts != 1 {
			t.Errorf("%d starts 16 s after the last order, want 1", starts)
		}
	})
}
