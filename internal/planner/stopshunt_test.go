package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestStopsHunt guards against a second run of a task while its run is being stopped for an earlier term. Terms end at any time,
// often while workers stop runs, and orders, writes and entries are lost.
func TestStopsHunt(t *testing.T) {
	for seed := range seedCount(t, "STOPS_SEEDS", "2") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { huntStops(t, seed) })
		})
	}
}

// huntStops plays one seed.
func huntStops(t *testing.T, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	bd := newTestbed(t, time.Hour, "w1", "w2", "w3", "w4")
	bd.peerCommits = seed%2 == 0
	bd.setStopTime(longestStop)
	defer bd.end()
	nodes := []*node{bd.addNode("n1"), bd.addNode("n2"), bd.addNode("n3")}
	time.Sleep(time.Second)
	stopLoss, otherLoss, storeLoss := []float64{0.5, 0.8, 0.95}[rnd.IntN(3)], []float64{0, 0.03}[rnd.IntN(2)], []float64{0, 0, 0.05}[rnd.IntN(3)]
	frnd := rand.New(rand.NewPCG(seed, 8))
	bd.fleet.SetFault(func(_, order string) memworkers.Fault {
		loss := otherLoss
		if order == "stop" {
			loss = stopLoss
		}
		if frnd.Float64() < loss {
			return []memworkers.Fault{memworkers.RequestLost, memworkers.ResponseLost, memworkers.Delayed}[frnd.IntN(3)]
		}
		return memworkers.None
	})
	srnd := rand.New(rand.NewPCG(seed, 9))
	bd.store.SetFault(func(_, call string) memkv.Fault {
		if srnd.Float64() < storeLoss {
			return []memkv.Fault{memkv.RequestLost, memkv.ResponseLost}[srnd.IntN(2)]
		}
		return memkv.None
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 40 {
			jb := newJob(bd.accepted, fmt.Sprint("j", n), 1+rnd.IntN(4))
			jb.Steps[0].Gang = rnd.IntN(3) == 0
			nd := nodes[rnd.IntN(3)]
			if nd.intake.Submit(t.Context(), jb) != nil {
				continue
			}
			time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
			if rnd.IntN(3) == 0 {
				_ = nd.intake.Cancel(t.Context(), fmt.Sprint("j", rnd.IntN(n+1)), "")
			}
		}
	}()
	go func() {
		for n := 0; n < 600; n++ {
			id := fmt.Sprint("cancelled", n)
			nd := nodes[n%3]
			if nd.intake.Submit(t.Context(), newJob(bd.accepted, id, 1)) == nil {
				_ = nd.intake.Cancel(t.Context(), id, "")
			}
			time.Sleep(60 * time.Millisecond)
		}
	}()
	mrnd := rand.New(rand.NewPCG(seed, 10))
	began := time.Now()
	for time.Since(began) < 50*time.Second {
		if mrnd.IntN(3) > 0 {
			time.Sleep(time.Duration(4000+mrnd.IntN(8000)) * time.Millisecond)
		}
		if mrnd.IntN(2) == 0 {
			time.Sleep(time.Duration(mrnd.IntN(3000)) * time.Millisecond)
		} else { // right after a stop
			for n := 0; n < 8000 && stoppingAny(bd); n++ {
				time.Sleep(time.Millisecond)
			}
			for n := 0; n < 8000 && !stoppingAny(bd); n++ {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Duration(mrnd.IntN(400)) * time.Millisecond)
		}
		if mrnd.IntN(4) == 0 {
			id := fmt.Sprint("w", 1+mrnd.IntN(4))
			if mrnd.IntN(2) == 0 {
				bd.store.Delete(workersPrefix + id)
				bd.clock.AfterFunc(time.Duration(mrnd.IntN(4000))*time.Millisecond, func() { bd.list(id) })
			} else {
				bd.list(id, "draining")
				bd.clock.AfterFunc(time.Duration(mrnd.IntN(4000))*time.Millisecond, func() { bd.list(id) })
			}
		}
		ld := bd.leader()
		if ld == nil {
			continue
		}
		switch mrnd.IntN(3) {
		case 0:
			bd.resign(ld)
		case 1:
			ld.currentTerm().StepDown("test")
		case 2:
			ld.currentTerm().Yield("test")
		}
	}
	<-done
	bd.clearFaults()
	bd.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	time.Sleep(3 * time.Second)
}

// stoppingAny reports whether a worker stops a run of one of the jobs.
func stoppingAny(bd *testbed) bool {
	for n := range 40 {
		for k := range 4 {
			if bd.fleet.Stopping(work.Task{Job: fmt.Sprint("j", n), Index: k}) {
				return true
			}
		}
	}
	return false
}
