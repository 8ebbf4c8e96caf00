package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/feature"
)

// TestHeadroomIsReported guards against operators who cannot see whether capacity is kept for urgent work: headroom that
// is kept without the feature or without a trace, or reported for longer than it is kept.
func TestHeadroomIsReported(t *testing.T) {
	for name, features := range map[string]feature.Set{"enabled": feature.UrgentHeadroom, "not enabled": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var ll logLines
				bd := newTestbed(t, 100*time.Millisecond, "w1", "w2", "w3", "w4")
				bd.logged, bd.features = ll.add, features
				defer bd.end()
				nd := bd.addNode("n1")
				for n := range 20 {
					bd.submit(nd, fmt.Sprint("urgent", n), 4)
					time.Sleep(250 * time.Millisecond)
				}
				cores := func() int64 { return metrics.GetOrRegisterGauge("planner.headroom_cores", nd.meters).Value() }
				enabled := features != 0
				is.Equal(cores() > 0, enabled)
				is.Equal(ll.has(`"Headroom is kept for urgent work."`, `"service"="svc"`), enabled)
				is.True(!ll.has(`"Headroom for urgent work is released."`))
				time.Sleep(3 * time.Second)
				is.Equal(cores(), int64(0))
				is.Equal(ll.has(`"Headroom for urgent work is released."`, `"service"="svc"`), enabled)
			})
		})
	}
}
