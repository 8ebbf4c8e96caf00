package cell_test

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// costTestbed measures how long the operations of a cell take while its fullest worker is lost and its hall is evacuated.
type costTestbed struct {
	cl    *cell.Cell
	watch func() time.Duration
	now   time.Duration
	// workers are those that answer, lastReports is when they last reported.
	workers     []incarnation.ID
	lastReports time.Duration
	held        map[incarnation.ID][]cell.Run
	stops       int
	ends        map[incarnation.ID]int
	longest     map[string]time.Duration
}

// evacuatedHall is the hall of half of the workers.
const evacuatedHall = "hall"

func newCostTestbed(workers int) *costTestbed {
	began := time.Now()
	watch := func() time.Duration { return time.Since(began) }
	cl := newTestCellWith(workers, cell.Options{InitialWindow: 64, StopTimeout: 400 * time.Millisecond, Watch: watch})
	for n := range workers / 2 {
		id := incarnation.ID(fmt.Sprintf("w%03d", n))
		cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Hall: evacuatedHall, Capacity: size.New(64000, 128000, 0)})
	}
	var ids []incarnation.ID
	for n := range workers {
		ids = append(ids, incarnation.ID(fmt.Sprintf("w%03d", n)))
	}
	return &costTestbed{
		cl: cl, workers: ids, watch: watch, held: map[incarnation.ID][]cell.Run{}, ends: map[incarnation.ID]int{}, longest: map[string]time.Duration{},
	}
}

func (bd *costTestbed) measure(name string, operation func()) {
	began := time.Now()
	operation()
	bd.longest[name] = max(bd.longest[name], time.Since(began))
}

// plan makes a plan after some time, whose starts succeed and whose stops are carried out at once.
func (bd *costTestbed) plan(after time.Duration) {
	bd.now += after
	bd.cl.SetCommitted(bd.cl.RecordCount())
	bd.measure("tick", func() { bd.cl.Tick(bd.now, bd.now) })
	bd.measure("plan", func() { bd.cl.Plan(bd.now) })
	bd.cl.SetCommitted(bd.cl.RecordCount())
	out := bd.cl.TakeOutput()
	for _, sr := range out.Starts {
		bd.cl.Started(bd.now, sr)
		rn := cell.Run{Task: sr.Task, Number: sr.Run, Percent: 100}
		if sr.Task.Job == fillerJob {
			rn.Percent = 1
		}
		bd.held[sr.Worker] = append(bd.held[sr.Worker], rn)
	}
	allowEverySecond(bd.cl, out)
	bd.stops += len(out.Stops)
	stopped := map[incarnation.ID][]cell.End{}
	for _, sp := range out.Stops {
		bd.cl.Stopped(bd.now, sp)
		bd.held[sp.Worker] = slices.DeleteFunc(bd.held[sp.Worker], func(rn cell.Run) bool { return rn.Task == sp.Task && rn.Number == sp.Run })
		bd.ends[sp.Worker]++
		stopped[sp.Worker] = append(stopped[sp.Worker], cell.End{Seq: bd.ends[sp.Worker], Run: cell.Run{Task: sp.Task, Number: sp.Run}, Result: cell.ResultStopped})
	}
	for id, ends := range stopped {
		bd.report(id, ends)
	}
	bd.reportAll()
}

func (bd *costTestbed) report(id incarnation.ID, ends []cell.End) {
	bd.measure("report", func() { bd.cl.Report(bd.now, id, bd.now, bd.held[id], ends) })
}

// reportAll reports the runs of all workers that answer once a second.
func (bd *costTestbed) reportAll() {
	if bd.now-bd.lastReports < time.Second {
		return
	}
	bd.lastReports = bd.now
	for _, id := range bd.workers {
		for i := range bd.held[id] {
			if rn := &bd.held[id][i]; rn.Task.Job == fillerJob {
				rn.Percent++
			}
		}
		bd.report(id, nil)
	}
}

