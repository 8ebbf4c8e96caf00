package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bounds on the backlog while four fifths of a cell's capacity are requested.
const (
	// maxStartDelay bounds the wait of a gang that fits into the empty cell.
	maxStartDelay = 30 * time.Second
	// drainTime is the time after the last job within which every accepted job has begun:
	// callers check 14 s after it.
	drainTime = 14 * time.Second
)

// TestBacklogDrains checks that gangs do not starve under sustained load. A wide gang that found too little
// capacity on the quarter of the workers it is allowed on became late and then ranked behind all steps that could
// still be on time. Capacity was reserved only for the first three gangs in that order, so small tasks took each
// core that came free, while the gang's advice requests crowded out those of gangs that had capacity. A new planner did
// not know the jobs' ages and restarted the order.
//
// Gangs accepted in the first seconds had not begun two minutes later, with half of the capacity free. With one
// planner 52 gangs waited after 60 s: the oldest, of 61, 23 and 89 tasks, for 30 to 35 s, all late and without a
// reservation, one after 45 advice requests, with 61% of the processors in use.
func TestBacklogDrains(t *testing.T) {
	tests := map[string]struct{ noPlanner time.Duration }{
		"one planner":         {},
		"planner is replaced": {noPlanner: 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seed, workers, nodes = 1, 350, 43
			bd := newLoadTestbed(seed, workers, nodes, mixedStreams(1))
			for range 10 {
				bd.advance(10*time.Second, true)
				count, oldest := bd.waiting()
				t.Logf("%s: utilization %.2f, %d jobs waiting, the oldest for %s, %d advice requests", bd.now, bd.utilization(), count, oldest, bd.requests)
				is.True(oldest <= maxStartDelay)
			}
			if tt.noPlanner > 0 {
				bd.noPlanner = true
				bd.advance(tt.noPlanner, false)
				bd.replacePlanner()
			}
			bd.advance(drainTime, false)
			count, oldest := bd.waiting()
			t.Logf("%s: utilization %.2f, %d jobs waiting, the oldest for %s", bd.now, bd.utilization(), count, oldest)
			is.Equal(count, 0)
			all, largest := bd.onTimeShare(0)
			t.Logf("gangs on time %.2f, of the largest tenth %.2f", all, largest)
			deferrable, deferrableLargest := bd.onTimeShare(1)
			t.Logf("deferrable jobs on time %.3f, of the largest tenth %.3f", deferrable, deferrableLargest)
		})
	}
}
