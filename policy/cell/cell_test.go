package cell_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

func newQueue(priority, attempts int, advised bool) work.Queue {
	return work.Queue{
		Name: fmt.Sprintf("q%d", priority), Service: "svc", Priority: priority, Attempts: attempts,
		Stretch: 2, Target: time.Second, Advised: advised,
	}
}

func batchJob(id string, count int, after ...int) *work.Job {
	jb := &work.Job{ID: id, Queue: newQueue(2, 3, false), Spec: id}
	jb.Steps = []work.Step{{Count: count, Need: size.New(4000, 8000, 0), Estimate: time.Second}}
	if len(after) > 0 {
		jb.Steps = append(jb.Steps, work.Step{Count: 2, Need: size.New(4000, 8000, 0), Estimate: time.Second, After: after})
	}
	return jb
}

func gangJob(id string, count int) *work.Job {
	return &work.Job{ID: id, Queue: newQueue(1, 3, true), Spec: id, Steps: []work.Step{
		{Count: count, Need: size.New(18000, 26000, 0), Estimate: time.Second, Gang: true},
	}}
}

// TestInvariants runs jobs of all kinds with faults drawn from seeds. The testbed checks
// each start, and every job ends.
func TestInvariants(t *testing.T) {
	cases := map[string]struct {
		unanswered, failRate float64
		replace, crash       bool
		cancel, disconnect   bool
		resize               bool
		maxEnds              int
		maxFailed, settle    int
		memoryLimit          int64
		deferRate            float64
	}{
		"no faults":                        {},
		"runs fail":                        {failRate: 0.1, maxFailed: 8},
		"orders unanswered":                {unanswered: 0.1},
		"planners change":                  {replace: true},
		"planners change, runs fail":       {replace: true, failRate: 0.1, maxFailed: 8},
		"workers crash":                    {crash: true},
		"workers disconnect":               {disconnect: true},
		"disconnects, planners change":     {disconnect: true, replace: true, failRate: 0.02, maxFailed: 4},
		"jobs cancelled":                   {cancel: true},
		"all faults":                       {unanswered: 0.1, failRate: 0.05, replace: true, crash: true, disconnect: true, cancel: true, maxFailed: 8},
		"planners change, orders delayed":  {replace: true, unanswered: 0.2},
		"capacity changes":                 {resize: true},
		"capacity and planners change":     {resize: true, replace: true, unanswered: 0.05},
		"reports lack ends":                {maxEnds: 1, unanswered: 0.1},
		"reports lack ends, takeovers":     {maxEnds: 1, replace: true, failRate: 0.1, maxFailed: 8},
		"memory is short":                  {memoryLimit: 60 << 10},
		"memory is short, planners change": {memoryLimit: 60 << 10, replace: true},
		"new planners hold jobs later":     {replace: true, deferRate: 0.5, failRate: 0.1, maxFailed: 8},
		"memory is short, all faults": {
			memoryLimit: 80 << 10, deferRate: 0.3, unanswered: 0.1, failRate: 0.05, replace: true, crash: true, disconnect: true, cancel: true, maxEnds: 2, maxFailed: 8,
		},
		"reports lack ends, all faults": {
			maxEnds: 2, unanswered: 0.1, failRate: 0.05, replace: true, crash: true, disconnect: true, cancel: true, resize: true, maxFailed: 8,
		},
	}
	for name, tc := range cases {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				bd := newTestbed(t, seed, 10)
				bd.unansweredRate, bd.failRate, bd.maxEnds = tc.unanswered, tc.failRate, tc.maxEnds
				bd.memoryLimit, bd.deferRate = tc.memoryLimit, tc.deferRate
				if tc.memoryLimit > 0 {
					bd.replacePlanner()
					bd.executeOrders()
				}
				const jobs = 24
				for n := range jobs {
					switch n % 3 {
					case 0:
						bd.submit(batchJob(fmt.Sprintf("a%02d", n), 6, 0))
					case 1:
						bd.submit(gangJob(fmt.Sprintf("b%02d", n), 4))
					default:
						jb := batchJob(fmt.Sprintf("c%02d", n), 3)
						jb.Queue = newQueue(0, 3, true)
						bd.submit(jb)
					}
					bd.advance(40 * time.Millisecond)
					if tc.replace && n%5 == 4 {
						bd.replacePlanner()
						bd.executeOrders()
					}
					if tc.disconnect && n%4 == 3 {
						bd.disconnect(incarnation.ID(fmt.Sprintf("w%02d", n%10)), 700*time.Millisecond)
						bd.executeOrders()
					}
					if tc.crash && n == 12 {
						bd.loseWorker("w03")
						bd.addWorker("w13")
						bd.cell.PutWorker(bd.now, bd.workers["w13"].Worker)
					}
					if tc.resize {
						bd.resize(incarnation.ID(fmt.Sprintf("w%02d", n*7%10)), []int64{1, 4, 0, 2}[n%4])
					}
					if tc.cancel && n%6 == 5 {
						bd.cancel(bd.jobs[n-2].ID)
						bd.executeOrders()
					}
				}
				for n := range 10 {
					bd.resize(incarnation.ID(fmt.Sprintf("w%02d", n)), fullQuarters)
				}
				for range 2000 {
					bd.advance(40 * time.Millisecond)
				}
				if defers := tc.memoryLimit > 0 || tc.deferRate > 0; defers != (bd.deferred > 0) {
					t.Errorf("%d jobs were not held", bd.deferred)
				}
				counts := bd.countPhases()
				if counts[cell.Queued]+counts[cell.Running] > 0 {
					t.Errorf("jobs have not ended: %v", counts)
				}
				if counts[cell.Failed] > tc.maxFailed {
					t.Errorf("too many jobs have failed: %v", counts)
				}
			})
		}
	}
}

