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

// waitBed is a cell of two workers, which are w000 and w001. The long-running job "lasting" has one task, which needs a
// whole worker.
type waitBed struct {
	*cell.Cell
	step  work.Step
	queue work.Queue
}

func newWaitBed() *waitBed {
	return &waitBed{
		Cell:  newTestCell(2),
		step:  work.Step{Count: 1, Need: size.New(64000, 100, 0), LongRunning: true, Estimate: time.Second},
		queue: work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second},
	}
}

// submit submits "lasting" and plans.
func (wb *waitBed) submit() cell.Output {
	submitStep(wb.Cell, "lasting", wb.step, wb.queue)
	wb.Plan(0)
	return wb.TakeOutput()
}

// start submits "lasting" and has its worker answer the start.
func (wb *waitBed) start() cell.Start {
	sr := wb.submit().Starts[0]
	wb.Started(0, sr)
	return sr
}

// fill submits a job that needs a number of whole workers, and plans.
func (wb *waitBed) fill(id string, workers int) {
	qu := work.Queue{Name: "f", Service: "svc", Attempts: 3, Stretch: 2, Target: time.Second}
	submitStep(wb.Cell, id, work.Step{Count: workers, Need: wb.step.Need, Estimate: time.Minute}, qu)
	wb.Plan(0)
	for _, sr := range wb.TakeOutput().Starts {
		wb.Started(0, sr)
	}
}

