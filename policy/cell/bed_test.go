package cell_test

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// bed is a cell with workers that carry orders out, a journal, and faults drawn from
// a seed. It checks what must hold at each start.
type bed struct {
	t       *testing.T
	rd      *rand.Rand
	now     time.Duration
	cell    *cell.Cell
	reign   int
	workers map[incarnation.ID]*fakeWorker
	jobs    []*work.Job
	cancels []string
	records []cell.Record
	// done and failed are the ends that workers ever reported.
	done   map[work.Task]bool
	failed map[work.Task]int
	late   []func()
	// faults is the chance of an order without an answer.
	faults float64
	// fails is the chance that a run fails.
	fails float64
	// still is a job whose tasks make no progress.
	still string
	// longer is by how much runs are longer than usual.
	longer time.Duration
	// bad are the jobs whose tasks crash each worker that starts them, crashed counts that.
	bad     map[string]bool
	crashed map[work.Task]int
	// away is how long workers that crash are away; again is set where they begin again under their ids.
	away  time.Duration
	again bool
	// later are things that happen at a time.
	later []timed
	// slowElect is how long some workers do not answer the next planner.
	slowElect time.Duration
	// unheard are the workers that have to report before the planner settles.
	unheard map[incarnation.ID]bool
	// workspaces are the present settings, allowed the highest limits that may be in force.
	workspaces map[string]work.Workspace
	allowed    map[string]size.Size
}

type timed struct {
	at  time.Duration
	act func()
}

type fakeWorker struct {
	cell.Worker
	token int
	runs  map[work.Task]*fakeRun
	// stopping are runs that a stop has reached: no report names them until they end.
	stopping map[work.Task]*fakeRun
	ends     []cell.End
	seq      int
	fenced   map[work.Task]int
	dead     bool
	// crashed workers answer nobody, and are dead once another one is in their place.
	crashed bool
	// before is its room before it was resized. Orders that were under way then may go by that.
	before  size.Size
	resized time.Duration
	// silent workers run on but neither report nor get orders, up to a time.
	silent time.Duration
}

type fakeRun struct {
	number  int
	need    size.Size
	ends    time.Duration
	started time.Duration
	gang    bool
}

func newBed(t *testing.T, seed uint64, workers int) *bed {
	bd := &bed{
		t: t, rd: rand.New(rand.NewPCG(seed, 1)), workers: map[incarnation.ID]*fakeWorker{},
		done: map[work.Task]bool{}, failed: map[work.Task]int{}, bad: map[string]bool{}, crashed: map[work.Task]int{}, away: awayFor,
		unheard: map[incarnation.ID]bool{}, workspaces: map[string]work.Workspace{}, allowed: map[string]size.Size{},
	}
	for n := range workers {
		bd.addWorker(incarnation.ID(fmt.Sprintf("w%02d", n)))
	}
	bd.elect()
	bd.carryOut()
	return bd
}

func (bd *bed) addWorker(id incarnation.ID) {
	bd.workers[id] = &fakeWorker{
		Worker: cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0), Rack: "r" + string(id[len(id)-1:])},
		runs:   map[work.Task]*fakeRun{}, stopping: map[work.Task]*fakeRun{}, fenced: map[work.Task]int{},
	}
}

// stopTime is how long a worker takes to stop a run.
const stopTime = 300 * time.Millisecond

// elect starts another planner, which knows only the journal.
func (bd *bed) elect() {
	bd.reign++
	bd.cell = cell.New(cell.Options{
		Retention: 2 * time.Minute, FirstRun: (bd.reign-1)*64 + 1, StopTimeout: stopTime,
	})
	for _, jb := range bd.jobs {
		bd.cell.Add(bd.now, jb, true)
	}
	bd.cell.UpdateWorkspaces(bd.workspace)
	for _, id := range bd.cancels {
		bd.cell.Cancel(bd.now, id, "")
	}
	bd.cell.Restore(bd.now, bd.records)
	known := map[incarnation.ID]cell.Record{}
	stops := map[incarnation.ID][]cell.Run{}
	for at, rec := range bd.records {
		switch {
		case rec.Stop && at > len(bd.records)-100:
			stops[rec.Worker] = append(stops[rec.Worker], rec.Held...)
		case rec.Worker != "" && !rec.Stop:
			known[rec.Worker] = rec
		}
	}
	for _, id := range bd.ids() {
		wk, rec := bd.workers[id], known[id]
		if wk.dead {
			continue
		}
		bd.cell.PutWorker(bd.now, wk.Worker)
		if rec.Closed {
			bd.cell.InheritRuns(bd.now, id, rec.Held)
		} else {
			wk.silent = 0 // the runtime waits for such a worker
			if bd.slowElect > 0 && bd.rd.IntN(2) == 0 {
				wk.silent = bd.now + time.Duration(bd.rd.Int64N(int64(bd.slowElect)))
			}
			if bd.quiet(wk) {
				bd.unheard[id] = true
			}
		}
		bd.cell.InheritStops(bd.now, id, stops[id])
		if !bd.quiet(wk) {
			bd.report(id)
		}
	}
	bd.settle()
}

