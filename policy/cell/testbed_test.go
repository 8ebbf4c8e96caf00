package cell_test

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// testbed is a cell with simulated workers, a journal, and faults drawn from a seed.
// At each start it checks the invariants listed in checkStart.
type testbed struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	cell    *cell.Cell
	term    int
	workers map[incarnation.ID]*fakeWorker
	jobs    []*work.Job
	cancels []string
	records []cell.Record
	// done and failed are the task results that workers have produced so far.
	done    map[work.Task]bool
	failed  map[work.Task]int
	delayed []func()
	// unansweredRate is the probability that an order is not answered.
	unansweredRate float64
	// failRate is the probability that a run fails.
	failRate float64
	// maxEnds is the maximum number of ends in a report; 0 means any number.
	maxEnds int
	// hungJob is a job whose tasks make no progress.
	hungJob string
	// extraRunTime is added to the length of each run.
	extraRunTime time.Duration
	// crashingJobs are the jobs whose tasks crash each worker that starts them; crashes counts these crashes.
	crashingJobs map[string]bool
	crashes      map[work.Task]int
	// restartDelay is the time until a crashed worker is replaced; restartSameID is set if it restarts under
	// the same ID.
	restartDelay  time.Duration
	restartSameID bool
	// scheduled are the calls that are due at a later time.
	scheduled []scheduledCall
	// maxReportDelay is the longest time for which a worker does not answer a new planner; 0 for none.
	maxReportDelay time.Duration
	// unreported are the workers that have to report before the planner's recovery is complete.
	unreported map[incarnation.ID]bool
	// workspaces are the current settings; maxLimits are the highest limits that orders in flight may have used.
	workspaces map[string]work.Workspace
	maxLimits  map[string]size.Size
	// evacuated are the evacuated halls.
	evacuated map[string]bool
	// memoryLimit is that of the cells; deferRate is the probability that a new planner does not hold a job at first, deferred
	// counts such jobs.
	memoryLimit int64
	deferRate   float64
	deferred    int
}

// testHalls is the number of data halls.
const testHalls = 3

func (bd *testbed) hall(n int) string { return fmt.Sprint("hall", n%testHalls) }

// evacuate evacuates a hall, or withdraws that.
func (bd *testbed) evacuate(hall string, evacuated bool) {
	delete(bd.evacuated, hall)
	if evacuated {
		bd.evacuated[hall] = true
	}
	bd.cell.SetEvacuated(slices.Collect(maps.Keys(bd.evacuated)))
}

type scheduledCall struct {
	at   time.Duration
	call func()
}

type fakeWorker struct {
	cell.Worker
	token int
	runs  map[work.Task]*fakeRun
	// stopping are runs that have received a stop: reports do not list them until they end.
	stopping map[work.Task]*fakeRun
	ends     []cell.End
	seq      int
	fenced   map[work.Task]int
	dead     bool
	// crashed workers do not answer; dead is set once a replacement has started.
	crashed bool
	// prevCapacity is the capacity before the last resize. Orders that were in flight at resizedAt may still use it.
	prevCapacity size.Size
	resizedAt    time.Duration
	// downUntil is the end of a partition: until then the worker keeps its runs but neither reports nor receives orders.
	downUntil time.Duration
}

type fakeRun struct {
	number    int
	need      size.Size
	endsAt    time.Duration
	startedAt time.Duration
	gang      bool
}

func newTestbed(t *testing.T, seed uint64, workers int) *testbed {
	bd := &testbed{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[incarnation.ID]*fakeWorker{},
		done: map[work.Task]bool{}, failed: map[work.Task]int{}, crashingJobs: map[string]bool{}, crashes: map[work.Task]int{}, restartDelay: defaultRestartDelay,
		unreported: map[incarnation.ID]bool{}, workspaces: map[string]work.Workspace{}, maxLimits: map[string]size.Size{},
		evacuated: map[string]bool{},
	}
	for n := range workers {
		bd.addWorker(incarnation.ID(fmt.Sprintf("w%02d", n)))
	}
	bd.replacePlanner()
	bd.executeOrders()
	return bd
}

