package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// partialBed is a cell of two workers that runs one task of a job, on a worker whose reports lack ends.
type partialBed struct {
	*cell.Cell
	start cell.Start
	run   cell.Run
}

// newPartialBed submits the job and orders the start of its task.
func newPartialBed(def work.Step) *partialBed {
	pb := &partialBed{Cell: newTestCell(2)}
	pb.submit(def)
	pb.start = pb.plan(0).Starts[0]
	pb.run = cell.Run{Task: pb.start.Task, Number: pb.start.Run}
	return pb
}

// newInheritedBed submits the job as one of an earlier planner, which started the task on w000.
func newInheritedBed(def work.Step) *partialBed {
	run := cell.Run{Task: work.Task{Job: "j"}, Number: 1}
	pb := &partialBed{Cell: cell.New(cell.Options{Retention: time.Minute, FirstRun: 65, StopTimeout: stopTime}), start: cell.Start{Worker: "w000", Task: run.Task, Run: 1}, run: run}
	pb.submit(def)
	for _, id := range []incarnation.ID{"w000", "w001"} {
		pb.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
	}
	return pb
}

func (pb *partialBed) submit(def work.Step) {
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	pb.Add(0, &work.Job{ID: "j", Spec: "j", Queue: qu, Steps: []work.Step{def}}, false)
}

// plan commits all records, plans, and returns the orders.
func (pb *partialBed) plan(now time.Duration) cell.Output {
	pb.Tick(now, now)
	pb.Plan(now)
	pb.SetCommitted(pb.RecordCount())
	return pb.TakeOutput()
}

// partialReport has the task's worker omit the run in a report that lacks ends, and the other worker report.
func (pb *partialBed) partialReport(now time.Duration) {
	pb.PartialReport(now, pb.start.Worker, now, nil, nil)
	other := incarnation.ID("w001")
	if pb.start.Worker == other {
		other = "w000"
	}
	pb.Report(now, other, now, nil, nil)
}

// reportBoth has the two workers report nothing; one whose incarnation is over is ignored.
func (pb *partialBed) reportBoth(now time.Duration) {
	for _, id := range []incarnation.ID{"w000", "w001"} {
		if known, listed := pb.Listed(id); known && listed {
			pb.Report(now, id, now, nil, nil)
		}
	}
}

// TestOmittedByPartialReport guards against conclusions from the omission of a run in a report that lacks ends: the run may
// have ended, and the next report lists its end. Each reader of a report's omissions is a case.
func TestOmittedByPartialReport(t *testing.T) {
	step := work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second}
	started := func(pb *partialBed) *partialBed {
		pb.Started(0, pb.start)
		return pb
	}
	cases := map[string]func() *partialBed{
		"run was confirmed": func() *partialBed { return started(newPartialBed(step)) },
		"run was reported without progress": func() *partialBed {
			pb := started(newPartialBed(step))
			pb.Report(1, pb.start.Worker, 1, []cell.Run{pb.run}, nil)
			return pb
		},
		"start was not answered": func() *partialBed {
			pb := newPartialBed(step)
			pb.StartUnconfirmed(0, pb.start)
			pb.plan(0)
			return pb
		},
		"stop was confirmed": func() *partialBed {
			pb := newPartialBed(step)
			pb.StartUnconfirmed(0, pb.start)
			pb.Report(1, pb.start.Worker, 1, nil, nil)
			for _, sp := range pb.plan(1).Stops {
				pb.Stopped(1, sp)
			}
			return pb
		},
		"run of an earlier planner": func() *partialBed {
			pb := newInheritedBed(step)
			pb.InheritRuns(0, pb.start.Worker, []cell.Run{pb.run})
			return pb
		},
		"stop of an earlier planner": func() *partialBed {
			pb := newInheritedBed(step)
			pb.InheritStops(0, pb.start.Worker, []cell.Run{pb.run})
			return pb
		},
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pb := arrange()
			for now := time.Second; now < 12*time.Second; now += time.Second {
				pb.partialReport(now)
				out := pb.plan(now)
				is.Equal(len(out.Starts), 0) // the run may have ended successfully
				is.Equal(len(out.Stops), 0)  // nothing shows that it hangs or that its start was lost
				is.Equal(pb.HeldRuns(pb.start.Worker), []cell.Run{pb.run})
			}
			pb.Report(12*time.Second, pb.start.Worker, 12*time.Second, nil, []cell.End{{Seq: 1, Run: pb.run, Result: cell.ResultDone}})
			pb.plan(12 * time.Second)
			phase, _ := pb.Phase("j", "")
			is.Equal(phase, cell.Succeeded)
		})
	}
}

