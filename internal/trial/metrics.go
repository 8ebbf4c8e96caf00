package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/column"
)

// outcome is the result of a job.
type outcome int

const (
	ran outcome = iota
	refused
	missed
	failed
	cancelled
	unfinished
)

// Classes of waits.
const (
	classUrgent = "urgent"
	classLookup = "lookup"
)

// metrics collects the measurements of a trial.
type metrics struct {
	classes         map[string]*hdrhistogram.Histogram
	workspaces      map[string]*hdrhistogram.Histogram
	jobWaits        *hdrhistogram.Histogram
	outcomes        [unfinished + 1]int
	missedAvoidably int // missed, although the job would have met its deadline without waiting

	capacity, used, wanted size.Size
	usedTime, boundTime    float64
	backlog                time.Duration

	weights      map[string]float64
	usedBy       map[string]size.Size
	wantedBy     map[string]int // waiting jobs by workspace
	fairnessSum  float64
	fairnessSpan float64

	preempted     int
	lostWork      time.Duration
	lookups, shed int
	lookupsFailed int
	decisions     int
	decisionTime  time.Duration
	decisionTimes *hdrhistogram.Histogram
}

// maxWait is the upper bound of the wait histograms in microseconds.
const maxWait = int64(24 * time.Hour / time.Microsecond)

func newMetrics() *metrics {
	return &metrics{
		classes: map[string]*hdrhistogram.Histogram{}, workspaces: map[string]*hdrhistogram.Histogram{},
		weights: map[string]float64{}, usedBy: map[string]size.Size{}, wantedBy: map[string]int{},
		jobWaits:      hdrhistogram.New(1, maxWait, 2),
		decisionTimes: hdrhistogram.New(1, int64(time.Minute), 2),
	}
}

func (mt *metrics) weight(workspace string, weight float64) { mt.weights[workspace] = weight }

// recordDecision records the duration of a decision step; ticks add to the total duration only.
func (mt *metrics) recordDecision(took time.Duration, counts bool) {
	mt.decisionTime += took
	if counts {
		mt.decisions++
		_ = mt.decisionTimes.RecordValue(max(1, min(took.Nanoseconds(), int64(time.Minute)))) // within the bounds
	}
}

func recordWait(in map[string]*hdrhistogram.Histogram, name string, wait time.Duration) {
	const significantFigures = 3
	hi, ok := in[name]
	if !ok {
		hi = hdrhistogram.New(1, maxWait, significantFigures)
		in[name] = hi
	}
	_ = hi.RecordValue(max(1, min(wait.Microseconds(), maxWait))) // within the bounds
}

// jobWait records how long a job waited for its first start.
func (mt *metrics) jobWait(jb *job, wait time.Duration) {
	class := jb.Workload
	if jb.Priority >= column.MaxPriority {
		class = classUrgent
	}
	recordWait(mt.classes, class, wait)
	recordWait(mt.workspaces, jb.Workspace, wait)
	_ = mt.jobWaits.RecordValue(max(1, min(wait.Microseconds(), maxWait))) // within the bounds
}

func (mt *metrics) lookupWait(lk *lookup, wait time.Duration) {
	recordWait(mt.classes, classLookup, wait)
	recordWait(mt.workspaces, lk.workspace, wait)
}

func (mt *metrics) count(jb *job, result outcome) {
	mt.outcomes[result]++
	if result == missed && jb.RunTime < jb.Deadline {
		mt.missedAvoidably++
	}
}

// addWaiting records that a job starts (1) or stops (-1) waiting.
func (mt *metrics) addWaiting(jb *job, by int64) {
	mt.wanted = mt.wanted.Add(jb.total().Times(by))
	mt.wantedBy[jb.Workspace] += int(by)
}

// addRunning records that a task of the job starts (1) or stops (-1) running.
func (mt *metrics) addRunning(jb *job, by int64) {
	mt.used = mt.used.Add(jb.Size.Times(by))
	mt.usedBy[jb.Workspace] = mt.usedBy[jb.Workspace].Add(jb.Size.Times(by))
}

// advance accounts for the time until the next event. While work waits, it adds the used share of the scarcest
// dimension, and the share that could be used if work were divisible, as the upper bound.
func (mt *metrics) advance(sim *simulation, until time.Duration) {
	span := (until - sim.now).Seconds()
	if span <= 0 || mt.wanted.IsZero() {
		return
	}
	use, bound := 0.0, 0.0
	for d := range mt.capacity {
		if mt.capacity[d] <= 0 {
			continue
		}
		capacity := float64(mt.capacity[d])
		if usable := min(1, float64(mt.used[d]+mt.wanted[d])/capacity); usable > bound {
			bound, use = usable, min(1, float64(mt.used[d])/capacity)
		}
	}
	mt.usedTime += use * span
	mt.boundTime += bound * span
	mt.backlog += until - sim.now
	mt.addFairness(span)
}

// addFairness compares the weighted shares of the workspaces with waiting jobs.
func (mt *metrics) addFairness(span float64) {
	minShare, maxShare, count := 0.0, 0.0, 0
	for name, waiting := range mt.wantedBy {
		if waiting <= 0 {
			continue
		}
		weight := mt.weights[name]
		if weight == 0 {
			weight = 1
		}
		share := mt.usedBy[name].DominantShare(mt.capacity) / weight
		if count == 0 || share < minShare {
			minShare = share
		}
		maxShare = max(maxShare, share)
		count++
	}
	if count > 1 && maxShare > 0 {
		mt.fairnessSum += minShare / maxShare * span
		mt.fairnessSpan += span
	}
}
