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

// crowd is a cell of many workers.
func crowd(workers int) *cell.Cell {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	for n := range workers {
		id := incarnation.ID(fmt.Sprintf("w%03d", n))
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
		cl.Report(0, id, 0, nil, nil)
	}
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	return cl
}

func submit(cl *cell.Cell, id string, step work.Step, qu work.Queue) {
	cl.Add(0, &work.Job{ID: id, Spec: "s", Queue: qu, Steps: []work.Step{step}}, false)
}

// answer allows each second worker of each question.
func answer(cl *cell.Cell, out cell.Output) {
	for _, qn := range out.AdviceRequests {
		var rows []cell.Ticket
		for _, id := range qn.Workers {
			if (int(id[len(id)-1])+len(qn.Step.Job))%2 == 0 {
				rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
			}
		}
		cl.AddAdvice(0, qn, rows, time.Minute)
	}
}

// TestEffort checks that planning does not look at every worker for every step: a
// planner that falls behind gets more steps to plan, and never catches up.
func TestEffort(t *testing.T) {
	const workers, jobs, rounds = 350, 400, 20
	advised := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1}
	tests := map[string]struct {
		full bool
		def  work.Step
		qu   work.Queue
		most int
	}{
		"tasks with room":      {def: work.Step{Count: 3, Need: size.New(1000, 100, 0)}, qu: advised, most: 60},
		"tasks without room":   {full: true, def: work.Step{Count: 3, Need: size.New(1000, 100, 0)}, qu: advised, most: 4},
		"gangs with room":      {def: work.Step{Count: 3, Gang: true, Need: size.New(1000, 100, 0)}, qu: advised, most: 60},
		"gangs without room":   {full: true, def: work.Step{Count: 3, Gang: true, Need: size.New(1000, 100, 0)}, qu: advised, most: 40},
		"without advice, full": {full: true, def: work.Step{Count: 3, Need: size.New(1000, 100, 0)}, qu: work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1}, most: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := crowd(workers)
			if tt.full {
				submit(cl, "full", work.Step{Count: workers, Need: size.New(64000, 100, 0)}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
				cl.Plan(0)
				is.Equal(len(cl.TakeOutput().Starts), workers)
			}
			for n := range jobs {
				submit(cl, fmt.Sprintf("job%04d", n), tt.def, tt.qu)
			}
			before := cl.WorkersExamined()
			for range rounds {
				cl.Plan(0)
				answer(cl, cl.TakeOutput())
			}
			each := (cl.WorkersExamined() - before) / rounds / jobs
			t.Logf("%d looks at workers a step and plan", each)
			is.True(each <= tt.most) // more looks than that grow with the workers
		})
	}
}