// settle tells the planner once all workers that may hold any task have reported or are gone.
func (bd *bed) settle() {
	for id := range bd.unheard {
		if wk := bd.workers[id]; wk.dead || wk.token == bd.reign {
			delete(bd.unheard, id)
		}
	}
	if len(bd.unheard) == 0 && !bd.cell.Recovered() {
		bd.cell.FinishRecovery()
	}
}

func (bd *bed) workspace(name string) (work.Workspace, bool) {
	ws, ok := bd.workspaces[name]
	return ws, ok
}

// limit changes the limit of a workspace; orders that are under way may go by the one before.
func (bd *bed) limit(name string, limit size.Size) {
	ws := bd.workspaces[name]
	bd.allowed[name] = limit.Max(ws.Limit)
	bd.workspaces[name] = work.Workspace{Name: name, Weight: 1, Limit: limit, Version: ws.Version + 1}
	bd.cell.UpdateWorkspaces(bd.workspace)
	bd.later = append(bd.later, timed{bd.now + underWay, func() { bd.allowed[name] = bd.workspaces[name].Limit }})
}

// checkLimit fails where a start lifts a workspace past its limit, on all workers together.
func (bd *bed) checkLimit(sr cell.Start, jb *work.Job, step work.Step) {
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
	if d, over := (work.Workspace{Limit: bd.allowed[name]}).Exceeds(sum); over {
		bd.t.Fatalf("start of %s lifts workspace %s to %s, which may have %s (%s)", sr.Task, name, sum, bd.allowed[name], d)
	}
}

// quiet reports whether a worker does not answer now.
func (bd *bed) quiet(wk *fakeWorker) bool { return wk.dead || wk.crashed || wk.silent > bd.now }

// silence lets a worker fall silent for a while.
func (bd *bed) silence(id incarnation.ID, span time.Duration) {
	bd.workers[id].silent = bd.now + span
	bd.cell.Unreachable(bd.now, id)
}

