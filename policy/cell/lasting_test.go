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

// TestLastingBegunAgain has a task that is to last end after a minute on a full cell for which
// more is asked than it holds. It is begun again before what comes later, though its job is old.
func TestLastingBegunAgain(t *testing.T) {
	is := is.New(t)
	cl := crowd(1)
	whole := size.New(64000, 100, 0)
	lasting := work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2.2, Target: 2500 * time.Millisecond}
	submit(cl, "lasting", work.Step{Count: 1, Need: whole, Lasting: true, Estimate: time.Second}, lasting)
	cl.Plan(0)
	first := cl.Take().Starts
	is.Equal(len(first), 1)
	cl.Started(0, first[0])
	quick := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: 2 * time.Second}
	for n := range 20 {
		cl.Add(time.Minute, &work.Job{ID: fmt.Sprintf("job%d", n), Spec: "s", Queue: quick, Steps: []work.Step{{Count: 1, Need: whole, Estimate: time.Second}}}, false)
	}
	cl.Plan(time.Minute)
	is.Equal(len(cl.Take().Starts), 0)
	end := cell.End{Seq: 1, Run: cell.Run{Task: first[0].Task, Number: first[0].Run}, Result: cell.ResultFailed}
	cl.Report(time.Minute, "w000", time.Minute, nil, []cell.End{end})
	cl.Plan(time.Minute)
	starts := cl.Take().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "lasting")
}

// TestUrgentLastingGoesFirst has a lasting step of an urgent queue and a patient one that has
// less time to spare come together: urgent queues go before all others, lasting or not.
func TestUrgentLastingGoesFirst(t *testing.T) {
	is := is.New(t)
	cl := crowd(1)
	whole := size.New(64000, 100, 0)
	patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 1, Target: time.Second}
	urgent := work.Queue{Name: "u", Service: "svc", Attempts: 3, Priority: 0, Stretch: 1, Target: time.Minute}
	submit(cl, "patient", work.Step{Count: 1, Need: whole, Estimate: time.Second}, patient)
	submit(cl, "urgent", work.Step{Count: 1, Need: whole, Lasting: true, Estimate: time.Second}, urgent)
	cl.Plan(0)
	starts := cl.Take().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "urgent")
}
