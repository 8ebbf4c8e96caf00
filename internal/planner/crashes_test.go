package planner_test

// These tests guard against tasks that crash their workers and are started again without limit: a job's only task was
// started 74 times, each run ended within 10 ms with a crash of its worker, there were 50 crashes per 10 s among 48
// workers, and a third of the short jobs beside it were late or failed.
//
// Only ends that a worker reported were counted as failures, and a worker that crashed reports none. The hold to it
// ends with EOF 8 ms after the start, and its address answers for another incarnation after 3 s. Then the task was
// queued again as if it had never run, and started at once on the next worker. A new planner did not know of earlier
// crashes either.

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

const (
	// crashesUntil is the number of workers that may crash under a task before its starts are counted. startsAfter is
	// the number of further starts that exceeds the limit.
	crashesUntil = 3
	startsAfter  = 3
	// maxPolls is how many times 10 ms a task may wait for its next start: a new planner waits 10.2 s for a worker that
	// is in no list any more.
	maxPolls = 1200
	// backAfter is how long a crashed worker is away.
	backAfter = 2 * time.Second
)

// ids tells under which ids workers return after a crash.
type ids bool

const (
	newIDs ids = false
	ownIDs ids = true
)

// crashOn makes each worker that starts a task of one of the jobs crash, and return later.
func (bd *testbed) crashOn(back ids, jobs ...string) {
	incarnations := 0
	bad := func(sr cell.Start) bool {
		for _, id := range jobs {
			if sr.Task.Job == id {
				return true
			}
		}
		return false
	}
	bd.fleet.SetCrash(bad, backAfter, func(id string) {
		if back == ownIDs {
			bd.fleet.Add(id)
			bd.list(id)
			return
		}
		incarnations++
		bd.store.Delete(workersPrefix + id)
		bd.addWorker(fmt.Sprintf("%s.%d", id, incarnations))
	})
}

// startsOf counts the starts of each task of a job.
func (bd *testbed) startsOf(job string) map[work.Task]int {
	counts := map[work.Task]int{}
	for _, sr := range bd.fleet.Starts() {
		if sr.Task.Job == job {
			counts[sr.Task]++
		}
	}
	return counts
}

// checkBound fails the test if a task was started more often than allowed.
func (bd *testbed) checkBound(job string) {
	bd.t.Helper()
	for task, starts := range bd.startsOf(job) {
		if starts >= crashesUntil+startsAfter {
			bd.t.Errorf("%s was started %d times, and its worker crashed each time", task, starts)
		}
	}
}

// TestCrashingTaskIsGivenUp runs a task that crashes each worker that starts it. Its job must fail after a few crashes.
// Other jobs that lose workers by chance must not fail.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for name, back := range map[string]ids{"workers return under new ids": newIDs, "workers return under their ids": ownIDs} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 700*time.Millisecond, "w1", "w2", "w3", "w4", "w5", "w6")
				defer bd.end()
				nd := bd.addNode("n1")
				bd.crashOn(back, "bad")
				bd.submit(nd, "bad", 1)
				for n := range 30 {
					bd.submit(nd, fmt.Sprintf("good%d", n), 5)
					time.Sleep(time.Second)
				}
				bd.checkBound("bad")
				bd.await("bad", cell.Failed, time.Second)
				for n := range 30 {
					bd.await(fmt.Sprintf("good%d", n), cell.Succeeded, 10*time.Second)
				}
			})
		})
	}
}

// TestCrashesOutlivePlanners stops planners after crashes, before and after they can detect and record them. The limit
// must hold across planners.
func TestCrashesOutlivePlanners(t *testing.T) {
	const atOnce, soon, late = 20 * time.Millisecond, 300 * time.Millisecond, backAfter + 700*time.Millisecond
	for name, tt := range map[string]struct {
		diesAfter time.Duration
		back      ids
		// every is the number of crashes of which a planner dies at the last.
		every     int
		recurring bool
	}{
		"before the worker is back":                            {soon, newIDs, 1, false},
		"after it is back":                                     {late, newIDs, 1, false},
		"before it is back, under its own id":                  {soon, ownIDs, 1, false},
		"after it is back, under its own id":                   {late, ownIDs, 1, false},
		"before the crash is recorded":                         {atOnce, newIDs, 1, false},
		"before the crash is recorded, under its own id":       {atOnce, ownIDs, 1, false},
		"before the last two crashes are recorded":             {atOnce, newIDs, 2, false},
		"before the last two are recorded, under its own id":   {atOnce, ownIDs, 2, false},
		"before the last three are recorded":                   {atOnce, newIDs, 3, false},
		"before the last three are recorded, under its own id": {atOnce, ownIDs, 3, false},
		"before the worker is back, recurring job":             {soon, newIDs, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 700*time.Millisecond, "w1", "w2", "w3", "w4", "w5", "w6")
				defer bd.end()
				bd.crashOn(tt.back, "bad")
				jb := &work.Job{ID: "bad", Spec: "bad", Queue: bd.accepted, Steps: []work.Step{
					{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second},
				}}
				if tt.recurring {
					jb.Repeat = &work.Repeat{Count: 1, Start: time.Duration(bd.clock.Now().UnixNano()), Every: time.Hour}
				}
				bd.dieAtCrashes(jb, tt.diesAfter, tt.every)
				bd.checkBound("bad")
				bd.await("bad", cell.Failed, 10*time.Second)
			})
		})
	}
}

