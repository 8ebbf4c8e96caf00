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

// TestGangAsksWhereRoomIs has a gang know enough allowed workers, all of them full,
// while others that it never asked about are free: it asks about these.
func TestGangAsksWhereRoomIs(t *testing.T) {
	is := is.New(t)
	const workers = 40
	cl := crowd(workers)
	whole := size.New(64000, 100, 0)
	submit(cl, "gang", work.Step{Count: 2, Gang: true, Need: whole}, work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1})
	cl.Plan(0)
	questions := cl.TakeOutput().AdviceRequests
	is.Equal(len(questions), 1)
	asked := map[incarnation.ID]bool{}
	var rows []cell.Ticket
	for _, id := range questions[0].Workers {
		asked[id] = true
		rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
	}
	cl.AddAdvice(0, questions[0], rows, 0) // allowed, but the tickets are over
	for n := range workers {
		if id := incarnation.ID(fmt.Sprintf("w%03d", n)); asked[id] {
			// a run of another job that the worker had already
			submit(cl, "job"+string(id), work.Step{Count: 1, Need: whole, Estimate: time.Minute}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
			cl.Report(0, id, 0, []cell.Run{{Task: work.Task{Job: "job" + string(id)}, Number: 1}}, nil)
		}
	}
	cl.Plan(time.Second)
	questions = cl.TakeOutput().AdviceRequests
	is.Equal(len(questions), 1)
	for _, id := range questions[0].Workers {
		is.True(!asked[id])
	}
}

// TestClaimTakesWhatEndsSoonest has two workers with one task each that ends soon and
// one that does not. A gang waits for the two that end soon, and tasks with time to
// spare do not take their room meanwhile.
func TestClaimTakesWhatEndsSoonest(t *testing.T) {
	is := is.New(t)
	cl := crowd(2)
	half := size.New(30000, 100, 0)
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 2, Stretch: 9}
	submit(cl, "soon", work.Step{Count: 2, Need: half, PerWorker: 1, Estimate: time.Second}, plain)
	submit(cl, "late", work.Step{Count: 2, Need: half, PerWorker: 1, Estimate: time.Minute}, plain)
	cl.Plan(0)
	running := cl.TakeOutput().Starts
	is.Equal(len(running), 4)
	for _, sr := range running {
		cl.Started(0, sr)
	}
	submit(cl, "gang", work.Step{Count: 2, Gang: true, Need: half, Estimate: time.Second}, plain)
	submit(cl, "patient", work.Step{Count: 9, Need: half, Estimate: time.Second}, patient)
	// The tasks that end soon do so one after the other.
	now := time.Second
	for _, sr := range running {
		if sr.Task.Job != "soon" {
			continue
		}
		cl.Plan(now)
		is.Equal(len(cl.TakeOutput().Starts), 0)
		now += 100 * time.Millisecond
		var still []cell.Run
		for _, other := range running {
			if other.Worker == sr.Worker && other.Task != sr.Task {
				still = append(still, cell.Run{Task: other.Task, Number: other.Run, Percent: 1})
			}
		}
		cl.Report(now, sr.Worker, now, still, []cell.End{{Seq: 1, Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultDone}})
	}
	cl.Plan(now)
	for _, sr := range cl.TakeOutput().Starts {
		is.Equal(sr.Task.Job, "gang")
	}
	is.Equal(cl.LongestWaiting(now, 0, 9)[0].Step.Job, "patient")
}

// TestQuestionsAreWorthTheirTime checks how many workers a question for one task names:
// a few, or as many as take half of the time that each question takes anyway.
func TestQuestionsAreWorthTheirTime(t *testing.T) {
	tests := map[string]struct {
		base, each time.Duration
		want       int
	}{
		"no cost":          {want: 5},
		"cheap question":   {base: 5 * time.Millisecond, each: time.Millisecond, want: 5},
		"costly question":  {base: 540 * time.Millisecond, each: 9 * time.Millisecond, want: 30},
		"costly, few each": {base: time.Second, each: time.Millisecond, want: 100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := crowd(200)
			submit(cl, "job", work.Step{Count: 1, Need: size.New(1000, 100, 0)}, work.Queue{
				Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, AdviceBase: tt.base, AdviceEach: tt.each,
			})
			cl.Plan(0)
			questions := cl.TakeOutput().AdviceRequests
			is.Equal(len(questions), 1)
			is.Equal(len(questions[0].Workers), tt.want)
		})
	}
}
