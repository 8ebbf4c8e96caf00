package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// TestDelayedStartIsOver guards against a run that is kept after its worker's restart because an attempt of its start
// may be delayed, although its worker still had the run when no attempt could be in transit any more.
func TestDelayedStartIsOver(t *testing.T) {
	const restartedAt = time.Minute
	cases := map[string]struct {
		// listed is when the report was requested that last listed the run.
		listed time.Duration
		// kept is how long the run is kept after the restart.
		kept time.Duration
	}{
		"attempt cannot be in transit": {listed: 15 * time.Second, kept: 0},
		"attempt may be in transit":    {listed: 15*time.Second - 1, kept: 15 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wb := newWaitBed()
			sr := wb.submit().Starts[0]
			wb.StartDelayed(0, sr)
			wb.Started(0, sr)
			run := cell.Run{Task: sr.Task, Number: sr.Run}
			wb.Report(tc.listed+time.Second, sr.Worker, tc.listed, []cell.Run{run}, nil)
			wb.Restarted(restartedAt, sr.Worker, incarnation.New(sr.Worker.WorkerID(), 1), restartedAt)
			if tc.kept > 0 {
				is.Equal(wb.startsAt(restartedAt+tc.kept-1), 0)
			}
			is.Equal(wb.startsAt(restartedAt+tc.kept), 1)
		})
	}
}

// TestSilentNextIncarnation guards against a wait for a worker's next incarnation that counts from when its restart was
// noticed, although no order has been sent to the earlier one for longer.
func TestSilentNextIncarnation(t *testing.T) {
	const restartedAt = 20 * time.Second
	cases := map[string]struct {
		// sent are the times at which orders with a deadline were sent.
		sent []time.Duration
		// until is how long the run is kept.
		until time.Duration
	}{
		"not known":       {until: 35 * time.Second},
		"one":             {sent: []time.Duration{17 * time.Second}, until: 32 * time.Second},
		"last one counts": {sent: []time.Duration{17 * time.Second, 16 * time.Second}, until: 32 * time.Second},
		"long ago":        {sent: []time.Duration{time.Second}, until: restartedAt},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wb := newWaitBed()
			sr := wb.start()
			for _, at := range tc.sent {
				wb.DeadlineSent(at, sr.Worker)
			}
			wb.Restarted(restartedAt, sr.Worker, incarnation.New(sr.Worker.WorkerID(), 1), restartedAt)
			if tc.until > restartedAt {
				is.Equal(wb.startsAt(tc.until-1), 0)
			}
			is.Equal(wb.startsAt(tc.until), 1)
		})
	}
}

// startsAt returns how many starts a plan at a time orders, with w001 having reported.
func (wb *waitBed) startsAt(now time.Duration) int {
	wb.Report(now, "w001", now, nil, nil)
	wb.Tick(now, now)
	wb.Plan(now)
	wb.SetCommitted(wb.RecordCount())
	return len(wb.TakeOutput().Starts)
}

