package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

func queue(priority, attempts int, advised bool) work.Queue {
	return work.Queue{
		Name: fmt.Sprintf("q%d", priority), Service: "svc", Priority: priority, Attempts: attempts,
		Stretch: 2, Target: time.Second, Advised: advised,
	}
}

func batch(id string, count int, after ...int) *work.Job {
	jb := &work.Job{ID: id, Queue: queue(2, 3, false), Spec: id}
	jb.Steps = []work.Step{{Count: count, Need: size.New(4000, 8000, 0), Estimate: time.Second}}
	if len(after) > 0 {
		jb.Steps = append(jb.Steps, work.Step{Count: 2, Need: size.New(4000, 8000, 0), Estimate: time.Second, After: after})
	}
	return jb
}

func gang(id string, count int) *work.Job {
	return &work.Job{ID: id, Queue: queue(1, 3, true), Spec: id, Steps: []work.Step{
		{Count: count, Need: size.New(18000, 26000, 0), Estimate: time.Second, Gang: true},
	}}
}

// TestPromises runs jobs of all kinds through faults drawn from seeds; the bed checks
// each start, and in the end every job has ended.
func TestPromises(t *testing.T) {
	cases := map[string]struct {
		faults, fails   float64
		elect, crash    bool
		cancel, silence bool
		shrink          bool
		mayFail, settle int
	}{
		"calm":                            {},
		"runs fail":                       {fails: 0.1, mayFail: 8},
		"orders unanswered":               {faults: 0.1},
		"planners change":                 {elect: true},
		"planners change, runs fail":      {elect: true, fails: 0.1, mayFail: 8},
		"workers crash":                   {crash: true},
		"workers fall silent":             {silence: true},
		"silence, planners change":        {silence: true, elect: true, fails: 0.02, mayFail: 4},
		"jobs cancelled":                  {cancel: true},
		"everything at once":              {faults: 0.1, fails: 0.05, elect: true, crash: true, silence: true, cancel: true, mayFail: 8},
		"planners change, orders delayed": {elect: true, faults: 0.2},
		"rooms shrink and grow":           {shrink: true},
		"rooms shrink, planners change":   {shrink: true, elect: true, faults: 0.05},
	}
	for name, tc := range cases {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				bd := newBed(t, seed, 10)
				bd.faults, bd.fails = tc.faults, tc.fails
				const jobs = 24
				for n := range jobs {
					switch n % 3 {
					case 0:
						bd.submit(batch(fmt.Sprintf("a%02d", n), 6, 0))
					case 1:
						bd.submit(gang(fmt.Sprintf("b%02d", n), 4))
					default:
						jb := batch(fmt.Sprintf("c%02d", n), 3)
						jb.Queue = queue(0, 3, true)
						bd.submit(jb)
					}
					bd.pass(40 * time.Millisecond)
					if tc.elect && n%5 == 4 {
						bd.elect()
						bd.carryOut()
					}
					if tc.silence && n%4 == 3 {
						bd.silence(incarnation.ID(fmt.Sprintf("w%02d", n%10)), 700*time.Millisecond)
						bd.carryOut()
					}
					if tc.crash && n == 12 {
						bd.crash("w03")
						bd.addWorker("w13")
						bd.cell.PutWorker(bd.now, bd.workers["w13"].Worker)
					}
					if tc.shrink {
						bd.resize(incarnation.ID(fmt.Sprintf("w%02d", n*7%10)), []int64{1, 4, 0, 2}[n%4])
					}
					if tc.cancel && n%6 == 5 {
						bd.cancel(bd.jobs[n-2].ID)
						bd.carryOut()
					}
				}
				for n := range 10 {
					bd.resize(incarnation.ID(fmt.Sprintf("w%02d", n)), quarters)
				}
				for range 2000 {
					bd.pass(40 * time.Millisecond)
				}
				counts := bd.phases()
				if counts[cell.Queued]+counts[cell.Running] > 0 {
					t.Errorf("jobs have not ended: %v", counts)
				}
				if counts[cell.Failed] > tc.mayFail {
					t.Errorf("too many jobs have failed: %v", counts)
				}
			})
		}
	}
}

