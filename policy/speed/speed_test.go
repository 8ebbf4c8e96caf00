package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/speed"
)

// fleet is a number of workers that run steps of equal tasks.
type fleet struct {
	rng    *rand.Rand
	now    time.Duration
	model  *speed.Model
	speeds []float64
	// tasks is the number of tasks of a step, perWorker how many of them one worker takes.
	tasks, perWorker int
	// spread is the standard deviation of the logarithm of the run times within a step.
	spread float64
}

const (
	// jobSpread and estimateSpread are the standard deviations of the logarithms of run times and estimates.
	jobSpread, estimateSpread = 0.47, 0.35
	// tailShare is the share of tasks that take tailFactor times as long.
	tailShare, tailFactor = 0.03, 7
	meanRunTime           = 0.6
)

func newFleet(seed uint64, tasks, perWorker int, speeds []float64) *fleet {
	return &fleet{rng: rand.New(rand.NewPCG(seed, 3)), model: speed.New(), speeds: speeds, tasks: tasks, perWorker: perWorker, spread: 0.1}
}

func workerID(n int) incarnation.ID { return incarnation.ID(fmt.Sprintf("w%03d", n)) }

// runStep runs a step on random workers. Its tasks end in the order of their run times.
func (ft *fleet) runStep(interval time.Duration) {
	ft.now += interval
	estimate := meanRunTime * math.Exp(jobSpread*ft.rng.NormFloat64())
	work := estimate * math.Exp(estimateSpread*ft.rng.NormFloat64())
	ends := map[time.Duration]incarnation.ID{}
	var times []time.Duration
	for first := 0; first < ft.tasks; first += ft.perWorker {
		n := ft.rng.IntN(len(ft.speeds))
		for range min(ft.perWorker, ft.tasks-first) {
			took := work / ft.speeds[n] * math.Exp(ft.spread*ft.rng.NormFloat64())
			if ft.rng.Float64() < tailShare {
				took *= tailFactor
			}
			span := time.Duration(took * float64(time.Second))
			ends[span] = workerID(n)
			times = append(times, span)
		}
	}
	ft.observe(estimate, ends, times)
}

// observe feeds the ends of a step's tasks to the model, in the order of their run times.
func (ft *fleet) observe(estimate float64, ends map[time.Duration]incarnation.ID, times []time.Duration) {
	slices.Sort(times)
	var gp speed.Group
	for at, took := range times {
		gp.Add(ends[took], took)
		ft.model.Observe(ft.now, &gp, time.Duration(estimate*float64(time.Second)), len(times)-at-1)
	}
	ft.model.Refresh(ft.now)
}

// slowShares returns the shares of the workers below a speed, and of the others, that the model calls slow.
func (ft *fleet) slowShares(below float64) (slow, sound float64) {
	var slowCount, soundCount, found, wrong float64
	for n, value := range ft.speeds {
		called := 0.0
		if ft.model.Slow(workerID(n)) {
			called = 1
		}
		if value < below {
			slowCount++
			found += called
		} else {
			soundCount++
			wrong += called
		}
	}
	return found / max(slowCount, 1), wrong / max(soundCount, 1)
}

// TestFastWorkers guards against fast workers that are not recognized, and others that are called fast: urgent jobs
// would use them first, and long jobs avoid them, for nothing.
func TestFastWorkers(t *testing.T) {
	const fast, usual = 1 / 0.55, 1 / 1.2
	tests := map[string]struct {
		share, spread, minFound float64
	}{
		"a quarter is fast":               {share: 0.25, spread: 0.1, minFound: 0.95},
		"a quarter is fast, tasks differ": {share: 0.25, spread: 0.4, minFound: 0.9},
		"none is fast":                    {spread: 0.1},
		"none is fast, tasks differ":      {spread: 0.4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const tasks, perWorker, workersPerSecond, maxWrong = 15, 3, 160, 0.02
			ft := newFleet(1, tasks, perWorker, mixedSpeeds(tt.share, fast, usual))
			ft.spread = tt.spread
			worst, found := 0.0, 0.0
			for ft.now < 30*time.Second {
				ft.runStep(time.Second * tasks / perWorker / workersPerSecond)
				var wrong float64
				found, wrong = ft.fastShares(1)
				worst = max(worst, wrong)
			}
			t.Logf("%.3f of the fast workers known; at most %.4f of the others called fast", found, worst)
			is.True(worst <= maxWrong)
			is.True(found >= tt.minFound)
		})
	}
}

