// Package timing records durations in histograms.
package timing

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values that a histogram keeps to compute its quantiles.
const sampleSize = 512

// Observe adds a duration to the histogram with the given name. It does not use the timers of the
// metrics library, because these run a ticker for rates that nothing reads.
func Observe(registry metrics.Registry, name string, took time.Duration) {
	newHistogram := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	if hi, ok := registry.GetOrRegister(name, newHistogram).(metrics.Histogram); ok {
		hi.Update(int64(took))
	}
}
