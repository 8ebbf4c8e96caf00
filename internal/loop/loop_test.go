package loop_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/loop"
)

// TestPacer checks that a pacer, once kicked, calls its function until no work is left, then sleeps
// although time passes, and works again after further kicks, including one that arrives during the work.
func TestPacer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewFakeClock()
	pc := loop.NewPacer()
	acts := make(chan int)
	done := make(chan struct{})
	go func() {
		defer close(done)
		left := 0
		pc.Run(ctx, clock, time.Second, func() bool {
			if left == 0 {
				left = 3
			}
			left--
			acts <- left
			return left > 0
		})
	}()
	step := func() int {
		is.NoErr(clock.BlockUntilContext(ctx, 1)) // the pacer waits for the period
		clock.Advance(time.Second)
		return <-acts
	}
	pc.Kick()
	for _, want := range []int{2, 1, 0} {
		is.Equal(step(), want)
	}
	clock.Advance(time.Hour)
	select {
	case <-acts:
		t.Error("acted without a kick")
	default:
	}
	pc.Kick()
	pc.Kick()
	is.Equal(step(), 2)
	cancel()
	<-done
}
