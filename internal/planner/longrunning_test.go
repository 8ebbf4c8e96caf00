package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// Limits of the wait for the next start of a long-running task: its worker's lease, and the time for the planner to
// notice, decide and send.
const (
	workerLease  = 5 * time.Second
	restartSlack = time.Second
)

// submitLongRunning submits a job with one long-running task and returns the worker that it runs on.
func (bd *testbed) submitLongRunning(nd *node, id string) string {
	bd.t.Helper()
	bd.submitJob(nd, &work.Job{ID: id, Spec: id, Queue: bd.accepted, Steps: []work.Step{
		{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second, LongRunning: true},
	}})
	time.Sleep(time.Second)
	return bd.lastStart(id).worker
}

type executedStart struct {
	worker string
	run    int
}

// lastStart returns the last executed start of a job.
func (bd *testbed) lastStart(job string) (last executedStart) {
	for _, sr := range bd.fleet.Starts() {
		if sr.Task.Job == job {
			last = executedStart{sr.Worker.WorkerID(), sr.Run}
		}
	}
	return last
}

// awaitRestart waits until a job has a start with a higher run number, and returns how long that took.
func (bd *testbed) awaitRestart(job string, run int, limit time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	began := time.Now()
	for bd.lastStart(job).run <= run && time.Since(began) < limit {
		time.Sleep(step)
	}
	return time.Since(began)
}

// workerNames returns names of workers in the order in which the planner fills them.
func workerNames(count int) []string {
	var names []string
	for n := range count {
		names = append(names, fmt.Sprintf("w%02d", n))
	}
	return names
}

// silence makes the store leave all calls unanswered for a time, and those of some nodes for a second more.
func (bd *testbed) silence(d time.Duration, longer ...string) {
	bd.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
	time.Sleep(d)
	bd.store.SetFault(func(client, _ string) memkv.Fault {
		if slices.Contains(longer, client) {
			return memkv.RequestLost
		}
		return memkv.None
	})
	bd.clock.AfterFunc(time.Second, func() { bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None }) })
}

// TestLostTaskRestartsAfterSilentStore guards against a planner that counts the lease of a worker that was lost before
// its term from the beginning of the term.
func TestLostTaskRestartsAfterSilentStore(t *testing.T) {
	const silent = 4600 * time.Millisecond
	for name, tt := range map[string]struct {
		// notice is the time from the loss of the worker until the store goes silent.
		notice time.Duration
		// longer are the nodes that the store answers later than the others.
		longer []string
		plans  string
		// silent is how many workers leave all calls unanswered, the task's among them; with 0, that one crashes.
		silent int
	}{
		"loss was recorded, same node plans":     {2500 * time.Millisecond, []string{"n2"}, "n1", 0},
		"loss was not noticed, same node plans":  {100 * time.Millisecond, []string{"n2"}, "n1", 0},
		"loss was recorded, other node plans":    {2500 * time.Millisecond, []string{"n1"}, "n2", 0},
		"loss was not noticed, other node plans": {100 * time.Millisecond, []string{"n1"}, "n2", 0},
		"many workers are silent":                {2500 * time.Millisecond, []string{"n1"}, "n2", 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				workers := workerNames(tt.silent + 3)
				bd := newTestbed(t, time.Hour, workers...)
				defer bd.end()
				first, _ := bd.addTwo()
				lost := bd.submitLongRunning(first, "service")
				time.Sleep(20 * time.Second)
				run := bd.lastStart("service").run
				began := time.Now()
				if tt.silent == 0 {
					bd.fleet.Kill(lost)
				}
				bd.cutWorkers(workers[:tt.silent]...)
				time.Sleep(tt.notice)
				bd.silence(silent, tt.longer...)
				answers := time.Since(began)
				waited := answers + bd.awaitRestart("service", run, 30*time.Second)
				if limit := max(workerLease, answers) + restartSlack; waited > limit {
					t.Errorf("the task was started %v after the loss of its worker, more than %v", waited, limit)
				}
				if nd := bd.leader(); nd != bd.nodes[tt.plans] {
					t.Errorf("node %s does not plan", tt.plans)
				}
			})
		})
	}
}

