// Package speed learns which workers run tasks slowly, and which run them fast.
//
// It addresses a load of urgent jobs of which each has little more time than its tasks take on a usual worker. Such
// a job is late if it has a task on a worker that is a fifth slower, however soon the task starts, and has time to wait
// for capacity if its tasks run on fast workers. The run times of a
// queue vary by a factor of 2, and a few tasks take seven times as long, so single runs do not show the speed of a worker.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

const (
	// slowSpeed is the speed, relative to the median, below which a worker is slow: callers give urgent jobs about
	// a quarter more time than they need.
	slowSpeed = 0.8
	// fastSpeed is the speed above which a worker is fast: it gives urgent jobs about as much time again as they have to
	// spare.
	fastSpeed = 1 / slowSpeed
	// confidence is the one-sided quantile of the normal distribution for 95%.
	confidence = 1.645
	// priorRuns is the weight, in runs, of the assumption that a worker has the median speed. One or two tasks that
	// take long by themselves must not make a worker slow.
	priorRuns = 4
	// maxRuns bounds the weight of a worker's runs, so that about as many runs show that its speed has changed. Busy
	// workers end one to ten runs a second, and a change should show within 10 s.
	maxRuns = 12
	// halfLife is the time in which the weight of earlier runs halves. A slow worker without runs is tried again after
	// one to two minutes.
	halfLife = 30 * time.Second
	// maxLog bounds the logarithm of one observation. Tasks that take seven times as long occur on all workers.
	maxLog = 1
	// priorVariance and priorCount are the assumed variance of an observation and its weight, in observations. Tasks
	// of one step differ by about that much, counting three in a hundred that take much longer.
	priorVariance, priorCount = 0.09, 16
	// varianceRuns is the number of observations over which the measured variance decays.
	varianceRuns = 512
	// minReferences is the number of run times of a step on other workers with fewer of which the prediction counts as
	// one more. Compared with one other task alone, slow workers took ten runs to be recognized instead of seven.
	minReferences = 3
	// negligibleWeight is the weight below which runs show nothing.
	negligibleWeight = 0.01
	// medianInterval is how often the median is computed: it changes over many runs.
	medianInterval = time.Second
)

// Model learns the speeds of the workers of one service.
type Model struct {
	workers map[incarnation.ID]*worker
	// median is the median of the workers' means. Differences count, so the means have no fixed zero.
	median    float64
	refreshed time.Duration
	// squares and count are the sum of squared deviations from the workers' means, and their number.
	squares, count float64
	changed        []incarnation.ID
}

// worker is what is known about one worker. Its weight and mean are those of the logarithms of its observed speeds.
type worker struct {
	weight, mean float64
	updatedAt    time.Duration
	runs         int
	// slow and fast are the classes that the worker is in; at most one of them is set.
	slow, fast bool
}

// New returns a model without observations, in which no worker is slow.
func New() *Model {
	return &Model{workers: map[incarnation.ID]*worker{}, squares: priorVariance * priorCount, count: priorCount}
}

// Observe adds the new run times of a step to the model, as soon as enough tasks have ended to compare them. Expected
// is the predicted run time of the step's tasks, which is used if few of them ran on other workers; unfinished is how
// many have not ended.
func (md *Model) Observe(now time.Duration, gp *Group, expected time.Duration, unfinished int) {
	if !gp.comparable(unfinished) {
		return
	}
	for _, rn := range gp.runs {
		if rn.observed {
			continue
		}
		reference, weight := md.reference(now, gp, rn.worker, expected)
		md.observe(now, rn.worker, reference-rn.logTook, weight)
	}
	gp.markObserved()
}

// reference returns the logarithm of the run time that is expected of a group's tasks on the median worker, as seen
// from one worker, and the weight of a comparison with it. The weights of a worker's m runs, compared with k runs on
// others, add up to the inverse of 1/m + 1/k. Without others, its runs share the deviation of their job from the
// prediction and count as one together.
func (md *Model) reference(now time.Duration, gp *Group, id incarnation.ID, expected time.Duration) (logTook, weight float64) {
	var others []float64
	own := 0.0
	for _, rn := range gp.runs {
		if rn.worker == id {
			own++
			continue
		}
		others = append(others, rn.logTook+md.estimate(now, rn.worker))
	}
	if len(others) == 0 {
		return logOf(expected), 1 / own
	}
	if len(others) < minReferences {
		others = append(others, logOf(expected))
	}
	count := float64(len(others))
	return medianOf(others), count / (own + count)
}

