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

// TestLongRunningRestart has a long-running task end after a minute on an overloaded cell. It must be restarted
// before later jobs, although its own job is old.
func TestLongRunningRestart(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(1)
	whole := size.New(64000, 100, 0)
	longRunning := work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2.2, Target: 2500 * time.Millisecond}
	submitStep(cl, "lasting", work.Step{Count: 1, Need: whole, LongRunning: true, Estimate: time.Second}, longRunning)
	cl.Plan(0)
	first := cl.TakeOutput().Starts
	is.Equal(len(first), 1)
	cl.Started(0, first[0])
	quick := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: 2 * time.Second}
	for n := range 20 {
		cl.Add(time.Minute, &work.Job{ID: fmt.Sprintf("job%d", n), Spec: "s", Queue: quick, Steps: []work.Step{{Count: 1, Need: whole, Estimate: time.Second}}}, false)
	}
	cl.Plan(time.Minute)
	is.Equal(len(cl.TakeOutput().Starts), 0)
	end := cell.End{Seq: 1, Run: cell.Run{Task: first[0].Task, Number: first[0].Run}, Result: cell.ResultFailed}
	cl.Report(time.Minute, "w000", time.Minute, nil, []cell.End{end})
	cl.Plan(time.Minute)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "lasting")
}

// TestUrgentLongRunningGoesFirst submits a long-running step of an urgent queue along with a deferrable one that has
// less slack: urgent queues go before all others, long-running or not.
func TestUrgentLongRunningGoesFirst(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(1)
	whole := size.New(64000, 100, 0)
	deferrable := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 1, Target: time.Second}
	urgent := work.Queue{Name: "u", Service: "svc", Attempts: 3, Priority: 0, Stretch: 1, Target: time.Minute}
	submitStep(cl, "patient", work.Step{Count: 1, Need: whole, Estimate: time.Second}, deferrable)
	submitStep(cl, "urgent", work.Step{Count: 1, Need: whole, LongRunning: true, Estimate: time.Second}, urgent)
	cl.Plan(0)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "urgent")
}

// runBesideShortJobs runs a cell of 20 workers for 20 s in steps of 20 ms, with a new short job in each, and passes
// starts of the job "odd" to a callback. It returns how many of the short jobs were not started at once.
func runBesideShortJobs(oddStep work.Step, qu work.Queue, started func(cl *cell.Cell, now time.Duration, sr cell.Start, end func(cell.Result))) (late int) {
	const workers, span, step = 20, 20 * time.Second, 20 * time.Millisecond
	cl := newTestCell(workers)
	quick := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	submitStep(cl, "odd", oddStep, qu)
	seen := map[incarnation.ID]int{}
	for now := time.Duration(0); now < span; now += step {
		for n := range workers {
			cl.Report(now, incarnation.ID(fmt.Sprintf("w%03d", n)), now, nil, nil)
		}
		cl.Add(now, &work.Job{ID: now.String(), Spec: "s", Queue: quick, Steps: []work.Step{{Count: 1, Need: oddStep.Need, Estimate: step}}}, false)
		cl.SetCommitted(cl.RecordCount())
		cl.Tick(now, now)
		cl.Plan(now)
		late++
		for _, sr := range cl.TakeOutput().Starts {
			end := func(how cell.Result) {
				cl.Started(now, sr)
				seen[sr.Worker]++
				cl.Report(now, sr.Worker, now, nil, []cell.End{{Seq: seen[sr.Worker], Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: how}})
			}
			if sr.Task.Job == "odd" {
				started(cl, now, sr, end)
				continue
			}
			late--
			end(cell.ResultDone)
		}
	}
	return late
}

// TestLongRunningFailsAtOnce has a long-running task fail as soon as it starts, beside a stream of short jobs. The
// task must be restarted at a bounded rate, but at least every 3 s, and must not delay the other jobs.
func TestLongRunningFailsAtOnce(t *testing.T) {
	is := is.New(t)
	qu := work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2.2, Target: 2500 * time.Millisecond}
	odd := work.Step{Count: 1, Need: size.New(4000, 100, 0), LongRunning: true, Estimate: time.Second}
	starts, last, longest := 0, time.Duration(0), time.Duration(0)
	late := runBesideShortJobs(odd, qu, func(_ *cell.Cell, now time.Duration, _ cell.Start, end func(cell.Result)) {
		starts, last, longest = starts+1, now, max(longest, now-last)
		end(cell.ResultFailed)
	})
	is.True(starts <= 15)             // starts of the long-running task
	is.True(longest <= 3*time.Second) // pauses between them
	is.Equal(late, 0)                 // other jobs that were not started at once
}