func (bd *testbed) addWorker(id incarnation.ID) {
	bd.workers[id] = &fakeWorker{
		Worker: cell.Worker{
			ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0), Rack: "r" + string(id[len(id)-1:]), Hall: bd.hall(int(id[len(id)-1])),
		},
		runs: map[work.Task]*fakeRun{}, stopping: map[work.Task]*fakeRun{}, fenced: map[work.Task]int{},
	}
}

// stopTime is the time a worker needs to stop a run.
const stopTime = 300 * time.Millisecond

// replacePlanner starts a new planner that knows only the journal.
func (bd *testbed) replacePlanner() {
	bd.term++
	bd.cell = cell.New(cell.Options{
		Retention: 2 * time.Minute, FirstRun: (bd.term-1)*64 + 1, StopTimeout: stopTime, MemoryLimit: bd.memoryLimit,
	})
	bd.cell.SetEvacuated(slices.Collect(maps.Keys(bd.evacuated)))
	for _, jb := range bd.jobs {
		bd.add(jb, true)
	}
	bd.cell.UpdateWorkspaces(bd.workspace)
	for _, id := range bd.cancels {
		bd.cell.Cancel(bd.now, id, "")
	}
	bd.cell.Restore(bd.now, bd.records)
	lastRecord := map[incarnation.ID]cell.Record{}
	stops := map[incarnation.ID][]cell.Run{}
	for at, rec := range bd.records {
		switch {
		case rec.Stop && at > len(bd.records)-100:
			stops[rec.Worker] = append(stops[rec.Worker], rec.Held...)
		case rec.Worker != "" && !rec.Stop:
			lastRecord[rec.Worker] = rec
		}
	}
	recorded := bd.cell.RecordedStarts()
	for _, id := range bd.workerIDs() {
		wk, rec := bd.workers[id], lastRecord[id]
		if wk.dead {
			continue
		}
		bd.cell.PutWorker(bd.now, wk.Worker)
		bd.cell.InheritRuns(bd.now, id, slices.Concat(rec.Held, recorded[id]))
		if !rec.Closed {
			wk.downUntil = 0 // recovery waits for a worker that may hold any task
			if bd.maxReportDelay > 0 && bd.rng.IntN(2) == 0 {
				wk.downUntil = bd.now + time.Duration(bd.rng.Int64N(int64(bd.maxReportDelay)))
			}
			bd.unreported[id] = true
		}
		bd.cell.InheritStops(bd.now, id, stops[id])
		if !bd.isDown(wk) {
			bd.report(id)
		}
	}
	bd.finishRecovery()
}

// finishRecovery completes the planner's recovery once all workers that may hold any task have reported or are gone.
func (bd *testbed) finishRecovery() {
	for id := range bd.unreported {
		if wk := bd.workers[id]; wk.dead || wk.token == bd.term && !bd.cell.LacksEnds(id) {
			delete(bd.unreported, id)
		}
	}
	if len(bd.unreported) == 0 && !bd.cell.Recovered() {
		bd.cell.FinishRecovery()
	}
}

func (bd *testbed) workspace(name string) (work.Workspace, bool) {
	ws, ok := bd.workspaces[name]
	return ws, ok
}

// setLimit changes the limit of a workspace. Orders in flight may still use the previous one.
func (bd *testbed) setLimit(name string, limit size.Size) {
	ws := bd.workspaces[name]
	bd.maxLimits[name] = limit.Max(ws.Limit)
	bd.workspaces[name] = work.Workspace{Name: name, Weight: 1, Limit: limit, Version: ws.Version + 1}
	bd.cell.UpdateWorkspaces(bd.workspace)
	bd.scheduled = append(bd.scheduled, scheduledCall{bd.now + maxOrderDelay, func() { bd.maxLimits[name] = bd.workspaces[name].Limit }})
}

// checkLimit fails the test if a start takes a workspace's total usage over its limit.
func (bd *testbed) checkLimit(sr cell.Start, jb *work.Job, step work.Step) {
	name := jb.Workspace.Name
	if name == "" {
		return
	}
	sum := step.Allocation()
	for _, wk := range bd.workers {
		if wk.dead {
			continue
		}
		for _, runs := range []map[work.Task]*fakeRun{wk.runs, wk.stopping} {
			for task, rn := range runs {
				if bd.job(task.Job).Workspace.Name == name {
					sum = sum.Add(rn.need)
				}
			}
		}
	}
	if d, over := (work.Workspace{Limit: bd.maxLimits[name]}).Exceeds(sum); over {
		bd.t.Fatalf("start of %s takes workspace %s to %s, over its limit of %s (%s)", sr.Task, name, sum, bd.maxLimits[name], d)
	}
}

