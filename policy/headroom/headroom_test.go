package headroom_test

import (
	"fmt"
	"iter"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/headroom"
	"tackbeam.example/policy/size"
)

// task is what an urgent task needs in these tests, worker what a worker has.
var (
	task   = size.New(10000, 1000, 0)
	worker = size.New(64000, 128000, 8)
)

// workers yields a number of idle workers.
func workers(count int) iter.Seq2[size.Size, size.Size] {
	return func(yield func(capacity, free size.Size) bool) {
		for range count {
			if !yield(worker, worker) {
				return
			}
		}
	}
}

// TestExpected checks the forecast for arrivals at the given rates in bins of 100 ms. It guards against headroom that is
// kept too early, too long, or for demand that releases cover, and against a burst that the mean over 10 s hides.
func TestExpected(t *testing.T) {
	const bin = 100 * time.Millisecond
	tests := map[string]struct {
		// tasks arrive in each bin from begin to end; each is released after a while.
		tasks, bins, releasedAfter int
		// burst more tasks arrive in each of the last five bins and are not released.
		burst    int
		quiet    time.Duration
		min, max int64 // in tasks
	}{
		"no arrivals":              {bins: 30},
		"shorter than 2 s":         {tasks: 5, bins: 19, releasedAfter: 6},
		"steady, released":         {tasks: 5, bins: 200, releasedAfter: 1},
		"steady, not released":     {tasks: 5, bins: 200, releasedAfter: 1000, min: 25, max: 25},
		"burst":                    {tasks: 5, bins: 200, releasedAfter: 1, burst: 10, min: 25, max: 60},
		"quiet for less than 2 s":  {tasks: 5, bins: 200, releasedAfter: 1, burst: 10, quiet: 1800 * time.Millisecond, min: 1, max: 60},
		"quiet for 2 s":            {tasks: 5, bins: 200, releasedAfter: 1, burst: 10, quiet: 2 * time.Second},
		"quiet for an hour":        {tasks: 5, bins: 200, releasedAfter: 1, burst: 10, quiet: time.Hour},
		"young history":            {tasks: 5, bins: 25, releasedAfter: 1000, min: 25, max: 27},
		"more releases than usual": {tasks: 1, bins: 200, releasedAfter: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := 7 * time.Minute
			fc := headroom.New(now)
			for n := range tt.bins {
				now += bin
				if tt.tasks > 0 {
					fc.Arrived(now, task, tt.tasks)
				}
				if n >= tt.releasedAfter {
					fc.Released(now, task, tt.tasks)
				}
				if n >= tt.bins-5 {
					fc.Arrived(now, task, tt.burst)
				}
			}
			now += tt.quiet
			if tt.quiet == 0 && tt.bins > 20 {
				now += bin
			}
			got := fc.Expected(now).Processors()
			t.Logf("%.1f tasks expected", float64(got)/float64(task.Processors()))
			is.True(got >= tt.min*task.Processors())
			is.True(got <= tt.max*task.Processors())
		})
	}
}

// newBusy returns a forecast in which urgent work of the given number of tasks arrives in every bin and is not released.
func newBusy(tasks int) (fc *headroom.Forecast, now time.Duration) {
	fc = headroom.New(0)
	for ; now < 3*time.Second; now += 100 * time.Millisecond {
		fc.Arrived(now, task, tasks)
	}
	return fc, now
}

// TestBound checks that at most 0.15 of the capacity is kept. It guards against a burst that takes the service from all other
// work.
func TestBound(t *testing.T) {
	is := is.New(t)
	for count := range 60 {
		fc, now := newBusy(1000)
		fc.Update(now, workers(count))
		kept, limit := fc.Kept(), worker.Times(int64(count))
		is.True(kept.Processors() <= limit.Processors()*15/100)
		is.True(kept.Processors() > limit.Processors()*15/100-task.Processors()) // less than a task below the bound
	}
}

