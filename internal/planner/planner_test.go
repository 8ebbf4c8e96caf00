package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestCalm carries a job from its acceptance to its end.
func TestCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 4)
		bd.await("a", cell.Succeeded, 3*time.Second)
		if _, err := nd.planner.JobPhase(t.Context(), "b", ""); !fault.Is(err, fault.NotFound) {
			t.Errorf("state of a job that nobody submitted: %v", err)
		}
	})
}

// TestPlansGather has something change each millisecond: a plan takes in what has
// changed over some of them, since each of them costs as much as many changes do.
func TestPlansGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 4)
		bd.await("a", cell.Succeeded, 3*time.Second)
		plans := metrics.GetOrRegisterCounter("planner.plans", nd.meters)
		before := plans.Count()
		for range 1000 {
			nd.planner.ApplySettings()
			time.Sleep(time.Millisecond)
		}
		if count := plans.Count() - before; count < 100 || count > 250 {
			t.Errorf("%d plans in a second", count)
		}
	})
}

// TestWorkerVanishes lets a worker fall silent for good. What it ran starts elsewhere
// once its lease is over, not before and not much later.
func TestWorkerVanishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 3*time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 12)
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == "w1" {
				return memworkers.Silent
			}
			return memworkers.None
		})
		bd.store.Remove(workersPrefix + "w1")
		bd.await("a", cell.Succeeded, 14*time.Second)
	})
}

// TestOrdersDelayed loses answers and carries orders out late. No task runs twice.
func TestOrdersDelayed(t *testing.T) {
	cases := map[string]memworkers.Fault{
		"not carried out":           memworkers.Silent,
		"carried out, not answered": memworkers.Lost,
		"carried out late":          memworkers.Late,
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, time.Second, "w1", "w2", "w3")
				defer bd.end()
				nd := bd.addNode("n1")
				count := 0
				bd.fleet.SetFault(func(_, order string) memworkers.Fault {
					if count++; order != "hold" && count%5 == 0 {
						return fault
					}
					return memworkers.None
				})
				for n := range 6 {
					bd.submit(nd, fmt.Sprintf("a%d", n), 5)
				}
				for n := range 6 {
					bd.await(fmt.Sprintf("a%d", n), cell.Succeeded, 30*time.Second)
				}
			})
		})
	}
}

// TestStoreAway keeps running work through an outage of the store, and starts work
// again soon after it.
func TestStoreAway(t *testing.T) {
	cases := map[string]struct {
		fault  memkv.Fault
		revoke bool
	}{
		"silent":               {memkv.Silent, false},
		"silent, leases lapse": {memkv.Silent, true},
		"refuses":              {memkv.Refused, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, 6*time.Second, "w1", "w2")
				defer bd.end()
				nd := bd.addNode("n1")
				bd.addNode("n2")
				bd.submit(nd, "a", 4)
				time.Sleep(time.Second)
				bd.store.SetFault(func(string, string) memkv.Fault { return tc.fault })
				time.Sleep(4 * time.Second)
				if tc.revoke {
					bd.store.Revoke()
				}
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				bd.await("a", cell.Succeeded, 6*time.Second)
				if starts := len(bd.fleet.Starts()); starts != 4 {
					t.Errorf("%d starts of 4 tasks: running work was lost", starts)
				}
				bd.submit(nd, "b", 1)
				bd.await("b", cell.Succeeded, 8*time.Second)
			})
		})
	}
}

// TestStoreForgets drops the store's history; jobs accepted meanwhile run.
func TestStoreForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submit(nd, "a", 1)
		bd.store.Forget()
		bd.submit(nd, "b", 1)
		bd.await("a", cell.Succeeded, 3*time.Second)
		bd.await("b", cell.Succeeded, 3*time.Second)
	})
}

// TestAnswersLost loses the answer of every second write. Jobs are accepted soon all
// the same, and the planner stays.
func TestAnswersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.addNode("n2")
		time.Sleep(time.Second)
		count := map[string]int{}
		bd.store.SetFault(func(client, call string) memkv.Fault {
			if call == "range" || call == "watch" {
				return memkv.None
			}
			if count[client+call]++; count[client+call]%2 == 0 {
				return memkv.Lost
			}
			return memkv.None
		})
		for n := range 10 {
			began := time.Now()
			bd.submit(nd, fmt.Sprintf("a%d", n), 1)
			if took := time.Since(began); took > 500*time.Millisecond {
				t.Errorf("job %d was accepted after %v", n, took)
			}
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 10 {
			bd.await(fmt.Sprintf("a%d", n), cell.Succeeded, 3*time.Second)
		}
		if el, _ := nd.term.Leader(); el.Number != 1 {
			t.Errorf("%d planners were elected", el.Number)
		}
	})
}

// TestStartNotCarriedOut has the first start not arrive. The task starts elsewhere
// within half a second, though the worker has no end to report.
func TestStartNotCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		first := true
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" && first {
				first = false
				return memworkers.Silent
			}
			return memworkers.None
		})
		bd.submit(nd, "a", 1)
		bd.await("a", cell.Succeeded, 1600*time.Millisecond)
	})
}

// TestStaleJournal has the planner lose the journal's watch. It says no longer that a
// job is not known, nor how many wait.
func TestStaleJournal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		if _, err := nd.planner.JobPhase(t.Context(), "b", ""); !fault.Is(err, fault.NotFound) {
			t.Errorf("state of an unknown job: %v", err)
		}
		bd.store.SetFault(func(_, call string) memkv.Fault {
			if call == "watch" || call == "range" {
				return memkv.Silent
			}
			return memkv.None
		})
		time.Sleep(3 * time.Second)
		if _, err := nd.planner.JobPhase(t.Context(), "b", ""); !fault.Is(err, fault.Unavailable) {
			t.Errorf("state of an unknown job with an old journal: %v", err)
		}
		if _, err := nd.planner.Pending("q"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("jobs that wait with an old journal: %v", err)
		}
	})
}

// TestLeavesWithItsLastEnd has a worker leave just after it reported an end, while a
// report is asked for besides. The end is not lost, and the task does not run twice.
func TestLeavesWithItsLastEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 1)
		time.Sleep(500 * time.Millisecond)
		bd.addWorker("w2")
		// The next start gets no answer at the moment of the end, so that w1 is asked.
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				return memworkers.Silent
			}
			return memworkers.None
		})
		began := bd.fleet.Starts()[0]
		time.Sleep(300 * time.Millisecond)
		bd.submit(nd, "b", 1)
		time.Sleep(300 * time.Millisecond)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == began.Worker.WorkerID() {
				return memworkers.Silent
			}
			return memworkers.None
		})
		bd.store.Remove(workersPrefix + began.Worker.WorkerID())
		bd.await("a", cell.Succeeded, time.Second)
		bd.await("b", cell.Succeeded, 12*time.Second)
	})
}