// isDown reports whether a worker does not answer at the current time.
func (bd *testbed) isDown(wk *fakeWorker) bool { return wk.dead || wk.crashed || wk.downUntil > bd.now }

// disconnect makes a worker unreachable for a time while it keeps its runs.
func (bd *testbed) disconnect(id incarnation.ID, span time.Duration) {
	bd.workers[id].downUntil = bd.now + span
	bd.cell.Unreachable(bd.now, id, bd.now+workerLease)
}

func (bd *testbed) workerIDs() []incarnation.ID {
	var ids []incarnation.ID
	for id := range bd.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (bd *testbed) submit(jb *work.Job) {
	bd.jobs = append(bd.jobs, jb)
	bd.add(jb, false)
}

// add adds a job to the cell, which does not hold it if it lacks the memory or, by a new planner, with deferRate.
func (bd *testbed) add(jb *work.Job, inherited bool) {
	if bd.cell.Holds(jb) && (!inherited || bd.deferRate == 0 || bd.rng.Float64() >= bd.deferRate) {
		bd.cell.Add(bd.now, jb, inherited)
		return
	}
	bd.deferred++
	bd.cell.AddDeferred(bd.now, 0, jb, inherited, cell.Loader{Load: func() (*work.Job, error) { return jb, nil }})
}

func (bd *testbed) cancel(id string) {
	bd.cancels = append(bd.cancels, id)
	bd.cell.Cancel(bd.now, id, "")
}

func (bd *testbed) job(id string) *work.Job {
	for _, jb := range bd.jobs {
		if jb.ID == id {
			return jb
		}
	}
	bd.t.Fatalf("start of a job that was not submitted: %s", id)
	return nil
}

// report sends a worker's report to the cell, as its long poll does.
func (bd *testbed) report(id incarnation.ID) {
	wk := bd.workers[id]
	wk.token = bd.term
	acked, _ := bd.cell.AckedEnd(id)
	wk.ends = slices.DeleteFunc(wk.ends, func(en cell.End) bool { return en.Seq <= acked })
	var runs []cell.Run
	for name, rn := range wk.runs {
		percent := int(100 * (bd.now - rn.startedAt) / max(rn.endsAt-rn.startedAt, 1))
		if name.Job == bd.hungJob {
			percent = 0
		}
		runs = append(runs, cell.Run{Task: name, Number: rn.number, Percent: percent})
	}
	if bd.maxEnds > 0 && len(wk.ends) >= bd.maxEnds {
		bd.cell.PartialReport(bd.now, id, bd.now, runs, slices.Clone(wk.ends[:bd.maxEnds]))
		return
	}
	bd.cell.Report(bd.now, id, bd.now, runs, slices.Clone(wk.ends))
}

// advance moves the time forward: due runs end, workers report, the cell plans, and orders are executed.
func (bd *testbed) advance(step time.Duration) {
	bd.now += step
	for _, id := range bd.workerIDs() {
		bd.workers[id].endDueRuns(bd)
	}
	for at := 0; at < len(bd.scheduled); at++ {
		if sc := bd.scheduled[at]; sc.at <= bd.now {
			bd.scheduled = slices.Delete(bd.scheduled, at, at+1)
			at--
			sc.call()
		}
	}
	delayed := bd.delayed
	bd.delayed = nil
	for _, execute := range delayed {
		execute()
	}
	for _, id := range bd.workerIDs() {
		if !bd.isDown(bd.workers[id]) {
			bd.report(id)
		}
	}
	bd.finishRecovery()
	bd.cell.Tick(bd.now, bd.now)
	bd.cell.Plan(bd.now)
	bd.executeOrders()
	if count := bd.cell.MiscountedRuns(); count > 0 { // a gang whose runs are not counted is not stopped
		bd.t.Errorf("%v: %d steps count their runs wrongly", bd.now, count)
	}
}

func (bd *testbed) executeOrders() {
	for out := range drainOutput(bd.cell, &bd.records) {
		for _, sr := range out.Starts {
			bd.start(sr)
		}
		for _, sp := range out.Stops {
			bd.stop(sp)
		}
		for _, req := range out.AdviceRequests {
			bd.answer(req)
		}
	}
}

// drainOutput yields the cell's output until it is empty, and appends its records to the journal.
func drainOutput(cl *cell.Cell, journal *[]cell.Record) iter.Seq[cell.Output] {
	return func(yield func(cell.Output) bool) {
		for out := cl.TakeOutput(); !out.Empty(); out = cl.TakeOutput() {
			*journal = append(*journal, out.Records...)
			cl.SetCommitted(cl.RecordCount())
			if !yield(out) {
				return
			}
		}
	}
}

// answer allows every second worker of an advice request.
func (bd *testbed) answer(req cell.AdviceRequest) {
	var rows []cell.Ticket
	for _, id := range req.Workers {
		if name := id.WorkerID(); int(name[len(name)-1])%2 == 0 {
			rows = append(rows, cell.Ticket{Worker: id, Text: req.Step.StepName() + "/" + string(id)})
		}
	}
	bd.cell.AddAdvice(bd.now, req, rows, 1500*time.Millisecond)
}

func (bd *testbed) start(sr cell.Start) {
	term := bd.term
	if hall := bd.workers[sr.Worker].Hall; bd.evacuated[hall] {
		bd.t.Fatalf("start of %s on %s is ordered although its hall %s is evacuated", sr.Task, sr.Worker, hall)
	}
	if bd.rng.Float64() < bd.unansweredRate {
		bd.executeUnanswered(func() { bd.executeStart(sr, term) })
		bd.cell.StartUnconfirmed(bd.now, sr)
		return
	}
	wk := bd.workers[sr.Worker]
	if wk.crashed && !wk.dead {
		bd.cell.Refused(bd.now, sr, cell.RefusedUnhealthy) // connection refused
		return
	}
	if bd.isDown(wk) {
		bd.cell.StartUnconfirmed(bd.now, sr)
		return
	}
	if bd.crashingJobs[sr.Task.Job] {
		bd.checkStart(wk, sr, bd.job(sr.Task.Job), bd.job(sr.Task.Job).Steps[sr.Task.Step])
		bd.crashes[sr.Task]++
		bd.cell.StartUnconfirmed(bd.now, sr)
		bd.crashAndReplace(sr.Worker)
		return
	}
	if refusal := bd.executeStart(sr, term); refusal != "" {
		bd.cell.Refused(bd.now, sr, refusal)
		return
	}
	bd.cell.Started(bd.now, sr)
}

// maxLateness is the longest time after which an order without an answer is carried out.
const maxLateness = 4 * time.Second

// executeUnanswered carries out an order that gets no answer at once, late or never.
func (bd *testbed) executeUnanswered(execute func()) {
	switch bd.rng.IntN(4) {
	case 0:
		execute()
	case 1, 2:
		at := bd.now + time.Duration(bd.rng.Int64N(int64(maxLateness)))
		bd.scheduled = append(bd.scheduled, scheduledCall{at, execute})
	}
}

// executeStart carries out a start as the worker does, including its refusals, and checks the invariants.
func (bd *testbed) executeStart(sr cell.Start, term int) cell.Refusal {
	wk := bd.workers[sr.Worker]
	if bd.isDown(wk) || term < wk.token {
		return cell.RefusedLate
	}
	if rn := wk.runs[sr.Task]; rn != nil && rn.number == sr.Run {
		return ""
	}
	if sr.Run <= wk.fenced[sr.Task] {
		return cell.RefusedStale
	}
	jb := bd.job(sr.Task.Job)
	step := jb.Steps[sr.Task.Step]
	bd.checkStart(wk, sr, jb, step)
	run := bd.extraRunTime + 200*time.Millisecond + time.Duration(bd.rng.Int64N(int64(time.Second)))
	wk.runs[sr.Task] = &fakeRun{number: sr.Run, need: step.Need, startedAt: bd.now, endsAt: bd.now + run, gang: step.Gang}
	return ""
}

func (bd *testbed) checkStart(wk *fakeWorker, sr cell.Start, jb *work.Job, step work.Step) {
	bd.t.Helper()
	var used size.Size
	for _, rn := range wk.runs {
		used = used.Add(rn.need)
	}
	for _, rn := range wk.stopping {
		used = used.Add(rn.need)
	}
	capacity := wk.Capacity
	if bd.now-wk.resizedAt < maxOrderDelay {
		capacity = capacity.Max(wk.prevCapacity)
	}
	if !used.Add(step.Need).Fits(capacity) {
		bd.t.Fatalf("start of %s exceeds the capacity of worker %s", sr.Task, wk.ID)
	}
	bd.checkLimit(sr, jb, step)
	for _, other := range bd.workers {
		for _, rn := range []*fakeRun{other.runs[sr.Task], other.stopping[sr.Task]} {
			if rn != nil && !other.dead {
				bd.t.Fatalf("start of %s run %d on %s while run %d is on %s", sr.Task, sr.Run, wk.ID, rn.number, other.ID)
			}
		}
	}
	if bd.done[sr.Task] {
		bd.t.Fatalf("start of %s, which is done already", sr.Task)
	}
	for _, before := range step.After {
		for index := range jb.Steps[before].Count {
			if !bd.done[work.Task{Job: jb.ID, Round: sr.Task.Round, Step: before, Index: index}] {
				bd.t.Fatalf("start of %s before the end of step %d", sr.Task, before)
			}
		}
	}
	if bd.crashes[sr.Task] >= maxCrashStarts {
		bd.t.Fatalf("start of %s, under which %d workers have crashed", sr.Task, bd.crashes[sr.Task])
	}
	if bd.failed[sr.Task] >= jb.Queue.Attempts {
		bd.t.Fatalf("start of %s, which has failed %d times", sr.Task, bd.failed[sr.Task])
	}
	if slices.Contains(bd.cancels, jb.ID) {
		bd.t.Fatalf("start of %s, whose job is cancelled", sr.Task)
	}
	if jb.Queue.Advised && sr.Ticket != sr.Task.StepName()+"/"+string(wk.ID) {
		bd.t.Fatalf("start of %s on %s with ticket %q", sr.Task, wk.ID, sr.Ticket)
	}
}

func (bd *testbed) stop(sp cell.Stop) {
	wk, term := bd.workers[sp.Worker], bd.term
	if bd.isDown(wk) || bd.rng.Float64() < bd.unansweredRate {
		bd.executeUnanswered(func() { bd.executeStop(sp, term) })
		bd.delayed = append(bd.delayed, func() {
			if term == bd.term {
				bd.cell.StopUnconfirmed(sp)
			}
		})
		return
	}
	bd.executeStop(sp, term)
	bd.cell.Stopped(bd.now, sp)
}

// executeStop carries out a stop as the worker does.
func (bd *testbed) executeStop(sp cell.Stop, term int) {
	wk := bd.workers[sp.Worker]
	if bd.isDown(wk) || term < wk.token {
		return
	}
	wk.fenced[sp.Task] = max(wk.fenced[sp.Task], sp.Run)
	if rn := wk.runs[sp.Task]; rn != nil && rn.number <= sp.Run {
		delete(wk.runs, sp.Task)
		rn.endsAt = bd.now + stopTime
		wk.stopping[sp.Task] = rn
	}
}

func (wk *fakeWorker) end(name work.Task, result cell.Result) {
	rn := wk.runs[name]
	if rn == nil {
		rn = wk.stopping[name]
	}
	delete(wk.runs, name)
	delete(wk.stopping, name)
	wk.fenced[name] = max(wk.fenced[name], rn.number)
	wk.seq++
	wk.ends = append(wk.ends, cell.End{Seq: wk.seq, Run: cell.Run{Task: name, Number: rn.number}, Result: result})
}

// endDueRuns ends the runs whose time is over; a gang ends as a whole.
func (wk *fakeWorker) endDueRuns(bd *testbed) {
	for name, rn := range wk.stopping {
		if rn.endsAt <= bd.now {
			wk.end(name, cell.ResultStopped)
		}
	}
	var over []work.Task
	for name, rn := range wk.runs {
		if rn.endsAt <= bd.now {
			over = append(over, name)
		}
	}
	slices.SortFunc(over, func(a, b work.Task) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	for _, name := range over {
		rn := wk.runs[name]
		switch {
		case rn == nil:
		case rn.gang:
			bd.endGang(name, rn)
		case bd.rng.Float64() < bd.failRate:
			bd.failed[name]++
			wk.end(name, cell.ResultFailed)
		default:
			bd.done[name] = true
			wk.end(name, cell.ResultDone)
		}
	}
}

// endGang ends all members of a gang: done if all are present, otherwise alone.
func (bd *testbed) endGang(name work.Task, rn *fakeRun) {
	count := bd.job(name.Job).Steps[name.Step].Count
	result, present := cell.ResultDone, 0
	for index := range count {
		name.Index = index
		for _, wk := range bd.workers {
			if other := wk.runs[name]; other != nil && other.number == rn.number && !wk.dead {
				present++
			}
		}
	}
	if present < count {
		result = cell.ResultAlone
	}
	for index := range count {
		name.Index = index
		if result == cell.ResultDone {
			bd.done[name] = true
		}
		for _, id := range bd.workerIDs() {
			if other := bd.workers[id].runs[name]; other != nil && other.number == rn.number {
				bd.workers[id].end(name, result)
			}
		}
	}
}

// maxOrderDelay is how long after a change of a capacity or a limit orders may still use the earlier one.
const maxOrderDelay = 50 * time.Millisecond

// fullQuarters is a worker's full capacity in quarters, the unit of resize.
const fullQuarters = 4

// resize sets a worker's processor capacity to a number of quarters.
func (bd *testbed) resize(id incarnation.ID, quarters int64) {
	wk := bd.workers[id]
	wk.prevCapacity, wk.resizedAt = wk.Capacity, bd.now
	wk.Capacity = size.New(64000*quarters/fullQuarters, 128000, 0)
	if !wk.dead {
		bd.cell.PutWorker(bd.now, wk.Worker)
	}
}

// loseWorker removes a worker with all its runs.
func (bd *testbed) loseWorker(id incarnation.ID) {
	wk := bd.workers[id]
	wk.dead = true
	wk.runs, wk.stopping = map[work.Task]*fakeRun{}, map[work.Task]*fakeRun{}
	bd.cell.Unreachable(bd.now, id, bd.now+workerLease)
	bd.cell.Deregister(id)
	bd.cell.LeaseExpired(bd.now, id)
}

// defaultRestartDelay is the default time until a crashed worker is replaced.
const defaultRestartDelay = 3 * time.Second

// maxCrashStarts is how often a task that crashes every worker may be started.
const maxCrashStarts = 5

// crashAndReplace crashes a worker and later replaces it by a new worker, or restarts it under the same ID.
func (bd *testbed) crashAndReplace(id incarnation.ID) {
	wk := bd.workers[id]
	if wk.dead || wk.crashed {
		return
	}
	wk.crashed = true
	wk.runs, wk.stopping = map[work.Task]*fakeRun{}, map[work.Task]*fakeRun{}
	if !bd.restartSameID || bd.restartDelay > 0 {
		bd.cell.Unreachable(bd.now, id, bd.now+workerLease) // an immediate restart is not noticed
	}
	bd.scheduled = append(bd.scheduled, scheduledCall{bd.now + bd.restartDelay, func() {
		wk.dead = true
		next := incarnation.ID(fmt.Sprintf("%s.%d%c", id[:3], len(bd.workers), id[len(id)-1]))
		if bd.restartSameID {
			next = incarnation.New(id.WorkerID(), id.StartedAt()+1)
			bd.cell.Restarted(bd.now, id, next, bd.now)
		} else {
			bd.cell.Replaced(bd.now, id)
		}
		bd.addWorker(next)
		bd.workers[next].Rack = wk.Rack
		bd.cell.PutWorker(bd.now, bd.workers[next].Worker)
	}})
}

// countPhases counts the jobs by phase.
func (bd *testbed) countPhases() map[cell.Phase]int {
	counts := map[cell.Phase]int{}
	for _, jb := range bd.jobs {
		phase, ok := bd.cell.Phase(jb.ID, "")
		if !ok {
			bd.t.Errorf("job %s is not known", jb.ID)
		}
		counts[phase]++
	}
	return counts
}
