package cell_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// Streams of burstStreams.
const (
	burstUrgent = iota
	burstLong
	burstGangs
	burstOthers
)

// burstStreams are the kinds of work of a deployment with many small urgent jobs beside long jobs and gangs, at load times
// the capacity of newBurstTestbed.
func burstStreams(load float64) []stream {
	every := func(perSecond float64) time.Duration {
		return time.Duration(float64(time.Second) / (perSecond * load))
	}
	queue := func(name string, priority int, stretch float64, target, base, each time.Duration) work.Queue {
		return work.Queue{
			Name: name, Service: "svc", Priority: priority, Attempts: 3, Stretch: stretch, Target: target, Advised: true,
			AdviceBase: base, AdviceEach: each,
		}
	}
	return []stream{
		burstUrgent: {
			queue:    queue("urgent", 0, 1.5, 250*time.Millisecond, 15600*time.Microsecond, 220*time.Microsecond),
			interval: every(61), tasks: 10, maxTasks: 60, cores: 11, memory: 33000, runTime: 560 * time.Millisecond,
			estimateSpread: 0.3, allowedShare: 0.6,
		},
		burstLong: {
			queue:    queue("long", 2, 4, 3*time.Second, 208*time.Millisecond, 3*time.Millisecond),
			interval: every(6), tasks: 22, maxTasks: 130, cores: 18, memory: 54000, runTime: 4500 * time.Millisecond,
			estimateSpread: 0.2, allowedShare: 0.5,
		},
		burstGangs: {
			queue:    queue("gangs", 1, 2.2, time.Second, 715*time.Millisecond, 10300*time.Microsecond),
			interval: every(3.3), tasks: 3, maxTasks: 12, cores: 62, memory: 100000, accelerators: []int64{2, 4, 8},
			runTime: 5600 * time.Millisecond, gang: true, estimateSpread: 0.3, allowedShare: 0.5,
		},
		burstOthers: {
			queue:    queue("others", 2, 4, 3*time.Second, 100*time.Millisecond, 1500*time.Microsecond),
			interval: every(3.8), tasks: 16, maxTasks: 100, cores: 11, memory: 33000, accelerators: []int64{1},
			runTime: 3 * time.Second, estimateSpread: 0.2, allowedShare: 0.5,
		},
	}
}

// burstTestbed is a cell on which urgent work has two bursts.
type burstTestbed struct {
	*loadTestbed
	load float64
}

// newBurstTestbed returns a cell with seven tenths of the workers of the deployment: long-running work has the others.
func newBurstTestbed(seed uint64, load float64, features feature.Set) *burstTestbed {
	const workers, large, nodes = 245, 69, 32
	bt := &burstTestbed{newLoadTestbed(seed, workers, nodes, burstStreams(load)), load}
	bt.capacity = size.New(64000, 262144, 0)
	for _, id := range bt.workers[:large] {
		bt.capacities[id] = size.New(128000, 262144, 8)
	}
	bt.features = features
	bt.replacePlanner()
	return bt
}

// burst advances the time while urgent work arrives at a multiple of its usual rate.
func (bt *burstTestbed) burst(span time.Duration, factor float64) {
	usual := bt.streams[burstUrgent].interval
	bt.streams[burstUrgent].interval = time.Duration(float64(usual) / factor)
	bt.advance(span, true)
	bt.streams[burstUrgent].interval = usual
}

// between returns the testbed with only the jobs that arrived within the given times.
func (bt *burstTestbed) between(from, to time.Duration) *loadTestbed {
	bd := *bt.loadTestbed
	bd.arrivals = nil
	for _, sj := range bt.arrivals {
		if sj.arrivedAt >= from && sj.arrivedAt < to {
			bd.arrivals = append(bd.arrivals, sj)
		}
	}
	return &bd
}

// firstStarts returns the median and the 90th percentile of the time to the first start of a stream's jobs. Jobs that
// have not started count as having waited until now.
func (bd *loadTestbed) firstStarts(stream int) (median, tail time.Duration) {
	var list []time.Duration
	for _, sj := range bd.arrivals {
		if sj.stream == stream {
			list = append(list, cmp.Or(sj.startedAt, bd.now)-sj.arrivedAt)
		}
	}
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*9/10]
}

// burstResult holds means over several simulations.
type burstResult struct {
	// urgent, long and gangs are the shares of jobs in time, urgentInBurst that of the urgent jobs of the second burst.
	urgent, long, gangs, urgentInBurst float64
}