// dieAtCrashes has each of a series of planners start a task that crashes its workers a number of times, and stops the
// planner some time after the last one.
func (bd *testbed) dieAtCrashes(jb *work.Job, after time.Duration, every int) {
	const planners = 12
	nd := bd.addNode("n0")
	bd.submitJob(nd, jb)
	crashes := 0
	starts := func() int { return bd.startsOf(jb.ID)[work.Task{Job: jb.ID}] }
	for next := 1; next < planners; next++ {
		for waited := 0; waited < maxPolls*every && starts() < crashes+every; waited++ {
			time.Sleep(10 * time.Millisecond)
		}
		crashes = starts()
		time.Sleep(after)
		follower := bd.addNode(fmt.Sprintf("n%d", next))
		nd.cancel()
		bd.cutOff(fmt.Sprintf("n%d", next-1))
		nd = follower
	}
}

// TestCrashBesideLostHold crashes a worker while a hold to it has no answer, and removes its entry before the timeout of
// that hold. The worker was taken for one that leaves in an orderly way, so that the crash was not attributed to its task,
// which was started once more than allowed.
func TestCrashBesideLostHold(t *testing.T) {
	for name, tt := range map[string]struct {
		// away is the time from the crash to the removal of the worker's entry.
		away time.Duration
		// startNext is set if another task is started on the worker after the crash.
		startNext bool
	}{
		"hold is overdue":            {1500 * time.Millisecond, false},
		"start has no answer":        {700 * time.Millisecond, true},
		"neither hold nor start has": {1500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 700*time.Millisecond)
				defer bd.end()
				nd := bd.addNode("n1")
				bd.fleet.SetCrash(func(sr cell.Start) bool { return sr.Task.Job == "bad" }, tt.away, func(id string) { bd.store.Delete(workersPrefix + id) })
				bd.loseLaterHolds()
				time.Sleep(time.Second)
				bd.submit(nd, "bad", 1)
				time.Sleep(time.Second)
				bd.addWorker("w0")
				time.Sleep(tt.away / 2)
				if tt.startNext {
					bd.submit(nd, "next", 1)
				}
				time.Sleep(10 * time.Second)
				bd.clearFaults()
				for n := range crashesUntil {
					bd.addWorker(fmt.Sprint("w", 1+n))
				}
				bd.await("bad", cell.Failed, 20*time.Second)
				if starts := bd.startsOf("bad")[work.Task{Job: "bad"}]; starts != crashesUntil {
					t.Errorf("the task was started %d times, and its worker crashed each time", starts)
				}
			})
		})
	}
}

// loseLaterHolds lets the workers answer no hold but the first.
func (bd *testbed) loseLaterHolds() {
	answered := false
	bd.fleet.SetFault(func(_, order string) memworkers.Fault { // called with the fleet's lock
		if order != "hold" {
			return memworkers.None
		}
		if answered {
			return memworkers.RequestLost
		}
		answered = true
		return memworkers.None
	})
}

// TestLeavingIsNoCrash has workers end after the planner has seen that their entries were removed, at different times within
// a hold. They answer all calls until then, so that no crash may be attributed to their tasks.
func TestLeavingIsNoCrash(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const leavers, apart, seen = 12, 2130 * time.Millisecond, 500 * time.Millisecond
		bd := newTestbed(t, 10*time.Second, "w0")
		defer bd.end()
		nd := bd.addNode("n1")
		var attributed atomic.Int64
		bd.logged = func(line string) {
			if strings.Contains(line, "Crash was attributed") {
				attributed.Add(1)
			}
		}
		bd.submit(nd, "a", 1)
		for n := range leavers {
			id := fmt.Sprint("w", n)
			time.Sleep(apart)
			bd.submit(nd, fmt.Sprint("beside", n), 1)
			time.Sleep(apart / leavers * time.Duration(n))
			bd.addWorker(fmt.Sprint("w", n+1))
			bd.store.Delete(workersPrefix + id)
			time.Sleep(seen)
			bd.fleet.Kill(id)
		}
		bd.await("a", cell.Succeeded, 30*time.Second)
		if starts := bd.startsOf("a")[work.Task{Job: "a"}]; starts <= crashesUntil || attributed.Load() > 0 {
			t.Errorf("the task was started %d times, and %d crashes were attributed", starts, attributed.Load())
		}
	})
}

// TestStopsToCrashedWorker crashes a worker whose runs are being stopped. The stops must not be repeated at a high rate
// while nothing listens at the worker's address.
func TestStopsToCrashedWorker(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const runs, mostEach = 4, 7
		bd := newTestbed(t, 20*time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.crashOn(newIDs)
		bd.submit(nd, "a", runs)
		time.Sleep(time.Second)
		bd.fleet.Crash("w1")
		var stops atomic.Int64
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "stop" {
				stops.Add(1)
			}
			return memworkers.None
		})
		if err := nd.intake.Cancel(t.Context(), "a", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(backAfter + time.Second)
		if sent := stops.Load(); sent > runs*mostEach {
			t.Errorf("%d stops of %d runs were sent to a crashed worker", sent, runs)
		}
	})
}

// TestCutsAreNoCrashes repeatedly disconnects all workers for longer than their lease, while planners change. The
// workers answer again each time, so that no crash may be attributed to their tasks.
func TestCutsAreNoCrashes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const cuts, cut, calm = 6, 8 * time.Second, 4 * time.Second
		bd := newTestbed(t, 12*time.Second, "w1", "w2", "w3")
		defer bd.end()
		nd := bd.addNode("n0")
		bd.submit(nd, "a", 6)
		for n := range cuts {
			time.Sleep(calm)
			bd.fleet.SetFault(func(string, string) memworkers.Fault { return memworkers.RequestLost })
			time.Sleep(cut)
			if n%2 == 1 {
				follower := bd.addNode(fmt.Sprintf("n%d", n))
				nd.cancel()
				nd = follower
			}
			bd.clearFaults()
		}
		bd.await("a", cell.Succeeded, time.Minute)
	})
}
