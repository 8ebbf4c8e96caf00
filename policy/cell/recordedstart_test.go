package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// newSuspectTestbed returns a cell whose only task has crashed one worker.
func newSuspectTestbed(t *testing.T) *crashTestbed {
	ct := newCrashTestbed(t, work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second})
	sr, _ := ct.start()
	ct.cell.Replaced(ct.now, sr.Worker)
	ct.takeOutput()
	return ct
}

// nextPlanner replaces the cell by one that knows only the journal and the workers.
func (ct *crashTestbed) nextPlanner() {
	ct.cell = cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
	ct.cell.Add(ct.now, &work.Job{
		ID: "j", Spec: "s", Queue: work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 9}, Steps: []work.Step{ct.step},
	}, true)
	ct.cell.Restore(ct.now, ct.journal)
	for id, runs := range ct.cell.RecordedStarts() {
		ct.cell.InheritRuns(ct.now, id, runs)
	}
	spare := incarnation.ID("spare")
	ct.cell.PutWorker(ct.now, cell.Worker{ID: spare, Service: "svc", Capacity: size.New(64000, 128000, 0)})
	ct.cell.Report(ct.now, spare, ct.now, nil, nil)
	ct.takeOutput()
}

func TestStartAfterCrashAwaitsJournal(t *testing.T) {
	ct := newSuspectTestbed(t)
	ct.cell.Plan(ct.now)
	out := ct.cell.TakeOutput()
	ct.Equal(len(out.Starts), 0)
	ct.Equal(len(out.Records), 1)
	ct.cell.Plan(ct.now)
	ct.Equal(len(ct.cell.TakeOutput().Starts), 0)
	ct.cell.SetCommitted(ct.cell.RecordCount())
	starts := ct.cell.TakeOutput().Starts
	ct.Equal(len(starts), 1)
	ct.Equal(*out.Records[0].Started, cell.Run{Task: starts[0].Task, Number: starts[0].Run})
	ct.Equal(out.Records[0].RunWorker, starts[0].Worker)
}

// TestUnsentStartIsNoCrash guards against a crash that is attributed to a run whose start still waited for the journal.
func TestUnsentStartIsNoCrash(t *testing.T) {
	for name, lose := range map[string]func(ct *crashTestbed, id incarnation.ID){
		"lease expires": func(ct *crashTestbed, id incarnation.ID) {
			ct.cell.Unreachable(ct.now, id, ct.now+workerLease)
			ct.cell.LeaseExpired(ct.now+workerLease, id)
		},
		"restarts": func(ct *crashTestbed, id incarnation.ID) {
			ct.cell.Restarted(ct.now, id, incarnation.New(id.WorkerID(), 1), ct.now)
		},
		"does not answer": func(ct *crashTestbed, id incarnation.ID) {
			ct.cell.Unreachable(ct.now, id, ct.now+workerLease)
		},
	} {
		t.Run(name, func(t *testing.T) {
			ct := newSuspectTestbed(t)
			ct.cell.Plan(ct.now)
			rec := ct.cell.TakeOutput().Records[0]
			lose(ct, rec.RunWorker)
			ct.lost[rec.RunWorker] = true
			ct.cell.SetCommitted(ct.cell.RecordCount())
			ct.Equal(len(ct.cell.TakeOutput().Starts), 0)
			all, _ := ct.cell.CrashCounts(rec.Started.Task)
			ct.Equal(all, 1)
			sr, ok := ct.start()
			ct.True(ok)
			ct.True(sr.Worker != rec.RunWorker)
		})
	}
}

// TestRecordedStartOutlivesPlanner guards against a crash that the next planner does not attribute because the worker
// was lost together with the planner that had started the task.
func TestRecordedStartOutlivesPlanner(t *testing.T) {
	for name, tt := range map[string]struct {
		resolve func(ct *crashTestbed, sr cell.Start)
		want    int
	}{
		"worker is lost": {func(ct *crashTestbed, sr cell.Start) { ct.cell.LeaseExpired(ct.now, sr.Worker) }, 2},
		"next incarnation omits the run": {func(ct *crashTestbed, sr cell.Start) {
			next := incarnation.New(sr.Worker.WorkerID(), 1)
			ct.cell.Restarted(ct.now, sr.Worker, next, ct.now)
			ct.cell.Report(ct.now, next, ct.now, nil, nil)
		}, 2},
		"worker omits the run": {func(ct *crashTestbed, sr cell.Start) {
			ct.cell.Report(ct.now, sr.Worker, ct.now, nil, nil)
		}, 1},
		"worker reports its end": {func(ct *crashTestbed, sr cell.Start) {
			run := cell.Run{Task: sr.Task, Number: sr.Run}
			ct.cell.Report(ct.now, sr.Worker, ct.now, nil, []cell.End{{Seq: 1, Run: run, Result: cell.ResultLeaseExpired}})
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ct := newSuspectTestbed(t)
			sr, _ := ct.start()
			ct.nextPlanner()
			tt.resolve(ct, sr)
			ct.takeOutput()
			all, unexplained := ct.cell.CrashCounts(sr.Task)
			ct.Equal(all, tt.want)
			ct.Equal(unexplained, 1) // the start may not have been sent
			ct.nextPlanner()
			ct.Equal(len(ct.cell.RecordedStarts()), 0)
			all, _ = ct.cell.CrashCounts(sr.Task)
			ct.Equal(all, tt.want)
		})
	}
}

