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

// full is the room of a whole worker.
var full = size.New(64000, 100, 0)

// rows allow all workers of a question.
func rows(qn cell.AdviceRequest) []cell.Ticket {
	var list []cell.Ticket
	for _, id := range qn.Workers {
		list = append(list, cell.Ticket{Worker: id, Text: "t"})
	}
	return list
}

// TestBusyAdvisorServesInOrder has an advisor that takes one question at a time and puts
// the others off: the gangs are served in the order in which they came. Each paused by
// itself before, and one that had waited for 80 s was put off 94 times while later ones
// were served.
func TestBusyAdvisorServesInOrder(t *testing.T) {
	is := is.New(t)
	const gangs = 30
	cl := crowd(40)
	advised := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, Stretch: 2}
	for n := range gangs {
		at := time.Duration(n) * time.Millisecond
		cl.Add(at, &work.Job{ID: fmt.Sprintf("gang%02d", gangs-n), Spec: "s", Queue: advised, Steps: []work.Step{
			{Count: 2, Gang: true, Need: full, Estimate: time.Minute},
		}}, false)
	}
	var served []string
	const pause = 25 * time.Millisecond
	for now := 100 * time.Millisecond; len(served) < gangs && now < 2*time.Second; now += pause {
		cl.Plan(now)
		for at, qn := range cl.TakeOutput().AdviceRequests {
			if at > 0 {
				cl.AdviceDeferred(now, qn)
				continue
			}
			if !slices.Contains(served, qn.Step.Job) {
				served = append(served, qn.Step.Job)
			}
			cl.AddAdvice(now, qn, nil, time.Second) // none of them may run it
		}
	}
	is.Equal(len(served), gangs)
	is.True(slices.IsSortedFunc(served, func(a, b string) int { return -cmpText(a, b) })) // the first to come has the last name
}

func cmpText(a, b string) int { return slices.Compare([]byte(a), []byte(b)) }

// TestTicketsComeAhead has a gang wait for a worker whose task ends in 2 s: tickets are
// asked for shortly before, not at once and not when the room is there, where the room
// would stand idle until the answer.
func TestTicketsComeAhead(t *testing.T) {
	is := is.New(t)
	cl := crowd(1)
	const ends = 5 * time.Second
	submit(cl, "busy", work.Step{Count: 1, Need: full, Estimate: ends}, work.Queue{Name: "b", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2})
	cl.Plan(0)
	busy := cl.TakeOutput().Starts[0]
	cl.Started(0, busy)
	advised := work.Queue{
		Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, Stretch: 2,
		AdviceBase: 500 * time.Millisecond, AdviceEach: time.Millisecond,
	}
	submit(cl, "gang", work.Step{Count: 1, Gang: true, Need: full, Estimate: time.Second}, advised)
	asked := []time.Duration{}
	const step = 50 * time.Millisecond
	var now time.Duration
	for ; now < ends; now += step {
		cl.Report(now, busy.Worker, now, []cell.Run{{Task: busy.Task, Number: busy.Run, Percent: int(100 * now / ends)}}, nil)
		cl.Plan(now)
		for _, qn := range cl.TakeOutput().AdviceRequests {
			asked = append(asked, now)
			cl.AddAdvice(now, qn, rows(qn), 1500*time.Millisecond)
		}
	}
	is.True(len(asked) >= 2)               // which workers may, and then the tickets
	is.True(asked[0] < time.Second)        // at once
	is.True(asked[1] > ends-2*time.Second) // not while they would run out before
	cl.Report(now, busy.Worker, now, nil, []cell.End{{Seq: 1, Run: cell.Run{Task: busy.Task, Number: busy.Run}, Result: cell.ResultDone}})
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(now)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1) // it has its ticket when the room is there
	is.Equal(starts[0].Task.Job, "gang")
}

// TestUrgentSparesGatheredRoom has a gang gather the only worker that it may run on, half
// of which is busy: an urgent task goes to an idle one although the busy one has less left,
// and takes what is kept only where there is no other room.
func TestUrgentSparesGatheredRoom(t *testing.T) {
	tests := map[string]struct {
		workers int
		want    incarnation.ID
	}{
		"room elsewhere":    {workers: 2, want: "w001"},
		"no room elsewhere": {workers: 1, want: "w000"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := crowd(tt.workers)
			cl.PutWorker(0, cell.Worker{ID: "w000", Service: "svc", Labels: []string{"big"}, Capacity: size.New(64000, 128000, 0)})
			plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			half := size.New(32000, 100, 0)
			submit(cl, "busy", work.Step{Count: 1, Need: half, Label: "big", Estimate: 5 * time.Second}, plain)
			cl.Plan(0)
			cl.Started(0, cl.TakeOutput().Starts[0])
			submit(cl, "gang", work.Step{Count: 1, Gang: true, Need: full, Label: "big", Estimate: time.Second}, plain)
			const later = 400 * time.Millisecond // after which a gang gathers
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

// TestAgesOutliveAPlanner has a new planner take in two jobs, the older one last: the older
// one is served first, as it was by the planner before.
func TestAgesOutliveAPlanner(t *testing.T) {
	is := is.New(t)
	cl := crowd(1)
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	job := func(id string) *work.Job {
		return &work.Job{ID: id, Spec: "s", Queue: plain, Steps: []work.Step{{Count: 1, Need: full, Estimate: time.Minute}}}
	}
	cl.AddAged(0, time.Second, job("a-younger"))
	cl.AddAged(0, time.Minute, job("b-older"))
	cl.Plan(0)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "b-older")
	is.True(cl.LongestWaiting(time.Second, 0, 1)[0].Waited >= 2*time.Second)
}

// TestLateRanksAMinuteLater has a late task and one in time wait for the same worker: the
// one in time goes first, until the other is late by a minute.
func TestLateRanksAMinuteLater(t *testing.T) {
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
			cl := crowd(1)
			at := time.Second
			plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			job := func(id string) *work.Job {
				return &work.Job{ID: id, Spec: "s", Queue: plain, Steps: []work.Step{{Count: 1, Need: full, Estimate: time.Second}}}
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

// TestFewGangsGather has ten gangs lack room in a cell of which three quarters are in use:
// only so many gather that a tenth of the cell stands idle for them. In an idle cell more do.
func TestFewGangsGather(t *testing.T) {
	tests := map[string]struct {
		busy   int64
		gather int
	}{
		"busy cell": {busy: 49000, gather: 3}, // 20 tasks idle 15 cores each: 300 of 6,400 a gang
		"idle cell": {busy: 2000, gather: 4},  // beyond the quarter that is free on a busy day
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const workers, gangs = 100, 10
			cl := crowd(workers)
			plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			submit(cl, "busy", work.Step{Count: workers, PerWorker: 1, Need: size.New(tt.busy, 100, 0), Estimate: 5 * time.Second}, plain)
			cl.Plan(0)
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
			}
			for n := range gangs {
				submit(cl, fmt.Sprintf("gang%d", n), work.Step{Count: 20, Gang: true, Need: full, Estimate: time.Second}, plain)
			}
			const later = 400 * time.Millisecond // after which gangs gather
			cl.Plan(later)
			gather := 0
			for _, wt := range cl.LongestWaiting(later, 0, gangs) {
				if wt.Reserved > 0 {
					gather++
				}
			}
			is.Equal(gather, tt.gather)
		})
	}
}