// TestWaitReasons has a long-running task lack a run for each of the reasons.
func TestWaitReasons(t *testing.T) {
	const checkedAt = 100 * time.Millisecond
	next := incarnation.New("w000", 1)
	cases := map[string]struct {
		arrange func(wb *waitBed)
		want    cell.Wait
	}{
		"recovery": {
			arrange: func(wb *waitBed) {
				wb.Cell = cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
				wb.Add(0, &work.Job{ID: "lasting", Spec: "s", Queue: wb.queue, Steps: []work.Step{wb.step}}, true)
			},
			want: cell.Wait{Reason: cell.WaitRecovery},
		},
		"next incarnation has not reported": {
			arrange: func(wb *waitBed) {
				sr := wb.start()
				wb.StartDelayed(0, sr)
				wb.Restarted(0, sr.Worker, next, 0)
			},
			want: cell.Wait{Reason: cell.WaitPredecessor, Worker: "w000", Remaining: 15*time.Second - checkedAt},
		},
		"worker does not answer": {
			arrange: func(wb *waitBed) { wb.Unreachable(0, wb.start().Worker, workerLease) },
			want:    cell.Wait{Reason: cell.WaitLease, Worker: "w000"},
		},
		"worker of an earlier planner has not answered": {
			arrange: func(wb *waitBed) {
				wb.submit()
				wb.Cell = cell.New(cell.Options{Retention: time.Minute, FirstRun: 65})
				wb.Add(0, &work.Job{ID: "lasting", Spec: "s", Queue: wb.queue, Steps: []work.Step{wb.step}}, true)
				wb.InheritRuns(0, "w000", []cell.Run{{Task: work.Task{Job: "lasting"}, Number: 1}})
				wb.FinishRecovery()
			},
			want: cell.Wait{Reason: cell.WaitLease, Worker: "w000"},
		},
		"start is not answered yet": {
			arrange: func(wb *waitBed) { wb.submit() },
			want:    cell.Wait{Reason: cell.WaitStart, Worker: "w000"},
		},
		"start was given up": {
			arrange: func(wb *waitBed) { wb.StartUnconfirmed(0, wb.submit().Starts[0]) },
			want:    cell.Wait{Reason: cell.WaitStop, Worker: "w000"},
		},
		"backoff": {
			arrange: func(wb *waitBed) {
				sr, seen := wb.start(), map[incarnation.ID]int{}
				for range 3 {
					seen[sr.Worker]++
					run := cell.Run{Task: sr.Task, Number: sr.Run}
					wb.Report(0, sr.Worker, 0, nil, []cell.End{{Seq: seen[sr.Worker], Run: run, Result: cell.ResultFailed}})
					wb.Plan(0)
					if starts := wb.TakeOutput().Starts; len(starts) > 0 {
						sr = starts[0]
						wb.Started(0, sr)
					}
				}
			},
			want: cell.Wait{Reason: cell.WaitBackoff, Remaining: 250*time.Millisecond - checkedAt},
		},
		"window": {
			arrange: func(wb *waitBed) {
				wb.Cell = cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, InitialWindow: 1})
				wb.PutWorker(0, cell.Worker{ID: "w000", Service: "svc", Capacity: size.New(64000, 128000, 0)})
				wb.Report(0, "w000", 0, nil, nil)
				wb.SetCommitted(wb.RecordCount())
				submitStep(wb.Cell, "other", work.Step{Count: 1, Need: size.New(1000, 100, 0)}, work.Queue{Service: "svc"})
				wb.Plan(0)
				wb.submit()
			},
			want: cell.Wait{Reason: cell.WaitWindow},
		},
		"limit": {
			arrange: func(wb *waitBed) {
				ws := work.Workspace{Name: "ws", Weight: 1, Limit: size.New(1000, 1000, 0), Version: 1}
				wb.Add(0, &work.Job{ID: "lasting", Spec: "s", Queue: wb.queue, Steps: []work.Step{wb.step}, Workspace: ws}, false)
				wb.Plan(0)
			},
			want: cell.Wait{Reason: cell.WaitLimit},
		},
		"record is not committed": {
			arrange: func(wb *waitBed) {
				wb.Cell = cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
				wb.PutWorker(0, cell.Worker{ID: "w000", Service: "svc", Capacity: size.New(64000, 128000, 0)})
				wb.Report(0, "w000", 0, nil, nil)
				wb.submit()
			},
			want: cell.Wait{Reason: cell.WaitCommit},
		},
		"journal lacks the record of its start": {
			arrange: func(wb *waitBed) {
				wb.Replaced(0, wb.start().Worker)
				wb.Plan(0)
			},
			want: cell.Wait{Reason: cell.WaitCommit, Worker: "w001"},
		},
		"workers are in quarantine": {
			arrange: func(wb *waitBed) {
				wb.Refused(0, wb.submit().Starts[0], cell.RefusedNoCapacity)
				wb.Plan(0)
				wb.Refused(50*time.Millisecond, wb.TakeOutput().Starts[0], cell.RefusedNoCapacity)
				wb.Plan(50 * time.Millisecond)
			},
			want: cell.Wait{Reason: cell.WaitQuarantine, Worker: "w000", Remaining: 200 * time.Millisecond},
		},
		"no allowed worker is known": {
			arrange: func(wb *waitBed) {
				wb.queue.Advised = true
				wb.submit()
			},
			want: cell.Wait{Reason: cell.WaitAdvice},
		},
		"ticket has expired": {
			arrange: func(wb *waitBed) {
				wb.queue.Advised = true
				wb.AddAdvice(0, wb.submit().AdviceRequests[0], []cell.Ticket{{Worker: "w000", Text: "t"}}, checkedAt)
			},
			want: cell.Wait{Reason: cell.WaitAdvice},
		},
		"allowed worker is full": {
			arrange: func(wb *waitBed) {
				wb.queue.Advised = true
				request := wb.submit().AdviceRequests[0]
				wb.fill("busy", 1)
				wb.AddAdvice(0, request, []cell.Ticket{{Worker: "w000", Text: "t"}}, time.Minute)
			},
			want: cell.Wait{Reason: cell.WaitCapacity},
		},
		"all workers are full": {
			arrange: func(wb *waitBed) {
				wb.fill("busy", 2)
				wb.submit()
			},
			want: cell.Wait{Reason: cell.WaitCapacity},
		},
		"next plan": {
			arrange: func(wb *waitBed) {
				wb.Plan(0)
				submitStep(wb.Cell, "lasting", wb.step, wb.queue)
			},
			want: cell.Wait{Reason: cell.WaitPlan},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wb := newWaitBed()
			tc.arrange(wb)
			list := wb.LongestLacking(checkedAt, 0, 1)
			is.Equal(len(list), 1)
			is.Equal(list[0].WaitsFor, tc.want)
			is.Equal(list[0].Waited, checkedAt)
			is.Equal(list[0].Tasks, 1)
			is.Equal(wb.LackingTasks(), 1)
			for _, ws := range wb.LongestWaiting(checkedAt, 0, 9) {
				is.True(ws.Step.Job != "lasting") // long-running steps are not among the others
			}
		})
	}
}

