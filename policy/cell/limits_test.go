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

// These tests guard against starts that take a workspace over its limit, such as 595,040 MiB in use of 429,632.

// newLimitedTestbed returns a testbed with three workspaces: one with a limit in cores, one with a limit in memory,
// and one whose limit is never reached.
func newLimitedTestbed(t *testing.T, seed uint64) *testbed {
	bd := newTestbed(t, seed, 10)
	bd.setLimit("cores", size.New(90_000, 0, 0))
	bd.setLimit("memory", size.New(0, 110_000, 0))
	bd.setLimit("wide", size.New(9_000_000, 9_000_000, 9))
	return bd
}

func (bd *testbed) submitInto(workspace string, n int) {
	jb := batchJob(fmt.Sprintf("%s%02d", workspace, n), 6, 0)
	switch n % 3 {
	case 1:
		jb = gangJob(fmt.Sprintf("%s%02d", workspace, n), 4)
	case 2:
		jb = batchJob(fmt.Sprintf("%s%02d", workspace, n), 3)
		jb.Queue = newQueue(0, 3, true)
	}
	jb.Workspace = bd.workspaces[workspace]
	bd.submit(jb)
}

// reportAndCrash crashes a worker after it has reported all of its ends: unreported ones would be lost with it, and
// their tasks could start again.
func (bd *testbed) reportAndCrash(id incarnation.ID) {
	if !bd.isDown(bd.workers[id]) {
		bd.report(id)
		bd.crashAndReplace(id)
	}
}

// finish advances the time until all jobs have ended, and fails the test if some do not end.
func (bd *testbed) finish(maxSteps int) {
	bd.t.Helper()
	for range maxSteps {
		bd.advance(40 * time.Millisecond)
		if bd.allEnded() {
			return
		}
	}
	for _, jb := range bd.jobs {
		if phase, _ := bd.cell.Phase(jb.ID, ""); !phase.Ended() {
			bd.t.Errorf("job %s is still %s", jb.ID, phase)
		}
	}
}

func (bd *testbed) allEnded() bool {
	for _, jb := range bd.jobs {
		if phase, _ := bd.cell.Phase(jb.ID, ""); !phase.Ended() {
			return false
		}
	}
	return true
}

// TestLimits runs jobs of three workspaces with faults drawn from seeds. The testbed checks at each start what the
// workspace has running on all workers, and every job ends.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		unanswered, failRate                    float64
		replace, lateReports, crash, disconnect bool
		cancel, changeLimits                    bool
	}{
		"no faults":                      {},
		"orders unanswered":              {unanswered: 0.1},
		"planners change":                {replace: true},
		"workers report late":            {replace: true, lateReports: true},
		"limits change":                  {changeLimits: true},
		"limits change, planners change": {changeLimits: true, replace: true, lateReports: true},
		"workers disconnect":             {disconnect: true, replace: true},
		"all faults":                     {unanswered: 0.1, failRate: 0.02, replace: true, lateReports: true, crash: true, disconnect: true, cancel: true, changeLimits: true},
	}
	for name, tc := range cases {
		for seed := range uint64(25) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				bd := newLimitedTestbed(t, seed)
				bd.unansweredRate, bd.failRate = tc.unanswered, tc.failRate
				if tc.lateReports {
					bd.maxReportDelay = 400 * time.Millisecond
				}
				for n := range 30 {
					bd.submitInto([]string{"cores", "memory", "wide"}[bd.rng.IntN(3)], n)
					bd.advance(40 * time.Millisecond)
					if tc.replace && n%5 == 4 {
						bd.replacePlanner()
						bd.executeOrders()
					}
					if tc.disconnect && n%6 == 2 {
						bd.disconnect(bd.workerIDs()[bd.rng.IntN(len(bd.workers))], 600*time.Millisecond)
					}
					if tc.crash && n%7 == 3 {
						bd.reportAndCrash(bd.workerIDs()[bd.rng.IntN(len(bd.workers))])
					}
					if tc.cancel && n%8 == 5 {
						bd.cancel(bd.jobs[bd.rng.IntN(len(bd.jobs))].ID)
					}
					if tc.changeLimits && n%4 == 1 {
						bd.setLimit("cores", size.New(80_000+bd.rng.Int64N(100_000), 0, 0))
					}
				}
				bd.unansweredRate = 0
				bd.finish(3000)
			})
		}
	}
}

// TestLimitLoweredBelowUsage checks that lowering a limit below the current usage stops no runs, and that nothing
// starts while the usage is over the limit.
func TestLimitLoweredBelowUsage(t *testing.T) {
	bd := newLimitedTestbed(t, 1)
	bd.extraRunTime = time.Second
	jb := batchJob("a", 30)
	jb.Workspace = bd.workspaces["wide"]
	bd.submit(jb)
	bd.advance(40 * time.Millisecond)
	bd.setLimit("wide", size.New(20_000, 0, 0))
	stops, starts := 0, 0
	for range 10 {
		bd.now += 10 * time.Millisecond
		bd.cell.Plan(bd.now)
		out := bd.cell.TakeOutput()
		stops, starts = stops+len(out.Stops), starts+len(out.Starts)
	}
	if stops > 0 || starts > 0 {
		t.Errorf("%d stops and %d starts while 30 tasks run with a limit of 5", stops, starts)
	}
}

