package planner_test

import (
	"context"
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
		if _, err := nd.planner.State("b"); !fault.Is(err, fault.NotFound) {
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
			nd.planner.Reroute()
			time.Sleep(time.Millisecond)
		}
		if count := plans.Count() - before; count < 100 || count > 250 {
			t.Errorf("%d plans in a second", count)
		}
	})
}

// TestPlannerDies ends the planner without notice. Another one plans within the
// lease's time and a second, ends what runs, and runs nothing twice.
func TestPlannerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 3*time.Second, "w1", "w2")
		defer bd.end()
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		second := bd.addNode("n2")
		bd.submit(second, "a", 4)
		time.Sleep(time.Second)
		bd.store.SetFault(func(client, _ string) memkv.Fault {
			if client == "n1" {
				return memkv.Silent
			}
			return memkv.None
		})
		first.cancel()
		bd.submit(second, "b", 2)
		bd.await("a", cell.Succeeded, 5*time.Second)
		bd.await("b", cell.Succeeded, 5*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 6 {
			t.Errorf("%d starts of 6 tasks", starts)
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

// TestOrdersStray loses answers and carries orders out late. No task runs twice.
func TestOrdersStray(t *testing.T) {
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

// TestResign hands the planner's place over at once, without losing work.
func TestResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 2*time.Second, "w1", "w2")
		defer bd.end()
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		second := bd.addNode("n2")
		bd.submit(second, "a", 4)
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first.term.Resign(ctx)
		time.Sleep(300 * time.Millisecond)
		if !second.term.Leading() {
			t.Error("nobody else plans 0.3 s after the planner resigned")
		}
		bd.await("a", cell.Succeeded, 3*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 4 {
			t.Errorf("%d starts of 4 tasks", starts)
		}
	})
}

// TestWorkerLeavesThenPlannerDies has a worker leave and the planner die soon after.
// Old tasks that the worker cannot hold need not wait until it has surely lapsed.
func TestWorkerLeavesThenPlannerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 3*time.Second, "w1", "w2")
		defer bd.end()
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		second := bd.addNode("n2")
		bd.submit(second, "a", 12)
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == "w1" {
				return memworkers.Silent
			}
			return memworkers.None
		})
		bd.store.Remove(workersPrefix + "w1")
		bd.submit(second, "b", 8)
		time.Sleep(2 * time.Second)
		bd.store.SetFault(func(client, _ string) memkv.Fault {
			if client == "n1" {
				return memkv.Silent
			}
			return memkv.None
		})
		first.cancel()
		bd.await("b", cell.Succeeded, 8*time.Second)
		bd.await("a", cell.Succeeded, 16*time.Second)
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
		if _, err := nd.planner.State("b"); !fault.Is(err, fault.NotFound) {
			t.Errorf("state of an unknown job: %v", err)
		}
		bd.store.SetFault(func(_, call string) memkv.Fault {
			if call == "watch" || call == "range" {
				return memkv.Silent
			}
			return memkv.None
		})
		time.Sleep(3 * time.Second)
		if _, err := nd.planner.State("b"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("state of an unknown job with an old journal: %v", err)
		}
		if _, err := nd.planner.Pending("q"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("jobs that wait with an old journal: %v", err)
		}
	})
}

// TestStrongNodePlans lets a planner die: of the other nodes one plans that has as much
// of a processor as any, and where no such node is left, a weak one does.
func TestStrongNodePlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const weak, strong = 0.2, 0.8
		bd := newBed(t, time.Second, "w1")
		defer bd.end()
		bd.addNodeOf("n1", strong)
		time.Sleep(100 * time.Millisecond)
		for _, name := range []string{"n2", "n3", "n4"} {
			bd.addNodeOf(name, weak)
		}
		time.Sleep(50 * time.Millisecond)
		bd.addNodeOf("n5", strong)
		time.Sleep(time.Second)
		for _, tt := range []struct {
			dies   string
			strong bool
		}{{"n1", true}, {"n5", false}} {
			bd.nodes[tt.dies].cancel()
			time.Sleep(4 * time.Second)
			nd := bd.leader()
			if nd == nil {
				t.Fatalf("no node plans after %s has died", tt.dies)
			}
			if (nd == bd.nodes["n5"]) != tt.strong {
				t.Errorf("after %s has died, a node of the wrong strength plans", tt.dies)
			}
		}
	})
}