// TestUnknownLossOutlivesPlanner guards against a second crash without a record: after a loss whose runs are not known,
// starts of earlier planners' tasks must be recorded, by later planners too.
func TestUnknownLossOutlivesPlanner(t *testing.T) {
	is := is.New(t)
	ct := newCrashTestbed(t, work.Step{Count: 1, Need: size.New(4000, 100, 0), Estimate: time.Second})
	ct.nextPlanner()
	ct.cell.RecordUnknownLoss()
	ct.takeOutput()
	ct.nextPlanner()
	ct.cell.FinishRecovery()
	ct.cell.Plan(ct.now)
	out := ct.takeOutput()
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.Records), 1)
	is.Equal(len(ct.takeOutput().Starts), 1)
}

// TestGangStartsTogether guards against members of a gang that wait at their workers for one whose start waits for the
// journal.
func TestGangStartsTogether(t *testing.T) {
	const members = 3
	is := is.New(t)
	ct := newCrashTestbed(t, work.Step{Count: members, Gang: true, PerWorker: 1, Need: size.New(4000, 100, 0), Estimate: time.Second})
	ct.cell.Plan(ct.now)
	starts := ct.takeOutput().Starts
	is.Equal(len(starts), members)
	for _, sr := range starts {
		ct.cell.Started(ct.now, sr)
	}
	ct.cell.Replaced(ct.now, starts[0].Worker)
	for _, sr := range starts[1:] {
		run := cell.Run{Task: sr.Task, Number: sr.Run}
		ct.cell.Report(ct.now, sr.Worker, ct.now, nil, []cell.End{{Seq: 1, Run: run, Result: cell.ResultStopped}})
	}
	ct.takeOutput()
	ct.cell.Plan(ct.now)
	is.Equal(len(ct.takeOutput().Starts), 0)
	is.Equal(len(ct.takeOutput().Starts), members)
}

// TestUnsentStartIsNotHeld guards against a crash that the next planner attributes to a run whose start was not sent: the
// record of a lost worker lists only the runs that it may have.
func TestUnsentStartIsNotHeld(t *testing.T) {
	ct := newSuspectTestbed(t)
	ct.cell.Plan(ct.now)
	start := ct.cell.TakeOutput().Records[0]
	ct.cell.Unreachable(ct.now, start.RunWorker, ct.now+workerLease)
	lost := ct.cell.TakeOutput().Records[0]
	ct.Equal(lost.Worker, start.RunWorker)
	ct.True(lost.Closed)
	ct.Equal(len(lost.Held), 0)
}

// TestHeldStartHasValidTicket guards against a start that its worker rejects because the ticket expired while the start
// waited for the journal.
func TestHeldStartHasValidTicket(t *testing.T) {
	for name, tt := range map[string]struct {
		committed time.Duration
		want      int
	}{
		"valid":   {100 * time.Millisecond, 1},
		"expired": {time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ct := newSuspectTestbed(t)
			qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 9, Advised: true}
			ct.cell.Add(ct.now, &work.Job{ID: "advised", Spec: "s", Queue: qu, Steps: []work.Step{ct.step}}, true)
			ct.cell.Cancel(ct.now, "j", "")
			ct.cell.RecordUnknownLoss()
			ct.cell.Plan(ct.now)
			rq := ct.takeOutput().AdviceRequests[0]
			ct.cell.AddAdvice(ct.now, rq, []cell.Ticket{{Worker: rq.Workers[0], Text: "ticket"}}, 500*time.Millisecond)
			ct.cell.Plan(ct.now)
			ct.Equal(len(ct.cell.TakeOutput().Starts), 0)
			ct.cell.SetCommitted(ct.cell.RecordCount())
			ct.cell.Plan(ct.now + tt.committed)
			ct.Equal(len(ct.cell.TakeOutput().Starts), tt.want)
		})
	}
}

// TestUnsentRunEndsAtOnce guards against a stop of a run that no worker has, for which its capacity would wait.
func TestUnsentRunEndsAtOnce(t *testing.T) {
	ct := newSuspectTestbed(t)
	ct.cell.Plan(ct.now)
	id := ct.takeOutput().Records[0].RunWorker
	ct.cell.Cancel(ct.now, "j", "")
	ct.Equal(len(ct.cell.HeldRuns(id)), 0)
	out := ct.takeOutput()
	ct.Equal(len(out.Starts)+len(out.Stops), 0)
}

// TestStartOnGoneWorkerIsForgotten guards against a crash that is attributed to a run which an earlier version of the
// planner has resolved without a record.
func TestStartOnGoneWorkerIsForgotten(t *testing.T) {
	ct := newSuspectTestbed(t)
	sr, _ := ct.start()
	ct.journal = append(ct.journal, cell.Record{Worker: sr.Worker, Gone: true})
	ct.nextPlanner()
	ct.Equal(len(ct.cell.RecordedStarts()), 0)
}
