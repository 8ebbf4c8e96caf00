package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// fullWorker is a size that fills the processors of a worker.
var fullWorker = size.New(64000, 100, 0)

// allowAll returns tickets for all workers of an advice request.
func allowAll(req cell.AdviceRequest) []cell.Ticket {
	var list []cell.Ticket
	for _, id := range req.Workers {
		list = append(list, cell.Ticket{Worker: id, Text: "t"})
	}
	return list
}

// TestBusyAdvisorServesInOrder has an advisor that takes one request at a time and defers the others: gangs must be
// served in the order of arrival. When each gang backed off on its own, one that had waited for 80 s was deferred 94
// times while later ones were served.
func TestBusyAdvisorServesInOrder(t *testing.T) {
	is := is.New(t)
	const gangs = 30
	cl := newTestCell(40)
	advised := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, Stretch: 2}
	for n := range gangs {
		at := time.Duration(n) * time.Millisecond
		cl.Add(at, &work.Job{ID: fmt.Sprintf("gang%02d", gangs-n), Spec: "s", Queue: advised, Steps: []work.Step{
			{Count: 2, Gang: true, Need: fullWorker, Estimate: time.Minute},
		}}, false)
	}
	var served []string
	const interval = 25 * time.Millisecond
	for now := 100 * time.Millisecond; len(served) < gangs && now < 2*time.Second; now += interval {
		cl.Plan(now)
		for at, req := range cl.TakeOutput().AdviceRequests {
			if at > 0 {
				cl.AdviceDeferred(now, req)
				continue
			}
			if !slices.Contains(served, req.Step.Job) {
				served = append(served, req.Step.Job)
			}
			cl.AddAdvice(now, req, nil, time.Second) // no worker is allowed
		}
	}
	is.Equal(len(served), gangs)
	is.True(slices.IsSortedFunc(served, func(a, b string) int { return -compareText(a, b) })) // names are in reverse order of arrival
}

func compareText(a, b string) int { return slices.Compare([]byte(a), []byte(b)) }

// TestTicketsRequestedAhead has a gang wait for a worker whose task ends in 5 s: tickets must be requested shortly
// before that, not at once, as they would expire, and not when the capacity is free, as it would stay idle until the
// answer.
func TestTicketsRequestedAhead(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(1)
	const ends = 5 * time.Second
	submitStep(cl, "busy", work.Step{Count: 1, Need: fullWorker, Estimate: ends}, work.Queue{Name: "b", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2})
	cl.Plan(0)
	busy := cl.TakeOutput().Starts[0]
	cl.Started(0, busy)
	advised := work.Queue{
		Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, Stretch: 2,
		AdviceBase: 500 * time.Millisecond, AdviceEach: time.Millisecond,
	}
	submitStep(cl, "gang", work.Step{Count: 1, Gang: true, Need: fullWorker, Estimate: time.Second}, advised)
	requestedAt := []time.Duration{}
	const step = 50 * time.Millisecond
	var now time.Duration
	for ; now < ends; now += step {
		cl.Report(now, busy.Worker, now, []cell.Run{{Task: busy.Task, Number: busy.Run, Percent: int(100 * now / ends)}}, nil)
		cl.Plan(now)
		for _, req := range cl.TakeOutput().AdviceRequests {
			requestedAt = append(requestedAt, now)
			cl.AddAdvice(now, req, allowAll(req), 1500*time.Millisecond)
		}
	}
	is.True(len(requestedAt) >= 2)               // first for permissions, then for tickets
	is.True(requestedAt[0] < time.Second)        // at once
	is.True(requestedAt[1] > ends-2*time.Second) // not so early that the tickets expire before the start
	cl.Report(now, busy.Worker, now, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: busy.Task, Number: busy.Run}, Result: cell.ResultDone}})
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(now)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1) // it has its ticket when the capacity is free
	is.Equal(starts[0].Task.Job, "gang")
}

