package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// planTime returns the longest time of a few plans, between which a run of each queue ends and urgent jobs arrive.
func planTime(cl *cell.Cell, urgent work.Queue) time.Duration {
	const plans = 4
	longest := time.Duration(0)
	for num := range plans {
		now := time.Duration(num+1) * 10 * time.Millisecond
		submitStep(cl, fmt.Sprint("urgent", num), work.Step{Count: 1, Need: size.New(1000, 100, 0), Estimate: time.Second}, urgent)
		began := time.Now()
		cl.Plan(now)
		longest = max(longest, time.Since(began))
		for at, sr := range cl.TakeOutput().Starts {
			cl.Started(now, sr)
			if at < 2 {
				cl.Report(now, sr.Worker, now, nil, []cell.End{{Seq: num + 1, Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultDone}})
			}
		}
	}
	return longest
}

// TestPlanTime guards against a plan whose time grows with the square of the open steps of a job, or with their number times
// that of the workers: meanwhile nothing starts, and no report or question is answered. The bound is far above what a machine
// takes for a plan that does not.
func TestPlanTime(t *testing.T) {
	const jobs, steps, workers, bound = 10, 5000, 48, 400 * time.Millisecond
	patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	advised := patient
	advised.Name, advised.Advised = "a", true
	small, large := size.New(10, 0, 0), size.New(64000, 0, 0)
	tests := map[string]struct {
		qu   work.Queue
		full bool
		step func(num int) work.Step
	}{
		"steps with room":     {qu: patient, step: func(int) work.Step { return work.Step{Need: small} }},
		"steps without room":  {qu: patient, full: true, step: func(int) work.Step { return work.Step{Need: small} }},
		"steps of many sizes": {qu: patient, full: true, step: func(num int) work.Step { return work.Step{Need: size.New(int64(1+num), int64(num%7), 0)} }},
		"estimates": {qu: patient, step: func(num int) work.Step {
			return work.Step{Need: small, Estimate: time.Duration(num) * time.Millisecond}
		}},
		"labels":               {qu: patient, step: func(num int) work.Step { return work.Step{Need: small, Label: fmt.Sprint("l", num)} }},
		"racks":                {qu: patient, full: true, step: func(num int) work.Step { return work.Step{Need: small, Rack: fmt.Sprint("r", num%5)} }},
		"one for each worker":  {qu: patient, full: true, step: func(int) work.Step { return work.Step{Need: small, PerWorker: 1} }},
		"gangs without room":   {qu: patient, full: true, step: func(int) work.Step { return work.Step{Need: large, Gang: true} }},
		"long-running":         {qu: patient, full: true, step: func(int) work.Step { return work.Step{Need: small, LongRunning: true} }},
		"nothing of a worker":  {qu: patient, full: true, step: func(int) work.Step { return work.Step{LongRunning: true, BestEffort: true, Need: small} }},
		"advised, with room":   {qu: advised, step: func(int) work.Step { return work.Step{Need: small} }},
		"advised, without":     {qu: advised, full: true, step: func(int) work.Step { return work.Step{Need: large} }},
		"two levels":           {qu: patient, step: func(num int) work.Step { return work.Step{Need: small, After: []int{0}[:min(num, 1)]} }},
		"never fits a worker":  {qu: patient, step: func(int) work.Step { return work.Step{Need: size.New(99000, 0, 0)} }},
		"urgent, with room":    {qu: work.Queue{Name: "u", Service: "svc", Attempts: 3}, step: func(int) work.Step { return work.Step{Need: small} }},
		"urgent, without room": {qu: work.Queue{Name: "u", Service: "svc", Attempts: 3}, full: true, step: func(int) work.Step { return work.Step{Need: small} }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			cl := newTestCellWith(workers, cell.Options{InitialWindow: 64})
			if tc.full {
				submitStep(cl, "full", work.Step{Count: workers, Need: large}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
				cl.Plan(0)
				for _, sr := range cl.TakeOutput().Starts {
					cl.Started(0, sr)
				}
			}
			for num := range jobs {
				jb := &work.Job{ID: fmt.Sprint("job", num), Spec: "s", Queue: tc.qu}
				for at := range steps {
					st := tc.step(at)
					st.Count = 1
					jb.Steps = append(jb.Steps, st)
				}
				cl.Add(0, jb, false)
			}
			took := planTime(cl, work.Queue{Name: "u", Service: "svc", Attempts: 3})
			t.Logf("a plan takes %v", took)
			if took > bound {
				t.Errorf("a plan takes %v, want at most %v", took, bound)
			}
		})
	}
}

