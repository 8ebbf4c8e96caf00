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

// standbyBed is a cell whose workers are on standby until they are needed. Those in use answer at once.
type standbyBed struct {
	cell    *cell.Cell
	workers map[incarnation.ID]cell.Worker
	inUse   map[incarnation.ID]bool
	records []cell.Record
	now     time.Duration
}

// newStandbyBed returns a cell with a number of workers on standby. One in a hundred has the label "fast" and four times
// the capacity of the others.
func newStandbyBed(count int) *standbyBed {
	sb := &standbyBed{cell: cell.New(cell.Options{FirstRun: 1}), workers: map[incarnation.ID]cell.Worker{}, inUse: map[incarnation.ID]bool{}}
	sb.cell.FinishRecovery()
	for at := range count {
		wk := cell.Worker{
			ID: incarnation.ID(fmt.Sprintf("w%04d", at)), Service: "svc", Capacity: size.New(8000, 8000, 0), Rack: fmt.Sprint("r", at/4),
		}
		if at%100 == 50 {
			wk.Capacity, wk.Labels = size.New(32000, 32000, 0), []string{"fast"}
		}
		sb.workers[wk.ID] = wk
		sb.cell.PutStandby(wk)
	}
	return sb
}

// step advances the time and lets the workers in use answer. Starts are confirmed, and their runs do not end.
func (sb *standbyBed) step(span time.Duration) {
	const interval = 50 * time.Millisecond
	for until := sb.now + span; sb.now < until; sb.now += interval {
		for _, id := range sb.cell.Activate(sb.now) {
			sb.inUse[id] = true
			sb.cell.PutWorker(sb.now, sb.workers[id])
		}
		for id := range sb.inUse {
			sb.cell.Report(sb.now, id, sb.now, sb.cell.HeldRuns(id), nil)
		}
		sb.cell.Plan(sb.now)
		out := sb.cell.TakeOutput()
		sb.records = append(sb.records, out.Records...)
		for _, sr := range out.Starts {
			sb.cell.Started(sb.now, sr)
		}
		sb.cell.SetCommitted(sb.cell.RecordCount())
	}
}

// add adds a job with one step.
func (sb *standbyBed) add(id string, st work.Step) {
	sb.cell.Add(sb.now, &work.Job{
		ID: id, Queue: work.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 2, Target: time.Second}, Steps: []work.Step{st},
	}, false)
}

// TestActivate checks how many workers come into use, so that neither a planner's cost grows with the number of workers
// nor a task waits while workers that could run it are on standby.
func TestActivate(t *testing.T) {
	const workers = 3000
	small := size.New(1000, 1000, 0)
	for name, tc := range map[string]struct {
		steps []work.Step
		// placed is how many tasks are expected to run, and the others are bounds of the number of workers in use.
		placed, least, most int
	}{
		"no work":                 {least: 64, most: 64},
		"little work":             {steps: []work.Step{{Count: 8, Need: small}}, placed: 8, least: 64, most: 70},
		"more work than room":     {steps: []work.Step{{Count: 4000, Need: small}}, placed: 4000, least: 500, most: 2000},
		"all workers are needed":  {steps: []work.Step{{Count: 2 * workers, Need: size.New(4000, 4000, 0)}}, placed: 2 * workers, least: workers, most: workers},
		"a rare label":            {steps: []work.Step{{Count: 20, Need: small, Label: "fast", PerWorker: 1}}, placed: 20, least: 70, most: 400},
		"a rare capacity":         {steps: []work.Step{{Count: 20, Need: size.New(20000, 1000, 0)}}, placed: 20, least: 70, most: 400},
		"a rack with data":        {steps: []work.Step{{Count: 2, Need: small, Rack: "r700"}}, placed: 2, least: 64, most: 70},
		"one task on each worker": {steps: []work.Step{{Count: 200, Need: small, PerWorker: 1}}, placed: 200, least: 200, most: 1000},
		"a gang":                  {steps: []work.Step{{Count: 300, Need: size.New(8000, 8000, 0), Gang: true}}, placed: 300, least: 290, most: 1200},
		"fits no worker":          {steps: []work.Step{{Count: 50, Need: size.New(64000, 1000, 0)}}, least: 64, most: 64},
		"no worker has the label": {steps: []work.Step{{Count: 50, Need: small, Label: "none"}}, least: 64, most: 100},
	} {
		t.Run(name, func(t *testing.T) {
			sb := newStandbyBed(workers)
			sb.step(200 * time.Millisecond)
			for at, st := range tc.steps {
				sb.add(fmt.Sprint("job", at), st)
			}
			sb.step(5 * time.Second)
			placed := 0
			for id := range sb.inUse {
				placed += len(sb.cell.HeldRuns(id))
			}
			if placed != tc.placed {
				t.Errorf("%d tasks run, want %d", placed, tc.placed)
			}
			if count := len(sb.inUse); count < tc.least || count > tc.most {
				t.Errorf("%d workers in use, want %d to %d", count, tc.least, tc.most)
			}
		})
	}
}

