package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestPoolsFollowWorkers guards against pools that miss a change of a worker between two plans.
func TestPoolsFollowWorkers(t *testing.T) {
	const workers, plans, seeds = 40, 200, 10
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			cl := New(Options{Retention: time.Minute, FirstRun: 1})
			cl.FinishRecovery()
			id := func() incarnation.ID { return incarnation.ID(fmt.Sprint("w", rnd.IntN(workers))) }
			var starts []Start
			for plan := range plans {
				now := time.Duration(plan) * 100 * time.Millisecond
				for range rnd.IntN(workers) {
					changeRandomly(cl, rnd, now, id())
				}
				rnd.Shuffle(len(starts), func(i, j int) { starts[i], starts[j] = starts[j], starts[i] })
				for _, sr := range starts[:len(starts)/2] {
					cl.Refused(now, sr, RefusedStale)
				}
				starts = starts[len(starts)/2:]
				cl.Add(now, &work.Job{
					ID: fmt.Sprint("job", plan), Queue: work.Queue{Name: "q", Service: fmt.Sprint("svc", rnd.IntN(2)), Attempts: 3},
					Steps: []work.Step{{Count: 1 + rnd.IntN(8), Need: size.New(1000*int64(rnd.IntN(5)), 1000, 0)}},
				}, false)
				cl.SetCommitted(cl.RecordCount())
				cl.now = now
				cl.fillPools(now)
				checkPools(t, cl, now)
				cl.Plan(now)
				starts = append(starts, cl.TakeOutput().Starts...)
			}
		})
	}
}

// changeRandomly makes one change of a worker.
func changeRandomly(cl *Cell, rnd *rand.Rand, now time.Duration, id incarnation.ID) {
	switch rnd.IntN(6) {
	case 0:
		cl.PutWorker(now, Worker{
			ID: id, Service: fmt.Sprint("svc", rnd.IntN(2)), Draining: rnd.IntN(10) == 0,
			Capacity: size.New(8000*int64(1+rnd.IntN(2)), 64000, 0),
		})
	case 1:
		if rnd.IntN(10) == 0 {
			cl.Deregister(id)
			cl.LeaseExpired(now, id)
		}
	default:
		var runs []Run
		for _, rn := range cl.HeldRuns(id) {
			if rnd.IntN(4) > 0 {
				runs = append(runs, rn)
			}
		}
		cl.Report(now, id, now, runs, nil)
	}
}

// checkPools compares the pools with ones that are made from all workers.
func checkPools(t *testing.T, cl *Cell, now time.Duration) {
	t.Helper()
	is := is.New(t)
	want := map[string][]*worker{}
	for _, wk := range cl.workers {
		if cl.acceptsRuns(now, wk) {
			want[wk.Service] = append(want[wk.Service], wk)
		}
		is.Equal(cl.unpooled[wk], wk.pool == nil) // each worker is either in a pool or among the others
	}
	for service, list := range want {
		slices.SortFunc(list, (*worker).compareFree)
		used := 0.0
		for i, wk := range list {
			is.Equal(wk.poolIndex, i)
			used += min(wk.used.DominantShare(wk.Capacity), 1)
		}
		is.Equal(cl.pools[service].used, used)
	}
	for service, po := range cl.pools {
		is.True(slices.Equal(po.workers, want[service])) // the workers that take runs, in order
	}
}