// TestPhaseWaitsForJournal checks that a job is shown as succeeded only after its end is in the journal.
func TestPhaseWaitsForJournal(t *testing.T) {
	bd := newTestbed(t, 1, 1)
	bd.submit(batchJob("a", 1))
	bd.advance(time.Millisecond)
	bd.now += 2 * time.Second
	bd.workers["w00"].endDueRuns(bd)
	bd.report("w00")
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Running {
		t.Errorf("phase is %s before the end is in the journal", phase)
	}
	if acked, waits := bd.cell.AckedEnd("w00"); acked != 0 || !waits {
		t.Errorf("end %d is acknowledged before it is in the journal", acked)
	}
	bd.executeOrders()
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Succeeded {
		t.Errorf("phase is %s once the end is in the journal", phase)
	}
	if acked, _ := bd.cell.AckedEnd("w00"); acked != 1 {
		t.Errorf("end %d is acknowledged, want 1", acked)
	}
}

// TestCancelBeforeJob checks that a job does not start if its cancel arrives before it.
func TestCancelBeforeJob(t *testing.T) {
	bd := newTestbed(t, 1, 1)
	bd.cancel("a")
	bd.submit(batchJob("a", 1))
	bd.advance(time.Millisecond)
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Cancelled {
		t.Errorf("phase is %s, want cancelled", phase)
	}
}

// TestFailureCountsOnce checks that a new planner does not count a failed run twice if it is both in the journal
// and in a worker's report.
func TestFailureCountsOnce(t *testing.T) {
	bd := newTestbed(t, 1, 1)
	jb := batchJob("a", 1)
	jb.Queue.Attempts = 2
	bd.submit(jb)
	bd.advance(time.Millisecond)
	bd.failRate = 1
	bd.now += 2 * time.Second
	bd.workers["w00"].endDueRuns(bd)
	bd.report("w00")
	bd.records = append(bd.records, bd.cell.TakeOutput().Records...)
	bd.failRate = 0
	bd.replacePlanner() // the worker still reports the end, which was not acknowledged
	for range 100 {
		bd.advance(100 * time.Millisecond)
	}
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Succeeded {
		t.Errorf("phase is %s after one failed run of two attempts", phase)
	}
}

