// Package timing keeps how long things took as histograms.
package timing

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// reservoir is the number of values that a histogram draws its quantiles from.
const reservoir = 512

// Observe adds a time to the histogram of a name. It uses no timer of the metrics
// library: those run a clock of their own for rates that nobody reads.
func Observe(registry metrics.Registry, name string, took time.Duration) {
	fresh := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(reservoir)) }
	if hi, ok := registry.GetOrRegister(name, fresh).(metrics.Histogram); ok {
		hi.Update(int64(took))
	}
}