// simulateBursts has urgent work arrive at 1.7 times its usual rate for 3 s and then at five times the rate for 2 s.
func simulateBursts(t *testing.T, load float64, seeds int, features feature.Set) burstResult {
	var rs burstResult
	var median, tail, burstMedian, burstTail, unused time.Duration
	urgentStarts := 0
	for seed := range seeds {
		bt := newBurstTestbed(uint64(seed), load, features)
		bt.advance(10*time.Second, true)
		bt.burst(3*time.Second, 1.7)
		bt.advance(5*time.Second, true)
		began := bt.now
		bt.burst(2*time.Second, 5)
		ended := bt.now
		bt.advance(5*time.Second, true)
		counted := bt.now
		bt.advance(20*time.Second, true) // until the long jobs that arrived before are past their objective
		all, burst := bt.between(4*time.Second, counted), bt.between(began, ended)
		share := func(bd *loadTestbed, stream int) float64 {
			onTime, _ := bd.onTimeShare(stream)
			return onTime / float64(seeds)
		}
		rs.urgent += share(all, burstUrgent)
		rs.long += share(all, burstLong)
		rs.gangs += share(all, burstGangs)
		rs.urgentInBurst += share(burst, burstUrgent)
		half, most := all.firstStarts(burstUrgent)
		median, tail = median+half/time.Duration(seeds), tail+most/time.Duration(seeds)
		half, most = burst.firstStarts(burstUrgent)
		burstMedian, burstTail = burstMedian+half/time.Duration(seeds), burstTail+most/time.Duration(seeds)
		for _, fc := range bt.cell.Headroom() {
			unused += fc.Unused() / time.Duration(seeds)
			urgentStarts += fc.UrgentStarts() / seeds
		}
	}
	t.Logf("load %v, features %q: in time: urgent %.3f, long %.3f, gangs %.3f, urgent in the burst %.3f; first start of urgent jobs "+
		"%v (median), %v (90th percentile), in the burst %v, %v; %.0f core-seconds unused, %d urgent starts on capacity kept",
		load, features, rs.urgent, rs.long, rs.gangs, rs.urgentInBurst, median.Round(time.Millisecond), tail.Round(time.Millisecond),
		burstMedian.Round(time.Millisecond), burstTail.Round(time.Millisecond), unused.Seconds(), urgentStarts)
	return rs
}

// TestHeadroomInBursts compares the jobs in time with and without headroom. It guards against headroom that does not help
// urgent jobs in a burst on a cell with capacity to spare on average, and against headroom that costs long jobs or gangs
// more than a few hundredths at any load.
func TestHeadroomInBursts(t *testing.T) {
	tests := map[string]struct {
		load  float64
		seeds int
		// minGain is the least gain of urgent jobs in the second burst, maxLoss the largest loss of each kind.
		minGain, maxLoss float64
		// measured loads are simulated only when the capacity is measured.
		measured bool
	}{
		"0.7 of the capacity": {load: 0.7, seeds: 8, minGain: 0.03, maxLoss: 0.01},
		"all of the capacity": {load: 1, seeds: 8, minGain: -0.03, maxLoss: 0.03},
		"overload of 1.5":     {load: 1.5, seeds: 4, minGain: -0.03, maxLoss: 0.03, measured: true},
		"overload of 2.5":     {load: 2.5, seeds: 2, minGain: -0.03, maxLoss: 0.03, measured: true},
		"overload of 5":       {load: 5, seeds: 1, minGain: -0.03, maxLoss: 0.03, measured: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if tt.measured && os.Getenv("TACKBEAM_CAPACITY") == "" {
				t.Skip("set TACKBEAM_CAPACITY=1")
			}
			is := is.New(t)
			without := simulateBursts(t, tt.load, tt.seeds, 0)
			with := simulateBursts(t, tt.load, tt.seeds, feature.UrgentHeadroom)
			is.True(with.urgentInBurst-without.urgentInBurst >= tt.minGain)
			is.True(without.urgent-with.urgent <= tt.maxLoss)
			is.True(without.long-with.long <= tt.maxLoss)
			is.True(without.gangs-with.gangs <= tt.maxLoss)
		})
	}
}

// TestHeadroomAfterTakeover replaces the planner while headroom is kept. It guards against a planner that takes the work
// that it inherits for arrivals, or keeps capacity by a history of a few bins.
func TestHeadroomAfterTakeover(t *testing.T) {
	is := is.New(t)
	bt := newBurstTestbed(1, 0.7, feature.UrgentHeadroom)
	bt.advance(5*time.Second, true)
	is.True(!bt.cell.Headroom()["svc"].Kept().IsZero())
	bt.replacePlanner()
	for range 195 { // 1.95 s
		bt.advance(timeStep, true)
		fc := bt.cell.Headroom()["svc"]
		is.True(fc.Kept().IsZero())
		is.Equal(fc.DeferredSteps(), 0)
	}
	bt.advance(time.Second, true)
	is.True(!bt.cell.Headroom()["svc"].Kept().IsZero())
}

