package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestGangAsksWhereRoomIs has a gang know enough allowed workers, all of them full,
// while others that it never asked about are free: it asks about these.
func TestGangAsksWhereRoomIs(t *testing.T) {
	is := is.New(t)
	const workers = 40
	cl := crowd(workers)
	whole := size.New(64000, 100, 0)
	submit(cl, "gang", work.Step{Count: 2, Gang: true, Need: whole}, work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1})
	cl.Plan(0)
	questions := cl.Take().Questions
	is.Equal(len(questions), 1)
	asked := map[string]bool{}
	var rows []cell.Ticket
	for _, id := range questions[0].Workers {
		asked[id] = true
		rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
	}
	cl.Advised(0, questions[0], rows, 0) // allowed, but the tickets are over
	for n := range workers {
		if id := fmt.Sprintf("w%03d", n); asked[id] {
			// a run of another job that the worker had already
			submit(cl, "job"+id, work.Step{Count: 1, Need: whole}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
			cl.Report(0, id, 0, []cell.Run{{Task: work.Task{Job: "job" + id}, Number: 1}}, nil)
		}
	}
	cl.Plan(time.Second)
	questions = cl.Take().Questions
	is.Equal(len(questions), 1)
	for _, id := range questions[0].Workers {
		is.True(!asked[id])
	}
}