// TestInheritedTasksWait checks that a new planner does not start inherited tasks before its recovery is complete,
// since they may still run on a worker that has not answered.
func TestInheritedTasksWait(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
	cl.Add(0, batchJob("old", 1), true)
	cl.Add(0, batchJob("new", 1), false)
	cl.PutWorker(0, cell.Worker{ID: "w", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(1, "w", 1, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(2)
	if out := cl.TakeOutput(); len(out.Starts) != 1 || out.Starts[0].Task.Job != "new" {
		t.Errorf("starts before the recovery is complete: %v", out.Starts)
	}
	cl.FinishRecovery()
	cl.Plan(3)
	out := cl.TakeOutput()
	if len(out.Starts) != 1 || out.Starts[0].Task.Job != "old" {
		t.Fatalf("starts after the recovery: %v", out.Starts)
	}
	if out.Starts[0].Run < 65 {
		t.Errorf("run %d may have been used by an earlier planner", out.Starts[0].Run)
	}
}

// TestRounds checks that each round of a repeated job opens at its time.
func TestRounds(t *testing.T) {
	bd := newTestbed(t, 1, 2)
	jb := batchJob("a", 1)
	jb.Repeat = &work.Repeat{Count: 3, Start: time.Second, Every: 2 * time.Second}
	bd.submit(jb)
	begun := map[int]time.Duration{}
	for range 100 {
		bd.advance(100 * time.Millisecond)
		for _, wk := range bd.workers {
			for name := range wk.runs {
				if _, known := begun[name.Round]; !known {
					begun[name.Round] = bd.now
				}
			}
		}
	}
	for round := range 3 {
		if due := time.Second + time.Duration(round)*2*time.Second; begun[round] != due {
			t.Errorf("round %d began at %v, want %v", round, begun[round], due)
		}
	}
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Succeeded {
		t.Errorf("phase is %s after all rounds", phase)
	}
}

// TestRoundsInTheFarFuture guards against rounds that begin at once because their times are too large for a Duration.
func TestRoundsInTheFarFuture(t *testing.T) {
	const last = time.Duration(math.MaxInt64)
	tests := map[string]work.Repeat{
		"first round":  {Count: 1, Start: last},
		"second round": {Count: 2, Start: time.Hour, Every: last},
		"third round":  {Count: 3, Start: time.Hour, Every: last / 2},
	}
	for name, rep := range tests {
		t.Run(name, func(t *testing.T) {
			bd := newTestbed(t, 1, 2)
			jb := batchJob("a", 1)
			jb.Repeat = &rep
			bd.submit(jb)
			for range 20 {
				bd.advance(100 * time.Millisecond)
			}
			if phase, _ := bd.cell.Phase("a", ""); phase != cell.Queued {
				t.Errorf("phase is %s before the first round is due", phase)
			}
			bd.cell.Tick(bd.now, 2*time.Hour) // the wall clock
			want := 0
			if rep.Start <= 2*time.Hour {
				want = 1
			}
			if _, waiting, _ := bd.cell.Counts(); waiting != want {
				t.Errorf("%d steps are open after two hours, want %d", waiting, want)
			}
		})
	}
}

// TestPending checks the count of jobs that have not begun.
func TestPending(t *testing.T) {
	bd := newTestbed(t, 1, 1)
	for n := range 20 {
		bd.submit(batchJob(fmt.Sprintf("a%d", n), 2))
	}
	if got := bd.cell.QueuedJobs("q2"); got != 20 {
		t.Errorf("%d jobs wait, want 20", got)
	}
	bd.advance(time.Millisecond)
	if got := bd.cell.QueuedJobs("q2"); got != 12 {
		t.Errorf("%d jobs wait, want 12: the worker has capacity for 16 tasks", got)
	}
	bd.cancel("a19")
	if got := bd.cell.QueuedJobs("q2"); got != 11 {
		t.Errorf("%d jobs wait after a cancel, want 11", got)
	}
}

// TestHungOnEveryWorker has a task that makes no progress on any of twelve healthy workers. Moved every 2.5 s
// without bound, with each worker quarantined for 6 s afterwards, it kept three of the twelve in quarantine.
// The intervals between moves must grow, and after the second worker the fault is attributed to the task.
func TestHungOnEveryWorker(t *testing.T) {
	const maxMoves, maxQuarantined, span = 8, 2, time.Minute
	bd := newTestbed(t, 1, 12)
	bd.hungJob = "a"
	bd.extraRunTime = 2 * span
	bd.submit(batchJob("a", 1))
	moves := 0
	for bd.now < span {
		before := bd.cell.RecordCount()
		bd.advance(50 * time.Millisecond)
		for _, rec := range bd.records[max(len(bd.records)-(bd.cell.RecordCount()-before), 0):] {
			if rec.Stop {
				moves++
			}
		}
	}
	t.Logf("moved %d times", moves)
	if moves == 0 || moves > maxMoves {
		t.Errorf("moved %d times in %v, want 1 to %d", moves, span, maxMoves)
	}
	if quarantined := bd.cell.Quarantined(bd.now); quarantined > maxQuarantined {
		t.Errorf("%d workers are in quarantine because of one task", quarantined)
	}
}

// TestHungTask checks that a task without progress is moved off its worker, except for
// one that has done its work and waits for the rest of its gang.
func TestHungTask(t *testing.T) {
	cases := map[string]struct {
		percent int
		moves   bool
	}{
		"hung":                 {7, true},
		"has not begun":        {0, true},
		"waits for the others": {100, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
			cl.Add(0, batchJob("a", 1), false)
			for _, id := range []incarnation.ID{"w1", "w2"} {
				cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
				cl.Report(1, id, 1, nil, nil)
			}
			cl.SetCommitted(cl.RecordCount())
			cl.Plan(2)
			first := cl.TakeOutput().Starts[0]
			cl.Started(3, first)
			at := time.Duration(0)
			for ; at < 4*time.Second; at += 500 * time.Millisecond {
				cl.Report(at, first.Worker, at, []cell.Run{{Task: first.Task, Number: first.Run, Percent: tc.percent}}, nil)
				cl.Tick(at, at)
			}
			if early := cl.TakeOutput(); len(early.Stops) > 0 {
				t.Fatalf("stops before they are in the journal: %v", early.Stops)
			}
			cl.SetCommitted(cl.RecordCount())
			out := cl.TakeOutput()
			if moves := len(out.Stops) == 1; moves != tc.moves {
				t.Fatalf("unexpected stops: %v", out.Stops)
			}
			if !tc.moves {
				return
			}
			cl.Stopped(at, out.Stops[0])
			cl.Report(at+1, first.Worker, at+1, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: first.Task, Number: first.Run}, Result: cell.ResultStopped}})
			for _, id := range []incarnation.ID{"w1", "w2"} {
				cl.Report(at+2, id, at+2, nil, nil)
			}
			cl.Plan(at + 3)
			again := cl.TakeOutput().Starts
			if len(again) != 1 || again[0].Worker == first.Worker || again[0].Run <= first.Run {
				t.Errorf("the task was restarted as %v", again)
			}
		})
	}
}

