package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// newHallCell returns a cell with three workers, w000 in hall a, w001 in b and w002 in c, each with room for eight tasks
// of hallStep.
func newHallCell() *cell.Cell {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	for at, hall := range []string{"a", "b", "c"} {
		id := incarnation.ID(fmt.Sprintf("w%03d", at))
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Hall: hall, Capacity: size.New(8000, 8000, 0)})
		cl.Report(0, id, 0, nil, nil)
	}
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	return cl
}

func hallStep(count int) work.Step {
	return work.Step{Count: count, Need: size.New(1000, 1000, 0), Estimate: time.Second}
}

// startsByWorker plans and returns how many starts go to each worker.
func startsByWorker(cl *cell.Cell, now time.Duration) map[incarnation.ID]int {
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(now)
	counts := map[incarnation.ID]int{}
	for _, sr := range cl.TakeOutput().Starts {
		counts[sr.Worker]++
		cl.Started(now, sr)
	}
	return counts
}

// TestEvacuatedHall checks which workers get starts while halls are evacuated, with 24 tasks that fill all workers.
func TestEvacuatedHall(t *testing.T) {
	for name, tc := range map[string]struct {
		sets [][]string // in the order in which they are set
		want map[incarnation.ID]int
	}{
		"none":           {[][]string{nil}, map[incarnation.ID]int{"w000": 8, "w001": 8, "w002": 8}},
		"one":            {[][]string{[]string{"a"}}, map[incarnation.ID]int{"w001": 8, "w002": 8}},
		"two":            {[][]string{[]string{"a", "c"}}, map[incarnation.ID]int{"w001": 8}},
		"all":            {[][]string{[]string{"a", "b", "c"}}, map[incarnation.ID]int{}},
		"one withdrawn":  {[][]string{[]string{"a", "b"}, []string{"b"}}, map[incarnation.ID]int{"w000": 8, "w002": 8}},
		"no such hall":   {[][]string{[]string{"d"}}, map[incarnation.ID]int{"w000": 8, "w001": 8, "w002": 8}},
		"another in its": {[][]string{[]string{"a"}, []string{"b"}}, map[incarnation.ID]int{"w000": 8, "w002": 8}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newHallCell()
			cl.Plan(0) // the workers are in their pool before the halls are evacuated
			for _, set := range tc.sets {
				cl.SetEvacuated(set)
			}
			submitStep(cl, "job", hallStep(24), newQueue(2, 3, false))
			is.Equal(startsByWorker(cl, 0), tc.want)
		})
	}
}

// TestEvacuationOfUnsentStart evacuates a hall between the decision of starts and their sending.
func TestEvacuationOfUnsentStart(t *testing.T) {
	is := is.New(t)
	cl := newHallCell()
	submitStep(cl, "job", hallStep(24), newQueue(2, 3, false))
	cl.Plan(0)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 24)
	cl.SetEvacuated([]string{"b"})
	for _, sr := range starts {
		is.Equal(cl.StartValid(sr), sr.Worker != "w001")
	}
	cl.SetEvacuated(nil)
	for _, sr := range starts {
		is.True(cl.StartValid(sr))
	}
}

// TestWithdrawnEvacuation has tasks wait for the only hall with room. They must start at once when the evacuation is
// withdrawn.
func TestWithdrawnEvacuation(t *testing.T) {
	is := is.New(t)
	cl := newHallCell()
	cl.SetEvacuated([]string{"a", "b", "c"})
	submitStep(cl, "job", hallStep(4), newQueue(2, 3, false))
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		cl.Tick(now, now)
		is.Equal(len(startsByWorker(cl, now)), 0)
	}
	list := cl.LongestWaiting(time.Second, 0, 1)
	is.Equal(len(list), 1)
	is.Equal(list[0].WaitsFor.Reason, cell.WaitEvacuation)
	cl.SetEvacuated([]string{"a", "c"})
	is.Equal(startsByWorker(cl, time.Second), map[incarnation.ID]int{"w001": 4})
}