// fastShares returns the shares of the workers above a speed, and of the others, that the model calls fast.
func (ft *fleet) fastShares(above float64) (fast, others float64) {
	var counts, called [2]float64
	for n, value := range ft.speeds {
		at := 0
		if value > above {
			at = 1
		}
		counts[at]++
		if ft.model.Fast(workerID(n)) {
			called[at]++
		}
	}
	return called[1] / max(counts[1], 1), called[0] / max(counts[0], 1)
}

// mixedSpeeds returns the speeds of 350 workers, a share of which have the first speed.
func mixedSpeeds(share, first, others float64) []float64 {
	const workers = 350
	list := make([]float64, workers)
	for n := range list {
		list[n] = others
		if float64(n) < share*workers {
			list[n] = first
		}
	}
	return list
}

// TestClassification guards against two failures: slow workers that are not recognized, and sound workers that are
// avoided because tasks that ran on them were long by themselves. The load is that of urgent jobs on 350 workers, on
// which the run times of jobs differ by a factor of 2 and three tasks in a hundred take seven times as long.
func TestClassification(t *testing.T) {
	const workersPerSecond = 160 // on which steps run
	tests := map[string]struct {
		speeds           []float64
		tasks, perWorker int
		spread           float64
		// below is the speed under which workers are slow, maxWrong the allowed share of wrong classifications at any
		// time, minFound the share of slow workers that must be known at the end.
		below, maxWrong, minFound float64
	}{
		"a quarter is slow":                      {speeds: mixedSpeeds(0.25, 0.55, 1.2), tasks: 15, perWorker: 5, spread: 0.1, below: 0.6, maxWrong: 0.02, minFound: 0.95},
		"a quarter is slow, tasks differ":        {speeds: mixedSpeeds(0.25, 0.55, 1.2), tasks: 15, perWorker: 3, spread: 0.4, below: 0.6, maxWrong: 0.02, minFound: 0.9},
		"a quarter is slow, steps of one task":   {speeds: mixedSpeeds(0.25, 0.55, 1.2), tasks: 1, perWorker: 1, spread: 0.1, below: 0.6, maxWrong: 0.02, minFound: 0.7},
		"a quarter is slow, steps on one worker": {speeds: mixedSpeeds(0.25, 0.55, 1.2), tasks: 5, perWorker: 5, spread: 0.1, below: 0.6, maxWrong: 0.02, minFound: 0.7},
		"a third is fast":                        {speeds: mixedSpeeds(0.33, 1.3, 1), tasks: 15, perWorker: 5, spread: 0.1, maxWrong: 0.02},
		"a third is fast, tasks differ":          {speeds: mixedSpeeds(0.33, 1.3, 1), tasks: 15, perWorker: 3, spread: 0.4, maxWrong: 0.02},
		"none is slow":                           {speeds: mixedSpeeds(0, 1, 1), tasks: 15, perWorker: 5, spread: 0.1, maxWrong: 0.02},
		"none is slow, tasks differ":             {speeds: mixedSpeeds(0, 1, 1), tasks: 15, perWorker: 3, spread: 0.4, maxWrong: 0.02},
		"none is slow, steps of one task":        {speeds: mixedSpeeds(0, 1, 1), tasks: 1, perWorker: 1, spread: 0.1, maxWrong: 0.02},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ft := newFleet(1, tt.tasks, tt.perWorker, tt.speeds)
			ft.spread = tt.spread
			interval := time.Second * time.Duration((tt.tasks+tt.perWorker-1)/tt.perWorker) / workersPerSecond
			worst := 0.0
			for second := 1; second <= 120; second++ {
				for end := ft.now + time.Second; ft.now < end; {
					ft.runStep(interval)
					_, wrong := ft.slowShares(tt.below)
					worst = max(worst, wrong)
				}
				if second == 5 || second == 10 || second == 20 {
					found, _ := ft.slowShares(tt.below)
					t.Logf("after %d s: %.3f of the slow workers known", second, found)
				}
			}
			found, _ := ft.slowShares(tt.below)
			t.Logf("at the end %.3f of the slow workers known; at most %.4f of the others called slow", found, worst)
			is.True(worst <= tt.maxWrong)
			is.True(found >= tt.minFound)
		})
	}
}

