package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/column"
)

// outcome is how a job of a trial ended.
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

// measure gathers what a trial comes to.
type measure struct {
	classes    map[string]*hdrhistogram.Histogram
	workspaces map[string]*hdrhistogram.Histogram
	jobWaits   *hdrhistogram.Histogram
	outcomes   [unfinished + 1]int
	missedOK   int // missed, though the job alone could have met its deadline

	capacity, used, wanted size.Size
	usedTime, boundTime    float64
	backlog                time.Duration

	weights   map[string]float64
	usedBy    map[string]size.Size
	wantedBy  map[string]int
	fairTime  float64
	fairUntil float64

	preempted     int
	lostWork      time.Duration
	asked, shed   int
	lookupsFailed int
	decisions     int
	deciding      time.Duration
	decisionTimes *hdrhistogram.Histogram
}

// longestWait bounds what a histogram of waits tells apart, in microseconds.
const longestWait = int64(24 * time.Hour / time.Microsecond)

func newMeasure() *measure {
	return &measure{
		classes: map[string]*hdrhistogram.Histogram{}, workspaces: map[string]*hdrhistogram.Histogram{},
		weights: map[string]float64{}, usedBy: map[string]size.Size{}, wantedBy: map[string]int{},
		jobWaits:      hdrhistogram.New(1, longestWait, 2),
		decisionTimes: hdrhistogram.New(1, int64(time.Minute), 2),
	}
}

func (me *measure) weight(workspace string, weight float64) { me.weights[workspace] = weight }

// decided counts one step of the decisions.
func (me *measure) decided(took time.Duration, counts bool) {
	me.deciding += took
	if counts {
		me.decisions++
		_ = me.decisionTimes.RecordValue(max(1, min(took.Nanoseconds(), int64(time.Minute)))) // within the bounds
	}
}

func note(in map[string]*hdrhistogram.Histogram, name string, wait time.Duration) {
	const figures = 3
	hi, ok := in[name]
	if !ok {
		hi = hdrhistogram.New(1, longestWait, figures)
		in[name] = hi
	}
	_ = hi.RecordValue(max(1, min(wait.Microseconds(), longestWait))) // within the bounds
}

// wait notes how long a job waited for its first start.
func (me *measure) wait(jb *job, wait time.Duration) {
	class := jb.Workload
	if jb.Priority >= column.MaxPriority {
		class = classUrgent
	}
	note(me.classes, class, wait)
	note(me.workspaces, jb.Workspace, wait)
	_ = me.jobWaits.RecordValue(max(1, min(wait.Microseconds(), longestWait))) // within the bounds
}

func (me *measure) lookupWait(lk *lookup, wait time.Duration) {
	note(me.classes, classLookup, wait)
	note(me.workspaces, lk.workspace, wait)
}

func (me *measure) count(jb *job, how outcome) {
	me.outcomes[how]++
	if how == missed && jb.Run < jb.Deadline {
		me.missedOK++
	}
}

// waits notes that a job begins (1) or ceases (-1) to wait.
func (me *measure) waits(jb *job, by int64) {
	me.wanted = me.wanted.Add(jb.total().Times(by))
	me.wantedBy[jb.Workspace] += int(by)
}

// runs notes that a task begins (1) or ceases (-1) to run.
func (me *measure) runs(jb *job, by int64) {
	me.used = me.used.Add(jb.Size.Times(by))
	me.usedBy[jb.Workspace] = me.usedBy[jb.Workspace].Add(jb.Size.Times(by))
}

// pass lets time pass until the next event. While work waits, it adds the share in
// use of the dimension that is scarcest, and the share that could be in use if work
// were divisible.
func (me *measure) pass(wo *world, until time.Duration) {
	span := (until - wo.now).Seconds()
	if span <= 0 || me.wanted.IsZero() {
		return
	}
	use, bound := 0.0, 0.0
	for d := range me.capacity {
		if me.capacity[d] <= 0 {
			continue
		}
		whole := float64(me.capacity[d])
		if could := min(1, float64(me.used[d]+me.wanted[d])/whole); could > bound {
			bound, use = could, min(1, float64(me.used[d])/whole)
		}
	}
	me.usedTime += use * span
	me.boundTime += bound * span
	me.backlog += until - wo.now
	me.fair(span)
}

// fair compares the weighted shares of the workspaces that have work waiting.
func (me *measure) fair(span float64) {
	least, most, count := 0.0, 0.0, 0
	for name, waiting := range me.wantedBy {
		if waiting <= 0 {
			continue
		}
		weight := me.weights[name]
		if weight == 0 {
			weight = 1
		}
		share := me.usedBy[name].DominantShare(me.capacity) / weight
		if count == 0 || share < least {
			least = share
		}
		most = max(most, share)
		count++
	}
	if count > 1 && most > 0 {
		me.fairTime += least / most * span
		me.fairUntil += span
	}
}
