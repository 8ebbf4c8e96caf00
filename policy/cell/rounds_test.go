package cell_test

import (
	"runtime"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// backlog returns a job whose rounds were all due in the past, one per second, when the wall clock shows the time.
func backlog(id string, wall time.Duration, rounds int, steps ...work.Step) *work.Job {
	every := time.Second
	return &work.Job{
		ID: id, Spec: "s", Queue: newQueue(2, 3, false), Steps: steps,
		Repeat: &work.Repeat{Count: rounds, Start: wall - time.Duration(rounds)*every, Every: every},
	}
}

// TestMemoryOfDueRounds guards against a job that takes a planner to its memory limit: 200,000 rounds that were due at once
// took 309 MiB of 284 MB. Neither the rounds that wait nor those that have finished, in this term or, by the records, in an
// earlier one, may be kept all at a time.
func TestMemoryOfDueRounds(t *testing.T) {
	const (
		rounds   = 200_000
		finished = 150_000
		wall     = 400_000 * time.Second
		maxBytes = 40 << 20
	)
	step := work.Step{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second}
	t.Run("waiting", func(t *testing.T) {
		before := heapInUse()
		cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
		cl.Add(0, backlog("a", wall, rounds, step), false)
		cl.Tick(time.Second, wall)
		checkHeap(t, before, maxBytes)
		runtime.KeepAlive(cl)
	})
	t.Run("finished", func(t *testing.T) {
		fl := newFinishingLoad(time.Minute)
		fl.Add(0, backlog("a", fl.now, rounds, step), false)
		before := heapInUse()
		for count := 0; count < finished; count = fl.endCount() {
			last := count
			fl.advance(0)
			if fl.endCount() == last {
				t.Fatalf("no task ended at %v, after %d", fl.now, last)
			}
			fl.now += 40 * time.Second // the time in which a planner at its capacity starts as many tasks
		}
		checkHeap(t, before, maxBytes)
		runtime.KeepAlive(fl)
	})
	t.Run("restored", func(t *testing.T) {
		records := make([]cell.Record, finished)
		names := make([]work.Task, finished)
		for num := range records {
			names[num] = work.Task{Job: "a", Round: num}
			records[num] = cell.Record{Job: "a", Task: &names[num], Run: 1, Result: cell.ResultDone}
		}
		before := heapInUse()
		cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
		cl.Add(0, backlog("a", wall, rounds, step), true)
		cl.Restore(0, records)
		cl.Tick(time.Second, wall)
		checkHeap(t, before, maxBytes)
		if phase, _ := cl.Phase("a", ""); phase != cell.Running {
			t.Errorf("the job is %s", phase)
		}
		runtime.KeepAlive(records)
		runtime.KeepAlive(cl)
	})
}

// endCount returns the number of tasks that have ended.
func (fl *finishingLoad) endCount() int {
	count := 0
	for _, ends := range fl.ends {
		count += ends
	}
	return count
}

// checkHeap fails the test if the heap has grown by more than a number of bytes.
func checkHeap(t *testing.T, before, maxBytes float64) {
	t.Helper()
	grown := heapInUse() - before
	t.Logf("the heap has grown by %.1f MiB", grown/(1<<20))
	if grown > maxBytes {
		t.Errorf("the heap has grown by %.1f MiB, more than %.1f", grown/(1<<20), maxBytes/(1<<20))
	}
}

// TestDueRoundsRunInOrder has more rounds due than may be open. All of them must run, in their order, once each, although
// planners change.
func TestDueRoundsRunInOrder(t *testing.T) {
	const rounds, count = 24, 1000
	small := work.Step{Count: count, Need: size.New(100, 100, 0), Estimate: time.Second}
	after := small
	after.After = []int{0}
	tests := map[string]struct {
		steps []work.Step
		// maxOpen is the number of rounds that may be open at a time.
		maxOpen int
	}{
		"one step":  {[]work.Step{small}, 10},
		"two steps": {[]work.Step{small, after}, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bd := newTestbed(t, 1, 12)
			bd.now = time.Hour
			bd.submit(backlog("a", bd.now, rounds, tt.steps...))
			begun, finished := map[int]time.Duration{}, 0
			phase := cell.Queued
			for n := 0; phase != cell.Succeeded && n < 200; n++ {
				if n%5 == 4 {
					bd.replacePlanner()
					bd.executeOrders()
				}
				bd.advance(250 * time.Millisecond)
				for _, wk := range bd.workers {
					for name := range wk.runs {
						if _, known := begun[name.Round]; !known {
							begun[name.Round] = bd.now
						}
					}
				}
				finished = len(bd.done) / (count * len(tt.steps)) // at least as many rounds have finished
				if open := len(begun) - finished; open > tt.maxOpen+1 {
					t.Fatalf("%d rounds are under way at %v, more than %d", open, bd.now, tt.maxOpen)
				}
				phase, _ = bd.cell.Phase("a", "")
			}
			if phase != cell.Succeeded {
				t.Errorf("the job is %s after %v", phase, bd.now-time.Hour)
			}
			if want := rounds * count * len(tt.steps); len(bd.done) != want {
				t.Errorf("%d tasks have run, want %d", len(bd.done), want)
			}
			if bd.term < 3 {
				t.Errorf("the planner has been replaced %d times only", bd.term-1)
			}
			for num := range rounds - 1 {
				if begun[num] > begun[num+1] {
					t.Errorf("round %d began at %v, round %d at %v", num, begun[num], num+1, begun[num+1])
				}
			}
		})
	}
}

// TestLongRunningRoundsOpen guards against rounds that never open because the long-running tasks of earlier ones do not end.
func TestLongRunningRoundsOpen(t *testing.T) {
	const rounds, count = 30, 1000
	fl := newFinishingLoad(time.Minute)
	fl.now = time.Hour
	fl.Add(fl.now, backlog("a", fl.now, rounds, work.Step{Count: count, Need: size.New(100, 100, 0), Estimate: time.Second, LongRunning: true}), false)
	started := 0
	for range 10 {
		fl.now += 50 * time.Millisecond
		for n := range finishingWorkers {
			fl.Report(fl.now, finishingWorker(n), fl.now, fl.HeldRuns(finishingWorker(n)), nil)
		}
		fl.SetCommitted(fl.RecordCount())
		fl.Tick(fl.now, fl.now)
		fl.Plan(fl.now)
		for _, sr := range fl.TakeOutput().Starts {
			fl.Started(fl.now, sr)
			started++
		}
	}
	if want := rounds * count; started != want {
		t.Errorf("%d tasks have started, want %d", started, want)
	}
}
