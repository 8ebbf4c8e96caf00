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

// TestLateStopOfGangMember guards against a second run of a member whose worker is late with a stop: its start was answered
// only after the stop had been ordered.
func TestLateStopOfGangMember(t *testing.T) {
	is := is.New(t)
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, StopTimeout: stopTime})
	workers := []incarnation.ID{"w000", "w001", "w002", "w003"}
	for _, id := range workers {
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
	}
	cl.FinishRecovery()
	report := func(now time.Duration) {
		for _, id := range workers {
			cl.Report(now, id, now, nil, nil)
		}
	}
	plan := func(now time.Duration) (starts []cell.Start, stops []cell.Stop) {
		for range 2 { // stops and recorded starts are ordered once the journal has their records
			cl.Tick(now, now)
			cl.Plan(now)
			cl.SetCommitted(cl.RecordCount())
			out := cl.TakeOutput()
			starts, stops = append(starts, out.Starts...), append(stops, out.Stops...)
		}
		return starts, stops
	}
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	submitStep(cl, "j", work.Step{Count: 2, Gang: true, Need: size.New(64000, 1000, 0), Estimate: time.Second}, qu)
	report(0)
	starts, _ := plan(0)
	is.Equal(len(starts), 2)
	refused, begun := starts[0], starts[1]
	cl.Refused(time.Millisecond, refused, cell.RefusedNoCapacity)
	_, stops := plan(time.Millisecond)
	is.Equal(len(stops), 1)
	cl.Started(2*time.Millisecond, begun)
	stopped := 3 * time.Millisecond
	cl.Stopped(stopped, stops[0])
	late := stopped + stopTime + 300*time.Millisecond
	report(late)
	again, _ := plan(late)
	is.Equal(len(again), 0) // the worker has not listed the end
}
