package planner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/planner"
)

// TestAdviceBudget guards against a planner that does not tell its cell the number of nodes, so that the budget never
// limits requests, and against metrics of the budget without the feature.
func TestAdviceBudget(t *testing.T) {
	const steps = 40
	tests := map[string]struct {
		features feature.Set
		// least and most bound the number of requests, of a second each, that are sent in a second.
		least, most int
	}{
		"disabled": {least: steps, most: steps},
		// The time of two nodes that was saved up, what is added in a second, and a last request that exceeds it.
		"enabled": {features: feature.AdviceBudget, least: nodeCount, most: 2*nodeCount + 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, time.Minute, "w1")
				bd.features = tt.features
				requests := make(chan cell.AdviceRequest, steps)
				bd.advise = func(ctx context.Context, rq cell.AdviceRequest) (planner.Advice, error) {
					requests <- rq
					<-ctx.Done()
					return planner.Advice{}, ctx.Err()
				}
				bd.accepted.Advised, bd.accepted.Priority, bd.accepted.AdviceBase = true, 1, time.Second
				nd := bd.addNode("n1")
				bd.awaitLeader(nd)
				time.Sleep(time.Second) // a tick passes the number of nodes to the cell
				jb := &work.Job{ID: "j", Spec: "j", Queue: bd.accepted}
				for range steps {
					jb.Steps = append(jb.Steps, work.Step{Count: 1, Need: size.New(100, 100, 0), Estimate: time.Minute})
				}
				bd.submitJob(nd, jb)
				time.Sleep(time.Second)
				is.True(len(requests) <= tt.most)
				is.True(len(requests) >= tt.least)
				for _, name := range []string{"busy_ms", "deferred_for_budget"} {
					gauge, ok := nd.meters.Get("planner.advice." + name).(metrics.Gauge)
					is.Equal(ok, tt.features.Has(feature.AdviceBudget))
					is.True(!ok || gauge.Value() > 0)
				}
				bd.end()
			})
		})
	}
}
