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

// Starts lifted workspaces past their limits: 595,040 MiB ran where 429,632 was the most.

// limitedBed has jobs of all kinds in three workspaces: one with a limit in cores, one with a limit in memory,
// one with a limit that nothing comes near.
func limitedBed(t *testing.T, seed uint64) *bed {
	bd := newBed(t, seed, 10)
	bd.limit("cores", size.New(90_000, 0, 0))
	bd.limit("memory", size.New(0, 110_000, 0))
	bd.limit("wide", size.New(9_000_000, 9_000_000, 9))
	return bd
}

func (bd *bed) submitInto(workspace string, n int) {
	jb := batch(fmt.Sprintf("%s%02d", workspace, n), 6, 0)
	switch n % 3 {
	case 1:
		jb = gang(fmt.Sprintf("%s%02d", workspace, n), 4)
	case 2:
		jb = batch(fmt.Sprintf("%s%02d", workspace, n), 3)
		jb.Queue = queue(0, 3, true)
	}
	jb.Workspace = bd.workspaces[workspace]
	bd.submit(jb)
}

// crashAfterReport has a worker crash that has told of all of its ends: those that nobody heard of are lost
// with it, and their tasks may begin again.
func (bd *bed) crashAfterReport(id incarnation.ID) {
	if !bd.quiet(bd.workers[id]) {
		bd.report(id)
		bd.crashForNow(id)
	}
}

// finish lets time pass until all jobs have ended, and fails if some do not.
func (bd *bed) finish(most int) {
	bd.t.Helper()
	for range most {
		bd.pass(40 * time.Millisecond)
		if bd.allEnded() {
			return
		}
	}
	for _, jb := range bd.jobs {
		if phase, _ := bd.cell.Phase(jb.ID, ""); !phase.Ended() {
			bd.t.Errorf("job %s is %s in the end", jb.ID, phase)
		}
	}
}

func (bd *bed) allEnded() bool {
	for _, jb := range bd.jobs {
		if phase, _ := bd.cell.Phase(jb.ID, ""); !phase.Ended() {
			return false
		}
	}
	return true
}

// TestLimits runs jobs of three workspaces through faults drawn from seeds. The bed checks at each start what
// the workspace has running on all workers; in the end every job has ended.
func TestLimits(t *testing.T) {
	cases := map[string]struct {
		faults, fails               float64
		elect, slow, crash, silence bool
		cancel, change              bool
	}{
		"calm":                            {},
		"orders unanswered":               {faults: 0.1},
		"planners change":                 {elect: true},
		"workers answer the planner late": {elect: true, slow: true},
		"limits change":                   {change: true},
		"limits change, planners change":  {change: true, elect: true, slow: true},
		"workers fall silent":             {silence: true, elect: true},
		"everything at once":              {faults: 0.1, fails: 0.02, elect: true, slow: true, crash: true, silence: true, cancel: true, change: true},
	}
	for name, tc := range cases {
		for seed := range uint64(25) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				bd := limitedBed(t, seed)
				bd.faults, bd.fails = tc.faults, tc.fails
				if tc.slow {
					bd.slowElect = 400 * time.Millisecond
				}
				for n := range 30 {
					bd.submitInto([]string{"cores", "memory", "wide"}[bd.rd.IntN(3)], n)
					bd.pass(40 * time.Millisecond)
					if tc.elect && n%5 == 4 {
						bd.elect()
						bd.carryOut()
					}
					if tc.silence && n%6 == 2 {
						bd.silence(bd.ids()[bd.rd.IntN(len(bd.workers))], 600*time.Millisecond)
					}
					if tc.crash && n%7 == 3 {
						bd.crashAfterReport(bd.ids()[bd.rd.IntN(len(bd.workers))])
					}
					if tc.cancel && n%8 == 5 {
						bd.cancel(bd.jobs[bd.rd.IntN(len(bd.jobs))].ID)
					}
					if tc.change && n%4 == 1 {
						bd.limit("cores", size.New(80_000+bd.rd.Int64N(100_000), 0, 0))
					}
				}
				bd.faults = 0
				bd.finish(3000)
			})
		}
	}
}

