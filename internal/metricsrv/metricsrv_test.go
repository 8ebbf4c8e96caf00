package metricsrv_test

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/tackbeam/internal/metricsrv"
	"tackbeam.example/tackbeam/internal/timing"
)

// ExampleText prints a counter, a gauge and a histogram.
func ExampleText() {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("callers.refused.unavailable", registry).Inc(3)
	metrics.GetOrRegisterGauge("planner.jobs", registry).Update(12)
	timing.Observe(registry, "store.commit", 4*time.Millisecond)
	fmt.Print(string(metricsrv.Text(registry)))
	// Output:
	// tackbeam_callers_refused_unavailable_total 3
	// tackbeam_planner_jobs 12
	// tackbeam_store_commit_seconds_count 1
	// tackbeam_store_commit_seconds{quantile="0.5"} 0.004000
	// tackbeam_store_commit_seconds{quantile="0.9"} 0.004000
	// tackbeam_store_commit_seconds{quantile="0.99"} 0.004000
}