// TestAllows has deferrable tasks start while five urgent tasks are expected in half a second. It guards against free
// capacity that is counted though no urgent task fits into it, and against deferring tasks that take only such capacity.
func TestAllows(t *testing.T) {
	const pool = 6 // 36 urgent tasks, 5 of which are the most that may be kept
	tests := map[string]struct {
		free, need size.Size
		started    int // tasks that each fill a worker
		want       bool
	}{
		"room for all":              {free: worker, need: task, want: true},
		"last beyond what is kept":  {free: worker, need: task, started: 5, want: true},
		"two beyond":                {free: worker, need: task.Times(2), started: 5, want: false},
		"nothing beyond":            {free: worker, need: task, started: 6, want: false},
		"remainder":                 {free: size.New(9000, 128000, 0), need: size.New(9000, 100, 0), started: 6, want: true},
		"remainder of the worker":   {free: size.New(64000, 128000, 0), need: size.New(4000, 100, 0), started: 6, want: true},
		"memory, which is abundant": {free: worker, need: size.New(0, 50000, 0), started: 6, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fc, now := newBusy(1)
			fc.Update(now, workers(pool))
			is.Equal(fc.Kept(), task.Times(5))
			for range tt.started {
				fc.Started(false, worker, worker)
			}
			is.Equal(fc.Allows(fc.Loss(tt.free, tt.need)), tt.want)
		})
	}
}

// TestRelease guards against deferrable tasks that wait though nothing is kept any more.
func TestRelease(t *testing.T) {
	is := is.New(t)
	fc, now := newBusy(1)
	fc.Update(now, workers(6))
	for range 6 {
		fc.Started(false, worker, worker)
	}
	is.True(!fc.Allows(fc.Loss(worker, task)))
	fc.Update(now+2*time.Second, workers(6))
	is.True(fc.Kept().IsZero())
	is.True(fc.Allows(fc.Loss(worker, task)))
	is.True(!fc.Exhausted(task))
}

// TestExhausted guards against steps that request advice though none of their tasks may start, and against deferring steps
// whose tasks may fit beside the headroom.
func TestExhausted(t *testing.T) {
	is := is.New(t)
	fc, now := newBusy(1)
	is.True(!fc.Exhausted(task)) // no plan yet
	fc.Update(now, workers(6))
	is.True(!fc.Exhausted(task))
	for range 6 {
		fc.Started(false, worker, worker)
	}
	is.True(fc.Exhausted(task))
	is.True(!fc.Exhausted(size.New(9000, 100, 0)))
}

// TestUse guards against counts by which operators could not tell what headroom costs and whether it is used.
func TestUse(t *testing.T) {
	is := is.New(t)
	fc, now := newBusy(1)
	fc.Update(now, workers(6))
	for range 5 {
		fc.Started(false, worker, worker)
	}
	fc.Deferred(task, 3)
	is.Equal(fc.DeferredSteps(), 1)
	is.Equal(fc.Reserved(), task.Times(5))
	now += time.Second / 10
	fc.Update(now, workers(6))
	is.Equal(fc.Unused(), 3*time.Second) // 30 cores for 0.1 s
	fc.Started(true, worker, task)
	is.Equal(fc.UrgentStarts(), 1)
	fc.Update(now, workers(6))
	fc.Started(true, worker, task)
	is.Equal(fc.UrgentStarts(), 1) // nothing was deferred
}

func ExampleForecast() {
	fc := headroom.New(0)
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 100 * time.Millisecond {
		fc.Arrived(now, size.New(8000, 1000, 0), 2) // none of these tasks ends
	}
	fc.Update(now, func(yield func(capacity, free size.Size) bool) {
		for range 100 {
			yield(size.New(64000, 128000, 0), size.New(1000, 128000, 0))
		}
		yield(size.New(64000, 128000, 0), size.New(64000, 128000, 0))
	})
	fmt.Println(fc.Kept())
	free, need := size.New(64000, 128000, 0), size.New(16000, 2000, 0)
	fmt.Println(fc.Allows(fc.Loss(free, need)))
	// Output:
	// 80 cores, 10000 MiB, 0 accelerators
	// false
}

// BenchmarkUpdate measures what the headroom of a service with 350 workers adds to a plan.
func BenchmarkUpdate(b *testing.B) {
	fc, now := newBusy(5)
	for b.Loop() {
		now += time.Millisecond
		fc.Arrived(now, task, 1)
		fc.Update(now, workers(350))
	}
}