// TestLimitLoweredBelowWhatRuns stops nothing that runs and starts nothing until there is room again.
func TestLimitLoweredBelowWhatRuns(t *testing.T) {
	bd := limitedBed(t, 1)
	bd.longer = time.Second
	jb := batch("a", 30)
	jb.Workspace = bd.workspaces["wide"]
	bd.submit(jb)
	bd.pass(40 * time.Millisecond)
	bd.limit("wide", size.New(20_000, 0, 0))
	stops, starts := 0, 0
	for range 10 {
		bd.now += 10 * time.Millisecond
		bd.cell.Plan(bd.now)
		out := bd.cell.TakeOutput()
		stops, starts = stops+len(out.Stops), starts+len(out.Starts)
	}
	if stops > 0 || starts > 0 {
		t.Errorf("%d stops and %d starts while 30 tasks run where 5 may", stops, starts)
	}
}

// TestStepWiderThanItsLimit runs in waves.
func TestStepWiderThanItsLimit(t *testing.T) {
	bd := limitedBed(t, 1)
	jb := batch("a", 60) // of four cores each, where 90 may run
	jb.Workspace = bd.workspaces["cores"]
	bd.submit(jb)
	bd.finish(400)
}

// TestLimitHoldsUpNobodyElse: a workspace at its limit with a long queue keeps no room that others could use.
func TestLimitHoldsUpNobodyElse(t *testing.T) {
	bd := limitedBed(t, 1)
	bd.longer = 5 * time.Second
	for n := range 10 {
		jb := gang(fmt.Sprint("g", n), 4)
		jb.Workspace = bd.workspaces["cores"]
		bd.submit(jb)
	}
	for range 30 {
		bd.pass(40 * time.Millisecond)
	}
	other := batch("other", 40)
	other.Workspace = bd.workspaces["wide"]
	bd.submit(other)
	bd.pass(40 * time.Millisecond)
	if phase, _ := bd.cell.Phase("other", ""); phase != cell.Running {
		t.Errorf("job of a workspace with room is %s behind one at its limit", phase)
	}
}

// TestForeignJob: what a caller of another workspace asks or cancels is no job to it.
func TestForeignJob(t *testing.T) {
	bd := limitedBed(t, 1)
	bd.submitInto("cores", 0)
	bd.cell.Cancel(bd.now, "cores00", "memory")
	bd.carryOut()
	if _, known := bd.cell.Phase("cores00", "memory"); known {
		t.Error("a job is shown to another workspace")
	}
	if phase, known := bd.cell.Phase("cores00", "cores"); !known || phase.Ended() {
		t.Errorf("job is %q after the cancel of another workspace", phase)
	}
	early := batch("early", 1)
	early.Workspace = bd.workspaces["cores"]
	bd.cell.Cancel(bd.now, "early", "memory") // before the job is known
	bd.submit(early)
	bd.carryOut()
	if phase, _ := bd.cell.Phase("early", "cores"); phase.Ended() {
		t.Errorf("job is %q by a cancel of another workspace that came first", phase)
	}
	bd.cell.Cancel(bd.now, "cores00", "cores")
	bd.carryOut()
	if phase, _ := bd.cell.Phase("cores00", "cores"); phase != cell.Cancelled {
		t.Errorf("job is %q after a cancel of its own workspace", phase)
	}
}

// TestUnheardWorkers: after a change of planner what workers run that have not reported counts as running, as
// far as they have room, whatever became of the jobs meanwhile.
func TestUnheardWorkers(t *testing.T) {
	cases := map[string]struct {
		listed, cancelled bool
		starts            int
	}{
		"room of the worker is not known yet":   {starts: 0},
		"worker has room for a part of them":    {listed: true, starts: 2},
		"its job was cancelled a moment before": {cancelled: true, starts: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65, StopTimeout: stopTime})
			ws := work.Workspace{Name: "brno", Limit: size.New(20_000, 0, 0), Version: 1}
			old, fresh := batch("old", 8), batch("fresh", 8) // four cores a task
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