// TestMayHaveDelayedRuns checks for which runs the next incarnation of their worker may carry out the start: those whose
// loss is known only from its first report.
func TestMayHaveDelayedRuns(t *testing.T) {
	report := func(wb *waitBed, sr cell.Start, sent time.Duration) {
		wb.Report(sent, sr.Worker, sent, []cell.Run{{Task: sr.Task, Number: sr.Run}}, nil)
	}
	cases := map[string]struct {
		arrange func(wb *waitBed) cell.Start
		want    bool
	}{
		"start is not answered": {func(wb *waitBed) cell.Start { return wb.submit().Starts[0] }, true},
		"run is not reported":   {(*waitBed).start, true},
		"run is reported": {func(wb *waitBed) cell.Start {
			sr := wb.start()
			report(wb, sr, time.Second)
			return sr
		}, false},
		"attempt may be in transit": {func(wb *waitBed) cell.Start {
			sr := wb.submit().Starts[0]
			wb.StartDelayed(0, sr)
			wb.Started(0, sr)
			report(wb, sr, 15*time.Second-1)
			return sr
		}, true},
		"attempt cannot be in transit": {func(wb *waitBed) cell.Start {
			sr := wb.submit().Starts[0]
			wb.StartDelayed(0, sr)
			wb.Started(0, sr)
			report(wb, sr, 15*time.Second)
			return sr
		}, false},
		"run has ended": {func(wb *waitBed) cell.Start {
			sr := wb.submit().Starts[0]
			wb.StartDelayed(0, sr)
			wb.Started(0, sr)
			end := cell.End{Seq: 1, Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultFailed}
			wb.Report(time.Second, sr.Worker, time.Second, nil, []cell.End{end})
			return sr
		}, false},
		"start awaits its record": {func(wb *waitBed) cell.Start {
			first := wb.start()
			wb.LeaseExpired(time.Second, first.Worker)
			wb.Plan(time.Second)
			return cell.Start{Worker: "w001"}
		}, false},
		"start's record is in the journal": {func(wb *waitBed) cell.Start {
			first := wb.start()
			wb.LeaseExpired(time.Second, first.Worker)
			wb.Plan(time.Second)
			wb.SetCommitted(wb.RecordCount())
			return wb.TakeOutput().Starts[0]
		}, true},
		"earlier planner's attempt may be in transit": {func(wb *waitBed) cell.Start {
			return wb.adopt(15*time.Second - 1)
		}, true},
		"earlier planner's attempt cannot be in transit": {func(wb *waitBed) cell.Start {
			return wb.adopt(15 * time.Second)
		}, false},
		"run was confirmed before a report that lacks ends": {func(wb *waitBed) cell.Start {
			sr := wb.submit().Starts[0]
			wb.Started(1, sr)
			wb.PartialReport(2, sr.Worker, 2, nil, nil)
			return sr
		}, false},
		"run was confirmed during a report that lacks ends": {func(wb *waitBed) cell.Start {
			sr := wb.submit().Starts[0]
			wb.Started(1, sr)
			wb.PartialReport(2, sr.Worker, 1, nil, nil)
			return sr
		}, true},
		"unanswered start may be in transit": {func(wb *waitBed) cell.Start { return wb.unconfirmed(15 * time.Second) }, true},
		"unanswered start is over":           {func(wb *waitBed) cell.Start { return wb.unconfirmed(15*time.Second + 1) }, false},
		"worker is not known":                {func(*waitBed) cell.Start { return cell.Start{Worker: "w999"} }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			wb := newWaitBed()
			sr := tc.arrange(wb)
			is.New(t).Equal(wb.MayHaveDelayedRuns(sr.Worker), tc.want)
		})
	}
}

// unconfirmed has a start get no answer, and a report that lacks ends answer a call that was sent at a time.
func (wb *waitBed) unconfirmed(sent time.Duration) cell.Start {
	sr := wb.submit().Starts[0]
	wb.StartUnconfirmed(1, sr)
	wb.PartialReport(sent, sr.Worker, sent, nil, nil)
	return sr
}

// adopt has w000 report a run that an earlier planner started, in the answer to a call that was sent at a time.
func (wb *waitBed) adopt(sent time.Duration) cell.Start {
	submitStep(wb.Cell, "lasting", wb.step, wb.queue)
	sr := cell.Start{Worker: "w000", Task: work.Task{Job: "lasting"}, Run: 1}
	wb.Report(sent, sr.Worker, sent, []cell.Run{{Task: sr.Task, Number: sr.Run}}, nil)
	return sr
}

// TestManyReportedEnds guards against runs that count as lost because their ends are not among the 500 that their worker
// reports at once: a worker that repeats half as many gets no run.
func TestManyReportedEnds(t *testing.T) {
	for name, tc := range map[string]struct{ ends, starts int }{
		"few": {249, 2}, "many": {250, 1},
	} {
		t.Run(name, func(t *testing.T) {
			wb := newWaitBed()
			var ends []cell.End
			for n := range tc.ends {
				ends = append(ends, cell.End{Seq: n + 1, Run: cell.Run{Number: 1}, Result: cell.ResultStopped})
			}
			wb.Report(0, "w000", 0, nil, ends)
			wb.fill("two", 2)
			is := is.New(t)
			is.Equal(wb.HeldRuns("w000") != nil, tc.starts == 2)
			is.Equal(len(wb.HeldRuns("w001")), 1)
			wb.Report(time.Second, "w000", time.Second, wb.HeldRuns("w000"), nil)
			wb.Plan(time.Second)
			is.Equal(len(wb.TakeOutput().Starts), 2-tc.starts)
		})
	}
}