// TestActivateSkipsDraining guards against a draining worker that comes into use although it takes no runs.
func TestActivateSkipsDraining(t *testing.T) {
	sb := newStandbyBed(10)
	wk := sb.workers["w0003"]
	wk.Draining = true
	sb.cell.PutStandby(wk)
	sb.cell.RemoveStandby("svc", "w0004")
	sb.step(100 * time.Millisecond)
	if len(sb.inUse) != 8 || sb.inUse["w0003"] || sb.inUse["w0004"] {
		t.Errorf("in use: %v, want all but w0003 and w0004", sb.inUse)
	}
}

// TestSurplus checks that workers go on standby once they are idle for long, and that the next planner need not wait for
// them.
func TestSurplus(t *testing.T) {
	sb := newStandbyBed(1000)
	sb.step(100 * time.Millisecond)
	sb.add("job", work.Step{Count: 1000, Need: size.New(4000, 4000, 0)})
	sb.step(2 * time.Second)
	peak := len(sb.inUse)
	if peak < 500 {
		t.Fatalf("%d workers in use, want at least 500", peak)
	}
	if ids := sb.cell.Surplus(sb.now); len(ids) > 0 {
		t.Errorf("%d workers are surplus while they have runs", len(ids))
	}
	sb.cell.Cancel(sb.now, "job", "")
	for id := range sb.inUse {
		sb.cell.Report(sb.now, id, sb.now, nil, nil)
	}
	sb.dropRuns()
	sb.step(10 * time.Second)
	if ids := sb.cell.Surplus(sb.now); len(ids) > 0 {
		t.Errorf("%d workers are surplus while orders to them may be in transit", len(ids))
	}
	sb.step(15 * time.Second)
	retired := sb.cell.Surplus(sb.now)
	if left := peak - len(retired); left < 64 || left > 200 {
		t.Errorf("%d workers remain in use, want 64 to 200", left)
	}
	for _, id := range retired {
		sb.cell.Retire(id)
	}
	gone := map[incarnation.ID]bool{}
	for _, rec := range append(sb.records, sb.cell.TakeOutput().Records...) {
		if rec.Worker != "" && !rec.Stop {
			gone[rec.Worker] = rec.Gone
		}
	}
	for _, id := range retired {
		if !gone[id] {
			t.Fatalf("the last record of %s does not say that it is gone", id)
		}
	}
}

// dropRuns confirms the stops of all runs and reports that they are gone.
func (sb *standbyBed) dropRuns() {
	for range 3 {
		for _, sp := range sb.cell.TakeOutput().Stops {
			sb.cell.Stopped(sb.now, sp)
		}
		sb.now += time.Second
		for id := range sb.inUse {
			sb.cell.Report(sb.now, id, sb.now, nil, nil)
		}
		sb.cell.SetCommitted(sb.cell.RecordCount())
	}
}