// TestPhaseNeedsProof shows a job as succeeded only once the journal has its end.
func TestPhaseNeedsProof(t *testing.T) {
	bd := newBed(t, 1, 1)
	bd.submit(batch("a", 1))
	bd.pass(time.Millisecond)
	bd.now += 2 * time.Second
	bd.workers["w00"].advance(bd)
	bd.report("w00")
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Running {
		t.Errorf("phase is %s before the end is in the journal", phase)
	}
	if noted, waits := bd.cell.AckedEnd("w00"); noted != 0 || !waits {
		t.Errorf("end %d may be forgotten before it is in the journal", noted)
	}
	bd.carryOut()
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Succeeded {
		t.Errorf("phase is %s once the end is in the journal", phase)
	}
	if noted, _ := bd.cell.AckedEnd("w00"); noted != 1 {
		t.Errorf("end %d is noted, want 1", noted)
	}
}

// TestCancelBeforeJob keeps a job from starting whose cancel came first.
func TestCancelBeforeJob(t *testing.T) {
	bd := newBed(t, 1, 1)
	bd.cancel("a")
	bd.submit(batch("a", 1))
	bd.pass(time.Millisecond)
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Cancelled {
		t.Errorf("phase is %s, want cancelled", phase)
	}
}

// TestFailureCountsOnce lets another planner see a failed run that the journal has
// already: it is not counted twice.
func TestFailureCountsOnce(t *testing.T) {
	bd := newBed(t, 1, 1)
	jb := batch("a", 1)
	jb.Queue.Attempts = 2
	bd.submit(jb)
	bd.pass(time.Millisecond)
	bd.fails = 1
	bd.now += 2 * time.Second
	bd.workers["w00"].advance(bd)
	bd.report("w00")
	bd.records = append(bd.records, bd.cell.TakeOutput().Records...)
	bd.fails = 0
	bd.elect() // the worker was not told to forget the end
	for range 100 {
		bd.pass(100 * time.Millisecond)
	}
	if phase, _ := bd.cell.Phase("a", ""); phase != cell.Succeeded {
		t.Errorf("phase is %s after one failed run of two that may", phase)
	}
}

