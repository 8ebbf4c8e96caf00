// Package headroom decides how much capacity of a service other work leaves free for urgent work that is expected to
// arrive.
//
// Urgent jobs have about half a second of slack, less than other tasks run. In a burst on a full cell they would wait for
// the ends of these tasks. The load that this package addresses has bursts of urgent work of up to five times its mean
// for a few seconds, while other work is ready to take all capacity that is free.
package headroom

import (
	"iter"
	"math"
	"time"

	"tackbeam.example/policy/size"
)

const (
	// binWidth is the resolution of the history.
	binWidth = 100 * time.Millisecond
	// historyBins is the number of bins of the history of 10 s, recentBins that of the last second, in which a burst
	// shows that is only a few bins of the history.
	historyBins, recentBins = 100, 10
	// horizonBins is the number of bins to which the forecast applies: 0.5 s is the slack of an urgent job.
	horizonBins = 5
	// deviations is the number of standard deviations by which the forecast exceeds the mean: with normally distributed
	// demand, nine of ten spans of the horizon need less.
	deviations = 1.28
	// maxShare is the largest share of a service's capacity that is kept: other work pays for it with its throughput
	// while urgent work does not arrive.
	maxShare = 0.15
	// warmUp is the age of the history below which nothing is kept: the deviation of a few bins says little.
	warmUp = 2 * time.Second
	// quietAfter is how long after the last arrival of urgent work the capacity is released.
	quietAfter = 2 * time.Second
)

// Forecast is the forecast of urgent demand for one service, and the capacity that is kept for it. It is not safe for
// concurrent use.
type Forecast struct {
	// first is the number of the bin in which the history began, current that of the bin that now is in.
	first, current int64
	since          time.Duration
	lastArrival    time.Duration
	bins           [historyBins]bin
	// arrived and tasks are the sums over all bins.
	arrived size.Size
	tasks   int64
	// expected is the forecast as of the current bin.
	expected size.Size
	// typical is the need of a typical urgent task. Counted in such tasks, kept is the capacity that is kept, and free what
	// the workers have free.
	typical    size.Size
	kept, free int
	updatedAt  time.Duration
	// deferred counts the steps that were deferred since the last update, deferredSize is what their tasks need.
	deferred     int
	deferredSize size.Size
	// spared is how many urgent tasks there is still room for that the last plan left free by deferring steps.
	spared       int
	unused       time.Duration
	urgentStarts int
}

// bin is what happened within binWidth: net is what arrived less what was released.
type bin struct {
	net, arrived size.Size
	tasks        int64
}

// New returns a forecast without a history.
func New(now time.Duration) *Forecast {
	first := int64(now / binWidth)
	return &Forecast{first: first, current: first, since: now, updatedAt: now}
}

// Arrived records that urgent tasks, each with the given need, began to wait for their start.
func (fc *Forecast) Arrived(now time.Duration, need size.Size, tasks int) {
	bn := fc.bin(now)
	total := need.Times(int64(tasks))
	bn.net, bn.arrived = bn.net.Add(total), bn.arrived.Add(total)
	bn.tasks += int64(tasks)
	fc.arrived = fc.arrived.Add(total)
	fc.tasks += int64(tasks)
	fc.lastArrival = now
}

// Released records that urgent tasks, each with the given need, are done or not wanted any more.
func (fc *Forecast) Released(now time.Duration, need size.Size, tasks int) {
	bn := fc.bin(now)
	bn.net = bn.net.Sub(need.Times(int64(tasks)))
}

// bin returns the bin for the given time, after closing those before it.
func (fc *Forecast) bin(now time.Duration) *bin {
	number := int64(now / binWidth)
	if number <= fc.current {
		return &fc.bins[fc.current%historyBins]
	}
	for range min(number-fc.current, historyBins) {
		fc.current++
		bn := &fc.bins[fc.current%historyBins]
		fc.arrived, fc.tasks = fc.arrived.Sub(bn.arrived), fc.tasks-bn.tasks
		*bn = bin{}
	}
	fc.current = number
	fc.expected = fc.forecast(historyBins - 1).Max(fc.forecast(recentBins)) // the current bin is not complete
	return &fc.bins[fc.current%historyBins]
}

// forecast returns the need within the horizon by the last complete bins, at most the given number.
func (fc *Forecast) forecast(bins int64) size.Size {
	bins = min(bins, fc.current-fc.first)
	var expected size.Size
	for d := range expected {
		var sum, squares float64
		for back := int64(1); back <= bins; back++ {
			net := float64(fc.bins[(fc.current-back)%historyBins].net[d])
			sum += net
			squares += net * net
		}
		mean := sum / float64(bins)
		deviation := math.Sqrt(max(squares/float64(bins)-mean*mean, 0))
		expected[d] = int64(max(horizonBins*mean+deviations*math.Sqrt(horizonBins)*deviation, 0))
	}
	return expected
}

