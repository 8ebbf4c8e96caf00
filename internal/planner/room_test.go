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
	// beat is how often a worker writes its entry, contact the users' contact time: a start over a
	// room that has shrunk counts once both have passed.
	beat    = 1500 * time.Millisecond
	contact = 3 * time.Second
)

// shrink lets a worker have room for fewer tasks, or more; its next beat says so.
func (bd *bed) shrink(id string, tasks int) {
	bd.fleet.SetRoom(id, tasks, contact+beat)
	bd.clock.AfterFunc(beat, func() { bd.store.Set(workersPrefix+id, fmt.Appendf(nil, "room %d", tasks)) })
}

// TestShrunkRoom has workers that do not guard their room shrink while more work waits than they
// hold, and grow again. However the news comes, no start goes over the room once users count it.
func TestShrunkRoom(t *testing.T) {
	const span = 8 * time.Second
	tests := map[string]func(bd *bed, first *node){
		"the store is sound": func(*bed, *node) {},
		"no copy of the store is answered, leases are": func(bd *bed, _ *node) {
			bd.store.SetFault(func(_, call string) memkv.Fault {
				if call == "watch" || call == "range" {
					return memkv.Silent
				}
				return memkv.None
			})
		},
		"the store is silent": func(bd *bed, _ *node) {
			bd.store.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
		},
		"the store forgets its history": func(bd *bed, _ *node) {
			bd.clock.AfterFunc(beat+10*time.Millisecond, bd.store.Forget)
		},
		"the planner dies": func(bd *bed, first *node) {
			bd.cutOff("n1")
			first.cancel()
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, 900*time.Millisecond, "w1", "w2", "w3")
				defer bd.end()
				first, second := bd.addTwo()
				bd.submit(second, "before", 12)
				bd.submit(second, "waits", 400)
				time.Sleep(2 * time.Second)
				bd.shrink("w1", 2)
				bd.shrink("w2", 1)
				trouble(bd, first)
				time.Sleep(span)
				bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
				time.Sleep(2 * time.Second)
				bd.shrink("w1", 8)
				bd.shrink("w2", 4)
				bd.await("waits", cell.Succeeded, time.Minute)
			})
		})
	}
}
