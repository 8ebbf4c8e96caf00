package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// adviceNodes is the number of nodes that send requests to the advisor in tests of the budget.
const adviceNodes = 32

// The streams of deploymentA.
const (
	urgentStream = iota
	longStream
	gangStream
	lastingStream
)

// newDeploymentA returns a testbed with the workers and the load of deployment A (docs/design/0015-hard-load.md).
func newDeploymentA(seed uint64, features feature.Set, scale float64) *loadTestbed {
	const workers, small = 350, 252
	bd := newLoadTestbed(seed, workers, adviceNodes, deploymentA(scale))
	bd.capacity, bd.features = size.New(64000, 262144, 0), features
	for _, id := range bd.workers[small:] {
		bd.capacities[id] = size.New(128000, 262144, 8)
	}
	bd.replacePlanner()
	return bd
}

// deploymentA is the load of deployment A, relative to the capacity of its processors, with one step for each job. Its
// long-running work runs for a third of its time, and arrives three times as often, so that a test sees it end.
func deploymentA(scale float64) []stream {
	every := func(perSecond float64) time.Duration {
		const fullLoad = 1.33 // the rates below use three quarters of the processors
		return time.Duration(float64(time.Second) / (perSecond * scale * fullLoad))
	}
	queue := func(name string, priority int, stretch float64, target, base, each time.Duration) work.Queue {
		return work.Queue{Name: name, Service: "svc", Priority: priority, Attempts: 3, Stretch: stretch, Target: target,
			Advised: true, AdviceBase: base, AdviceEach: each}
	}
	return []stream{
		urgentStream: {queue: queue("urgent", 0, 1.5, 300*time.Millisecond, 15600*time.Microsecond, 220*time.Microsecond),
			interval: every(61), tasks: 10, maxTasks: 60, cores: 11, memory: 30000, runTime: 560 * time.Millisecond, estimateSpread: 0.3, allowedShare: 0.7},
		longStream: {queue: queue("long", 1, 2.5, 2*time.Second, 208*time.Millisecond, 3*time.Millisecond),
			interval: every(6), tasks: 22, maxTasks: 130, cores: 18, memory: 40000, runTime: 4500 * time.Millisecond, estimateSpread: 0.3, allowedShare: 0.5},
		gangStream: {queue: queue("gangs", 1, 2.5, 2*time.Second, 715*time.Millisecond, 10300*time.Microsecond),
			interval: every(3.3), tasks: 3, maxTasks: 12, cores: 62, memory: 60000, accelerators: []int64{2, 4, 8}, runTime: 5600 * time.Millisecond, gang: true, estimateSpread: 0.3, allowedShare: 0.4},
		lastingStream: {queue: queue("long-running", 2, 2, 5*time.Second, 728*time.Millisecond, 10400*time.Microsecond),
			interval: every(0.9), tasks: 15, maxTasks: 60, cores: 18, memory: 40000, runTime: 15 * time.Second, estimateSpread: 0.3, allowedShare: 0.5},
	}
}

// adviceUse is the measured use of the advisor by one stream.
type adviceUse struct {
	requestsPerJob, advisorShare, onTime float64
}

// measureAdvice runs the load for some time, lets it end, and returns the use of the advisor by each stream.
func measureAdvice(bd *loadTestbed, traffic time.Duration) []adviceUse {
	const drain = 25 * time.Second
	bd.advance(traffic, true)
	jobs := make([]int, len(bd.streams))
	for _, sj := range bd.arrivals {
		jobs[sj.stream]++
	}
	list := make([]adviceUse, len(bd.streams))
	for at := range bd.streams {
		list[at].requestsPerJob = float64(bd.requestCounts[at]) / float64(jobs[at])
		list[at].advisorShare = bd.advisorTime[at].Seconds() / traffic.Seconds() / adviceNodes
	}
	bd.advance(drain, false)
	for at := range bd.streams {
		list[at].onTime, _ = bd.onTimeShare(at)
	}
	return list
}

// TestAdviceBudgetLoad guards against requests to the advisor that starve urgent jobs under load, and against a budget
// that makes any kind of job late while there is capacity for all. It runs the same load with and without the feature.
func TestAdviceBudgetLoad(t *testing.T) {
	tests := map[string]struct {
		scale   float64
		traffic time.Duration
		// minGain is how much the share of jobs in time must gain at least, by stream; a negative gain is a loss.
		minGain [4]float64
	}{
		"0.7": {scale: 0.7, traffic: 12 * time.Second},
		"1":   {scale: 1, traffic: 12 * time.Second},
		// Above the capacity, the kinds compete; at five times, urgent work alone needs all of it. Shares of single seeds differ by 0.05 in long work and gangs, and by 0.1
		// in the few long-running jobs.
		"1.5": {scale: 1.5, traffic: 12 * time.Second, minGain: [4]float64{longStream: -0.05, gangStream: -0.05, lastingStream: -0.1}},
		"2.5": {scale: 2.5, traffic: 10 * time.Second, minGain: [4]float64{urgentStream: 0.1, longStream: -0.05, gangStream: -0.05, lastingStream: -0.1}},
		"5":   {scale: 5, traffic: 6 * time.Second, minGain: [4]float64{urgentStream: 0.1, longStream: -0.1, gangStream: -0.1, lastingStream: -0.1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := measureAdvice(newDeploymentA(1, 0, tt.scale), tt.traffic)
			after := measureAdvice(newDeploymentA(1, feature.AdviceBudget, tt.scale), tt.traffic)
			for at, qu := range deploymentA(1) {
				t.Logf("%-12s requests per job %.2f, %.2f; advisor %.3f, %.3f; on time %.3f, %.3f", qu.queue.Name,
					before[at].requestsPerJob, after[at].requestsPerJob, before[at].advisorShare, after[at].advisorShare,
					before[at].onTime, after[at].onTime)
				if least := before[at].onTime + tt.minGain[at]; after[at].onTime < least {
					t.Errorf("%.3f of the jobs of %s are in time, want at least %.3f", after[at].onTime, qu.queue.Name, least)
				}
			}
		})
	}
}