// TestWeakNodeGivesWay lists a strong node after a weak one was elected: the strong one
// plans soon. Where it cannot, the weak one goes on planning.
func TestWeakNodeGivesWay(t *testing.T) {
	for name, cut := range map[string]bool{"strong node plans": false, "strong node cannot write": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const weak, strong = 0.2, 0.8
				bd := newBed(t, time.Second, "w1")
				defer bd.end()
				first := bd.addNodeOf("n1", weak)
				time.Sleep(time.Second)
				commits := 0
				bd.store.SetFault(func(client, call string) memkv.Fault {
					if client == "n2" && call == "commit" {
						commits++
					}
					if cut && client == "n2" && call == "commit" && commits > 1 { // the first one lists it
						return memkv.Refused
					}
					return memkv.None
				})
				second := bd.addNodeOf("n2", strong)
				time.Sleep(2 * time.Second)
				if first.term.Leading() != cut || second.term.Leading() == cut {
					t.Errorf("weak node plans: %v, strong node plans: %v", first.term.Leading(), second.term.Leading())
				}
			})
		})
	}
}

// TestPlannerRestarts has the planner's process die and start again at once: it knows
// that its earlier incarnation is dead, and does not wait for the lease's time.
func TestPlannerRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1", "w2")
		defer bd.end()
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		bd.addNode("n2")
		bd.submit(first, "a", 4)
		time.Sleep(200 * time.Millisecond)
		first.cancel()
		time.Sleep(100 * time.Millisecond)
		again := bd.addNode("n1")
		time.Sleep(200 * time.Millisecond)
		if !again.term.Leading() {
			t.Error("the node that started again does not plan")
		}
		bd.await("a", cell.Succeeded, 3*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 4 {
			t.Errorf("%d starts of 4 tasks", starts)
		}
	})
}

// TestYield has the planner give its place up: another node plans at once, and the
// first one does not take the place back.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second, "w1")
		defer bd.end()
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		second := bd.addNode("n2")
		bd.submit(second, "a", 2)
		time.Sleep(300 * time.Millisecond)
		first.reign.Yield("test")
		time.Sleep(100 * time.Millisecond)
		if first.term.Leading() || !second.term.Leading() {
			t.Error("the other node does not plan 0.1 s after the planner gave its place up")
		}
		bd.await("a", cell.Succeeded, 2*time.Second)
		second.reign.Yield("test")
		time.Sleep(time.Second)
		if first.term.Leading() {
			t.Error("the first node has taken the place back at once")
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
			if worker == began.Worker {
				return memworkers.Silent
			}
			return memworkers.None
		})
		bd.store.Remove(workersPrefix + began.Worker)
		bd.await("a", cell.Succeeded, time.Second)
		bd.await("b", cell.Succeeded, 12*time.Second)
	})
}

// TestAgesAreJournaled has a planner end while two jobs wait for room. The next one serves
// the older one first, as the first would have: it knows when they were accepted.
func TestAgesAreJournaled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const run = 4 * time.Second
		bd := newBed(t, run, "w1")
		defer bd.end()
		first := bd.addNode("n1")
		time.Sleep(100 * time.Millisecond)
		second := bd.addNode("n2")
		bd.submit(second, "running", 8) // all of the worker
		time.Sleep(time.Second)
		bd.submit(second, "b-older", 8)
		time.Sleep(time.Second)
		bd.submit(second, "a-younger", 8)
		first.cancel()
		bd.await("b-older", cell.Succeeded, 3*run)
		if phase, err := second.planner.State("a-younger"); err != nil || phase == cell.Succeeded {
			t.Errorf("the younger job is %s before the older one (%v)", phase, err)
		}
	})
}
