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
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, InitialWindow: 64})
	cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(0, "w1", 0, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true}
	one := work.Step{Count: 1, Need: size.New(1000, 100, 0)}
	plan := func(now time.Duration) []cell.Start {
		cl.Report(now, "w1", 0, nil, nil)
		cl.Plan(now)
		for _, qn := range cl.TakeOutput().AdviceRequests {
			cl.AddAdvice(now, qn, []cell.Ticket{{Worker: "w1", Text: "t"}}, ticketValid)
		}
		cl.Plan(now)
		return cl.TakeOutput().Starts
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

// TestTakeoverIsNoBacklog: a planner that had just taken over said that what waited took it 23 minutes, urgent work 3 m 53 s,
// by the rate of a second in which it had read the journal for the most part. For a second all jobs were refused;
// 1 s later it was not behind at all.
func TestTakeoverIsNoBacklog(t *testing.T) {
	is := is.New(t)
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, InitialWindow: 64})
	cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(1<<40, 1<<40, 0)})
	cl.Report(0, "w1", 0, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	many := work.Step{Count: 5000, Need: size.New(1, 1, 0)}
	submit(cl, "a", many, work.Queue{Name: "q", Service: "svc", Attempts: 3})
	var underWay []cell.Start
	startSome := func(now time.Duration) {
		cl.Plan(now)
		cl.Plan(now) // finds the window full
		for _, sr := range underWay {
			cl.Started(now, sr)
		}
		underWay = cl.TakeOutput().Starts
	}
	const begins = 900 * time.Millisecond
	startSome(begins)
	startSome(begins + 10*time.Millisecond)
	startSome(begins + 1100*time.Millisecond)
	startSome(begins + 1200*time.Millisecond)
	urgent, all := cl.Backlog(begins + 1200*time.Millisecond)
	is.Equal(urgent, time.Duration(0))
	is.Equal(all, time.Duration(0))
	startSome(begins + 2300*time.Millisecond)
	urgent, _ = cl.Backlog(begins + 2300*time.Millisecond)
	is.True(urgent > 10*time.Second) // as slow as that for longer, it is behind
}
