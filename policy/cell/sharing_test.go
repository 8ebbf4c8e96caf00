package cell_test

import (
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// lasting returns a job of tasks that run until it is cancelled.
func lasting(id string, count, mayMiss int) *work.Job {
	jb := batch(id, count)
	jb.Steps[0].LongRunning = true
	jb.Steps[0].MaxUnavailable = mayMiss
	return jb
}

// place starts all that waits on the only worker and confirms it.
func place(t *testing.T, cl *cell.Cell, now time.Duration) []cell.Run {
	t.Helper()
	cl.Plan(now)
	var runs []cell.Run
	for _, sr := range cl.TakeOutput().Starts {
		cl.Started(now, sr)
		runs = append(runs, cell.Run{Task: sr.Task, Number: sr.Run, Percent: 100})
	}
	return runs
}

func oneWorker(cl *cell.Cell) {
	cl.PutWorker(0, cell.Worker{ID: "w", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(1, "w", 1, nil, nil)
	cl.SetCommitted(cl.RecordCount())
}

// TestSharing slows a filler while its neighbour is near the latency that it promised,
// and lets it go again.
func TestSharing(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	oneWorker(cl)
	serve := lasting("serve", 1, 0)
	serve.Steps[0].TargetLatency = 100 * time.Millisecond
	fill := batch("fill", 1)
	fill.Steps[0].BestEffort = true
	cl.Add(0, serve, false)
	cl.Add(0, fill, false)
	runs := place(t, cl, 2)
	if len(runs) != 2 || !cl.HasLatencyTarget("w") {
		t.Fatalf("runs %v, serves %v", runs, cl.HasLatencyTarget("w"))
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
				t.Errorf("pace of %v", pc.Task)
			}
			percent = pc.Percent
		}
		if percent != step.want {
			t.Errorf("look %d at latency %d: filler at %d percent, want %d", n, step.load, percent, step.want)
		}
	}
}

// TestEvacuate moves work off a worker that leaves, where staying would lose it.
func TestEvacuate(t *testing.T) {
	cases := map[string]struct {
		change  func(st *work.Step)
		percent int
		stays   time.Duration // after the notice
		stops   int
	}{
		"ends in time":                    {func(*work.Step) {}, 60, 10 * time.Second, 0},
		"cannot end in time":              {func(*work.Step) {}, 10, 2 * time.Second, 3},
		"may end in time":                 {func(*work.Step) {}, 40, 2 * time.Second, 0},
		"saves, worker stays for a while": {func(st *work.Step) { st.Checkpoints = true }, 10, 3 * time.Second, 0},
		"saves, worker leaves":            {func(st *work.Step) { st.Checkpoints = true }, 10, time.Second, 3},
		"lasting, none may miss":          {func(st *work.Step) { st.LongRunning = true }, 100, time.Second, 0},
		"lasting, two may miss":           {func(st *work.Step) { st.LongRunning, st.MaxUnavailable = true, 2 }, 100, time.Second, 2},
		"done, waits for its gang":        {func(*work.Step) {}, 100, time.Second, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
			oneWorker(cl)
			jb := batch("a", 3)
			tc.change(&jb.Steps[0])
			cl.Add(0, jb, false)
			runs := place(t, cl, 2)
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

// TestLasting starts a lasting task again however it ended, and never fails its job.
func TestLasting(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	oneWorker(cl)
	cl.Add(0, lasting("a", 1, 0), false)
	for n, how := range []cell.Result{cell.ResultFailed, cell.ResultDone, cell.ResultFailed, cell.ResultFailed, cell.ResultLeaseExpired} {
		now := time.Duration(n+1) * 10 * time.Second
		cl.Report(now, "w", now, nil, nil)
		runs := place(t, cl, now)
		if len(runs) != 1 {
			t.Fatalf("after %d ends: starts %v", n, runs)
		}
		cl.Report(now+1, "w", now+1, nil, []cell.End{{Seq: n + 1, Run: runs[0], Result: how}})
	}
	if phase, _ := cl.Phase("a", ""); phase != cell.Running {
		t.Errorf("phase is %s", phase)
	}
	cl.Cancel(time.Hour, "a", "")
	cl.SetCommitted(cl.RecordCount())
	if phase, _ := cl.Phase("a", ""); phase != cell.Cancelled {
		t.Errorf("phase after the cancel is %s", phase)
	}
}

// TestInheritedStop has an earlier planner stop a run and start the next one elsewhere
// just before it ended. The live run stays; were it to be stopped, the task would wait
// for both.
func TestInheritedStop(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65, StopTimeout: time.Second})
	cl.Add(0, batch("a", 1), true)
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
		t.Errorf("stops %v, starts %v", out.Stops, out.Starts)
	}
}

// TestTwoRuns has two planners' runs of one task on two workers. The older one is
// stopped, and the task does not start anew while either is there.
func TestTwoRuns(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 129, StopTimeout: time.Second})
	cl.Add(0, batch("a", 1), true)
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
		t.Fatalf("stops %v", out.Stops)
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
		t.Errorf("starts %v once both are gone", out.Starts)
	}
}
