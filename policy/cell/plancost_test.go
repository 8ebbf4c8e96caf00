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

// newTestCell returns a cell with a number of identical workers whose recovery is complete.
func newTestCell(workers int) *cell.Cell { return newTestCellWith(workers, cell.Options{}) }

// newTestCellWith is newTestCell with further options.
func newTestCellWith(workers int, opts cell.Options) *cell.Cell {
	opts.Retention, opts.FirstRun = time.Minute, 1
	cl := cell.New(opts)
	for n := range workers {
		id := incarnation.ID(fmt.Sprintf("w%03d", n))
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
		cl.Report(0, id, 0, nil, nil)
	}
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	return cl
}

func submitStep(cl *cell.Cell, id string, step work.Step, qu work.Queue) {
	cl.Add(0, &work.Job{ID: id, Spec: "s", Queue: qu, Steps: []work.Step{step}}, false)
}

// allowEverySecond answers each advice request with every second of its workers.
func allowEverySecond(cl *cell.Cell, out cell.Output) {
	for _, req := range out.AdviceRequests {
		var rows []cell.Ticket
		for _, id := range req.Workers {
			if (int(id[len(id)-1])+len(req.Step.Job))%2 == 0 {
				rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
			}
		}
		cl.AddAdvice(0, req, rows, time.Minute)
	}
}

// TestPlanningCost checks that planning does not examine every worker for every step: a planner that falls behind
// would get more steps to plan and never catch up.
func TestPlanningCost(t *testing.T) {
	const workers, jobs, rounds = 350, 400, 20
	advised := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1}
	tests := map[string]struct {
		full        bool
		def         work.Step
		qu          work.Queue
		maxExamined int
	}{
		"tasks with capacity":    {def: work.Step{Count: 3, Need: size.New(1000, 100, 0)}, qu: advised, maxExamined: 60},
		"tasks without capacity": {full: true, def: work.Step{Count: 3, Need: size.New(1000, 100, 0)}, qu: advised, maxExamined: 4},
		"gangs with capacity":    {def: work.Step{Count: 3, Gang: true, Need: size.New(1000, 100, 0)}, qu: advised, maxExamined: 60},
		"gangs without capacity": {full: true, def: work.Step{Count: 3, Gang: true, Need: size.New(1000, 100, 0)}, qu: advised, maxExamined: 40},
		"without advice, full":   {full: true, def: work.Step{Count: 3, Need: size.New(1000, 100, 0)}, qu: work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1}, maxExamined: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newTestCell(workers)
			if tt.full {
				submitStep(cl, "full", work.Step{Count: workers, Need: size.New(64000, 100, 0)}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
				cl.Plan(0)
				is.Equal(len(cl.TakeOutput().Starts), workers)
			}
			for n := range jobs {
				submitStep(cl, fmt.Sprintf("job%04d", n), tt.def, tt.qu)
			}
			before := cl.WorkersExamined()
			for range rounds {
				cl.Plan(0)
				allowEverySecond(cl, cl.TakeOutput())
			}
			each := (cl.WorkersExamined() - before) / rounds / jobs
			t.Logf("%d workers examined per step and plan", each)
			is.True(each <= tt.maxExamined) // a higher count grows with the number of workers
		})
	}
}
