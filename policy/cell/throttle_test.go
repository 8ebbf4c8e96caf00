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

// longRunningJob returns a job whose tasks run until it is cancelled.
func longRunningJob(id string, count, mayMiss int) *work.Job {
	jb := batchJob(id, count)
	jb.Steps[0].LongRunning = true
	jb.Steps[0].MaxUnavailable = mayMiss
	return jb
}

// startWaiting starts all waiting tasks on the only worker and confirms the starts.
func startWaiting(t *testing.T, cl *cell.Cell, now time.Duration) []cell.Run {
	t.Helper()
	cl.Plan(now)
	var runs []cell.Run
	for _, sr := range cl.TakeOutput().Starts {
		cl.Started(now, sr)
		runs = append(runs, cell.Run{Task: sr.Task, Number: sr.Run, Percent: 100})
	}
	return runs
}

func addOnlyWorker(cl *cell.Cell) {
	cl.PutWorker(0, cell.Worker{ID: "w", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(1, "w", 1, nil, nil)
	cl.SetCommitted(cl.RecordCount())
}

// TestSharing checks that a best-effort task is throttled while a task on the same worker is close to its latency
// target, and released afterwards.
func TestSharing(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	addOnlyWorker(cl)
	serve := longRunningJob("serve", 1, 0)
	serve.Steps[0].TargetLatency = 100 * time.Millisecond
	fill := batchJob("fill", 1)
	fill.Steps[0].BestEffort = true
	cl.Add(0, serve, false)
	cl.Add(0, fill, false)
	runs := startWaiting(t, cl, 2)
	if len(runs) != 2 || !cl.HasLatencyTarget("w") {
		t.Fatalf("runs %v, want two; latency target %v, want true", runs, cl.HasLatencyTarget("w"))
	}
	steps := []struct{ load, want int }{
		{50, 100}, {90, 50}, {90, 25}, {120, 0}, {90, 0}, {70, 0}, {50, 10}, {50, 20},
	}
	percent := 100
	for n, step := range steps {
		now := time.Duration(n+1) * time.Second
		for at := range runs {
			if runs[at].Task.Job == "serve" {
				runs[at].TailLatencyMS = step.load
			}
		}
		cl.Report(now, "w", now, runs, nil)
		for _, pc := range cl.TakeOutput().Paces {
			if pc.Task.Job != "fill" {
				t.Errorf("unexpected pace order for %v", pc.Task)
			}
			percent = pc.Percent
		}
		if percent != step.want {
			t.Errorf("report %d with latency %d ms: best-effort task at %d percent, want %d", n, step.load, percent, step.want)
		}
	}
}

// TestEvacuate checks that runs are stopped on a draining worker only if staying would lose their work.
func TestEvacuate(t *testing.T) {
	cases := map[string]struct {
		change  func(st *work.Step)
		percent int
		stays   time.Duration // remaining time of the worker after the notice
		stops   int
	}{
		"ends in time":                     {func(*work.Step) {}, 60, 10 * time.Second, 0},
		"cannot end in time":               {func(*work.Step) {}, 10, 2 * time.Second, 3},
		"may end in time":                  {func(*work.Step) {}, 40, 2 * time.Second, 0},
		"checkpoints, worker leaves later": {func(st *work.Step) { st.Checkpoints = true }, 10, 3 * time.Second, 0},
		"checkpoints, worker leaves now":   {func(st *work.Step) { st.Checkpoints = true }, 10, time.Second, 3},
		"long-running, none may be down":   {func(st *work.Step) { st.LongRunning = true }, 100, time.Second, 0},
		"long-running, two may be down":    {func(st *work.Step) { st.LongRunning, st.MaxUnavailable = true, 2 }, 100, time.Second, 2},
		"done, waits for its gang":         {func(*work.Step) {}, 100, time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
			addOnlyWorker(cl)
			jb := batchJob("a", 3)
			tc.change(&jb.Steps[0])
			cl.Add(0, jb, false)
			runs := startWaiting(t, cl, 2)
			now := 2 * time.Second
			for at := range runs {
				runs[at].Percent = tc.percent
			}
			cl.Report(now, "w", now, runs, nil)
			cl.PutWorker(now, cell.Worker{ID: "w", Service: "svc", Capacity: size.New(64000, 128000, 0), Draining: true, Remaining: tc.stays})
			cl.Tick(now, now)
			cl.SetCommitted(cl.RecordCount())
			if stops := cl.TakeOutput().Stops; len(stops) != tc.stops {
				t.Errorf("%d stops, want %d", len(stops), tc.stops)
			}
		})
	}
}

// TestLongRunning checks that a long-running task is restarted whatever the result of its run, and that its job never
// fails.
func TestLongRunning(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	addOnlyWorker(cl)
	cl.Add(0, longRunningJob("a", 1, 0), false)
	for n, how := range []cell.Result{cell.ResultFailed, cell.ResultDone, cell.ResultFailed, cell.ResultFailed, cell.ResultLeaseExpired} {
		now := time.Duration(n+1) * 10 * time.Second
		cl.Report(now, "w", now, nil, nil)
		runs := startWaiting(t, cl, now)
		if len(runs) != 1 {
			t.Fatalf("after %d ends: starts %v, want one", n, runs)
		}
		cl.Report(now+1, "w", now+1, nil, []cell.End{{Seq: n + 1, Run: runs[0], Result: how}})
	}
	if phase, _ := cl.Phase("a", ""); phase != cell.Running {
		t.Errorf("phase is %s, want running", phase)
	}
	cl.Cancel(time.Hour, "a", "")
	cl.SetCommitted(cl.RecordCount())
	if phase, _ := cl.Phase("a", ""); phase != cell.Cancelled {
		t.Errorf("phase after the cancel is %s, want cancelled", phase)
	}
}

// TestInheritedStop has an earlier planner stop a run and start the next one on another worker just before its term
// ended. The new run must stay: if it were stopped too, the task would wait for both to end.
func TestInheritedStop(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65, StopTimeout: time.Second})
	cl.Add(0, batchJob("a", 1), true)
	task := work.Task{Job: "a"}
	cl.InheritStops(0, "w1", []cell.Run{{Task: task, Number: 1}})
	for _, id := range []incarnation.ID{"w1", "w2", "w3"} {
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
	}
	cl.Report(1, "w2", 1, []cell.Run{{Task: task, Number: 2, Percent: 9}}, nil)
	cl.Report(1, "w3", 1, nil, nil)
	cl.Report(2, "w1", 2, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: task, Number: 1}, Result: cell.ResultStopped}})
	cl.FinishRecovery()
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(4)
	if out := cl.TakeOutput(); len(out.Stops)+len(out.Starts) > 0 {
		t.Errorf("unexpected stops %v and starts %v", out.Stops, out.Starts)
	}
}

