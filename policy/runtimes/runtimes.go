// Package runtimes remembers how long the tasks of each workload have run, so that
// plans need not rest on what was declared.
//
// What is learned orders and plans work. It never lets a worker carry more than
// it has: room is committed by declared sizes.
package runtimes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what is told apart: a millisecond to two days, to 5%.
const (
	shortest = 1
	longest  = 48 * 60 * 60 * 1000
	figures  = 1
)

// enough is the number of runs from which an estimate is given.
const enough = 5

// recent is the number of runs after which older ones count half, so that a
// workload that changes is learned anew.
const recent = 512

// Histograms remembers the run times of workloads. It is not safe for concurrent use.
type Histograms struct {
	workloads map[string]*hdrhistogram.Histogram
}

// New returns an empty memory.
func New() *Histograms { return &Histograms{workloads: map[string]*hdrhistogram.Histogram{}} }

// Record takes in how long a task of a workload ran.
func (rn *Histograms) Record(workload string, run time.Duration) {
	hi, ok := rn.workloads[workload]
	if !ok {
		hi = hdrhistogram.New(shortest, longest, figures)
		rn.workloads[workload] = hi
	}
	if hi.TotalCount() >= recent {
		rn.workloads[workload] = halved(hi)
		hi = rn.workloads[workload]
	}
	_ = hi.RecordValue(max(shortest, min(run.Milliseconds(), longest))) // within the bounds
}

// halved returns a histogram with about half of each count.
func halved(hi *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	half := hdrhistogram.New(shortest, longest, figures)
	for _, bar := range hi.Distribution() {
		if bar.Count > 1 {
			_ = half.RecordValues(bar.To, bar.Count/2) // within the bounds
		}
	}
	return half
}

// Quantile returns the time within which a part q (0 to 1) of the runs ended, or
// false while too few are known.
func (rn *Histograms) Quantile(workload string, q float64) (time.Duration, bool) {
	const percent = 100
	hi, ok := rn.workloads[workload]
	if !ok || hi.TotalCount() < enough {
		return 0, false
	}
	return time.Duration(hi.ValueAtQuantile(q*percent)) * time.Millisecond, true
}