// TestRefusedByAll has a task whose start every worker refuses as invalid, beside a stream of short jobs. It must be
// retried at a bounded rate and must not delay the other jobs.
func TestRefusedByAll(t *testing.T) {
	is := is.New(t)
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second}
	odd := work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second}
	tries := 0
	late := runBesideShortJobs(odd, qu, func(cl *cell.Cell, now time.Duration, sr cell.Start, _ func(cell.Result)) {
		tries++
		cl.Refused(now, sr, cell.RefusedInvalid)
	})
	is.True(tries <= 15) // starts of the refused task
	is.Equal(late, 0)    // other jobs that were not started at once
}

// TestAdviceOnRestartAwaitsRecovery guards against a planner that requests advice on a lost long-running task of an
// earlier planner only once the recovery is complete.
func TestAdviceOnRestartAwaitsRecovery(t *testing.T) {
	is := is.New(t)
	const leaseEnd = 4 * time.Second
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
	qu := work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Target: time.Second, Advised: true}
	need := size.New(4000, 100, 0)
	cl.Add(0, &work.Job{ID: "lasting", Spec: "s", Queue: qu, Steps: []work.Step{{Count: 2, Need: need, LongRunning: true}}}, true)
	for _, id := range []incarnation.ID{"w0", "w1", "w2"} {
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
	}
	runs := map[incarnation.ID][]cell.Run{"w0": {{Task: work.Task{Job: "lasting"}, Number: 1}}}
	cl.Report(0, "w0", 0, runs["w0"], nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(0)
	is.Equal(len(cl.TakeOutput().AdviceRequests), 0) // the other task may be on any worker
	cl.Report(0, "w1", 0, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Unreachable(time.Second, "w2", leaseEnd)
	cl.Plan(time.Second)
	out := cl.TakeOutput()
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.AdviceRequests), 1)
	cl.AddAdvice(3*time.Second, out.AdviceRequests[0], []cell.Ticket{{Worker: "w1", Text: "t"}}, 2*time.Second)
	for _, id := range []incarnation.ID{"w0", "w1"} {
		cl.Report(leaseEnd, id, leaseEnd, runs[id], nil)
	}
	cl.LeaseExpired(leaseEnd, "w2")
	cl.FinishRecovery()
	cl.Plan(leaseEnd)
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, incarnation.ID("w1"))
}

// TestPreemptionIsRepeatedAtOnce guards against run after run that is stopped for a long-running task whose starts are
// refused.
func TestPreemptionIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(12)
	half := size.New(32000, 100, 0)
	submitStep(cl, "lasting", work.Step{Count: 1, Need: half, LongRunning: true}, work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1})
	cl.Plan(0)
	lost := cl.TakeOutput().Starts[0]
	cl.Started(0, lost)
	submitStep(cl, "batch", work.Step{Count: 23, Need: half, Estimate: time.Minute}, work.Queue{Name: "b", Service: "svc", Attempts: 3, Priority: 2})
	cl.Plan(0)
	runs := map[incarnation.ID][]cell.Run{}
	for _, sr := range cl.TakeOutput().Starts {
		cl.Started(0, sr)
		runs[sr.Worker] = append(runs[sr.Worker], cell.Run{Task: sr.Task, Number: sr.Run})
	}
	cl.Unreachable(0, lost.Worker, workerLease)
	cl.LeaseExpired(workerLease, lost.Worker)
	stops := 0
	const span, step = 3 * time.Second, 20 * time.Millisecond
	for now := workerLease; now < workerLease+span; now += step {
		for id, held := range runs {
			for n := range held {
				held[n].Percent = 1 + int(10*(now-workerLease)/time.Second)
			}
			if id != lost.Worker {
				cl.Report(now, id, now, held, nil)
			}
		}
		cl.SetCommitted(cl.RecordCount())
		cl.Tick(now, now)
		cl.Plan(now)
		out := cl.TakeOutput()
		for _, sp := range out.Stops {
			stops++
			cl.Stopped(now, sp)
			runs[sp.Worker] = slices.DeleteFunc(runs[sp.Worker], func(rn cell.Run) bool { return rn.Task == sp.Task })
		}
		for _, sr := range out.Starts {
			cl.Refused(now, sr, cell.RefusedNoCapacity)
		}
	}
	is.True(stops > 0)
	is.True(stops <= int(span/time.Second)) // one a second
}
