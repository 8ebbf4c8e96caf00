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

// reportAll has both workers report no runs.
func (pb *partialBed) reportAll(now time.Duration) {
	for _, id := range []incarnation.ID{"w000", "w001"} {
		pb.Report(now, id, now, nil, nil)
	}
}

// TestLateStopIsNoEnd guards against a second run of a task while its worker takes longer for a stop than it should.
func TestLateStopIsNoEnd(t *testing.T) {
	is := is.New(t)
	pb := newInheritedBed(work.Step{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second})
	pb.FinishRecovery()
	pb.reportAll(0)
	pb.plan(0)
	pb.start = pb.plan(0).Starts[0]
	pb.run = cell.Run{Task: pb.start.Task, Number: pb.start.Run}
	pb.Started(0, pb.start)
	pb.Report(100*time.Millisecond, pb.start.Worker, 100*time.Millisecond, []cell.Run{pb.run}, nil)
	hung := 3 * time.Second
	pb.Report(hung, pb.start.Worker, hung, []cell.Run{pb.run}, nil)
	stops := append(pb.plan(hung).Stops, pb.plan(hung).Stops...)
	is.Equal(len(stops), 1)
	pb.Stopped(hung, stops[0])
	late := hung + stopTime + 300*time.Millisecond
	pb.reportAll(late)
	is.Equal(len(pb.plan(late).Starts)+len(pb.plan(late).Starts), 0) // the worker has not listed the end
	ended := late + 100*time.Millisecond
	pb.Report(ended, pb.start.Worker, ended, nil, []cell.End{{Seq: 1, Run: pb.run, Result: cell.ResultStopped}})
	is.Equal(len(pb.plan(ended).Starts), 1)
}
