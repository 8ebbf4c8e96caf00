package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShortJobsOnTime overloads a cell for a minute with jobs whose run times differ fourfold within a queue.
// If each job is predicted to run as long as the mean of its queue, short jobs, whose objectives are short, start
// too late.
func TestShortJobsOnTime(t *testing.T) {
	is := is.New(t)
	const workers, nodes = 350, 43
	bd := newLoadTestbed(1, workers, nodes, mixedStreams(1.25))
	bd.advance(time.Minute, true)
	bd.advance(drainTime, false)
	gangs, _ := bd.onTimeShare(0)
	deferrable, _ := bd.onTimeShare(1)
	t.Logf("on time: gangs %.3f, deferrable jobs %.3f", gangs, deferrable)
	is.True(gangs >= 0.64)
	is.True(deferrable >= 0.98)
}
