package planner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestPlannerDies stops the planner without notice. Another node must plan within the TTL of the lease and a second,
// finish the running work, and run nothing twice.
func TestPlannerDies(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 3*time.Second, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		bd.submit(second, "a", 4)
		time.Sleep(time.Second)
		bd.cutOff("n1")
		first.cancel()
		bd.submit(second, "b", 2)
		bd.await("a", cell.Succeeded, 5*time.Second)
		bd.await("b", cell.Succeeded, 5*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 6 {
			t.Errorf("%d starts of 6 tasks", starts)
		}
	})
}

// TestResign hands the leadership over at once, without losing work.
func TestResign(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 2*time.Second, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		bd.submit(second, "a", 4)
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		first.term.Resign(ctx)
		time.Sleep(300 * time.Millisecond)
		if !second.term.Leading() {
			t.Error("no other node plans 0.3 s after the planner resigned")
		}
		bd.await("a", cell.Succeeded, 3*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 4 {
			t.Errorf("%d starts of 4 tasks", starts)
		}
	})
}

// TestWorkerLeavesThenPlannerDies has a worker leave and the planner die soon after. Tasks of the earlier planner that
// this worker cannot have must not wait until its lease has surely expired.
func TestWorkerLeavesThenPlannerDies(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 3*time.Second, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		bd.submit(second, "a", 12)
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
			if worker == "w1" {
				return memworkers.RequestLost
			}
			return memworkers.None
		})
		bd.store.Delete(workersPrefix + "w1")
		bd.submit(second, "b", 8)
		time.Sleep(2 * time.Second)
		bd.cutOff("n1")
		first.cancel()
		bd.await("b", cell.Succeeded, 8*time.Second)
		bd.await("a", cell.Succeeded, 16*time.Second)
	})
}

// TestStrongNodePlans stops a planner. A node with as many processors as any other must plan next, and a weak one only
// if there is no such node.
func TestStrongNodePlans(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const weak, strong = 0.2, 0.8
		bd := newTestbed(t, time.Second, "w1")
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
				t.Errorf("after %s has died, the wrong kind of node plans", tt.dies)
			}
		}
	})
}

// TestWeakNodeGivesWay adds a strong node after a weak one was elected. The strong one must plan soon. If it cannot,
// the weak one must go on planning.
func TestWeakNodeGivesWay(t *testing.T) {
	for name, cut := range map[string]bool{"strong node plans": false, "strong node cannot write": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const weak, strong = 0.2, 0.8
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				first := bd.addNodeOf("n1", weak)
				time.Sleep(time.Second)
				commits := 0
				bd.store.SetFault(func(client, call string) memkv.Fault {
					if client == "n2" && call == "commit" {
						commits++
					}
					if cut && client == "n2" && call == "commit" && commits > 1 { // the first commit registers the node
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

// TestPlannerRestarts restarts the planner's process at once. It knows that its previous incarnation is dead, and must
// not wait for the TTL of the lease.
func TestPlannerRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1", "w2")
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
			t.Error("the restarted node does not plan")
		}
		bd.await("a", cell.Succeeded, 3*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 4 {
			t.Errorf("%d starts of 4 tasks", starts)
		}
	})
}

// TestYield has the planner yield. Another node must plan at once, and the first one must not take the leadership back.
func TestYield(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		bd.submit(second, "a", 2)
		time.Sleep(300 * time.Millisecond)
		first.currentTerm().Yield("test")
		time.Sleep(100 * time.Millisecond)
		if first.term.Leading() || !second.term.Leading() {
			t.Error("the other node does not plan 0.1 s after the planner yielded")
		}
		bd.await("a", cell.Succeeded, 2*time.Second)
		second.currentTerm().Yield("test")
		time.Sleep(time.Second)
		if first.term.Leading() {
			t.Error("the first node has taken the leadership back")
		}
	})
}

// TestAllYield guards against a cell in which every node yields within a few seconds, as slow ones do, and none plans.
// Jobs waited for 8 s, until the first node's abstention was over. A slow planner is better than none, so a node must
// take a leadership that no other node has taken.
func TestAllYield(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		time.Sleep(time.Second)
		first.currentTerm().Yield("test")
		time.Sleep(time.Second)
		second.currentTerm().Yield("test")
		time.Sleep(3 * time.Second)
		if !first.term.Leading() && !second.term.Leading() {
			t.Error("no node plans 3 s after the second of two nodes yielded")
		}
	})
}

// TestAgesAreJournaled stops a planner while two jobs are queued. The next planner must start the older one first,
// because the journal has the times of acceptance.
func TestAgesAreJournaled(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const run = 4 * time.Second
		bd := newTestbed(t, run, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		bd.submit(second, "running", 8) // takes all capacity of the worker
		time.Sleep(time.Second)
		bd.submit(second, "b-older", 8)
		time.Sleep(time.Second)
		bd.submit(second, "a-younger", 8)
		first.cancel()
		bd.await("b-older", cell.Succeeded, 3*run)
		if phase, err := second.planner.JobPhase(t.Context(), "a-younger", ""); err != nil || phase == cell.Succeeded {
			t.Errorf("the younger job is %s before the older one (%v)", phase, err)
		}
	})
}