// TestPlanTimeIsBounded guards against a plan that takes as long as it likes, and against steps that are not reached by any plan:
// urgent ones, or those behind others that take all the time.
func TestPlanTimeIsBounded(t *testing.T) {
	const steps, workers, perLook = 400, 20, 8 * time.Millisecond // a millisecond a step
	patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	urgent := work.Queue{Name: "u", Service: "svc", Attempts: 3}
	for name, tc := range map[string]struct {
		// urgent is how many urgent steps wait for room that there is not.
		urgent, maxPlans int
	}{
		"others":                     {maxPlans: 40},
		"urgent ones without room":   {urgent: 300, maxPlans: 70},
		"one urgent without room":    {urgent: 1, maxPlans: 40},
		"as many urgent as fit once": {urgent: 100, maxPlans: 70},
	} {
		t.Run(name, func(t *testing.T) {
			var elapsed time.Duration
			cl := newTestCellWith(workers, cell.Options{Watch: func() time.Duration {
				elapsed += perLook
				return elapsed
			}})
			for num := range steps {
				submitStep(cl, fmt.Sprint("p", num), work.Step{Count: 1, Need: size.New(1000, 0, 0), Estimate: time.Second}, patient)
			}
			for num := range tc.urgent {
				submitStep(cl, fmt.Sprint("u", num), work.Step{Count: 1, Need: size.New(65000, 0, 0)}, urgent)
			}
			started, plans := map[string]bool{}, 0
			for len(started) <= steps && plans < tc.maxPlans {
				if plans == 3 {
					submitStep(cl, "late", work.Step{Count: 1, Need: size.New(1000, 0, 0)}, urgent)
				}
				before := elapsed
				cl.Plan(time.Duration(plans) * time.Millisecond)
				plans++
				if took := elapsed - before; took > 80*time.Millisecond {
					t.Fatalf("a plan took %v", took)
				}
				for _, sr := range cl.TakeOutput().Starts {
					started[sr.Task.Job] = true
				}
				if tc.urgent <= 1 && plans == 4 && !started["late"] {
					t.Error("an urgent step waits behind others")
				}
			}
			t.Logf("%d steps were started in %d plans, %d of which were cut", len(started), plans, cl.CutPlans())
			if len(started) != steps+1 || cl.CutPlans() == 0 {
				t.Errorf("%d of %d steps were started in %d plans, %d of which were cut", len(started), steps+1, plans, cl.CutPlans())
			}
		})
	}
}

// TestCutPlanKeepsReservations guards against a step that loses the capacity that is reserved for it in plans that do not reach it.
func TestCutPlanKeepsReservations(t *testing.T) {
	const filler = 100
	patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	var elapsed, each time.Duration
	cl := newTestCellWith(1, cell.Options{Watch: func() time.Duration {
		elapsed += each
		return elapsed
	}})
	submitStep(cl, "small", work.Step{Count: 1, Need: size.New(1000, 0, 0), Estimate: time.Minute}, patient)
	cl.Plan(0)
	for num := range filler {
		submitStep(cl, fmt.Sprint("a", num), work.Step{Count: 1, Need: size.New(65000, 0, 0), Estimate: time.Second}, patient)
	}
	submitStep(cl, "z", work.Step{Count: 1, Need: size.New(64000, 0, 0), Estimate: time.Second}, patient)
	cl.Plan(time.Second)
	if _, kept := cl.OldestWait(time.Second); kept != 1 {
		t.Fatalf("%d workers are reserved for the large step", kept)
	}
	each = 30 * time.Millisecond
	cl.Plan(1100 * time.Millisecond)
	if _, kept := cl.OldestWait(1100 * time.Millisecond); kept != 1 || cl.CutPlans() != 1 {
		t.Errorf("%d workers are reserved for the large step after %d plans were cut", kept, cl.CutPlans())
	}
}

// TestSlowestSteps guards against a long plan that does not show which steps took its time.
func TestSlowestSteps(t *testing.T) {
	const steps, slowLook, slow = 20, 3, 700 * time.Millisecond // looks: at the beginning of a plan, after 7 steps, then after 8 more
	patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	var elapsed time.Duration
	looks := 0
	cl := newTestCellWith(2, cell.Options{Watch: func() time.Duration {
		elapsed += time.Millisecond
		if looks++; looks == slowLook {
			elapsed += slow
		}
		return elapsed
	}})
	for num := range steps {
		submitStep(cl, fmt.Sprintf("p%02d", num), work.Step{Count: 1, Need: size.New(65000, 0, 0)}, patient)
	}
	cl.Plan(0)
	if took, first := cl.TakeSlowestSteps(); took != slow+time.Millisecond || first.StepName() != "p07.0.0" {
		t.Errorf("the slowest steps took %v from %s on", took, first)
	}
	if took, _ := cl.TakeSlowestSteps(); took != 0 {
		t.Errorf("steps that took %v were returned twice", took)
	}
	submitStep(cl, "single", work.Step{Count: 1, Need: size.New(65000, 0, 0)}, work.Queue{Name: "u", Service: "svc", Attempts: 3})
	looks = slowLook - 2
	cl.Plan(0)
	if took, first := cl.TakeSlowestSteps(); took < slow || first.StepName() != "single.0.0" {
		t.Errorf("the slowest steps took %v from %s on, want a single urgent step", took, first)
	}
}
