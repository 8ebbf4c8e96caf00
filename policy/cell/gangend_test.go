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

// TestLateEndKeepsGang guards against a gang that is stopped because the end of an earlier run of it is reported late.
func TestLateEndKeepsGang(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(3)
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	submitStep(cl, "j", work.Step{Count: 2, Gang: true, Need: size.New(64000, 1000, 0), Estimate: time.Second}, qu)
	plan := func(now time.Duration) cell.Output {
		cl.Tick(now, now)
		cl.Plan(now)
		cl.SetCommitted(cl.RecordCount())
		return cl.TakeOutput()
	}
	begin := func(now time.Duration) []cell.Start {
		starts := plan(now).Starts
		is.Equal(len(starts), 2)
		for _, sr := range starts {
			cl.Started(now, sr)
		}
		return starts
	}
	first := begin(0)
	lost, kept := first[0], first[1]
	cl.Unreachable(time.Second, lost.Worker, 6*time.Second)
	cl.LeaseExpired(6*time.Second, lost.Worker)
	stops := append(plan(6*time.Second).Stops, plan(6*time.Second).Stops...)
	is.Equal(len(stops), 1)
	now := 7 * time.Second
	cl.Report(now, kept.Worker, now, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: kept.Task, Number: kept.Run}, Result: cell.ResultBroken}})
	for _, id := range []incarnation.ID{"w000", "w001", "w002"} {
		if id != lost.Worker && id != kept.Worker {
			cl.Report(now, id, now, nil, nil)
		}
	}
	second := begin(now)
	is.True(second[0].Run > lost.Run)
	cl.Report(now, lost.Worker, now, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: lost.Task, Number: lost.Run}, Result: cell.ResultFailed}})
	is.Equal(len(plan(now).Stops)+len(plan(now).Stops), 0)
}