// TestStepWiderThanLimit checks that a step that exceeds its workspace's limit runs in several waves.
func TestStepWiderThanLimit(t *testing.T) {
	bd := newLimitedTestbed(t, 1)
	jb := batchJob("a", 60) // four cores each, with a limit of 90
	jb.Workspace = bd.workspaces["cores"]
	bd.submit(jb)
	bd.finish(400)
}

// TestLimitDoesNotBlockOthers checks that a workspace at its limit with a long queue reserves no capacity that others
// could use.
func TestLimitDoesNotBlockOthers(t *testing.T) {
	bd := newLimitedTestbed(t, 1)
	bd.extraRunTime = 5 * time.Second
	for n := range 10 {
		jb := gangJob(fmt.Sprint("g", n), 4)
		jb.Workspace = bd.workspaces["cores"]
		bd.submit(jb)
	}
	for range 30 {
		bd.advance(40 * time.Millisecond)
	}
	other := batchJob("other", 40)
	other.Workspace = bd.workspaces["wide"]
	bd.submit(other)
	bd.advance(40 * time.Millisecond)
	if phase, _ := bd.cell.Phase("other", ""); phase != cell.Running {
		t.Errorf("job of a workspace below its limit is %s behind one at its limit", phase)
	}
}

// TestForeignJob checks that a caller of another workspace can neither see nor cancel a job.
func TestForeignJob(t *testing.T) {
	bd := newLimitedTestbed(t, 1)
	bd.submitInto("cores", 0)
	bd.cell.Cancel(bd.now, "cores00", "memory")
	bd.executeOrders()
	if _, known := bd.cell.Phase("cores00", "memory"); known {
		t.Error("a job is visible to another workspace")
	}
	if phase, known := bd.cell.Phase("cores00", "cores"); !known || phase.Ended() {
		t.Errorf("job is %q after a cancel by another workspace", phase)
	}
	early := batchJob("early", 1)
	early.Workspace = bd.workspaces["cores"]
	bd.cell.Cancel(bd.now, "early", "memory") // before the job is known
	bd.submit(early)
	bd.executeOrders()
	if phase, _ := bd.cell.Phase("early", "cores"); phase.Ended() {
		t.Errorf("job is %q after an earlier cancel by another workspace", phase)
	}
	bd.cell.Cancel(bd.now, "cores00", "cores")
	bd.executeOrders()
	if phase, _ := bd.cell.Phase("cores00", "cores"); phase != cell.Cancelled {
		t.Errorf("job is %q after a cancel by its own workspace", phase)
	}
}

// TestUnreportedWorkers checks that after a change of planner the tasks that may be on workers without a report count
// as running, up to the capacity of these workers, even if their jobs have ended meanwhile.
func TestUnreportedWorkers(t *testing.T) {
	cases := map[string]struct {
		listed, cancelled bool
		starts            int
	}{
		"worker's capacity is not known yet":   {starts: 0},
		"worker has capacity for some of them": {listed: true, starts: 2},
		"its job has just been cancelled":      {cancelled: true, starts: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65, StopTimeout: stopTime})
			ws := work.Workspace{Name: "brno", Limit: size.New(20_000, 0, 0), Version: 1}
			old, fresh := batchJob("old", 8), batchJob("fresh", 8) // four cores a task
			old.Workspace, fresh.Workspace = ws, ws
			cl.Add(0, old, true)
			if tc.cancelled {
				cl.Cancel(0, "old", "")
			}
			cl.InheritRuns(0, "w1", nil)
			if tc.listed {
				cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(12_000, 64_000, 0)})
			}
			cl.PutWorker(0, cell.Worker{ID: "w2", Service: "svc", Capacity: size.New(64_000, 128_000, 0)})
			cl.Report(0, "w2", 0, nil, nil)
			cl.SetCommitted(cl.RecordCount())
			cl.Add(0, fresh, false)
			cl.Plan(time.Millisecond)
			if out := cl.TakeOutput(); len(out.Starts) != tc.starts {
				t.Errorf("%d starts while one worker has not reported, want %d", len(out.Starts), tc.starts)
			}
			cl.Report(2*time.Millisecond, "w1", 0, nil, nil)
			cl.FinishRecovery()
			cl.Plan(3 * time.Millisecond)
			if out := cl.TakeOutput(); len(out.Starts)+tc.starts != 5 {
				t.Errorf("%d starts once all have reported, want %d", len(out.Starts), 5-tc.starts)
			}
		})
	}
}
