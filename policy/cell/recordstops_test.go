package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestRecordStops checks that stops are recorded again until they are over, those of an earlier planner too.
func TestRecordStops(t *testing.T) {
	is := is.New(t)
	def := work.Step{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second}
	pb := newInheritedBed(def)
	pb.InheritRuns(0, pb.start.Worker, []cell.Run{pb.run})
	pb.InheritStops(0, pb.start.Worker, []cell.Run{pb.run})
	pb.FinishRecovery()
	stop := cell.Record{Worker: pb.start.Worker, Stop: true, Held: []cell.Run{pb.run}}
	repeated := func(now time.Duration) []cell.Record {
		pb.plan(now)
		pb.RecordStops()
		return pb.TakeOutput().Records
	}
	is.Equal(repeated(0), []cell.Record{stop})
	pb.Report(time.Second, pb.start.Worker, time.Second, nil, nil)
	is.Equal(repeated(time.Second), []cell.Record{stop}) // the worker omits a run that is being stopped
	pb.Report(2*time.Second, pb.start.Worker, 2*time.Second, nil, []cell.End{{Seq: 1, Run: pb.run, Result: cell.ResultStopped}})
	out := pb.plan(2 * time.Second)
	pb.RecordStops()
	is.Equal(len(pb.TakeOutput().Records), 0)

	is.Equal(len(out.Starts), 1)
	sr := out.Starts[0]
	pb.Started(2*time.Second, sr)
	pb.Cancel(3*time.Second, "j", "")
	pb.plan(3 * time.Second)
	is.Equal(repeated(3*time.Second), []cell.Record{{Worker: sr.Worker, Stop: true, Held: []cell.Run{{Task: sr.Task, Number: sr.Run}}}})
}