// TestInheritedStopOfHeldRun guards against a task that runs twice at a time: the earlier planner recorded that the
// worker holds the run, and that it is being stopped.
func TestInheritedStopOfHeldRun(t *testing.T) {
	const stopTime = time.Second
	is := is.New(t)
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65, StopTimeout: stopTime})
	cl.Add(0, batchJob("a", 1), true)
	runs := []cell.Run{{Task: work.Task{Job: "a"}, Number: 1}}
	cl.InheritRuns(0, "w1", runs)
	cl.InheritStops(0, "w1", runs)
	cl.Report(1, "w1", 1, nil, nil) // a worker omits a run that it is stopping
	is.Equal(len(cl.HeldRuns("w1")), 1)
	over := 2 * stopTime
	cl.Report(over, "w1", over, nil, nil)
	is.Equal(len(cl.HeldRuns("w1")), 0)
}

// TestInheritedRunOfRound guards against a task of a recurring job that runs twice at a time: the worker may still have
// the run that an earlier planner recorded.
func TestInheritedRunOfRound(t *testing.T) {
	is := is.New(t)
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
	jb := batchJob("a", 1)
	jb.Repeat = &work.Repeat{Count: 2, Start: 0, Every: time.Hour}
	cl.Add(0, jb, true)
	cl.InheritRuns(0, "w1", []cell.Run{{Task: work.Task{Job: "a"}, Number: 1}})
	cl.PutWorker(0, cell.Worker{ID: "w2", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(1, "w2", 1, nil, nil)
	cl.FinishRecovery()
	cl.SetCommitted(cl.RecordCount())
	cl.Tick(2, 2)
	cl.Plan(2)
	is.Equal(len(cl.HeldRuns("w1")), 1)
	is.Equal(len(cl.TakeOutput().Starts), 0)
}

// TestTwoRuns has runs of one task from two planners on two workers. The older run is stopped, and the task does not
// start again while either run exists.
func TestTwoRuns(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 129, StopTimeout: time.Second})
	cl.Add(0, batchJob("a", 1), true)
	task := work.Task{Job: "a"}
	for _, id := range []incarnation.ID{"w1", "w2", "w3"} {
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
	}
	cl.Report(1, "w2", 1, []cell.Run{{Task: task, Number: 65, Percent: 9}}, nil)
	cl.Report(1, "w1", 1, []cell.Run{{Task: task, Number: 1, Percent: 50}}, nil)
	cl.Report(1, "w3", 1, nil, nil)
	cl.FinishRecovery()
	cl.SetCommitted(cl.RecordCount())
	out := cl.TakeOutput()
	if len(out.Stops) != 1 || out.Stops[0].Worker != "w1" {
		t.Fatalf("stops %v, want one on w1", out.Stops)
	}
	cl.Stopped(3, out.Stops[0])
	cl.Report(4, "w2", 4, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: task, Number: 65}, Result: cell.ResultFailed}})
	cl.Plan(5)
	if out := cl.TakeOutput(); len(out.Starts) > 0 {
		t.Errorf("starts %v while run 1 is being stopped", out.Starts)
	}
	cl.Report(6, "w1", 6, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: task, Number: 1}, Result: cell.ResultStopped}})
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(7)
	if out := cl.TakeOutput(); len(out.Starts) != 1 {
		t.Errorf("starts %v after both runs have ended, want one", out.Starts)
	}
}
