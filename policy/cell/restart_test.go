package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
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