// TestInheritedLeaseIsAwaited guards against a second run of a long-running task that still runs on a worker which does
// not answer the next planner.
func TestInheritedLeaseIsAwaited(t *testing.T) {
	const ttl = 2 * time.Second
	for name, tt := range map[string]struct {
		// takeover ends the term of n1. The worker answers nobody from silentFrom on.
		takeover   func(bd *testbed)
		silentFrom time.Duration
		limit      time.Duration
	}{
		"planner resigns": {
			takeover: func(bd *testbed) { bd.nodes["n1"].term.Resign(bd.t.Context()) },
			limit:    workerLease + restartSlack,
		},
		"planner is cut off from the store": {
			takeover:   func(bd *testbed) { bd.cutOff("n1") },
			silentFrom: ttl - 100*time.Millisecond,
			limit:      workerLease + restartSlack,
		},
		"planner's key is taken away, and it does not know": {
			takeover: func(bd *testbed) {
				bd.cutOff("n1")
				bd.store.RevokeLeases()
			},
			silentFrom: 500 * time.Millisecond,
			limit:      workerLease + restartSlack,
		},
		"planner's process restarts at once": {
			takeover: func(bd *testbed) {
				bd.nodes["n1"].cancel()
				bd.clock.AfterFunc(100*time.Millisecond, func() { bd.addNode("n1") })
			},
			limit: workerLease + restartSlack,
		},
		"planner's process restarts later": {
			takeover: func(bd *testbed) {
				bd.nodes["n1"].cancel()
				bd.clock.AfterFunc(ttl+time.Second, func() { bd.addNode("n1") })
			},
			limit: ttl + time.Second + workerLease + restartSlack,
		},
		"planner's node is dead": {
			takeover: func(bd *testbed) {
				bd.cutOff("n1")
				bd.nodes["n1"].cancel()
			},
			limit: maxLostTime,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Hour, "w1", "w2", "w3")
				defer bd.end()
				first, _ := bd.addTwo()
				silent := bd.submitLongRunning(first, "service")
				time.Sleep(20 * time.Second)
				run := bd.lastStart("service").run
				tt.takeover(bd)
				time.Sleep(tt.silentFrom)
				bd.cutWorkers(silent)
				if waited := bd.awaitRestart("service", run, 30*time.Second); waited > tt.limit {
					t.Errorf("the task was started %v after its worker went silent, more than %v", waited, tt.limit)
				}
			})
		})
	}
}

// TestRecordedLossOutlivesPlanner guards against a next planner that waits for the renewals which a dead planner might have
// sent to a worker, although that planner has recorded that the worker does not answer.
func TestRecordedLossOutlivesPlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const ttl = 2 * time.Second
		bd := newTestbed(t, time.Hour, "w1", "w2", "w3")
		defer bd.end()
		first, _ := bd.addTwo()
		lost := bd.submitLongRunning(first, "service")
		time.Sleep(20 * time.Second)
		run := bd.lastStart("service").run
		bd.fleet.Kill(lost)
		time.Sleep(2500 * time.Millisecond)
		bd.cutOff("n1")
		first.cancel()
		if waited, limit := bd.awaitRestart("service", run, 30*time.Second), ttl+workerLease+restartSlack; waited > limit {
			t.Errorf("the task was started %v after the planner's death, more than %v", waited, limit)
		}
	})
}

// TestRenewalAwaitsRecord guards against a second run on behalf of a planner that reads in the journal that a lease is not
// renewed, while the earlier planner, cut off from the store, renews it again.
func TestRenewalAwaitsRecord(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		first.cut("w2") // it would learn there of the next term
		second.cut("w1")
		bd.submitLongRunning(first, "service")
		time.Sleep(20 * time.Second)
		run := bd.lastStart("service").run
		first.cut("w1", "w2")
		time.Sleep(2500 * time.Millisecond)
		bd.cutOff("n1")
		first.stopped.Store(true)
		bd.store.RevokeLeases()
		first.cut("w2")
		if waited := bd.awaitRestart("service", run, 30*time.Second); waited > 12*time.Second {
			t.Errorf("the task was not started elsewhere after %v", waited)
		}
	})
}

// TestRenewalsBeforePreviousTerm guards against a second run on behalf of a planner that takes the restart of the previous
// planner's process for the end of all renewals, while the planner before that one, cut off from the store, still renews.
func TestRenewalsBeforePreviousTerm(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		first.cut("w2") // it would learn there of the next term
		second.cut("w1")
		bd.submitLongRunning(first, "service")
		time.Sleep(20 * time.Second)
		run := bd.lastStart("service").run
		bd.cutOff("n1")
		first.stopped.Store(true)
		bd.store.RevokeLeases()
		time.Sleep(500 * time.Millisecond)
		second.cancel()
		bd.addNode("n2").cut("w1")
		if waited := bd.awaitRestart("service", run, 30*time.Second); waited > 12*time.Second {
			t.Errorf("the task was not started elsewhere after %v", waited)
		}
	})
}