// TestUrgentSparesReservedCapacity has a gang reserve the only worker that it may run on, half of which is busy. An
// urgent task goes to an idle worker, although the busy one has less left, and takes reserved capacity only if no
// other is free.
func TestUrgentSparesReservedCapacity(t *testing.T) {
	tests := map[string]struct {
		workers int
		want    incarnation.ID
	}{
		"capacity elsewhere":    {workers: 2, want: "w001"},
		"no capacity elsewhere": {workers: 1, want: "w000"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newTestCell(tt.workers)
			cl.PutWorker(0, cell.Worker{ID: "w000", Service: "svc", Labels: []string{"big"}, Capacity: size.New(64000, 128000, 0)})
			plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			half := size.New(32000, 100, 0)
			submitStep(cl, "busy", work.Step{Count: 1, Need: half, Label: "big", Estimate: 5 * time.Second}, plain)
			cl.Plan(0)
			cl.Started(0, cl.TakeOutput().Starts[0])
			submitStep(cl, "gang", work.Step{Count: 1, Gang: true, Need: fullWorker, Label: "big", Estimate: time.Second}, plain)
			const later = 400 * time.Millisecond // after which a gang reserves capacity
			cl.Plan(later)
			is.Equal(cl.LongestWaiting(later, 0, 1)[0].Reserved, 1)
			urgent := work.Queue{Name: "u", Service: "svc", Attempts: 3, Stretch: 2}
			step := work.Step{Count: 1, Need: size.New(1000, 1, 0), Estimate: time.Minute}
			cl.Add(later, &work.Job{ID: "urgent", Spec: "s", Queue: urgent, Steps: []work.Step{step}}, false)
			cl.Plan(later)
			starts := cl.TakeOutput().Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Worker, tt.want)
		})
	}
}

// TestJobAgesSurvivePlannerChange adds two jobs to a new planner, the older one last. The older one is served first,
// as by the previous planner.
func TestJobAgesSurvivePlannerChange(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(1)
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	job := func(id string) *work.Job {
		return &work.Job{ID: id, Spec: "s", Queue: plain, Steps: []work.Step{{Count: 1, Need: fullWorker, Estimate: time.Minute}}}
	}
	cl.AddAged(0, time.Second, job("a-younger"))
	cl.AddAged(0, time.Minute, job("b-older"))
	cl.Plan(0)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "b-older")
	is.True(cl.LongestWaiting(time.Second, 0, 1)[0].Waited >= 2*time.Second)
}

// TestLateRankDelay has a late task and one that can be on time wait for the same worker: the one that can be on time
// goes first, until the other is late by a minute.
func TestLateRankDelay(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration
		want string
	}{
		"late by half a minute":    {age: 30 * time.Second, want: "in-time"},
		"late by most of a minute": {age: 55 * time.Second, want: "in-time"},
		"late by over a minute":    {age: 70 * time.Second, want: "late"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newTestCell(1)
			at := time.Second
			plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			job := func(id string) *work.Job {
				return &work.Job{ID: id, Spec: "s", Queue: plain, Steps: []work.Step{{Count: 1, Need: fullWorker, Estimate: time.Second}}}
			}
			cl.AddAged(at, tt.age, job("late"))
			cl.Add(at, job("in-time"), false)
			cl.Plan(at)
			starts := cl.TakeOutput().Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Task.Job, tt.want)
		})
	}
}

// TestReservationsAreBounded has ten gangs wait for capacity in a cell of which three quarters are in use: they
// reserve capacity only until a tenth of the cell stands idle for them. In an idle cell more of them do.
func TestReservationsAreBounded(t *testing.T) {
	tests := map[string]struct {
		busy      int64
		reserving int
	}{
		"busy cell": {busy: 49000, reserving: 3}, // 20 tasks leave 15 cores idle each: 300 of 6,400 per gang
		"idle cell": {busy: 2000, reserving: 4},  // beyond the quarter that is usually free
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const workers, gangs = 100, 10
			cl := newTestCell(workers)
			plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			submitStep(cl, "busy", work.Step{Count: workers, PerWorker: 1, Need: size.New(tt.busy, 100, 0), Estimate: 5 * time.Second}, plain)
			cl.Plan(0)
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
			}
			for n := range gangs {
				submitStep(cl, fmt.Sprintf("gang%d", n), work.Step{Count: 20, Gang: true, Need: fullWorker, Estimate: time.Second}, plain)
			}
			const later = 400 * time.Millisecond // after which gangs reserve capacity
			cl.Plan(later)
			reserving := 0
			for _, wt := range cl.LongestWaiting(later, 0, gangs) {
				if wt.Reserved > 0 {
					reserving++
				}
			}
			is.Equal(reserving, tt.reserving)
		})
	}
}
