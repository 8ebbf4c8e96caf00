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

// TestJobRuns runs a job from its submission to its end.
func TestJobRuns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 4)
		bd.await("a", cell.Succeeded, 3*time.Second)
		if _, err := nd.planner.JobPhase(t.Context(), "b", ""); !fault.Is(err, fault.NotFound) {
			t.Errorf("phase of a job that was not submitted: %v", err)
		}
	})
}

// TestPlanningIsBatched changes something each millisecond. Several changes must be handled by one planning pass, which
// costs as much as many changes.
func TestPlanningIsBatched(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1", "w2")
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
			t.Errorf("%d planning passes in a second", count)
		}
	})
}

// TestWorkerVanishes makes a worker stop answering for good. Its tasks must start elsewhere once its lease has expired,
// not before and not much later.
func TestWorkerVanishes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 3*time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 12)
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == "w1" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.store.Delete(workersPrefix + "w1")
		bd.await("a", cell.Succeeded, 14*time.Second)
	})
}

// TestOrdersDelayed loses answers to orders and carries orders out late. No task may run twice.
func TestOrdersDelayed(t *testing.T) {
	cases := map[string]memworkers.Fault{
		"not carried out":           memworkers.RequestLost,
		"carried out, not answered": memworkers.ResponseLost,
		"carried out late":          memworkers.Delayed,
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1", "w2", "w3")
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

// TestStoreOutage checks that running work goes on during an outage of the store, and that work is started again soon
// after it.
func TestStoreOutage(t *testing.T) {
	cases := map[string]struct {
		fault  memkv.Fault
		revoke bool
	}{
		"no answer":                {memkv.RequestLost, false},
		"no answer, leases expire": {memkv.RequestLost, true},
		"refuses":                  {memkv.Refused, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 6*time.Second, "w1", "w2")
				defer bd.end()
				nd := bd.addNode("n1")
				bd.addNode("n2")
				bd.submit(nd, "a", 4)
				time.Sleep(time.Second)
				bd.store.SetFault(func(string, string) memkv.Fault { return tc.fault })
				time.Sleep(4 * time.Second)
				if tc.revoke {
					bd.store.RevokeLeases()
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

// TestStoreLosesHistory drops the store's history. Jobs accepted meanwhile must run.
func TestStoreLosesHistory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submit(nd, "a", 1)
		bd.store.Compact()
		bd.submit(nd, "b", 1)
		bd.await("a", cell.Succeeded, 3*time.Second)
		bd.await("b", cell.Succeeded, 3*time.Second)
	})
}

// TestAnswersLost loses the answer to every second write. Jobs must still be accepted soon, and the planner must not
// change.
func TestAnswersLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1", "w2")
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
				return memkv.ResponseLost
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

// TestStartNotCarriedOut loses the first start. The task must start elsewhere within half a second, although the worker
// has no end to report.
func TestStartNotCarriedOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1", "w2")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		first := true
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" && first {
				first = false
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.submit(nd, "a", 1)
		bd.await("a", cell.Succeeded, 1600*time.Millisecond)
	})
}

// TestStaleJournal makes the planner lose the watch on the journal. It must no longer answer that a job is unknown, or
// how many jobs are queued.
func TestStaleJournal(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		if _, err := nd.planner.JobPhase(t.Context(), "b", ""); !fault.Is(err, fault.NotFound) {
			t.Errorf("phase of an unknown job: %v", err)
		}
		bd.store.SetFault(func(_, call string) memkv.Fault {
			if call == "watch" || call == "range" {
				return memkv.RequestLost
			}
			return memkv.None
		})
		time.Sleep(3 * time.Second)
		if _, err := nd.planner.JobPhase(t.Context(), "b", ""); !fault.Is(err, fault.Unavailable) {
			t.Errorf("phase of an unknown job with a stale journal: %v", err)
		}
		if _, err := nd.planner.Pending("q"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("queued jobs with a stale journal: %v", err)
		}
	})
}

// TestLeavesWithItsLastEnd has a worker leave just after it reported an end, while another report is requested. The end
// must not be lost, and the task must not run twice.
func TestLeavesWithItsLastEnd(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 1)
		time.Sleep(500 * time.Millisecond)
		bd.addWorker("w2")
		// The next start gets no answer at the time of the end, so that a report is requested from w1.
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		began := bd.fleet.Starts()[0]
		time.Sleep(300 * time.Millisecond)
		bd.submit(nd, "b", 1)
		time.Sleep(300 * time.Millisecond)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == began.Worker.WorkerID() {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.store.Delete(workersPrefix + began.Worker.WorkerID())
		bd.await("a", cell.Succeeded, time.Second)
		bd.await("b", cell.Succeeded, 12*time.Second)
	})
}
