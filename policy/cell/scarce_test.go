package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/work"
)

// scarceStreams are loads of workers with eight accelerators: tasks that need up to a whole
// worker and have little time to spare, on a third of the workers, and small ones with much.
func scarceStreams(workers int) []stream {
	every := func(perSecond float64) time.Duration {
		const like = 13 // workers that the figures are for
		return time.Duration(float64(time.Second) * like / (perSecond * float64(workers)))
	}
	return []stream{
		{
			queue: work.Queue{Name: "wide", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true,
				AdviceBase: 490 * time.Millisecond, AdviceEach: 7 * time.Millisecond},
			each: every(1.7), width: 1.5, most: 9, cores: 31, memory: 45000, accelerators: []int64{2, 4, 8, 8},
			run: 3600 * time.Millisecond, saves: 0.9, off: 0.2, good: 0.3,
		},
		{
			queue: work.Queue{Name: "small", Service: "svc", Priority: 2, Attempts: 4, Stretch: 4, Target: 3 * time.Second, Advised: true,
				AdviceBase: 140 * time.Millisecond, AdviceEach: 2 * time.Millisecond},
			each: every(1.8), width: 4.1, most: 20, cores: 5.6, memory: 11000, accelerators: []int64{1},
			run: 3800 * time.Millisecond, saves: 0.8, off: 0.2, good: 0.45,
		},
	}
}

// TestScarceAccelerators plays a day on which three quarters of the accelerators are asked
// for, and checks how many callers of each kind have their jobs in time.
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
				bd := newEquippedDay(seed, tt.workers, tt.nodes, 8, scarceStreams(tt.workers))
				bd.pass(time.Minute, true)
				bd.pass(20*time.Second, false)
				inTime, largest := bd.inTime(0)
				patient, _ := bd.inTime(1)
				t.Logf("wide in time %.3f, of the largest tenth %.3f, small %.3f; %d questions, %d put off", inTime, largest, patient, bd.questions, bd.misses)
				wide, small = wide+inTime/days, small+patient/days
			}
			t.Logf("mean: wide %.3f, small %.3f", wide, small)
			is.True(wide >= tt.wide)
			is.True(small >= tt.small)
		})
	}
}
