package planner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/timing"
)

// measures counts what the planner does, and times it.
type measures struct{ registry metrics.Registry }

func (ms measures) count(name string) {
	metrics.GetOrRegisterCounter(name, ms.registry).Inc(1)
}

func (ms measures) gauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, ms.registry).Update(int64(value))
}

func (ms measures) timed(name string, took time.Duration) { timing.Observe(ms.registry, name, took) }

// start notes the outcome of a start.
func (ms measures) start(took time.Duration, refusal cell.Refusal, err error) {
	ms.timed("planner.start", took)
	switch {
	case err != nil:
		ms.count("planner.start.lost")
	case refusal != "":
		ms.count("planner.start.refused." + string(refusal))
	}
}
