// Package loop calls functions periodically.
package loop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/wake"
)

// Every calls act once per period until the context is cancelled.
func Every(ctx context.Context, clock clockwork.Clock, period time.Duration, act func()) {
	tick := clock.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			act()
		}
	}
}

// Pacer calls a function periodically while there is work to do and sleeps otherwise, so that an idle
// node does not wake up needlessly.
type Pacer struct{ kick wake.Signal }

// NewPacer returns a sleeping pacer.
func NewPacer() *Pacer { return &Pacer{kick: wake.New()} }

// Kick wakes the pacer. It does not block.
func (pc *Pacer) Kick() {
	pc.kick.Notify()
}

// Run waits for a kick, then calls act once per period until act reports that no work is left, and
// waits for the next kick. It returns when the context is cancelled.
func (pc *Pacer) Run(ctx context.Context, clock clockwork.Clock, period time.Duration, act func() (more bool)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-pc.kick:
		}
		for more := true; more; {
			if !Sleep(ctx, clock, period) {
				return
			}
			more = act()
		}
	}
}

// Sleep waits for a duration and returns false if the context is cancelled before it has passed.
func Sleep(ctx context.Context, clock clockwork.Clock, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(pause):
		return ctx.Err() == nil
	}
}