// TestRunsUntilSlow guards against a model that needs so many runs that a new planner avoids slow workers only after
// minutes. Each task of a step runs on another worker of a fleet of which a quarter is slow.
func TestRunsUntilSlow(t *testing.T) {
	tests := map[string]struct{ tasks, maxMedian, maxMost int }{
		"steps of 15 tasks": {tasks: 15, maxMedian: 5, maxMost: 6},
		"steps of 5 tasks":  {tasks: 5, maxMedian: 5, maxMost: 8},
		"steps of 2 tasks":  {tasks: 2, maxMedian: 8, maxMost: 12},
		"steps of one task": {tasks: 1, maxMedian: 8, maxMost: 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const runs = 9000
			ft := newFleet(1, tt.tasks, 1, mixedSpeeds(0.25, 0.55, 1.2))
			var counts []int
			known := map[incarnation.ID]bool{}
			for range runs / tt.tasks {
				ft.runStep(time.Duration(tt.tasks) * time.Millisecond)
				for _, id := range ft.model.TakeChanges() {
					if _, count := ft.model.Speed(ft.now, id); !known[id] && ft.model.Slow(id) {
						counts, known[id] = append(counts, count), true
					}
				}
			}
			slices.Sort(counts)
			median, most := counts[len(counts)/2], counts[len(counts)*9/10]
			t.Logf("runs until a worker is called slow: median %d, nine tenths within %d", median, most)
			is.True(median <= tt.maxMedian)
			is.True(most <= tt.maxMost)
		})
	}
}

// TestChangedSpeed guards against a worker that is avoided long after it has become as fast as the others, and against
// one that is never tried again because it is avoided.
func TestChangedSpeed(t *testing.T) {
	tests := map[string]struct {
		runsAgain bool
		within    time.Duration
	}{
		"used, two runs a second": {runsAgain: true, within: 10 * time.Second},
		"not used":                {within: 2 * time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			md, now := speed.New(), time.Duration(0)
			runStep := func(took time.Duration) {
				var gp speed.Group
				for n := range 4 {
					gp.Add(workerID(n+1), time.Second)
				}
				if took > 0 {
					gp.Add(workerID(0), took)
				}
				md.Observe(now, &gp, time.Second, 0)
				md.Refresh(now)
				now += 500 * time.Millisecond
			}
			for range 40 {
				runStep(2 * time.Second)
			}
			is.True(md.Slow(workerID(0)))
			began := now
			for md.Slow(workerID(0)) && now-began < tt.within {
				if tt.runsAgain {
					runStep(time.Second)
				} else {
					runStep(0)
				}
			}
			t.Logf("not slow any more after %v", now-began)
			is.True(!md.Slow(workerID(0)))
		})
	}
}

// TestForget guards against speeds of removed workers that count towards the median or stay in memory.
func TestForget(t *testing.T) {
	is := is.New(t)
	md := speed.New()
	for range 10 {
		var gp speed.Group
		gp.Add("slow", 3*time.Second)
		gp.Add("w1", time.Second)
		gp.Add("w2", time.Second)
		md.Observe(0, &gp, time.Second, 0)
	}
	is.True(md.Slow("slow"))
	md.Forget("slow")
	is.True(!md.Slow("slow"))
	relative, runs := md.Speed(0, "slow")
	is.Equal(relative, 1.0)
	is.Equal(runs, 0)
}

// TestLargeStep guards against a step whose many run times take memory or time in proportion to their square, and
// against one whose last tasks are not compared.
func TestLargeStep(t *testing.T) {
	is := is.New(t)
	md := speed.New()
	var gp speed.Group
	const tasks = 2000
	for n := range tasks {
		took := time.Second
		if n >= tasks-20 {
			took = 2 * time.Second
			gp.Add("slow", took)
		} else {
			gp.Add(workerID(n%100), took)
		}
		md.Observe(0, &gp, time.Second, tasks-n-1)
	}
	is.True(md.Slow("slow"))
	is.True(!md.Slow(workerID(0)))
}

// ExampleModel shows how a worker on which tasks take twice as long is recognized.
func ExampleModel() {
	md := speed.New()
	for n := range 8 {
		now := time.Duration(n) * time.Second
		var gp speed.Group
		gp.Add("a", time.Second)
		gp.Add("b", time.Second)
		gp.Add("c", 2*time.Second)
		md.Observe(now, &gp, time.Second, 0)
		md.Refresh(now)
	}
	fmt.Println(md.Slow("a"), md.Slow("c"))
	// Output: false true
}
