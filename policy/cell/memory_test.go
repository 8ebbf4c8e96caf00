package cell_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// memoryLoad adds jobs of one shape to a cell.
type memoryLoad struct {
	jobs int
	make func(jb *work.Job)
	// ends cancels the jobs, runs starts their tasks.
	ends, runs bool
}

// smallStep is a step of tasks that take next to nothing of a worker.
func smallStep(count int) work.Step { return work.Step{Count: count, Need: size.New(1, 0, 0)} }

// memoryLoads are shapes of jobs that differ in what takes the memory.
var memoryLoads = map[string]memoryLoad{
	"small jobs": {jobs: 5000, make: func(jb *work.Job) { jb.Steps = []work.Step{smallStep(1), smallStep(4)} }},
	"steps": {jobs: 10, make: func(jb *work.Job) {
		for range 3000 {
			jb.Steps = append(jb.Steps, smallStep(1))
		}
	}},
	"chains": {jobs: 10, make: func(jb *work.Job) {
		for num := range 3000 {
			st := smallStep(1)
			if num > 0 {
				st.After = []int{num - 1}
			}
			jb.Steps = append(jb.Steps, st)
		}
	}},
	"tasks": {jobs: 20, make: func(jb *work.Job) { jb.Steps = []work.Step{smallStep(10_000)} }},
	"predecessors": {jobs: 20, make: func(jb *work.Job) {
		for num := range 400 {
			st := smallStep(1)
			for before := range num {
				st.After = append(st.After, before)
			}
			jb.Steps = append(jb.Steps, st)
		}
	}},
	"texts": {jobs: 200, make: func(jb *work.Job) {
		jb.Spec = strings.Repeat(jb.ID[:1], 4000)
		for range 20 {
			st := smallStep(1)
			for _, text := range []*string{&st.Label, &st.Rack, &st.Image} {
				*text = strings.Repeat(jb.ID[:1], 500)
			}
			jb.Steps = append(jb.Steps, st)
		}
	}},
	"times": {jobs: 20, make: func(jb *work.Job) {
		jb.Steps = []work.Step{smallStep(2)}
		jb.Repeat = &work.Repeat{Count: 100_000, Every: time.Millisecond}
	}},
	"runs":       {jobs: 20, make: func(jb *work.Job) { jb.Steps = []work.Step{smallStep(2000)} }, runs: true},
	"ended jobs": {jobs: 20_000, make: func(jb *work.Job) { jb.Steps = []work.Step{smallStep(5)} }, ends: true},
}

// fill adds the jobs to a cell, and returns the time afterwards.
func (ml *memoryLoad) fill(cl *cell.Cell) time.Duration {
	const workers = 20
	now := time.Second
	for num := range workers {
		id := incarnation.ID(fmt.Sprintf("w%d", num))
		cl.PutWorker(now, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64_000, 256_000, 0)})
		cl.Report(now, id, now, nil, nil)
	}
	cl.FinishRecovery()
	cl.SetCommitted(cl.RecordCount())
	cl.TakeOutput()
	for num := range ml.jobs {
		jb := &work.Job{ID: fmt.Sprintf("%016x", num), Queue: newQueue(1, 3, false)}
		ml.make(jb)
		if cl.Holds(jb) {
			cl.Add(now, jb, false)
		}
		if ml.ends {
			cl.Cancel(now, jb.ID, "")
		}
	}
	cl.Tick(now, time.Hour)
	if ml.runs {
		cl.Plan(now)
		for _, sr := range cl.TakeOutput().Starts {
			cl.Started(now, sr)
		}
	}
	if ml.ends {
		now += 20 * time.Second
		cl.Tick(now, time.Hour)
		cl.TakeOutput()
	}
	return now
}

