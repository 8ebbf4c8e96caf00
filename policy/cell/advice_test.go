package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestGangAsksAboutFreeWorkers checks that a gang whose allowed workers are all full asks about free workers that
// it has not asked about before.
func TestGangAsksAboutFreeWorkers(t *testing.T) {
	is := is.New(t)
	const workers = 40
	cl := newTestCell(workers)
	whole := size.New(64000, 100, 0)
	submitStep(cl, "gang", work.Step{Count: 2, Gang: true, Need: whole}, work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1})
	cl.Plan(0)
	requests := cl.TakeOutput().AdviceRequests
	is.Equal(len(requests), 1)
	asked := map[incarnation.ID]bool{}
	var rows []cell.Ticket
	for _, id := range requests[0].Workers {
		asked[id] = true
		rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
	}
	cl.AddAdvice(0, requests[0], rows, 0) // allowed, but the tickets have expired
	for n := range workers {
		if id := incarnation.ID(fmt.Sprintf("w%03d", n)); asked[id] {
			// a run of another job that fills the worker
			submitStep(cl, "job"+string(id), work.Step{Count: 1, Need: whole, Estimate: time.Minute}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
			cl.Report(0, id, 0, []cell.Run{{Task: work.Task{Job: "job" + string(id)}, Number: 1}}, nil)
		}
	}
	cl.Plan(time.Second)
	requests = cl.TakeOutput().AdviceRequests
	is.Equal(len(requests), 1)
	for _, id := range requests[0].Workers {
		is.True(!asked[id])
	}
}

// TestReservationTakesCapacityFreedSoonest has two workers, each with one task that ends soon and one that does
// not. A gang waits for the capacity of the two that end soon, and tasks with slack do not take it meanwhile.
func TestReservationTakesCapacityFreedSoonest(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(2)
	half := size.New(30000, 100, 0)
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	deferrable := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 2, Stretch: 9}
	submitStep(cl, "soon", work.Step{Count: 2, Need: half, PerWorker: 1, Estimate: time.Second}, plain)
	submitStep(cl, "late", work.Step{Count: 2, Need: half, PerWorker: 1, Estimate: time.Minute}, plain)
	cl.Plan(0)
	running := cl.TakeOutput().Starts
	is.Equal(len(running), 4)
	for _, sr := range running {
		cl.Started(0, sr)
	}
	submitStep(cl, "gang", work.Step{Count: 2, Gang: true, Need: half, Estimate: time.Second}, plain)
	submitStep(cl, "patient", work.Step{Count: 9, Need: half, Estimate: time.Second}, deferrable)
	// The short tasks end one after the other.
	now := time.Second
	for _, sr := range running {
		if sr.Task.Job != "soon" {
			continue
		}
		cl.Plan(now)
		is.Equal(len(cl.TakeOutput().Starts), 0)
		now += 100 * time.Millisecond
		var remaining []cell.Run
		for _, other := range running {
			if other.Worker == sr.Worker && other.Task != sr.Task {
				remaining = append(remaining, cell.Run{Task: other.Task, Number: other.Run, Percent: 1})
			}
		}
		cl.Report(now, sr.Worker, now, remaining, []cell.End{{Seq: 1, Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultDone}})
	}
	cl.Plan(now)
	for _, sr := range cl.TakeOutput().Starts {
		is.Equal(sr.Task.Job, "gang")
	}
	is.Equal(cl.LongestWaiting(now, 0, 9)[0].Step.Job, "patient")
}

// TestRequestSize checks how many workers an advice request for one task names: a small minimum, or as many as take
// half of the fixed time that each request costs.
func TestRequestSize(t *testing.T) {
	tests := map[string]struct {
		base, each time.Duration
		want       int
	}{
		"no cost":          {want: 5},
		"cheap request":    {base: 5 * time.Millisecond, each: time.Millisecond, want: 5},
		"costly request":   {base: 540 * time.Millisecond, each: 9 * time.Millisecond, want: 30},
		"costly, few each": {base: time.Second, each: time.Millisecond, want: 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newTestCell(200)
			submitStep(cl, "job", work.Step{Count: 1, Need: size.New(1000, 100, 0)}, work.Queue{
				Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, AdviceBase: tt.base, AdviceEach: tt.each,
			})
			cl.Plan(0)
			requests := cl.TakeOutput().AdviceRequests
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Workers), tt.want)
		})
	}
}
