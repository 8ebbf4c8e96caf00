package planner_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestRenewalAwaitsRecordOfEarlierTerm guards against a second run on behalf of a planner that reads in the journal of an
// earlier term that a lease is not renewed, while the planner in between, cut off from the store, renews it again.
func TestRenewalAwaitsRecordOfEarlierTerm(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		third := bd.addNode("n3")
		second.cut("w2") // it would learn there of the next term
		third.cut("w1")
		var mu sync.Mutex
		cutOff := []string{"n3"}
		setCutOff := func(nodes ...string) {
			mu.Lock()
			defer mu.Unlock()
			cutOff = nodes
		}
		bd.submitLongRunning(first, "service")
		bd.store.SetFault(func(client, _ string) memkv.Fault {
			mu.Lock()
			defer mu.Unlock()
			if slices.Contains(cutOff, client) {
				return memkv.RequestLost
			}
			return memkv.None
		})
		time.Sleep(20 * time.Second) // n3 leaves the members
		run := bd.lastStart("service").run
		first.cut("w1")
		time.Sleep(2900 * time.Millisecond) // the planner has recorded that the worker does not answer
		first.stopped.Store(true)
		first.term.Resign(t.Context())
		bd.awaitLeader(second)
		time.Sleep(20 * time.Millisecond) // the worker has answered, and the record of that is not written yet
		setCutOff("n2")
		second.stopped.Store(true)
		bd.store.RevokeLeases()
		if waited := bd.awaitRestart("service", run, 30*time.Second); waited > 12*time.Second {
			t.Errorf("the task was not started elsewhere after %v", waited)
		}
	})
}

// TestDrainingWorkerIsRenewedUnrecorded guards against a second run on behalf of a planner that reads in the journal of an
// earlier term that a lease is not renewed, while the planner in between renewed it: the worker drains, and gets no new record.
func TestDrainingWorkerIsRenewedUnrecorded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Hour, "w1", "w2")
		defer bd.end()
		first, second := bd.addTwo()
		worker := bd.submitLongRunning(first, "service")
		bd.list(worker, "draining")
		time.Sleep(20 * time.Second)
		run := bd.lastStart("service").run
		first.cut(worker)
		time.Sleep(2900 * time.Millisecond) // the planner has recorded that the worker does not answer
		first.term.Resign(t.Context())
		first.cancel()
		bd.awaitLeader(second)
		third := bd.addNode("n3")
		third.cut(worker)
		time.Sleep(10 * time.Second)
		second.cut("w2") // it would learn there of the next term
		bd.cutOff("n2")
		second.stopped.Store(true)
		bd.store.RevokeLeases()
		bd.awaitRestart("service", run, 30*time.Second)
	})
}