// TestMemoryEstimates guards against a job that takes more of the planner's memory than it is accepted with, and against
// estimates that leave most of it unused.
func TestMemoryEstimates(t *testing.T) {
	for name, ml := range memoryLoads {
		t.Run(name, func(t *testing.T) {
			before := heapInUse()
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
			ml.fill(cl)
			heap := heapInUse() - before
			used, _, _ := cl.MemoryUse()
			t.Logf("estimate %d kB, heap %.0f kB", used>>10, heap/1024)
			if float64(used) < heap || float64(used) > 3*heap {
				t.Errorf("the estimate is %.2f of the heap, want 1 to 3", float64(used)/heap)
			}
			runtime.KeepAlive(cl)
		})
	}
}

// TestFinishedStepsAreDiscarded guards against a long chain that takes more memory with each step that is done, in this term or,
// by the records, in an earlier one, and against steps that run again because they were discarded.
func TestFinishedStepsAreDiscarded(t *testing.T) {
	const steps, maxBytes = 20_000, 3 << 20
	chain := func() *work.Job {
		jb := &work.Job{ID: "a", Spec: "s", Queue: newQueue(1, 3, false)}
		for num := range steps {
			st := smallStep(1)
			st.After = []int{num - 1}[:min(num, 1)]
			jb.Steps = append(jb.Steps, st)
		}
		return jb
	}
	newCell := func(jb *work.Job, records ...cell.Record) *cell.Cell {
		cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, MemoryLimit: 80 << 20})
		cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(64_000, 256_000, 0)})
		cl.Add(0, jb, len(records) > 0)
		cl.Restore(0, records)
		cl.Report(0, "w1", 0, nil, nil)
		cl.FinishRecovery()
		cl.SetCommitted(cl.RecordCount())
		cl.TakeOutput()
		return cl
	}
	// next runs the present step and returns its task.
	next := func(t *testing.T, cl *cell.Cell, now time.Duration, seq int) work.Task {
		t.Helper()
		cl.Tick(now, now)
		cl.Plan(now)
		starts := cl.TakeOutput().Starts
		if len(starts) != 1 {
			t.Fatalf("%d runs were started at %v", len(starts), now)
		}
		run := cell.Run{Task: starts[0].Task, Number: starts[0].Run}
		cl.Started(now, starts[0])
		cl.Report(now, "w1", now, nil, []cell.End{{Seq: seq, Run: run, Result: cell.ResultDone}})
		cl.SetCommitted(cl.RecordCount())
		cl.AckedEnd("w1")
		return run.Task
	}
	t.Run("in this term", func(t *testing.T) {
		jb := chain()
		before := heapInUse()
		cl := newCell(jb)
		for num := range steps {
			if task := next(t, cl, time.Duration(num)*100*time.Millisecond, num+1); task.Step != num {
				t.Fatalf("step %d has run after step %d", task.Step, num-1)
			}
			if num == steps/2 {
				checkHeap(t, before, maxBytes)
			}
		}
		if phase, _ := cl.Phase("a", ""); phase != cell.Succeeded {
			t.Errorf("the job is %s", phase)
		}
		runtime.KeepAlive(jb)
	})
	t.Run("in an earlier term", func(t *testing.T) {
		const done = 15_000
		jb := chain()
		records, names := make([]cell.Record, done), make([]work.Task, done)
		for num := range records {
			names[num] = work.Task{Job: "a", Step: num}
			records[num] = cell.Record{Job: "a", Task: &names[num], Run: 1, Result: cell.ResultDone}
		}
		before := heapInUse()
		cl := newCell(jb, records...)
		checkHeap(t, before, 10<<20)
		late := cell.Run{Task: names[0], Number: 1}
		cl.Report(time.Millisecond, "w1", time.Millisecond, []cell.Run{late}, nil)
		if stops := cl.TakeOutput().Stops; len(stops) != 1 || stops[0].Task != late.Task {
			t.Errorf("stops of a late run of a discarded step: %v", stops)
		}
		now := time.Minute
		cl.Report(now, "w1", now, nil, nil)
		if task := next(t, cl, now, 1); task.Step != done {
			t.Errorf("step %d runs after %d", task.Step, done-1)
		}
		runtime.KeepAlive(records)
		runtime.KeepAlive(jb)
	})
}
