// Package runtimes keeps histograms of how long the tasks of each workload ran, so that planning does not
// depend on declared run times.
//
// They only affect the order and the planning of work. Workers are never overcommitted because of them:
// resources are committed by declared sizes.
package runtimes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in milliseconds, 1 ms to two days, and their significant figures: 1, which
// distinguishes values to 5%.
const (
	minValue = 1
	maxValue = 48 * 60 * 60 * 1000
	figures  = 1
)

// minRuns is the number of runs from which an estimate is given.
const minRuns = 5

// halvingCount is the number of runs at which the counts are halved, so that estimates follow a workload
// that changes.
const halvingCount = 512

// Histograms holds the run times of workloads. It is not safe for concurrent use.
type Histograms struct {
	workloads map[string]*hdrhistogram.Histogram
}

// New returns empty histograms.
func New() *Histograms { return &Histograms{workloads: map[string]*hdrhistogram.Histogram{}} }

// Record adds the run time of a task of a workload.
func (hs *Histograms) Record(workload string, run time.Duration) {
	hi, ok := hs.workloads[workload]
	if !ok {
		hi = hdrhistogram.New(minValue, maxValue, figures)
		hs.workloads[workload] = hi
	}
	if hi.TotalCount() >= halvingCount {
		hs.workloads[workload] = halved(hi)
		hi = hs.workloads[workload]
	}
	_ = hi.RecordValue(max(minValue, min(run.Milliseconds(), maxValue))) // cannot fail: the value is in range
}

// halved returns a histogram with about half of each count.
func halved(hi *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	half := hdrhistogram.New(minValue, maxValue, figures)
	for _, bar := range hi.Distribution() {
		if bar.Count > 1 {
			_ = half.RecordValues(bar.To, bar.Count/2) // cannot fail: the value is in range
		}
	}
	return half
}

// Quantile returns the run time that a fraction q (0 to 1) of the runs did not exceed, or false if too few
// runs are recorded.
func (hs *Histograms) Quantile(workload string, q float64) (time.Duration, bool) {
	const percent = 100
	hi, ok := hs.workloads[workload]
	if !ok || hi.TotalCount() < minRuns {
		return 0, false
	}
	return time.Duration(hi.ValueAtQuantile(q*percent)) * time.Millisecond, true
}