// ExampleCell starts a job of one task on the only worker.
func ExampleCell() {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(0, "w1", 0, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Add(0, batchJob("job1", 1), false)
	cl.Plan(0)
	for _, sr := range cl.TakeOutput().Starts {
		fmt.Println(sr.Worker, sr.Task, sr.Run)
	}
	// Output: w1 job1.0.0.0 1
}

// TestStartValid checks whether a start may still be sent after a change to its worker or run since the decision.
// An unanswered start was sent again although a report had listed the end of the run; the worker's next incarnation
// took it for a new start, and the task ran again after its end had been recorded.
func TestStartValid(t *testing.T) {
	entry := cell.Worker{ID: "w000", Service: "svc", Capacity: size.New(64000, 128000, 0)}
	draining, small, large := entry, entry, entry
	draining.Draining = true
	small.Capacity = size.New(1000, 128000, 0)
	large.Capacity = size.New(99000, 128000, 0)
	tests := map[string]struct {
		change func(cl *cell.Cell)
		want   bool
	}{
		"nothing":               {func(*cell.Cell) {}, true},
		"it drains":             {func(cl *cell.Cell) { cl.PutWorker(0, draining) }, false},
		"it is deregistered":    {func(cl *cell.Cell) { cl.Deregister(entry.ID) }, false},
		"it shrinks":            {func(cl *cell.Cell) { cl.PutWorker(0, small) }, false},
		"it grows":              {func(cl *cell.Cell) { cl.PutWorker(0, large) }, true},
		"its incarnation ends":  {func(cl *cell.Cell) { cl.Replaced(0, entry.ID) }, false},
		"it registers again":    {func(cl *cell.Cell) { cl.Deregister(entry.ID); cl.PutWorker(0, entry) }, true},
		"it stops answering":    {func(cl *cell.Cell) { cl.Unreachable(0, entry.ID, workerLease) }, true},
		"its hall is evacuated": {func(cl *cell.Cell) { cl.SetEvacuated([]string{entry.Hall}) }, false},
		"its job is cancelled":  {func(cl *cell.Cell) { cl.Cancel(0, "a", "") }, false},
		"its run is listed": {func(cl *cell.Cell) {
			cl.Report(0, entry.ID, 0, []cell.Run{{Task: work.Task{Job: "a"}, Number: 1}}, nil)
		}, false},
		"its run has ended": {func(cl *cell.Cell) {
			cl.Report(0, entry.ID, 0, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: work.Task{Job: "a"}, Number: 1}, Result: cell.ResultDone}})
		}, false},
		"another one shrinks": {func(cl *cell.Cell) { other := small; other.ID = "w001"; cl.PutWorker(0, other) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cl := newTestCell(1)
			cl.Add(0, batchJob("a", 1), false)
			cl.Plan(0)
			starts := cl.TakeOutput().Starts
			if len(starts) != 1 {
				t.Fatalf("%d starts, want 1", len(starts))
			}
			if tt.change(cl); cl.StartValid(starts[0]) != tt.want {
				t.Errorf("start valid: %v, want %v", !tt.want, tt.want)
			}
		})
	}
}