// Expected returns what urgent work is expected to need within the next 0.5 s beyond what it releases: nothing while the
// history is too short, or if no urgent work has arrived for some time.
func (fc *Forecast) Expected(now time.Duration) size.Size {
	fc.bin(now)
	if now-fc.since < warmUp || fc.tasks == 0 || now-fc.lastArrival >= quietAfter {
		return size.Size{}
	}
	return fc.expected
}

// Update begins a plan: it determines how much is kept, and how much of the given workers is free. Workers are yielded
// with their capacity and their free capacity.
func (fc *Forecast) Update(now time.Duration, workers iter.Seq2[size.Size, size.Size]) {
	blocked := min(fc.deferredSize.Processors(), fc.Reserved().Processors())
	fc.unused += time.Duration(blocked) * (now - fc.updatedAt) / milliPerCore
	fc.spared = 0
	if fc.deferred > 0 {
		fc.spared = min(fc.kept, fc.free)
	}
	fc.updatedAt, fc.deferred, fc.deferredSize = now, 0, size.Size{}
	fc.kept, fc.free = 0, 0
	expected := fc.Expected(now)
	if expected.IsZero() {
		return
	}
	fc.typical = size.Size{}
	for d := range fc.typical {
		fc.typical[d] = fc.arrived[d] / fc.tasks
	}
	var capacity size.Size
	for whole, free := range workers {
		capacity = capacity.Add(whole)
		fc.free += free.FitCount(fc.typical)
	}
	wanted := 0
	for d, need := range fc.typical {
		capacity[d] = int64(maxShare * float64(capacity[d]))
		if need > 0 {
			wanted = max(wanted, int((expected[d]+need-1)/need))
		}
	}
	fc.kept = min(wanted, capacity.FitCount(fc.typical))
}

// milliPerCore is the number of thousandths of a core, the unit of size.Size, in a core.
const milliPerCore = 1000

// Loss returns how many urgent tasks fewer a worker has room for once a task has taken its need of what is free there.
func (fc *Forecast) Loss(free, need size.Size) int {
	return free.FitCount(fc.typical) - free.Sub(need).FitCount(fc.typical)
}

// Started records that a task with the given need has started on a worker that had the given free capacity before.
func (fc *Forecast) Started(urgent bool, free, need size.Size) {
	if fc.kept == 0 {
		return
	}
	loss := fc.Loss(free, need)
	if urgent && fc.spared > 0 {
		fc.urgentStarts++
		fc.spared -= loss
	}
	fc.free -= loss
}

// Allows reports whether deferrable tasks may start that take the room of a number of urgent tasks. Those that take the
// room of none always may.
func (fc *Forecast) Allows(loss int) bool {
	return fc.kept == 0 || loss <= 0 || fc.free-loss >= fc.kept
}

// Exhausted reports whether no deferrable task with the given need may start: no more is free than is kept, and the task
// needs at least as much of something as a typical urgent task. This also defers a step that would cost urgent tasks
// nothing on a worker that is short of something else.
func (fc *Forecast) Exhausted(need size.Size) bool {
	if fc.kept == 0 || fc.free > fc.kept {
		return false
	}
	for d, typical := range fc.typical {
		if typical > 0 && need[d] >= typical {
			return true
		}
	}
	return false
}

// Deferred records that tasks of a step, each with the given need, were not started because of the capacity kept.
func (fc *Forecast) Deferred(need size.Size, tasks int) {
	fc.deferred++
	fc.deferredSize = fc.deferredSize.Add(need.Times(int64(tasks)))
}

// Kept returns how much is to be kept free as of the last update.
func (fc *Forecast) Kept() size.Size { return fc.typical.Times(int64(fc.kept)) }

// Reserved returns how much of that is free.
func (fc *Forecast) Reserved() size.Size {
	return fc.typical.Times(int64(min(fc.kept, max(fc.free, 0))))
}

// DeferredSteps returns the number of steps deferred since the last update.
func (fc *Forecast) DeferredSteps() int { return fc.deferred }

// Unused returns for how long deferrable tasks could have used a core that was kept free, summed over all cores.
func (fc *Forecast) Unused() time.Duration { return fc.unused }

// UrgentStarts returns the number of starts of urgent tasks on capacity that deferrable steps had left free.
func (fc *Forecast) UrgentStarts() int { return fc.urgentStarts }
