package loop_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/loop"
)

// TestPacer kicks a pacer once. It acts until nothing is left, sleeps though time
// passes, and acts again after another kick, one that came while it was at work too.
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
		is.NoErr(clock.BlockUntilContext(ctx, 1)) // it waits for the period
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