func (bd *bed) ids() []incarnation.ID {
	var ids []incarnation.ID
	for id := range bd.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (bd *bed) submit(jb *work.Job) {
	bd.jobs = append(bd.jobs, jb)
	bd.cell.Add(bd.now, jb, false)
}

func (bd *bed) cancel(id string) {
	bd.cancels = append(bd.cancels, id)
	bd.cell.Cancel(bd.now, id, "")
}

func (bd *bed) job(id string) *work.Job {
	for _, jb := range bd.jobs {
		if jb.ID == id {
			return jb
		}
	}
	bd.t.Fatalf("start of a job that nobody submitted: %s", id)
	return nil
}

// report lets a worker report, as a hold does.
func (bd *bed) report(id incarnation.ID) {
	wk := bd.workers[id]
	wk.token = bd.reign
	noted, _ := bd.cell.AckedEnd(id)
	wk.ends = slices.DeleteFunc(wk.ends, func(en cell.End) bool { return en.Seq <= noted })
	var runs []cell.Run
	for name, rn := range wk.runs {
		percent := int(100 * (bd.now - rn.started) / max(rn.ends-rn.started, 1))
		if name.Job == bd.still {
			percent = 0
		}
		runs = append(runs, cell.Run{Task: name, Number: rn.number, Percent: percent})
	}
	bd.cell.Report(bd.now, id, bd.now, runs, slices.Clone(wk.ends))
}

// pass lets time go by: runs end, workers report, the cell plans, orders go out.
func (bd *bed) pass(step time.Duration) {
	bd.now += step
	for _, id := range bd.ids() {
		bd.workers[id].advance(bd)
	}
	for at := 0; at < len(bd.later); at++ {
		if tm := bd.later[at]; tm.at <= bd.now {
			bd.later = slices.Delete(bd.later, at, at+1)
			at--
			tm.act()
		}
	}
	late := bd.late
	bd.late = nil
	for _, act := range late {
		act()
	}
	for _, id := range bd.ids() {
		if !bd.quiet(bd.workers[id]) {
			bd.report(id)
		}
	}
	bd.settle()
	bd.cell.Tick(bd.now, bd.now)
	bd.cell.Plan(bd.now)
	bd.carryOut()
}

func (bd *bed) carryOut() {
	for out := range orders(bd.cell, &bd.records) {
		for _, sr := range out.Starts {
			bd.start(sr)
		}
		for _, sp := range out.Stops {
			bd.stop(sp)
		}
		for _, qn := range out.AdviceRequests {
			bd.answer(qn)
		}
	}
}

// orders yields what a cell wants done until there is nothing more, and writes its records.
func orders(cl *cell.Cell, journal *[]cell.Record) iter.Seq[cell.Output] {
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

// answer allows every second worker.
func (bd *bed) answer(qn cell.AdviceRequest) {
	var rows []cell.Ticket
	for _, id := range qn.Workers {
		if name := id.WorkerID(); int(name[len(name)-1])%2 == 0 {
			rows = append(rows, cell.Ticket{Worker: id, Text: qn.Step.StepName() + "/" + string(id)})
		}
	}
	bd.cell.AddAdvice(bd.now, qn, rows, 1500*time.Millisecond)
}

func (bd *bed) start(sr cell.Start) {
	reign := bd.reign
	if bd.rd.Float64() < bd.faults {
		bd.cell.StartUnconfirmed(bd.now, sr)
		if bd.rd.IntN(2) == 0 {
			bd.late = append(bd.late, func() { bd.carryStart(sr, reign) })
		}
		return
	}
	wk := bd.workers[sr.Worker]
	if wk.crashed && !wk.dead {
		bd.cell.Refused(bd.now, sr, cell.RefusedUnhealthy) // nobody listens at its address
		return
	}
	if bd.quiet(wk) {
		bd.cell.StartUnconfirmed(bd.now, sr)
		return
	}
	if bd.bad[sr.Task.Job] {
		bd.check(wk, sr, bd.job(sr.Task.Job), bd.job(sr.Task.Job).Steps[sr.Task.Step])
		bd.crashed[sr.Task]++
		bd.cell.StartUnconfirmed(bd.now, sr)
		bd.crashForNow(sr.Worker)
		return
	}
	if why := bd.carryStart(sr, reign); why != "" {
		bd.cell.Refused(bd.now, sr, why)
		return
	}
	bd.cell.Started(bd.now, sr)
}

// carryStart is what a worker does with a start, and what must hold then.
func (bd *bed) carryStart(sr cell.Start, reign int) cell.Refusal {
	wk := bd.workers[sr.Worker]
	if bd.quiet(wk) || reign < wk.token {
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
	bd.check(wk, sr, jb, step)
	run := bd.longer + 200*time.Millisecond + time.Duration(bd.rd.Int64N(int64(time.Second)))
	wk.runs[sr.Task] = &fakeRun{number: sr.Run, need: step.Need, started: bd.now, ends: bd.now + run, gang: step.Gang}
	return ""
}

func (bd *bed) check(wk *fakeWorker, sr cell.Start, jb *work.Job, step work.Step) {
	bd.t.Helper()
	var used size.Size
	for _, rn := range wk.runs {
		used = used.Add(rn.need)
	}
	for _, rn := range wk.stopping {
		used = used.Add(rn.need)
	}
	room := wk.Capacity
	if bd.now-wk.resized < underWay {
		room = room.Max(wk.before)
	}
	if !used.Add(step.Need).Fits(room) {
		bd.t.Fatalf("start of %s goes over the room of %s", sr.Task, wk.ID)
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
		bd.t.Fatalf("start of %s, which has ended done", sr.Task)
	}
	for _, before := range step.After {
		for index := range jb.Steps[before].Count {
			if !bd.done[work.Task{Job: jb.ID, Round: sr.Task.Round, Step: before, Index: index}] {
				bd.t.Fatalf("start of %s before the end of step %d", sr.Task, before)
			}
		}
	}
	if bd.crashed[sr.Task] >= mostStarts {
		bd.t.Fatalf("start of %s, under which %d workers have crashed", sr.Task, bd.crashed[sr.Task])
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

func (bd *bed) stop(sp cell.Stop) {
	wk := bd.workers[sp.Worker]
	if bd.quiet(wk) || bd.rd.Float64() < bd.faults {
		reign := bd.reign
		bd.late = append(bd.late, func() {
			if reign == bd.reign {
				bd.cell.StopUnconfirmed(sp)
			}
		})
		return
	}
	wk.fenced[sp.Task] = max(wk.fenced[sp.Task], sp.Run)
	if rn := wk.runs[sp.Task]; rn != nil && rn.number <= sp.Run {
		delete(wk.runs, sp.Task)
		rn.ends = bd.now + stopTime
		wk.stopping[sp.Task] = rn
	}
	bd.cell.Stopped(bd.now, sp)
}

func (wk *fakeWorker) end(name work.Task, how cell.Result) {
	rn := wk.runs[name]
	if rn == nil {
		rn = wk.stopping[name]
	}
	delete(wk.runs, name)
	delete(wk.stopping, name)
	wk.fenced[name] = max(wk.fenced[name], rn.number)
	wk.seq++
	wk.ends = append(wk.ends, cell.End{Seq: wk.seq, Run: cell.Run{Task: name, Number: rn.number}, Result: how})
}

// advance ends the runs whose time is over; a gang ends as one.
func (wk *fakeWorker) advance(bd *bed) {
	for name, rn := range wk.stopping {
		if rn.ends <= bd.now {
			wk.end(name, cell.ResultStopped)
		}
	}
	var over []work.Task
	for name, rn := range wk.runs {
		if rn.ends <= bd.now {
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
		case bd.rd.Float64() < bd.fails:
			bd.failed[name]++
			wk.end(name, cell.ResultFailed)
		default:
			bd.done[name] = true
			wk.end(name, cell.ResultDone)
		}
	}
}

// endGang ends all members of a gang: done if all are there, else broken.
func (bd *bed) endGang(name work.Task, rn *fakeRun) {
	count := bd.job(name.Job).Steps[name.Step].Count
	how, there := cell.ResultDone, 0
	for index := range count {
		name.Index = index
		for _, wk := range bd.workers {
			if other := wk.runs[name]; other != nil && other.number == rn.number && !wk.dead {
				there++
			}
		}
	}
	if there < count {
		how = cell.ResultAlone
	}
	for index := range count {
		name.Index = index
		if how == cell.ResultDone {
			bd.done[name] = true
		}
		for _, id := range bd.ids() {
			if other := bd.workers[id].runs[name]; other != nil && other.number == rn.number {
				bd.workers[id].end(name, how)
			}
		}
	}
}

// underWay is how long an order may be under way: the bed carries out late ones with its next step.
const underWay = 50 * time.Millisecond

// quarters is a worker's whole room in the unit of resize.
const quarters = 4

// resize lets a worker have a number of quarters of its room from now on.
func (bd *bed) resize(id incarnation.ID, parts int64) {
	wk := bd.workers[id]
	wk.before, wk.resized = wk.Capacity, bd.now
	wk.Capacity = size.New(64000*parts/quarters, 128000, 0)
	if !wk.dead {
		bd.cell.PutWorker(bd.now, wk.Worker)
	}
}

// crash takes a worker away with all that it runs.
func (bd *bed) crash(id incarnation.ID) {
	wk := bd.workers[id]
	wk.dead = true
	wk.runs, wk.stopping = map[work.Task]*fakeRun{}, map[work.Task]*fakeRun{}
	bd.cell.Unreachable(bd.now, id)
	bd.cell.Deregister(id)
	bd.cell.LeaseExpired(bd.now, id)
}

// awayFor is how long a worker that crashed is usually away before another one is in its place.
const awayFor = 3 * time.Second

// mostStarts is how often a task may be started that crashes each worker that starts it.
const mostStarts = 5

// crashForNow has a worker crash, and another one begin in its place, or the same one again under its id.
func (bd *bed) crashForNow(id incarnation.ID) {
	wk := bd.workers[id]
	if wk.dead || wk.crashed {
		return
	}
	wk.crashed = true
	wk.runs, wk.stopping = map[work.Task]*fakeRun{}, map[work.Task]*fakeRun{}
	if !bd.again || bd.away > 0 {
		bd.cell.Unreachable(bd.now, id) // nobody notices one that is back at once
	}
	bd.later = append(bd.later, timed{bd.now + bd.away, func() {
		wk.dead = true
		next := incarnation.ID(fmt.Sprintf("%s.%d%c", id[:3], len(bd.workers), id[len(id)-1]))
		if bd.again {
			next = incarnation.New(id.WorkerID(), id.StartedAt()+1)
			bd.cell.Restarted(bd.now, id, next)
		} else {
			bd.cell.Replaced(bd.now, id)
		}
		bd.addWorker(next)
		bd.workers[next].Rack = wk.Rack
		bd.cell.PutWorker(bd.now, bd.workers[next].Worker)
	}})
}

// phases counts the jobs by phase.
func (bd *bed) phases() map[cell.Phase]int {
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