// TestHeadroomWithLostWorkers loses a tenth of the workers while headroom is kept and urgent work keeps arriving. It
// guards against headroom that is sized for the workers before the loss, and blocks deferrable work for good.
func TestHeadroomWithLostWorkers(t *testing.T) {
	is := is.New(t)
	bt := newBurstTestbed(1, 0.7, feature.UrgentHeadroom)
	bt.advance(5*time.Second, true)
	bt.lostWorkers = map[incarnation.ID]bool{}
	for n, id := range bt.workers {
		if n%10 == 0 {
			bt.lostWorkers[id] = true
			bt.cell.Unreachable(bt.now, id, bt.now+workerLease)
		}
	}
	var left int64
	for _, id := range bt.workers {
		if !bt.lostWorkers[id] {
			left += bt.capacityOf(id).Processors()
		}
	}
	bt.advance(workerLease, true)
	for id := range bt.lostWorkers {
		bt.cell.LeaseExpired(bt.now, id)
	}
	lostBy := bt.now
	bt.burst(3*time.Second, 1.7)
	is.True(!bt.cell.Headroom()["svc"].Kept().IsZero())
	is.True(float64(bt.cell.Headroom()["svc"].Kept().Processors()) <= 0.15*float64(left))
	bt.advance(20*time.Second, true)
	for _, sj := range bt.between(lostBy, lostBy+8*time.Second).arrivals {
		if sj.stream == burstLong || sj.stream == burstOthers {
			is.True(sj.startedAt > 0) // a deferrable job has waited for at least 15 s
		}
	}
}

// TestDeferrableStepsLeaveHeadroom has urgent work arrive on a cell of four workers, and then a deferrable step that could
// take all of it. It guards against deferred steps that take the headroom, that do not tell what they wait for, or that
// wait after they have no more time to spare or urgent work has stopped arriving.
func TestDeferrableStepsLeaveHeadroom(t *testing.T) {
	whole, quarter := size.New(64000, 100, 0), size.New(16000, 25, 0)
	tests := map[string]struct {
		stretch  float64
		def      work.Step
		quiet    time.Duration
		features feature.Set
		starts   int
		reason   cell.WaitReason
	}{
		"much slack":     {stretch: 30, def: work.Step{Count: 8, Need: whole}, features: feature.UrgentHeadroom, starts: 7, reason: cell.WaitHeadroom},
		"without":        {stretch: 30, def: work.Step{Count: 8, Need: whole}, starts: 8},
		"little slack":   {stretch: 3, def: work.Step{Count: 8, Need: whole}, features: feature.UrgentHeadroom, starts: 8},
		"long-running":   {stretch: 30, def: work.Step{Count: 8, Need: whole, LongRunning: true}, features: feature.UrgentHeadroom, starts: 8},
		"gang":           {stretch: 30, def: work.Step{Count: 8, Need: whole, Gang: true}, features: feature.UrgentHeadroom, starts: 0, reason: cell.WaitHeadroom},
		"no urgent work": {stretch: 30, def: work.Step{Count: 8, Need: whole}, quiet: 2 * time.Second, features: feature.UrgentHeadroom, starts: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const workers = 8
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, Features: tt.features})
			for n := range workers {
				id := incarnation.ID(fmt.Sprintf("w%03d", n))
				cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: whole})
				cl.Report(0, id, 0, nil, nil)
			}
			cl.SetCommitted(cl.RecordCount())
			cl.FinishRecovery()
			cl.Plan(0)
			urgent := work.Queue{Name: "u", Service: "svc", Attempts: 3, Stretch: 1.5}
			now, seq := time.Duration(0), 0
			for ; now < 3*time.Second; now += 200 * time.Millisecond {
				cl.Add(now, &work.Job{ID: now.String(), Spec: "s", Queue: urgent, Steps: []work.Step{{Count: 4, Need: quarter, Estimate: 100 * time.Millisecond}}}, false)
				cl.Plan(now)
				for _, sr := range cl.TakeOutput().Starts {
					cl.Started(now, sr)
					seq++
					cl.Report(now+100*time.Millisecond, sr.Worker, now, nil, []cell.End{{Seq: seq, Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultDone}})
				}
			}
			now += tt.quiet
			for n := range workers {
				cl.Report(now, incarnation.ID(fmt.Sprintf("w%03d", n)), now, nil, nil)
			}
			tt.def.Estimate = time.Second
			deferrable := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 2, Stretch: tt.stretch}
			cl.Add(now, &work.Job{ID: "job", Spec: "s", Queue: deferrable, Steps: []work.Step{tt.def}}, false)
			cl.Plan(now)
			is.Equal(len(cl.TakeOutput().Starts), tt.starts)
			var reason cell.WaitReason
			if list := cl.LongestWaiting(now, 0, 9); len(list) > 0 {
				reason = list[0].WaitsFor.Reason
			}
			is.Equal(reason, tt.reason)
		})
	}
}
