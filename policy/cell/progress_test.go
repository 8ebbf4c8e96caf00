package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestReservesWhereProgressIsGreater has a task that needs a whole worker wait for one of two workers, each of which
// runs a task that takes half of it and writes checkpoints. Capacity is reserved where the progress is greater, and a
// small task goes to the other worker. For runs resumed from a checkpoint, the speed is the progress made since then.
func TestReservesWhereProgressIsGreater(t *testing.T) {
	tests := map[string]struct {
		checkpoint    string
		first, second int
	}{
		"from the start":    {first: 10, second: 90},
		"from a checkpoint": {checkpoint: "c1", first: 62, second: 90},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newTestCell(2)
			half := size.New(30000, 100, 0)
			qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 9}
			submitStep(cl, "half", work.Step{Count: 2, Need: half, PerWorker: 1, Estimate: 10 * time.Second, Checkpoints: true}, qu)
			cl.Plan(0)
			started := cl.TakeOutput().Starts
			is.Equal(len(started), 2)
			for _, sr := range started {
				cl.Started(0, sr)
			}
			report := func(now time.Duration, percents ...int) {
				for at, id := range []incarnation.ID{"w000", "w001"} {
					for _, sr := range started {
						if sr.Worker == id {
							cl.Report(now, id, now, []cell.Run{{Task: sr.Task, Number: sr.Run, Checkpoint: "c2", Percent: percents[at]}}, nil)
						}
					}
				}
			}
			if tt.checkpoint != "" {
				started = restartFrom(cl, started, tt.checkpoint)
				report(time.Second, 60, 60)
			}
			report(3*time.Second, tt.first, tt.second)
			whole := work.Step{Count: 1, Need: size.New(64000, 100, 0), Estimate: time.Second}
			submitStep(cl, "whole", whole, work.Queue{Name: "w", Service: "svc", Attempts: 3, Priority: 1, Stretch: 8})
			cl.Plan(3 * time.Second)
			is.Equal(len(cl.TakeOutput().Starts), 0)
			submitStep(cl, "small", work.Step{Count: 1, Need: half, Estimate: 9 * time.Second}, qu)
			cl.Plan(3 * time.Second)
			starts := cl.TakeOutput().Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Task.Job, "small")
			is.Equal(starts[0].Worker, incarnation.ID("w000"))
		})
	}
}

// restartFrom reports runs as stopped with a checkpoint, and returns the starts that follow.
func restartFrom(cl *cell.Cell, runs []cell.Start, checkpoint string) []cell.Start {
	for _, sr := range runs {
		end := cell.End{Seq: 1, Run: cell.Run{Task: sr.Task, Number: sr.Run, Checkpoint: checkpoint}, Result: cell.ResultStopped}
		cl.Report(0, sr.Worker, 0, nil, []cell.End{end})
	}
	cl.Plan(0)
	again := cl.TakeOutput().Starts
	for _, sr := range again {
		cl.Started(0, sr)
	}
	return again
}

// TestRunsFirstSeenMidway has a new planner receive the first reports of two runs, one near its beginning and one near
// its end: it must reserve a whole worker where the run ends first. Estimated as if it had begun when it was
// first reported, each run seemed about to end.
func TestRunsFirstSeenMidway(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(2)
	half := size.New(30000, 100, 0)
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 9}
	step := work.Step{Count: 2, Need: half, PerWorker: 1, Estimate: 10 * time.Second}
	cl.Add(0, &work.Job{ID: "half", Spec: "s", Queue: qu, Steps: []work.Step{step}}, true)
	const now = 3 * time.Second
	for at, percent := range []int{10, 90} {
		run := cell.Run{Task: work.Task{Job: "half", Index: at}, Number: 1, Percent: percent}
		cl.Report(now, []incarnation.ID{"w000", "w001"}[at], now, []cell.Run{run}, nil)
	}
	whole := work.Step{Count: 1, Need: size.New(64000, 100, 0), Estimate: time.Second}
	submitStep(cl, "whole", whole, work.Queue{Name: "w", Service: "svc", Attempts: 3, Priority: 1, Stretch: 8})
	cl.Plan(now)
	is.Equal(len(cl.TakeOutput().Starts), 0)
	submitStep(cl, "small", work.Step{Count: 1, Need: half, Estimate: 9 * time.Second}, qu)
	cl.Plan(now)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, incarnation.ID("w000"))
}
