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

// lostWorkersTestbed is a loadTestbed on workers of unlike size that has long-running jobs and loses workers.
type lostWorkersTestbed struct {
	*loadTestbed
	lost map[incarnation.ID]bool
	// lostAt is when each worker was last lost.
	lostAt map[incarnation.ID]time.Duration
	// gaps are the losses of long-running tasks, in the order in which they occurred.
	gaps []*gap
}

// gap is the time without a run of a long-running task.
type gap struct {
	task work.Task
	// lostAt is when the task's worker was lost, startedAt when its next run began, 0 before.
	lostAt, startedAt time.Duration
	// placeable is set if there is room for all missing tasks of the job once other work has ended.
	placeable bool
}

const (
	// workerLease is how long a worker's runs may last after its loss, restartSlack how much later the next run may begin.
	workerLease  = 5 * time.Second
	restartSlack = time.Second
	// longRunningShare is the share of workers that the advisor allows for long-running steps.
	longRunningShare = 0.3
	longRunningCount = 6
)

// lostWorkersStreams is a load of the given share of the capacity of 35 workers beside the long-running jobs: urgent
// tasks, patient tasks and gangs. Long-running jobs are the last stream and have no arrivals.
func lostWorkersStreams(load float64) []stream {
	every := func(perSecond float64) time.Duration { return time.Duration(float64(time.Second) / (perSecond * load)) }
	return []stream{
		{
			queue: work.Queue{Name: "gang", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true,
				AdviceBase: 490 * time.Millisecond, AdviceEach: 7 * time.Millisecond},
			interval: every(2.4), tasks: 3, maxTasks: 9, cores: 20, memory: 20000, runTime: 3600 * time.Millisecond, gang: true, estimateSpread: 0.2, allowedShare: 0.3,
		},
		{
			queue: work.Queue{Name: "patient", Service: "svc", Priority: 2, Attempts: 3, Stretch: 4, Target: 3 * time.Second, Advised: true,
				AdviceBase: 170 * time.Millisecond, AdviceEach: 2400 * time.Microsecond},
			interval: every(2.1), tasks: 14, maxTasks: 84, cores: 6.6, memory: 10000, checkpointing: 0.8, runTime: 3600 * time.Millisecond, estimateSpread: 0.5, allowedShare: 0.45,
		},
		{
			queue: work.Queue{Name: "urgent", Service: "svc", Priority: 0, Attempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond, Advised: true,
				AdviceBase: 13 * time.Millisecond, AdviceEach: 190 * time.Microsecond},
			interval: every(18), tasks: 9, maxTasks: 36, cores: 5, memory: 8700, runTime: 560 * time.Millisecond, estimateSpread: 0.5, allowedShare: 0.7,
		},
		{
			queue: work.Queue{Name: "long-running", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond, Advised: true,
				AdviceBase: 560 * time.Millisecond, AdviceEach: 8 * time.Millisecond},
			interval: time.Hour, allowedShare: longRunningShare, runTime: time.Hour,
		},
	}
}

func newLostWorkersTestbed(seed uint64, load float64) *lostWorkersTestbed {
	const workers, nodes, jobs = 35, 6, 6
	lw := &lostWorkersTestbed{loadTestbed: newLoadTestbed(seed, workers, nodes, lostWorkersStreams(load)), lost: map[incarnation.ID]bool{}, lostAt: map[incarnation.ID]time.Duration{}}
	lw.lostWorkers, lw.onStart, lw.onLostStart = lw.lost, lw.runBegan, lw.startLost
	for n, id := range lw.workers {
		cores := []int64{32000, 48000, 64000, 96000}[n%4]
		lw.capacities[id] = size.New(cores, 2*cores, 0)
		lw.cell.PutWorker(0, cell.Worker{ID: id, Service: "svc", Rack: fmt.Sprint(n / 12), Capacity: lw.capacities[id]})
	}
	longRunning := len(lw.streams) - 1
	lw.nextArrival[longRunning] = time.Hour
	for n := range jobs {
		sj := &simJob{stream: longRunning, runTime: time.Hour, remaining: longRunningCount, spec: &work.Job{
			ID: fmt.Sprintf("lasting%d", n), Queue: lw.streams[longRunning].queue,
			Steps: []work.Step{{
				Count: longRunningCount, Need: size.New(8000, 16000, 0), PerWorker: 1 + n%2, LongRunning: true, Estimate: 500 * time.Millisecond,
			}},
		}}
		lw.jobs[sj.spec.ID] = sj
		lw.arrivals = append(lw.arrivals, sj)
		lw.cell.Add(0, sj.spec, false)
	}
	lw.advance(2*time.Second, false)
	lw.advance(8*time.Second, true)
	return lw
}

