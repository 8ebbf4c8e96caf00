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
	// heartbeat is the interval in which a worker writes its entry, contact the workers' contact time. A start beyond a
	// capacity that has shrunk counts as an error once both have passed.
	heartbeat = 1500 * time.Millisecond
	contact   = 3 * time.Second
)

// setCapacity changes the number of tasks that a worker can run. Its next heartbeat publishes the change.
func (bd *testbed) setCapacity(id string, tasks int) {
	bd.fleet.SetRoom(id, tasks, contact+heartbeat)
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
					return memkv.Silent
				}
				return memkv.None
			})
		},
		"the store does not answer": func(bd *testbed, _ *node) {
			bd.store.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
		},
		"the store loses its history": func(bd *testbed, _ *node) {
			bd.clock.AfterFunc(heartbeat+10*time.Millisecond, bd.store.Forget)
		},
		"the planner dies": func(bd *testbed, first *node) {
			bd.cutOff("n1")
			first.cancel()
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
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