// TestAdvisorSilent guards against a burst of requests after the advisor has not answered for some time under load,
// and against urgent jobs that are served later then than without the feature.
func TestAdvisorSilent(t *testing.T) {
	is := is.New(t)
	const seeds = 3 // the share of one seed differs by 0.02
	var before, after float64
	for sd := range uint64(seeds) {
		served, _ := surviveSilence(t, sd, 0)
		before += served / seeds
		served, most := surviveSilence(t, sd, feature.AdviceBudget)
		after += served / seeds
		is.True(most <= 2*adviceNodes) // what was saved up and what is added in a second
	}
	t.Logf("urgent jobs begun within a second: %.3f without the feature, %.3f with it", before, after)
	is.True(after >= before)
}

// surviveSilence has the advisor give no answers for some time under load. It returns the share of the urgent jobs of
// the next seconds that begin within a second, and the most seconds of advisor time that others request in one second.
func surviveSilence(t *testing.T, sd uint64, features feature.Set) (served, most float64) {
	const calm, silence, drain, windows = 4 * time.Second, 3 * time.Second, 2 * time.Second, 3
	bd := newDeploymentA(sd, features, 1.5)
	bd.advance(calm, true)
	bd.adviceFails = true
	bd.advance(silence, true)
	bd.adviceFails = false
	arrived := len(bd.arrivals)
	for range windows {
		before := bd.advisorTime
		bd.advance(time.Second, true)
		var used time.Duration
		for at := longStream; at < len(bd.streams); at++ {
			used += bd.advisorTime[at] - before[at]
		}
		most = max(most, used.Seconds())
	}
	bd.advance(drain, false)
	count, inTime := 0, 0
	for _, sj := range bd.arrivals[arrived:] {
		if sj.stream != urgentStream {
			continue
		}
		count++
		if sj.startedAt > 0 && sj.startedAt-sj.arrivedAt < time.Second {
			inTime++
		}
	}
	t.Logf("features %q: %d of %d urgent jobs; at most %.1f s of advisor time for others in a second", features, inTime, count, most)
	return float64(inTime) / float64(count), most
}

// TestAdviceBudgetNewPlanner guards against a new planner that inherits pauses or waits for a history before it requests
// advice: its first plan requests advice for the steps that wait.
func TestAdviceBudgetNewPlanner(t *testing.T) {
	is := is.New(t)
	bd := newDeploymentA(1, feature.AdviceBudget, 1.5)
	bd.advance(5*time.Second, true)
	bd.noPlanner = true
	bd.advance(time.Second, true)
	before, arrived := bd.requestCounts, len(bd.arrivals)
	bd.replacePlanner()
	_, _, busy := bd.cell.AdviceBudget(bd.now)
	is.Equal(busy, time.Duration(0)) // no history
	bd.advance(100*time.Millisecond, true)
	is.True(bd.requestCounts[urgentStream] > before[urgentStream])
	is.True(bd.requestCounts[longStream] > before[longStream])
	bd.advance(3*time.Second, true)
	started := 0
	for _, sj := range bd.arrivals[arrived:] {
		if sj.startedAt > 0 {
			started++
		}
	}
	t.Logf("%d of %d jobs that arrived after the change have begun", started, len(bd.arrivals)-arrived)
	is.True(started >= (len(bd.arrivals)-arrived)*8/10)
}

// TestAdviceBudgetNodesUnknown guards against a planner that sends requests without a limit before it knows the number
// of nodes.
func TestAdviceBudgetNodesUnknown(t *testing.T) {
	is := is.New(t)
	const jobs, requestsPerPlan = 20, 8
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, Features: feature.AdviceBudget})
	cl.PutWorker(0, cell.Worker{ID: "w1", Service: "svc", Capacity: size.New(64000, 128000, 0)})
	cl.Report(0, "w1", 0, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, AdviceBase: time.Second}
	for n := range jobs {
		submitStep(cl, fmt.Sprint("job", n), work.Step{Count: 1, Need: size.New(1000, 100, 0)}, qu)
	}
	cl.Plan(0)
	is.Equal(len(cl.TakeOutput().AdviceRequests), requestsPerPlan)
	cl.SetAdvisorNodes(0, adviceNodes)
	cl.Plan(0)
	is.Equal(len(cl.TakeOutput().AdviceRequests), jobs-requestsPerPlan) // within a second of 32 nodes
}