// loseWorker takes a worker down with its runs. The planner notices while a report is pending, and knows that the
// worker's lease is over 5 s after the loss.
func (lw *lostWorkersTestbed) loseWorker(id incarnation.ID) {
	lw.lost[id], lw.lostAt[id] = true, lw.now
	for name, rn := range lw.runs {
		if rn.worker != id {
			continue
		}
		delete(lw.runs, name)
		lw.usedMillicores[id] -= lw.jobs[name.Job].spec.Steps[0].Need.Processors()
		if lw.jobs[name.Job].spec.Steps[0].LongRunning {
			lw.gaps = append(lw.gaps, &gap{task: name, lostAt: lw.now})
		}
	}
	leaseEnd := lw.now + workerLease
	lw.schedule(time.Duration(lw.rng.Int64N(int64(1500*time.Millisecond))), func() { lw.cell.Unreachable(lw.now, id, leaseEnd) })
	lw.schedule(workerLease, func() {
		lw.cell.LeaseExpired(lw.now, id)
		lw.markPlaceable(id)
	})
}

// bringBack has a lost worker answer again, without its runs.
func (lw *lostWorkersTestbed) bringBack(id incarnation.ID) {
	delete(lw.lost, id)
	lw.report(id, nil)
}

// markPlaceable notes which of the tasks lost with a worker could run on other ones, if these were empty but for
// long-running tasks.
func (lw *lostWorkersTestbed) markPlaceable(id incarnation.ID) {
	for _, gp := range lw.gaps {
		if gp.lostAt+workerLease == lw.now && gp.startedAt == 0 {
			gp.placeable = lw.freePlaces(gp.task) >= lw.missing(gp.task)
		}
	}
}

// missing counts the tasks of the job that do not run.
func (lw *lostWorkersTestbed) missing(name work.Task) int {
	count := 0
	for _, gp := range lw.gaps {
		if gp.task.Job == name.Job && gp.startedAt == 0 {
			count++
		}
	}
	return count
}

// freePlaces counts the tasks of the job that the workers allowed for it could take beside long-running tasks.
func (lw *lostWorkersTestbed) freePlaces(name work.Task) int {
	def, count := lw.jobs[name.Job].spec.Steps[0], 0
	for _, id := range lw.workers {
		if lw.lost[id] || !advisorAllows(name.StepName(), id, longRunningShare) {
			continue
		}
		siblings, used := 0, size.Size{}
		for other, rn := range lw.runs {
			if st := lw.jobs[other.Job].spec.Steps[0]; rn.worker == id && st.LongRunning {
				used = used.Add(st.Need)
				if other.Job == name.Job {
					siblings++
				}
			}
		}
		if fit := lw.capacities[id].Sub(used).FitCount(def.Need); fit > 0 {
			count += min(fit, def.PerWorker-siblings)
		}
	}
	return count
}

func (lw *lostWorkersTestbed) runBegan(sr cell.Start) {
	for _, gp := range lw.gaps {
		if gp.task == sr.Task && gp.startedAt == 0 {
			gp.startedAt = lw.now
		}
	}
}

// startLost counts a start that was sent to a lost worker, before the planner noticed, as another loss of its task.
func (lw *lostWorkersTestbed) startLost(sr cell.Start) {
	for _, gp := range lw.gaps {
		if gp.task == sr.Task && gp.startedAt == 0 {
			gp.lostAt = lw.lostAt[sr.Worker]
		}
	}
}

// late returns the placeable tasks that did not run again in time, and the longest time that one of them was away.
func (lw *lostWorkersTestbed) late() (late, all int, longest time.Duration) {
	for _, gp := range lw.gaps {
		if !gp.placeable {
			continue
		}
		all++
		wait := gp.startedAt - gp.lostAt
		if gp.startedAt == 0 {
			wait = lw.now - gp.lostAt
		}
		if wait > workerLease+restartSlack {
			late++
		}
		longest = max(longest, wait)
	}
	return late, all, longest
}

// losses is the loss of a third of the workers of a cell under a load, as a share of its capacity.
type losses struct {
	load float64
	// interval is the time between two losses, downTime the time until every second lost worker answers again.
	interval, downTime time.Duration
}

