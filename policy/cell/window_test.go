package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestLateAnswerDoesNotBlockStarts has a start answered only at its third attempt, after 3 s. Tickets that are valid
// for less than that must be used again after a second at most. If the delay counted until further starts were
// answered, no start would ever be sent again.
func TestLateAnswerDoesNotBlockStarts(t *testing.T) {
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
		for _, req := range cl.TakeOutput().AdviceRequests {
			cl.AddAdvice(now, req, []cell.Ticket{{Worker: "w1", Text: "t"}}, ticketTTL)
		}
		cl.Plan(now)
		return cl.TakeOutput().Starts
	}
	submitStep(cl, "first", one, qu)
	quick := plan(0)
	is.Equal(len(quick), 1)
	cl.Started(time.Millisecond, quick[0])
	submitStep(cl, "second", one, qu)
	slow := plan(time.Second)
	is.Equal(len(slow), 1)
	cl.Started(time.Second+late, slow[0])
	submitStep(cl, "third", one, qu)
	is.Equal(len(plan(3*time.Second+late)), 1)
}

// TestNoBacklogAfterTakeover checks that a new planner does not estimate its backlog from its first seconds. From the
// rate of a second that it had mostly spent reading the journal, a planner estimated 23 minutes, and 3 m 53 s for
// urgent work, so that all jobs were refused for a second; 1 s later it was not behind at all.
func TestNoBacklogAfterTakeover(t *testing.T) {
	is := is.New(t)
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, InitialWindow: 64})
	cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(1<<40, 1<<40, 0)})
	cl.Report(0, "w1", 0, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	many := work.Step{Count: 5000, Need: size.New(1, 1, 0)}
	submitStep(cl, "a", many, work.Queue{Name: "q", Service: "svc", Attempts: 3})
	var underWay []cell.Start
	startSome := func(now time.Duration) {
		cl.Plan(now)
		cl.Plan(now) // the start window is full
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
	is.True(urgent > 10*time.Second) // with such a rate for longer, it is behind
}