// TestOldTasksWait lets a planner wait with tasks that may still run on a worker that
// has not answered it.
func TestOldTasksWait(t *testing.T) {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
	cl.Add(0, batch("old", 1), true)
	cl.Add(0, batch("new", 1), false)
	cl.PutWorker(0, cell.Worker{ID: "w", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(1, "w", 1, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(2)
	if out := cl.TakeOutput(); len(out.Starts) != 1 || out.Starts[0].Task.Job != "new" {
		t.Errorf("starts before the old tasks' whereabouts are known: %v", out.Starts)
	}
	cl.FinishRecovery()
	cl.Plan(3)
	out := cl.TakeOutput()
	if len(out.Starts) != 1 || out.Starts[0].Task.Job != "old" {
		t.Fatalf("starts after that: %v", out.Starts)
	}
	if out.Starts[0].Run < 65 {
		t.Errorf("run %d may have been used by an earlier planner", out.Starts[0].Run)
	}
}

// TestRounds opens each round of a repeated job at its time.
func TestRounds(t *testing.T) {
	bd := newBed(t, 1, 2)
	jb := batch("a", 1)
	jb.Repeat = &work.Repeat{Count: 3, Start: time.Second, Every: 2 * time.Second}
	bd.submit(jb)
	begun := map[int]time.Duration{}
	for range 100 {
		bd.pass(100 * time.Millisecond)
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

// TestPending counts the jobs that have not begun.
func TestPending(t *testing.T) {
	bd := newBed(t, 1, 1)
	for n := range 20 {
		bd.submit(batch(fmt.Sprintf("a%d", n), 2))
	}
	if got := bd.cell.QueuedJobs("q2"); got != 20 {
		t.Errorf("%d jobs wait, want 20", got)
	}
	bd.pass(time.Millisecond)
	if got := bd.cell.QueuedJobs("q2"); got != 12 {
		t.Errorf("%d jobs wait, want 12: the worker has room for 16 tasks", got)
	}
	bd.cancel("a19")
	if got := bd.cell.QueuedJobs("q2"); got != 11 {
		t.Errorf("%d jobs wait after a cancel, want 11", got)
	}
}

// TestStandsStillEverywhere has a task that makes no progress on any worker, among twelve that are healthy. It
// was moved every 2.5 s without an end, and each worker that it had been on rested for 6 s: three of the
// twelve were at rest for it at any time. It is moved ever more rarely, and after the second worker it is
// the task that is at fault.
func TestStandsStillEverywhere(t *testing.T) {
	const mostMoves, mostResting, longest = 8, 2, time.Minute
	bd := newBed(t, 1, 12)
	bd.still = "a"
	bd.longer = 2 * longest
	bd.submit(batch("a", 1))
	moves := 0
	for bd.now < longest {
		before := bd.cell.RecordCount()
		bd.pass(50 * time.Millisecond)
		for _, rec := range bd.records[max(len(bd.records)-(bd.cell.RecordCount()-before), 0):] {
			if rec.Stop {
				moves++
			}
		}
	}
	t.Logf("moved %d times", moves)
	if moves == 0 || moves > mostMoves {
		t.Errorf("moved %d times in %v, want 1 to %d", moves, longest, mostMoves)
	}
	if resting := bd.cell.Quarantined(bd.now); resting > mostResting {
		t.Errorf("%d workers are at rest for one task", resting)
	}
}

// TestHung moves a task off a worker on which it makes no progress, but not one that
// has done its work and waits for the rest of its gang.
func TestHung(t *testing.T) {
	cases := map[string]struct {
		percent int
		moves   bool
	}{
		"stands still":         {7, true},
		"has not begun":        {0, true},
		"waits for the others": {100, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
			cl.Add(0, batch("a", 1), false)
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
				t.Fatalf("stops before the journal has them: %v", early.Stops)
			}
			cl.SetCommitted(cl.RecordCount())
			out := cl.TakeOutput()
			if moves := len(out.Stops) == 1; moves != tc.moves {
				t.Fatalf("stops: %v", out.Stops)
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
				t.Errorf("the task was started again as %v", again)
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
	cl.Add(0, batch("job1", 1), false)
	cl.Plan(0)
	for _, sr := range cl.TakeOutput().Starts {
		fmt.Println(sr.Worker, sr.Task, sr.Run)
	}
	// Output: w1 job1.0.0.0 1
}

// TestStands has something happen to a worker, or to the run, between the decision on a start and its
// sending. A start without an answer was sent again though a report had told the run's end meanwhile; the
// worker's next life took it for a new one, and callers saw the task run after its end had been noted.
func TestStands(t *testing.T) {
	entry := cell.Worker{ID: "w000", Service: "svc", Capacity: size.New(64000, 128000, 0)}
	leaving, small, large := entry, entry, entry
	leaving.Draining = true
	small.Capacity = size.New(1000, 128000, 0)
	large.Capacity = size.New(99000, 128000, 0)
	tests := map[string]struct {
		act  func(cl *cell.Cell)
		want bool
	}{
		"nothing":              {func(*cell.Cell) {}, true},
		"it begins to leave":   {func(cl *cell.Cell) { cl.PutWorker(0, leaving) }, false},
		"its entry goes":       {func(cl *cell.Cell) { cl.Deregister(entry.ID) }, false},
		"it shrinks":           {func(cl *cell.Cell) { cl.PutWorker(0, small) }, false},
		"it grows":             {func(cl *cell.Cell) { cl.PutWorker(0, large) }, true},
		"its life is over":     {func(cl *cell.Cell) { cl.Replaced(0, entry.ID) }, false},
		"it is listed anew":    {func(cl *cell.Cell) { cl.Deregister(entry.ID); cl.PutWorker(0, entry) }, true},
		"it answers no more":   {func(cl *cell.Cell) { cl.Unreachable(0, entry.ID) }, true},
		"its job is cancelled": {func(cl *cell.Cell) { cl.Cancel(0, "a", "") }, false},
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
			cl := crowd(1)
			cl.Add(0, batch("a", 1), false)
			cl.Plan(0)
			starts := cl.TakeOutput().Starts
			if len(starts) != 1 {
				t.Fatalf("%d starts", len(starts))
			}
			if tt.act(cl); cl.StartValid(starts[0]) != tt.want {
				t.Errorf("stands: %v, want %v", !tt.want, tt.want)
			}
		})
	}
}