// observe adds one observation, the logarithm of a speed.
func (md *Model) observe(now time.Duration, id incarnation.ID, logSpeed, weight float64) {
	wk, known := md.workers[id]
	if !known {
		wk = &worker{updatedAt: now}
		md.workers[id] = wk
	}
	wk.decay(now)
	logSpeed = min(max(logSpeed, -maxLog), maxLog)
	diff := logSpeed - wk.mean
	if wk.weight > 0 {
		const decay = 1 - 1.0/varianceRuns
		md.squares = decay*md.squares + diff*diff*weight*wk.weight/(weight+wk.weight)
		md.count = decay*md.count + 1
	}
	wk.runs++
	wk.weight = min(wk.weight+weight, maxRuns)
	wk.mean += diff * weight / wk.weight
	md.classify(id, wk)
}

// decay reduces the weight of earlier runs.
func (wk *worker) decay(now time.Duration) {
	if now > wk.updatedAt {
		wk.weight *= math.Exp2(-float64(now-wk.updatedAt) / float64(halfLife))
		wk.updatedAt = now
	}
}

// estimate returns the logarithm of a worker's speed relative to the median, 0 if nothing is known.
func (md *Model) estimate(now time.Duration, id incarnation.ID) float64 {
	wk, known := md.workers[id]
	if !known {
		return 0
	}
	wk.decay(now)
	return md.relative(wk)
}

func (md *Model) relative(wk *worker) float64 {
	return wk.weight * (wk.mean - md.median) / (wk.weight + priorRuns)
}

// classify decides whether a worker is slow or fast. It remains so until its estimated speed is not, whatever the
// confidence, so that it does not alternate.
func (md *Model) classify(id incarnation.ID, wk *worker) {
	estimate := md.relative(wk)
	margin := confidence * math.Sqrt(md.squares/md.count/(wk.weight+priorRuns))
	slow := estimate+margin < math.Log(slowSpeed) || wk.slow && estimate < math.Log(slowSpeed)
	fast := estimate-margin > math.Log(fastSpeed) || wk.fast && estimate > math.Log(fastSpeed)
	if slow != wk.slow || fast != wk.fast {
		wk.slow, wk.fast = slow, fast
		md.changed = append(md.changed, id)
	}
}

// Refresh applies the passage of time: the weights of earlier runs decay, and the median may have changed. It does
// nothing if the last refresh was less than a second ago.
func (md *Model) Refresh(now time.Duration) {
	if now-md.refreshed < medianInterval {
		return
	}
	md.refreshed = now
	var means []float64
	for _, wk := range md.workers {
		wk.decay(now)
		if wk.weight >= 1 {
			means = append(means, wk.mean)
		}
	}
	md.median = medianOf(means)
	for id, wk := range md.workers {
		md.classify(id, wk)
		if wk.weight < negligibleWeight && !wk.slow && !wk.fast {
			delete(md.workers, id) // it may have left before its runs were observed
		}
	}
}

// Forget discards what is known about a worker.
func (md *Model) Forget(id incarnation.ID) { delete(md.workers, id) }

// TakeChanges returns the workers that have become slow or fast, or ceased to be, since the last call, in no particular
// order. A worker may have changed back.
func (md *Model) TakeChanges() []incarnation.ID {
	list := md.changed
	md.changed = nil
	return list
}

// Slow reports whether a worker is slow.
func (md *Model) Slow(id incarnation.ID) bool {
	wk, known := md.workers[id]
	return known && wk.slow
}

// Fast reports whether a worker is fast.
func (md *Model) Fast(id incarnation.ID) bool {
	wk, known := md.workers[id]
	return known && wk.fast
}

// Speed returns the estimated speed of a worker, 1 for the median or an unknown worker, and the number of its runs
// that were observed.
func (md *Model) Speed(now time.Duration, id incarnation.ID) (relative float64, runs int) {
	if wk, known := md.workers[id]; known {
		runs = wk.runs
	}
	return math.Exp(md.estimate(now, id)), runs
}

// medianOf returns the median of a list, which it sorts; 0 if the list is empty.
func medianOf(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, cmp.Compare[float64])
	half := len(list) / 2
	return (list[half] + list[(len(list)-1)/2]) / 2
}

// logOf returns the logarithm of a duration of at least 1 ms, to which shorter ones are raised.
func logOf(span time.Duration) float64 {
	return math.Log(float64(max(span, time.Millisecond)))
}