// fullest returns the worker with most runs.
func (bd *costTestbed) fullest() incarnation.ID {
	var best incarnation.ID
	for id, runs := range bd.held {
		if cmp.Or(cmp.Compare(len(runs), len(bd.held[best])), cmp.Compare(best, id)) > 0 {
			best = id
		}
	}
	return best
}

// fillerJob fills the cell with long runs.
const fillerJob = "batch"

// fill starts long runs until the cell is full.
func (bd *costTestbed) fill(count int, need size.Size) {
	submitStep(bd.cl, fillerJob, work.Step{Count: count, Need: need, Estimate: time.Hour}, work.Queue{Name: "b", Service: "svc", Attempts: 3, Priority: 2})
	for range 40 {
		bd.plan(20 * time.Millisecond)
	}
}

// lose makes plans while the fullest worker does not answer, and after its lease has expired.
func (bd *costTestbed) lose() {
	const plans, expiry = 20, 10
	lost := bd.fullest()
	bd.workers = slices.DeleteFunc(bd.workers, func(id incarnation.ID) bool { return id == lost })
	bd.cl.Unreachable(bd.now, lost, bd.now+2*time.Second)
	for num := range plans {
		if num == expiry {
			bd.measure("loss", func() { bd.cl.LeaseExpired(bd.now, lost) })
			delete(bd.held, lost)
		}
		submitStep(bd.cl, fmt.Sprint("urgent", bd.now), work.Step{Count: 1, Need: size.New(1000, 100, 0)}, work.Queue{Name: "u", Service: "svc", Attempts: 3})
		bd.plan(150 * time.Millisecond)
	}
}

// check fails the test if an operation took longer than a bound. It is far above what a machine takes if the cost follows workers
// and runs.
func (bd *costTestbed) check(t *testing.T) {
	t.Helper()
	const bound = 400 * time.Millisecond
	for name, took := range bd.longest {
		if took > bound {
			t.Errorf("%s takes %v, want at most %v", name, took, bound)
		}
	}
}

// costCases yields steps with as many tasks as a job may have, of each kind and of needs from nothing to whole workers.
func costCases() iter.Seq2[string, work.Step] {
	const count = 10000
	needs := map[string]size.Size{"nothing": {}, "a thousandth of a core": size.New(1, 1, 0), "a worker": size.New(64000, 1000, 0)}
	kinds := map[string]work.Step{
		"long-running":               {LongRunning: true, MaxUnavailable: count},
		"best-effort":                {LongRunning: true, BestEffort: true, MaxUnavailable: 1},
		"long-running, one a worker": {LongRunning: true, PerWorker: 1},
		"gang":                       {Gang: true, Estimate: time.Minute},
		"long-running gang":          {Gang: true, LongRunning: true},
		"batch":                      {Estimate: time.Minute},
	}
	return func(yield func(string, work.Step) bool) {
		for need, amount := range needs {
			for kind, def := range kinds {
				def.Count, def.Need = count, amount
				if !yield(kind+"/"+need, def) {
					return
				}
			}
		}
	}
}

// costQueues are a queue whose steps run on any worker and one whose steps need the advisor's permission.
var costQueues = map[string]work.Queue{
	"any worker": {Name: "p", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second},
	"advised": {
		Name: "a", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second,
		Advised: true, AdviceBase: 100 * time.Millisecond, AdviceEach: time.Millisecond,
	},
}

// TestStepCost guards against plans, losses and evacuations whose time grows with the tasks that a worker could hold, or with the
// tasks of a step times the workers or times the lost runs: one step alone stalled each planner for seconds.
func TestStepCost(t *testing.T) {
	const workers, jobs = 300, 2
	for name, def := range costCases() {
		for queueName, qu := range costQueues {
			t.Run(name+"/"+queueName, func(t *testing.T) {
				bd := newCostTestbed(workers)
				for num := range jobs {
					submitStep(bd.cl, fmt.Sprint("job", num), def, qu)
				}
				for range 160 {
					bd.plan(20 * time.Millisecond)
				}
				bd.fill(9600, size.New(2000, 100, 0))
				bd.lose()
				bd.cl.SetEvacuated([]string{evacuatedHall})
				bd.plan(20 * time.Millisecond)
				bd.check(t)
			})
		}
	}
}