// TestEvacuatedStandby checks that workers of evacuated halls do not come into use, and that others do in their place.
func TestEvacuatedStandby(t *testing.T) {
	is := is.New(t)
	const perHall, minInUse = 20, 12
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, MinInUse: minInUse})
	cl.FinishRecovery()
	workers := map[incarnation.ID]cell.Worker{}
	for at := range 2 * perHall {
		wk := cell.Worker{ID: incarnation.ID(fmt.Sprintf("w%03d", at)), Service: "svc", Hall: "a", Capacity: size.New(8000, 8000, 0), Rack: "ra"}
		if at >= perHall {
			wk.Hall, wk.Rack = "b", "rb"
		}
		workers[wk.ID] = wk
		cl.PutStandby(wk)
	}
	activate := func(now time.Duration) (halls map[string]int) {
		halls = map[string]int{}
		for _, id := range cl.Activate(now) {
			halls[workers[id].Hall]++
			cl.PutWorker(now, workers[id])
			cl.Report(now, id, now, nil, nil)
		}
		cl.SetCommitted(cl.RecordCount())
		return halls
	}
	cl.SetEvacuated([]string{"a"})
	is.Equal(activate(0), map[string]int{"b": minInUse})
	cl.SetEvacuated([]string{"b"})
	is.Equal(activate(0), map[string]int{"a": minInUse})
	const later = 30 * time.Second
	is.Equal(len(cl.Surplus(later)), minInUse) // the idle workers of the evacuated hall
	near := hallStep(1)
	near.Rack = "rb"
	submitStep(cl, "near", near, newQueue(2, 3, false))
	is.Equal(activate(0)["b"], 0)
}

// TestEvacuationMovesLongRunning checks how many tasks of a long-running step are stopped at once so that they leave an
// evacuated hall.
func TestEvacuationMovesLongRunning(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(st *work.Step)
		halls  []string
		want   int // tasks that are being moved at the same time
	}{
		"none may be unavailable": {func(*work.Step) {}, []string{"a"}, 0},
		"one may be":              {func(st *work.Step) { st.MaxUnavailable = 1 }, []string{"a"}, 1},
		"two may be":              {func(st *work.Step) { st.MaxUnavailable = 2 }, []string{"a"}, 2},
		"gang":                    {func(st *work.Step) { st.MaxUnavailable, st.Gang = 2, true }, []string{"a"}, 0},
		"not long-running":        {func(st *work.Step) { st.MaxUnavailable, st.LongRunning = 2, false }, []string{"a"}, 0},
		"all halls are evacuated": {func(st *work.Step) { st.MaxUnavailable = 2 }, []string{"a", "b", "c"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newHallCell()
			cl.SetEvacuated([]string{"b", "c"})
			st := hallStep(8)
			st.LongRunning = true
			tc.change(&st)
			submitStep(cl, "lasting", st, newQueue(2, 3, false))
			is.Equal(startsByWorker(cl, 0), map[incarnation.ID]int{"w000": 8})
			report := func(now time.Duration) {
				runs := cl.HeldRuns("w000")
				for i := range runs {
					runs[i].Percent = 100
				}
				cl.Report(now, "w000", now, runs, nil)
			}
			report(time.Second)
			cl.SetEvacuated(tc.halls)
			is.Equal(cl.RunsInEvacuatedHalls()["a"], 8)
			for _, id := range []incarnation.ID{"w001", "w002"} {
				cl.Report(time.Second, id, time.Second, nil, nil)
			}
			cl.Plan(time.Second)
			stops := 0
			for now := 2 * time.Second; now < 4*time.Second; now += 500 * time.Millisecond {
				cl.Tick(now, now)
				cl.SetCommitted(cl.RecordCount())
				stops += len(cl.TakeOutput().Stops)
			}
			is.Equal(stops, tc.want)
		})
	}
}

// TestEvacuatedHallInvariants evacuates halls and withdraws that at random while orders are lost and late and planners
// change. The testbed checks that no start is decided for a worker of an evacuated hall, and all jobs end.
func TestEvacuatedHallInvariants(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bd := newTestbed(t, seed, 10)
			bd.unansweredRate = 0.1
			const jobs = 24
			for n := range jobs {
				if n%3 == 0 {
					bd.submit(gangJob(fmt.Sprintf("g%02d", n), 4))
				} else {
					bd.submit(batchJob(fmt.Sprintf("b%02d", n), 6, 0))
				}
				if hall := bd.hall(bd.rng.IntN(testHalls)); bd.rng.IntN(2) == 0 {
					bd.evacuate(hall, !bd.evacuated[hall])
				}
				bd.advance(40 * time.Millisecond)
				if n%6 == 5 {
					bd.replacePlanner()
					bd.executeOrders()
				}
			}
			for n := range testHalls {
				bd.evacuate(bd.hall(n), false)
			}
			for range 1000 {
				bd.advance(40 * time.Millisecond)
			}
			if counts := bd.countPhases(); counts[cell.Succeeded] != jobs {
				t.Errorf("%v, want %d jobs to have succeeded", counts, jobs)
			}
		})
	}
}
