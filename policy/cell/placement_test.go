package cell_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestPlacement checks on which workers one plan starts the tasks of a step. There are two racks of two workers that
// fit two tasks each; one worker of each rack has the label "gpu".
func TestPlacement(t *testing.T) {
	task := size.New(4000, 100, 0)
	advised := work.Queue{Name: "a", Service: "svc", Attempts: 3, Advised: true}
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3}
	tests := map[string]struct {
		def  work.Step
		qu   work.Queue
		want map[incarnation.ID]int
	}{
		"anywhere":                           {work.Step{Count: 8}, plain, map[incarnation.ID]int{"w1": 2, "w2": 2, "w3": 2, "w4": 2}},
		"required label":                     {work.Step{Count: 8, Label: "gpu"}, plain, map[incarnation.ID]int{"w2": 2, "w4": 2}},
		"label that no worker has":           {work.Step{Count: 1, Label: "tpu"}, plain, map[incarnation.ID]int{}},
		"other service":                      {work.Step{Count: 1}, work.Queue{Name: "o", Service: "other", Attempts: 3}, map[incarnation.ID]int{}},
		"near its data":                      {work.Step{Count: 3, Rack: "r2"}, plain, map[incarnation.ID]int{"w3": 2, "w4": 1}},
		"near its data, then elsewhere":      {work.Step{Count: 5, Rack: "r2"}, plain, map[incarnation.ID]int{"w1": 1, "w3": 2, "w4": 2}},
		"at most one per worker":             {work.Step{Count: 8, PerWorker: 1}, plain, map[incarnation.ID]int{"w1": 1, "w2": 1, "w3": 1, "w4": 1}},
		"gang":                               {work.Step{Count: 8, Gang: true}, plain, map[incarnation.ID]int{"w1": 2, "w2": 2, "w3": 2, "w4": 2}},
		"gang that is too large":             {work.Step{Count: 9, Gang: true}, plain, map[incarnation.ID]int{}},
		"gang on one rack":                   {work.Step{Count: 4, Gang: true, SameRack: true}, plain, map[incarnation.ID]int{"w1": 2, "w2": 2}},
		"gang on one rack, too large for it": {work.Step{Count: 5, Gang: true, SameRack: true}, plain, map[incarnation.ID]int{"w1": 2, "w2": 2, "w3": 1}},
		"gang with a label":                  {work.Step{Count: 4, Gang: true, Label: "gpu"}, plain, map[incarnation.ID]int{"w2": 2, "w4": 2}},
		"no permission yet":                  {work.Step{Count: 1}, advised, map[incarnation.ID]int{}},
		"best-effort needs no processors":    {work.Step{Count: 9, BestEffort: true, PerWorker: 3}, plain, map[incarnation.ID]int{"w2": 3, "w3": 3, "w4": 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cl := newRackCell()
			tt.def.Need = task
			submitStep(cl, "job", tt.def, tt.qu)
			cl.Plan(0)
			got := map[incarnation.ID]int{}
			for _, sr := range cl.TakeOutput().Starts {
				got[sr.Worker]++
			}
			if !maps.Equal(got, tt.want) {
				t.Errorf("tasks on workers %v, want %v", got, tt.want)
			}
		})
	}
}

// newRackCell returns a cell with two racks of two workers each.
func newRackCell() *cell.Cell {
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
	for id, wk := range map[incarnation.ID]cell.Worker{
		"w1": {Rack: "r1"}, "w2": {Rack: "r1", Labels: []string{"gpu"}},
		"w3": {Rack: "r2"}, "w4": {Rack: "r2", Labels: []string{"gpu"}},
	} {
		wk.ID, wk.Service, wk.Capacity = id, "svc", size.New(8000, 1000, 0)
		cl.PutWorker(0, wk)
		cl.Report(0, id, 0, nil, nil)
	}
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	return cl
}

// TestPriority has steps of three queues compete for the last free capacity: an urgent queue goes before one whose
// jobs are closer to their deadlines.
func TestPriority(t *testing.T) {
	is := is.New(t)
	cl := newRackCell()
	all := work.Step{Count: 8, Need: size.New(4000, 100, 0), Estimate: time.Second}
	submitStep(cl, "late", all, work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Stretch: 1})
	submitStep(cl, "patient", all, work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 2, Stretch: 9})
	submitStep(cl, "urgent", all, work.Queue{Name: "u", Service: "svc", Attempts: 3, Stretch: 9})
	order := []string{}
	for range 3 {
		cl.Plan(0)
		starts := cl.TakeOutput().Starts
		is.Equal(len(starts), 8)
		order = append(order, starts[0].Task.Job)
		for _, sr := range starts {
			is.Equal(sr.Task.Job, order[len(order)-1])
			cl.Started(0, sr)
		}
		seqs := map[incarnation.ID]int{}
		for _, sr := range starts {
			seqs[sr.Worker]++
		}
		for _, id := range slices.Sorted(maps.Keys(seqs)) {
			var ends []cell.End
			for _, sr := range starts {
				if sr.Worker == id {
					ends = append(ends, cell.End{Seq: 10*len(order) + len(ends), Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultDone})
				}
			}
			cl.Report(0, id, 0, nil, ends)
		}
	}
	is.Equal(order, []string{"urgent", "late", "patient"})
}