// TestTakeoverCost is TestStepCost for a planner that takes over while the worker with most runs does not answer.
func TestTakeoverCost(t *testing.T) {
	const workers, jobs, firstRun = 300, 2, 100
	for name, def := range costCases() {
		for queueName, qu := range costQueues {
			t.Run(name+"/"+queueName, func(t *testing.T) {
				earlier := newCostTestbed(workers)
				for num := range jobs {
					submitStep(earlier.cl, fmt.Sprint("job", num), def, qu)
				}
				for range 160 {
					earlier.plan(20 * time.Millisecond)
				}
				bd, lost := *earlier, earlier.fullest()
				bd.lastReports = 0
				bd.cl, bd.now = cell.New(cell.Options{Retention: time.Minute, FirstRun: firstRun, InitialWindow: 64, StopTimeout: 400 * time.Millisecond, Watch: bd.watch}), 0
				bd.measure("load", func() {
					for num := range jobs {
						bd.cl.Add(0, &work.Job{ID: fmt.Sprint("job", num), Spec: "s", Queue: qu, Steps: []work.Step{def}}, true)
					}
					for _, id := range earlier.workers {
						bd.cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Capacity: size.New(64000, 128000, 0)})
						bd.cl.InheritRuns(0, id, bd.held[id])
						if id != lost {
							bd.cl.Report(0, id, 0, bd.held[id], nil)
						}
					}
				})
				bd.cl.Unreachable(0, lost, time.Second)
				bd.workers = slices.DeleteFunc(bd.workers, func(id incarnation.ID) bool { return id == lost })
				for range 5 {
					bd.plan(150 * time.Millisecond)
				}
				bd.measure("loss", func() { bd.cl.LeaseExpired(bd.now, lost) })
				bd.measure("end of the recovery", bd.cl.FinishRecovery)
				for range 5 {
					bd.plan(150 * time.Millisecond)
				}
				bd.check(t)
			})
		}
	}
}

// TestActivationCost guards against an activation of workers whose time grows with the waiting steps times the workers on standby.
func TestActivationCost(t *testing.T) {
	const standby, jobs, steps = 900, 5, 5000
	bd := newCostTestbed(2)
	for n := range standby {
		id := incarnation.ID(fmt.Sprintf("s%03d", n))
		bd.cl.PutStandby(cell.Worker{ID: id, Service: "svc", Rack: fmt.Sprint("rack", n%100), Capacity: size.New(64000, 128000, 0)})
	}
	for num := range jobs {
		jb := &work.Job{ID: fmt.Sprint("job", num), Spec: "s", Queue: costQueues["any worker"]}
		for at := range steps {
			jb.Steps = append(jb.Steps, work.Step{Count: 1, Need: size.New(1, 1, 0), Rack: fmt.Sprint("rack", at%10)})
		}
		bd.cl.Add(0, jb, false)
	}
	bd.measure("activation", func() {
		if count := len(bd.cl.Activate(0)); count < standby/10 {
			t.Errorf("%d workers come into use, want at least those of the racks", count)
		}
	})
	bd.check(t)
}

// TestLongestLackingCost guards against a log line about a few steps whose time grows with all lacking steps times the workers.
func TestLongestLackingCost(t *testing.T) {
	const workers, jobs, steps, limit = 300, 5, 5000, 20
	bd := newCostTestbed(workers)
	for num := range jobs {
		jb := &work.Job{ID: fmt.Sprint("job", num), Spec: "s", Queue: costQueues["any worker"]}
		for range steps {
			jb.Steps = append(jb.Steps, work.Step{Count: 1, Need: size.New(1, 1, 0), LongRunning: true})
		}
		bd.cl.Add(0, jb, false)
	}
	bd.plan(0)
	bd.measure("search for lacking steps", func() {
		if list := bd.cl.LongestLacking(time.Minute, time.Second, limit); len(list) != limit {
			t.Errorf("%d steps lack a run for longest, want %d", len(list), limit)
		}
	})
	bd.check(t)
}
