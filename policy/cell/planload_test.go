package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// waitingLoad is a loadTestbed in which a given number of jobs wait: a third each of urgent, long and gang jobs,
// all of them advised. Other tasks, which run for long, fill most of the cell. Tasks end between any two plans.
type waitingLoad struct {
	*loadTestbed
	// waiting counts the jobs of each stream with tasks that have not begun, begun the tasks that have.
	waiting [4]int
	begun   map[string]int
}

const (
	waitingLoadWorkers = 350
	// accelerated is the number of workers with accelerators.
	accelerated = 98
	// advisedStreams is the number of streams that share the number of waiting jobs; of the others, few wait.
	advisedStreams, otherJobs = 3, 10
	// otherCores is the limit of the others, in thousandths: three quarters of all cores.
	otherCores = 21504000
)

func newWaitingLoad(seed uint64, workers, jobs int) *waitingLoad {
	wl := &waitingLoad{loadTestbed: newLoadTestbed(seed, workers, 32, fullCellStreams(workers)), begun: map[string]int{}}
	wl.lostWorkers = map[incarnation.ID]bool{}
	wl.capacity = size.New(64000, 262144, 0)
	for n := range workers * accelerated / waitingLoadWorkers {
		wl.capacities[wl.workers[len(wl.workers)-1-n]] = size.New(128000, 262144, 8)
	}
	wl.replacePlanner()
	streams := map[string]int{}
	for at, sm := range wl.streams {
		streams[sm.queue.Name] = at
	}
	wl.admit = func(jb *work.Job) bool {
		at := streams[jb.Queue.Name]
		limit := otherJobs
		if at < advisedStreams {
			limit = jobs / advisedStreams
		}
		if wl.waiting[at] >= limit {
			return false
		}
		wl.waiting[at]++
		return true
	}
	wl.onStart = func(sr cell.Start) {
		sj := wl.jobs[sr.Task.Job]
		if wl.begun[sr.Task.Job]++; wl.begun[sr.Task.Job] == sj.spec.Steps[0].Count { // a task that runs again is no matter
			wl.waiting[sj.stream]--
		}
	}
	return wl
}

// fullCellStreams are arrivals of more work than the cell can run, in the proportions of jobs that the design page
// on hard load gives.
func fullCellStreams(workers int) []stream {
	queue := func(name string, priority int, stretch float64, target, base, each time.Duration) work.Queue {
		return work.Queue{Name: name, Service: "svc", Priority: priority, Attempts: 3, Stretch: stretch, Target: target,
			Advised: true, AdviceBase: base, AdviceEach: each}
	}
	return []stream{
		{
			queue:    queue("urgent", 0, 1.5, 250*time.Millisecond, 15600*time.Microsecond, 220*time.Microsecond),
			interval: 2 * time.Millisecond, tasks: 10, maxTasks: 40, cores: 11, memory: 30000, runTime: 560 * time.Millisecond, estimateSpread: 0.4, allowedShare: 0.6,
		},
		{
			queue:    queue("long", 2, 4, 3*time.Second, 208*time.Millisecond, 3*time.Millisecond),
			interval: 20 * time.Millisecond, tasks: 22, maxTasks: 80, cores: 18, memory: 40000, runTime: 4500 * time.Millisecond, failing: 0.02, estimateSpread: 0.3, allowedShare: 0.45,
		},
		{
			queue:    queue("gang", 1, 2.2, time.Second, 715*time.Millisecond, 10300*time.Microsecond),
			interval: 20 * time.Millisecond, tasks: 3, maxTasks: 8, cores: 62, memory: 60000, accelerators: []int64{2, 4, 8}, runTime: 5600 * time.Millisecond, gang: true, failing: 0.02, estimateSpread: 0.6, allowedShare: 0.5,
		},
		{
			queue:    work.Queue{Name: "other", Service: "svc", Attempts: 3, Stretch: 2, Target: 3 * time.Second},
			interval: 20 * time.Millisecond, tasks: 16, maxTasks: 40, cores: 18, memory: 30000, runTime: 30 * time.Second, estimateSpread: 0.3,
			workspace: work.Workspace{Name: "other", Limit: size.New(otherCores*int64(workers)/waitingLoadWorkers, 0, 0)},
		},
	}
}

// BenchmarkPlan measures a plan for a full cell of 350 workers in which 100 or 1,000 advised jobs wait and some tasks
// end before each plan.
func BenchmarkPlan(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint("waiting ", jobs), func(b *testing.B) {
			wl := newWaitingLoad(1, waitingLoadWorkers, jobs)
			wl.advance(15*time.Second, true)
			wl.planTime, wl.planCount = 0, 0
			examined := wl.cell.WorkersExamined()
			for b.Loop() {
				wl.advance(timeStep, true)
			}
			plans := float64(wl.planCount)
			b.ReportMetric(wl.planTime.Seconds()*1000/plans, "ms/plan")
			b.ReportMetric(float64(wl.cell.WorkersExamined()-examined)/plans, "examined/plan")
			b.ReportMetric(float64(wl.waiting[0]), "urgent")
			b.ReportMetric(float64(wl.waiting[1]), "long")
			b.ReportMetric(float64(wl.waiting[2]), "gangs")
			b.ReportMetric(wl.utilization(), "used")
		})
	}
}

// TestPlanCostFollowsChanges checks that with ten times as many waiting steps, plans examine at most twice as many
// workers. Otherwise a planner that falls behind gets more to do in each plan, and falls behind further.
func TestPlanCostFollowsChanges(t *testing.T) {
	examined := func(jobs int) float64 {
		wl := newWaitingLoad(1, waitingLoadWorkers, jobs)
		wl.advance(12*time.Second, true)
		before, plans := wl.cell.WorkersExamined(), wl.planCount
		wl.advance(2*time.Second, true)
		return float64(wl.cell.WorkersExamined()-before) / float64(wl.planCount-plans)
	}
	few, many := examined(100), examined(1000)
	t.Logf("workers examined in each plan: %.0f with 100 waiting jobs, %.0f with 1,000", few, many)
	is.New(t).True(many <= 2*few)
}