// TestWaitReasonsBesideGangs has a gang wait for capacity while a step with much slack leaves the free worker to it.
func TestWaitReasonsBesideGangs(t *testing.T) {
	is := is.New(t)
	whole := size.New(64000, 100, 0)
	cl := newTestCell(4)
	submitStep(cl, "busy", work.Step{Count: 3, Need: whole, Estimate: time.Minute}, work.Queue{Service: "svc", Stretch: 2})
	cl.Plan(0)
	for _, sr := range cl.TakeOutput().Starts {
		cl.Started(0, sr)
	}
	submitStep(cl, "gang", work.Step{Count: 2, Gang: true, Need: whole, Estimate: time.Second}, work.Queue{Service: "svc", Priority: 1, Stretch: 9})
	patient := work.Queue{Service: "svc", Priority: 2, Stretch: 30}
	const later = time.Second
	cl.Add(later, &work.Job{ID: "patient", Queue: patient, Steps: []work.Step{{Count: 1, Need: whole, Estimate: time.Second}}}, false)
	cl.Plan(later)
	reasons := map[string]cell.WaitReason{}
	for _, ws := range cl.LongestWaiting(later, 0, 9) {
		reasons[ws.Step.Job] = ws.WaitsFor.Reason
	}
	is.Equal(reasons, map[string]cell.WaitReason{"gang": cell.WaitCapacity, "patient": cell.WaitGangs})
}

// TestRestartsOfLostTasks checks from when the restart of a long-running task is timed, and that only restarts after
// the loss of a worker are.
func TestRestartsOfLostTasks(t *testing.T) {
	const lostAt, startedAt = 2 * time.Second, 9 * time.Second
	cases := map[string]struct {
		end  func(wb *waitBed, sr cell.Start)
		want []time.Duration
	}{
		"lease has expired": {
			end: func(wb *waitBed, sr cell.Start) {
				wb.Unreachable(3*time.Second, sr.Worker, lostAt+workerLease)
				wb.LeaseExpired(8*time.Second, sr.Worker)
			},
			want: []time.Duration{startedAt - lostAt},
		},
		"worker has restarted": {
			end: func(wb *waitBed, sr cell.Start) {
				wb.Restarted(8*time.Second, sr.Worker, incarnation.New(sr.Worker.WorkerID(), 1), 8*time.Second)
			},
			want: []time.Duration{startedAt - lostAt},
		},
		"task has failed": {
			end: func(wb *waitBed, sr cell.Start) {
				run := cell.Run{Task: sr.Task, Number: sr.Run}
				wb.Report(8*time.Second, sr.Worker, 8*time.Second, nil, []cell.End{{Seq: 1, Run: run, Result: cell.ResultFailed}})
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wb := newWaitBed()
			sr := wb.start()
			wb.Report(lostAt, sr.Worker, lostAt, []cell.Run{{Task: sr.Task, Number: sr.Run}}, nil)
			tc.end(wb, sr)
			is.Equal(wb.LackingTasks(), 1)
			wb.Report(startedAt, "w001", startedAt, nil, nil)
			wb.Plan(startedAt)
			wb.SetCommitted(wb.RecordCount())
			next := wb.TakeOutput().Starts[0]
			wb.Started(startedAt, next)
			var got []time.Duration
			for _, rs := range wb.TakeOutput().Restarts {
				is.Equal(rs.Worker, next.Worker)
				got = append(got, rs.After)
			}
			is.Equal(got, tc.want)
			is.Equal(wb.LackingTasks(), 0)
		})
	}
}
