package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWideGangsOnTime simulates 1,100 workers with gangs of 40 tasks on average and up to 240, each allowed on a
// quarter of the workers. A gang of 91 tasks that was allowed on 72 workers, after three successive advice
// requests in 4.4 s, had slots for 89 tasks. Before it had more, the first tickets expired, and the fourth and fifth
// requests asked about new workers instead of renewing them. The gang had not begun 7.4 s after its turn, with most of
// the capacity free.
func TestWideGangsOnTime(t *testing.T) {
	is := is.New(t)
	const seed, workers, nodes = 1, 1100, 147
	bd := newLoadTestbed(seed, workers, nodes, largeStreams(workers))
	bd.advance(30*time.Second, true)
	bd.advance(drainTime, false)
	count, oldest := bd.waiting()
	all, largest := bd.onTimeShare(0)
	deferrable, _ := bd.onTimeShare(1)
	urgent, _ := bd.onTimeShare(2)
	t.Logf("on time: gangs %.3f, of the largest tenth %.3f, deferrable jobs %.3f, urgent %.3f; %d jobs waiting, the oldest for %s",
		all, largest, deferrable, urgent, count, oldest)
	t.Logf("%d advice requests, %d deferred, advisor time %v, longest wait of a gang %s", bd.requests, bd.deferred, bd.advisorTime, bd.longestStartDelay(0))
	is.Equal(count, 0)
	is.True(all >= 0.8)
}
