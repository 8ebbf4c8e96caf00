package planner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/timing"
)

// metricSet records the planner's counters, gauges and timings.
type metricSet struct{ registry metrics.Registry }

func (ms metricSet) count(name string) {
	metrics.GetOrRegisterCounter(name, ms.registry).Inc(1)
}

func (ms metricSet) gauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, ms.registry).Update(int64(value))
}

func (ms metricSet) observe(name string, took time.Duration) { timing.Observe(ms.registry, name, took) }

// start records the outcome of a start.
func (ms metricSet) start(took time.Duration, refusal cell.Refusal, err error) {
	ms.observe("planner.start", took)
	switch {
	case err != nil:
		ms.count("planner.start.lost")
	case refusal != "":
		ms.count("planner.start.refused." + string(refusal))
	}
}
