package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/work"
)

// acceleratorStreams is a load for workers with eight accelerators: tasks that need up to a whole worker, have little
// slack and are allowed on a third of the workers, and small tasks with much slack.
func acceleratorStreams(workers int) []stream {
	every := func(perSecond float64) time.Duration {
		const like = 13 // workers for which the rates are given
		return time.Duration(float64(time.Second) * like / (perSecond * float64(workers)))
	}
	return []stream{
		{
			queue: work.Queue{Name: "wide", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true,
				AdviceBase: 490 * time.Millisecond, AdviceEach: 7 * time.Millisecond},
			interval: every(1.7), tasks: 1.5, maxTasks: 9, cores: 31, memory: 45000, accelerators: []int64{2, 4, 8, 8},
			runTime: 3600 * time.Millisecond, checkpointing: 0.9, estimateSpread: 0.2, allowedShare: 0.3,
		},
		{
			queue: work.Queue{Name: "small", Service: "svc", Priority: 2, Attempts: 4, Stretch: 4, Target: 3 * time.Second, Advised: true,
				AdviceBase: 140 * time.Millisecond, AdviceEach: 2 * time.Millisecond},
			interval: every(1.8), tasks: 4.1, maxTasks: 20, cores: 5.6, memory: 11000, accelerators: []int64{1},
			runTime: 3800 * time.Millisecond, checkpointing: 0.8, estimateSpread: 0.2, allowedShare: 0.45,
		},
	}
}

// TestScarceAccelerators simulates a load that requests three quarters of the accelerators, and checks the share of
// jobs of each kind that are on time.
func TestScarceAccelerators(t *testing.T) {
	tests := map[string]struct {
		workers, nodes int
		wide, small    float64
	}{
		"13 workers": {13, 9, 0.82, 0.95},
		"90 workers": {90, 30, 0.975, 0.98},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var wide, small float64
			const days = 4
			for seed := range uint64(days) {
				bd := newAcceleratorTestbed(seed, tt.workers, tt.nodes, 8, acceleratorStreams(tt.workers))
				bd.advance(time.Minute, true)
				bd.advance(20*time.Second, false)
				wideOnTime, largest := bd.onTimeShare(0)
				smallOnTime, _ := bd.onTimeShare(1)
				t.Logf("wide on time %.3f, of the largest tenth %.3f, small %.3f; %d advice requests, %d deferred", wideOnTime, largest, smallOnTime, bd.requests, bd.deferred)
				wide, small = wide+wideOnTime/days, small+smallOnTime/days
			}
			t.Logf("mean: wide %.3f, small %.3f", wide, small)
			is.True(wide >= tt.wide)
			is.True(small >= tt.small)
		})
	}
}
