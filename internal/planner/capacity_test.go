package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/standin/memkv"
)

const (
	// heartbeat is the interval in which a worker writes its entry, contact the contact time (Bounds.Contact of the
	// site). A start beyond a capacity that has shrunk counts as an error once both have passed.
	heartbeat = 1500 * time.Millisecond
	contact   = 3 * time.Second
)

// setCapacity changes the number of tasks that a worker can run. Its next heartbeat publishes the change.
func (bd *testbed) setCapacity(id string, tasks int) {
	bd.fleet.SetTaskCapacity(id, tasks, contact+heartbeat)
	bd.clock.AfterFunc(heartbeat, func() { bd.store.Set(workersPrefix+id, fmt.Appendf(nil, "room %d", tasks)) })
}

// TestShrunkCapacity shrinks the capacity of workers, which do not check it themselves, while more tasks are queued
// than they can run, and then raises it again. However the change reaches the planner, no start may exceed the capacity
// once it counts as an error.
func TestShrunkCapacity(t *testing.T) {
	const span = 8 * time.Second
	tests := map[string]func(bd *testbed, first *node){
		"the store works": func(*testbed, *node) {},
		"the store answers no reads, but renews leases": func(bd *testbed, _ *node) {
			bd.store.SetFault(func(_, call string) memkv.Fault {
				if call == "watch" || call == "range" {
					return memkv.RequestLost
				}
				return memkv.None
			})
		},
		"the store does not answer": func(bd *testbed, _ *node) {
			bd.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
		},
		"the store loses its history": func(bd *testbed, _ *node) {
			bd.clock.AfterFunc(heartbeat+10*time.Millisecond, bd.store.Compact)
		},
		"the planner dies": func(bd *testbed, first *node) {
			bd.cutOff("n1")
			first.cancel()
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 900*time.Millisecond, "w1", "w2", "w3")
				defer bd.end()
				first, second := bd.addTwo()
				bd.submit(second, "before", 12)
				bd.submit(second, "waits", 400)
				time.Sleep(2 * time.Second)
				bd.setCapacity("w1", 2)
				bd.setCapacity("w2", 1)
				trouble(bd, first)
				time.Sleep(span)
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				time.Sleep(2 * time.Second)
				bd.setCapacity("w1", 8)
				bd.setCapacity("w2", 4)
				bd.await("waits", cell.Succeeded, time.Minute)
			})
		})
	}
}

// TestShrunkCapacityBehindOutage shrinks the capacity of workers at the beginning of an outage of the store, in which they
// cannot write their entries: each does so with its first heartbeat after the outage. It guards against starts by the old
// capacities before that, since the list of workers is up to date as soon as the store answers.
func TestShrunkCapacityBehindOutage(t *testing.T) {
	const (
		span = 8 * time.Second
		// mostTime is how long starts may take to resume: a heartbeat, a write, a watch and a plan.
		mostTime = heartbeat + 700*time.Millisecond
	)
	tests := map[string]struct {
		leasesWait bool
		terms      int
		// electionTime is how long it may take until a node plans after the outage.
		electionTime time.Duration
	}{
		"the term goes on":    {leasesWait: true, terms: 1, electionTime: 500 * time.Millisecond},
		"another term begins": {terms: 2, electionTime: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 900*time.Millisecond, "w1", "w2", "w3")
				bd.heartbeat = heartbeat
				defer bd.end()
				_, second := bd.addTwo()
				bd.submit(second, "waits", 400)
				time.Sleep(2 * time.Second)
				for _, id := range []string{"w1", "w2", "w3"} {
					bd.fleet.SetTaskCapacity(id, 2, contact+heartbeat)
				}
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
				if tt.leasesWait {
					bd.store.ExtendLeases(span)
				}
				time.Sleep(span)
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				answers := bd.clock.Now()
				for n, id := range []string{"w1", "w2", "w3"} { // w3 writes its entry last
					bd.clock.AfterFunc(time.Duration(n+1)*heartbeat/3, func() { bd.store.Set(workersPrefix+id, []byte("room 2")) })
				}
				before := len(bd.fleet.Starts())
				for len(bd.fleet.Starts()) == before {
					time.Sleep(10 * time.Millisecond)
				}
				if took := bd.clock.Since(answers); took > tt.electionTime+mostTime {
					t.Errorf("the first task started %v after the outage", took)
				}
				bd.await("waits", cell.Succeeded, 2*time.Minute)
				if terms := bd.leader().currentTerm().Number; terms != tt.terms {
					t.Errorf("%d terms, want %d: the test does not show what it should", terms, tt.terms)
				}
			})
		})
	}
}
