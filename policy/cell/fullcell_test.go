package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestNoStarvation submits a job that needs whole workers to a cell that a stream of small tasks keeps full. Such jobs
// starved as long as the stream lasted. Tasks of 2 s backfilled reserved capacity, since they would end before the
// reservation was complete, but each of them delayed that time, so it never came. Only gangs reserved capacity, single
// tasks never did, and steps with advice asked only about workers with free capacity.
//
// None of the six jobs began within 90 s with 99% of the processors in use; with 98% five ended within 21 s, but not
// the tasks with advice.
func TestNoStarvation(t *testing.T) {
	const (
		workers = 40
		// maxWait follows from the order: a step goes first once it is late by a minute.
		maxWait = 90 * time.Second
	)
	advised := work.Queue{Name: "one", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2, Target: time.Second, Advised: true,
		AdviceBase: 500 * time.Millisecond, AdviceEach: 5 * time.Millisecond}
	plain := advised
	plain.Advised = false
	tests := map[string]struct {
		queue work.Queue
		def   work.Step
	}{
		"gang":                {queue: plain, def: work.Step{Count: 8, Gang: true}},
		"gang with advice":    {queue: advised, def: work.Step{Count: 5, Gang: true}},
		"tasks":               {queue: plain, def: work.Step{Count: 8}},
		"tasks with advice":   {queue: advised, def: work.Step{Count: 5}},
		"one task per worker": {queue: plain, def: work.Step{Count: 8, PerWorker: 1}},
		"one task":            {queue: plain, def: work.Step{Count: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			small := stream{
				queue:    work.Queue{Name: "small", Service: "svc", Priority: 2, Attempts: 3, Stretch: 4, Target: 3 * time.Second},
				interval: 23 * time.Millisecond, tasks: 12, maxTasks: 40, cores: 2.6, memory: 1000, runTime: 2 * time.Second, estimateSpread: 0.2,
			}
			bd := newLoadTestbed(1, workers, 9, []stream{small, {queue: tt.queue, interval: time.Hour, allowedShare: 0.4, runTime: 3 * time.Second}})
			bd.nextArrival[1] = time.Hour // no jobs except the one below
			bd.advance(10*time.Second, true)
			tt.def.Need, tt.def.Estimate = size.New(workerCores, 1000, 0), 3*time.Second
			one := &simJob{stream: 1, arrivedAt: bd.now, runTime: 3 * time.Second, remaining: tt.def.Count, spec: &work.Job{
				ID: "one", Queue: tt.queue, Steps: []work.Step{tt.def},
			}}
			bd.jobs["one"] = one
			bd.arrivals = append(bd.arrivals, one)
			bd.cell.Add(bd.now, one.spec, false)
			for one.endedAt == 0 && bd.now-one.arrivedAt < maxWait {
				bd.advance(time.Second, true)
			}
			t.Logf("utilization %.2f; began after %s, ended after %s", bd.utilization(), one.startedAt-one.arrivedAt, one.endedAt-one.arrivedAt)
			phase, _ := bd.cell.Phase("one", "")
			is.Equal(phase, cell.Succeeded)
		})
	}
}