// TestRestartedWorkerLacksEnds guards against a run that counts as lost with its worker's incarnation because the first
// report of the next one lacks the run's end.
func TestRestartedWorkerLacksEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		ends []cell.End
		// starts is the number of starts after the first complete report.
		starts int
		phase  cell.Phase
	}{
		"run ended in the next incarnation": {[]cell.End{{Seq: 2, Result: cell.ResultDone}}, 0, cell.Succeeded},
		"run did not begin there":           {nil, 1, cell.Running},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pb := newPartialBed(work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second})
			pb.Started(0, pb.start)
			next := incarnation.New(pb.start.Worker.WorkerID(), 1)
			pb.Restarted(time.Second, pb.start.Worker, next, time.Second)
			// The order may be in transit for 15 s, the reports lack ends for longer.
			for now := time.Second; now < 20*time.Second; now += time.Second {
				pb.PartialReport(now, next, now, nil, []cell.End{{Seq: 1, Run: cell.Run{Number: 1}, Result: cell.ResultDone}})
				pb.reportBoth(now)
				is.Equal(len(pb.plan(now).Starts), 0)
			}
			for at := range tc.ends {
				tc.ends[at].Run = pb.run
			}
			pb.Report(20*time.Second, next, 20*time.Second, nil, tc.ends)
			pb.reportBoth(20 * time.Second)
			is.Equal(len(pb.plan(20*time.Second).Starts), tc.starts)
			phase, _ := pb.Phase("j", "")
			is.Equal(phase, tc.phase)
		})
	}
}

// TestRecordOfWorkerThatLacksEnds guards against a record that names a worker's runs as all that it may have while its
// reports to this planner lack ends.
func TestRecordOfWorkerThatLacksEnds(t *testing.T) {
	lastRecord := func(out cell.Output) cell.Record {
		at := slices.IndexFunc(out.Records, func(rec cell.Record) bool { return rec.Worker == "w000" && !rec.Stop })
		if at < 0 {
			return cell.Record{}
		}
		return out.Records[at]
	}
	for name, complete := range map[string]bool{"reports lack ends": false, "a report is complete": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pb := newInheritedBed(work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second})
			pb.partialReport(time.Second)
			pb.plan(time.Second)
			if complete {
				pb.Report(2*time.Second, "w000", 2*time.Second, []cell.Run{pb.run}, nil)
				pb.PartialReport(3*time.Second, "w000", 3*time.Second, nil, nil)
				pb.plan(3 * time.Second)
			}
			is.Equal(pb.LacksEnds("w000"), !complete)
			pb.Deregister("w000")
			rec := lastRecord(pb.plan(4 * time.Second))
			is.Equal(rec.Worker, incarnation.ID("w000"))
			is.Equal(rec.Closed, complete)
		})
	}
}

// TestWorkerThatLacksEndsIsNotIdle guards against a worker that is taken out of use before it has reported all ends.
func TestWorkerThatLacksEndsIsNotIdle(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(2)
	for _, id := range []incarnation.ID{"w000", "w001"} {
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Hall: "a", Capacity: size.New(64000, 128000, 0)})
	}
	cl.SetEvacuated([]string{"a"}) // its idle workers are not needed
	end := []cell.End{{Seq: 1, Run: cell.Run{Number: 1}, Result: cell.ResultDone}}
	const idle = time.Minute
	cl.PartialReport(idle, "w000", idle, nil, end)
	cl.Report(idle, "w001", idle, nil, end)
	cl.SetCommitted(cl.RecordCount())
	for _, id := range []incarnation.ID{"w000", "w001"} {
		_, waits := cl.AckedEnd(id)
		is.True(!waits)
	}
	is.True(slices.Contains(cl.Surplus(2*idle), "w001"))
	is.True(!slices.Contains(cl.Surplus(2*idle), "w000"))
	cl.Report(2*idle, "w000", 2*idle, nil, nil)
	is.True(slices.Contains(cl.Surplus(3*idle), "w000"))
}

// TestWorkerThatLacksEndsGetsNoRuns guards against starts on a worker that has more ends than it can report: they would
// delay the report of those ends.
func TestWorkerThatLacksEndsGetsNoRuns(t *testing.T) {
	is := is.New(t)
	pb := &partialBed{Cell: newTestCell(1), start: cell.Start{Worker: "w000"}}
	pb.submit(work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second})
	pb.PartialReport(0, "w000", 0, nil, []cell.End{{Seq: 1, Run: cell.Run{Number: 1}, Result: cell.ResultDone}})
	is.Equal(len(pb.plan(0).Starts), 0)
	pb.Report(time.Second, "w000", time.Second, nil, nil)
	is.Equal(len(pb.plan(time.Second).Starts), 1)
}