// TestLostLongRunningTaskWaitsAmongOthers loses a third of the workers of a full cell. Their long-running tasks must
// run again within the workers' lease and a second.
func TestLostLongRunningTaskWaitsAmongOthers(t *testing.T) {
	tests := map[string]losses{
		"at once, load 1":      {load: 1},
		"at once, load 1.5":    {load: 1.5, downTime: 8 * time.Second},
		"at once, load 2":      {load: 2},
		"one by one, load 1.5": {load: 1.5, interval: 700 * time.Millisecond},
		"one by one, load 2":   {load: 2, interval: 700 * time.Millisecond, downTime: 6 * time.Second},
	}
	for name, ls := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ls.check(t)
		})
	}
}

// TestLostLongRunningTaskWaitsForLongTasks loses workers so that a long-running task may run on a single other one,
// which is full of tasks that all last longer than the task may be away.
func TestLostLongRunningTaskWaitsForLongTasks(t *testing.T) {
	losses{load: 1, interval: 700 * time.Millisecond, downTime: 6 * time.Second}.check(t)
}

// check loses the workers and fails the test if a long-running task that could run is away for too long.
func (ls losses) check(t *testing.T) {
	const seeds = 4
	for seed := range uint64(seeds) {
		lw := newLostWorkersTestbed(seed, ls.load)
		lw.loseThird(ls.interval, ls.downTime)
		lw.advance(20*time.Second, true)
		late, all, longest := lw.late()
		t.Logf("seed %d: %d of %d tasks late, longest away %s; %d lost in all; utilization %.2f; %d of %d advice requests deferred",
			seed, late, all, longest, len(lw.gaps), lw.utilization(), lw.deferred, lw.requests+lw.deferred)
		if late > 0 {
			t.Errorf("seed %d: %d of %d long-running tasks did not run again within %s, the last after %s", seed, late, all, workerLease+restartSlack, longest)
		}
		if all == 0 {
			t.Errorf("seed %d: no long-running task was lost", seed)
		}
	}
}

// loseThird loses a third of the workers, at once or one by one. If downTime is set, every second of them answers again
// after that time.
func (lw *lostWorkersTestbed) loseThird(interval, downTime time.Duration) {
	ids := slices.Clone(lw.workers)
	lw.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for n, id := range ids[:len(ids)/3] {
		lw.schedule(time.Duration(n)*interval, func() {
			lw.loseWorker(id)
			if downTime > 0 && n%2 == 0 {
				lw.schedule(downTime, func() { lw.bringBack(id) })
			}
		})
	}
}

// TestAnsweringWorkerKeepsLongRunningTask has a worker with a long-running task answer again before its lease has
// expired. Meanwhile the task must not start elsewhere although room is reserved for it, and afterwards the room must be
// free for others.
func TestAnsweringWorkerKeepsLongRunningTask(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(3)
	half := size.New(32000, 100, 0)
	submitStep(cl, "lasting", work.Step{Count: 1, Need: half, LongRunning: true, Estimate: time.Second},
		work.Queue{Name: "l", Service: "svc", Attempts: 3, Priority: 1, Target: time.Second})
	cl.Plan(0)
	first := cl.TakeOutput().Starts
	is.Equal(len(first), 1)
	cl.Started(0, first[0])
	run := cell.Run{Task: first[0].Task, Number: first[0].Run, Percent: 100}
	now := 2 * time.Second
	report := func() {
		for _, id := range []incarnation.ID{"w000", "w001", "w002"} {
			if id != first[0].Worker {
				cl.Report(now, id, now, nil, nil)
			}
		}
	}
	report()
	cl.Unreachable(now, first[0].Worker, now+workerLease)
	cl.Plan(now)
	submitStep(cl, "urgent", work.Step{Count: 4, Need: half, Estimate: 10 * time.Second}, work.Queue{Name: "u", Service: "svc", Attempts: 3})
	for range 2 {
		now += time.Second
		report()
		cl.Plan(now)
		_, reserved := cl.OldestWait(now)
		is.Equal(reserved, 1)
	}
	starts := cl.TakeOutput().Starts
	is.Equal(len(starts), 3) // all urgent tasks but the one that the reserved room is for
	for _, sr := range starts {
		is.Equal(sr.Task.Job, "urgent")
	}
	cl.Report(now, first[0].Worker, now, []cell.Run{run}, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(now)
	cl.Plan(now)
	_, reserved := cl.OldestWait(now)
	is.Equal(reserved, 0)
	starts = cl.TakeOutput().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "urgent")
}
