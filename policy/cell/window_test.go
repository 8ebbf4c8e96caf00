package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestLateAnswerStopsNothing has one start answered only after its third try, 3 s later. Tickets that
// are good for less than that are used all the same, at the latest a second after: where the lateness
// counted until further starts were answered, none was ever sent again.
func TestLateAnswerStopsNothing(t *testing.T) {
	is := is.New(t)
	const late = 3 * time.Second
	cl := cell.New(cell.Options{Keep: time.Minute, FirstRun: 1, FirstWindow: 64})
	cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(0, "w1", 0, nil, nil)
	cl.Committed(cl.Recorded())
	cl.Settle()
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true}
	one := work.Step{Count: 1, Need: size.New(1000, 100, 0)}
	plan := func(now time.Duration) []cell.Start {
		cl.Report(now, "w1", 0, nil, nil)
		cl.Plan(now)
		for _, qn := range cl.Take().Questions {
			cl.Advised(now, qn, []cell.Ticket{{Worker: "w1", Text: "t"}}, ticketValid)
		}
		cl.Plan(now)
		return cl.Take().Starts
	}
	submit(cl, "first", one, qu)
	quick := plan(0)
	is.Equal(len(quick), 1)
	cl.Started(time.Millisecond, quick[0])
	submit(cl, "second", one, qu)
	slow := plan(time.Second)
	is.Equal(len(slow), 1)
	cl.Started(time.Second+late, slow[0])
	submit(cl, "third", one, qu)
	is.Equal(len(plan(3*time.Second+late)), 1)
}
