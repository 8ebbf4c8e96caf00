// Package loop runs work at a steady period.
package loop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/wake"
)

// Every calls act each period until the context ends.
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

// Pacer calls an act at a steady period for as long as there is something to do,
// and sleeps otherwise, so that a node at rest does not wake up for nothing.
type Pacer struct{ kick wake.Signal }

// NewPacer returns a pacer that sleeps.
func NewPacer() *Pacer { return &Pacer{kick: wake.New()} }

// Kick wakes the pacer; it does not wait.
func (pc *Pacer) Kick() {
	pc.kick.Notify()
}

// Run calls act each period after a kick, until act reports that nothing is left
// to do, and sleeps until the next kick. It ends with the context.
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

// Sleep waits, and reports false where the context ended first.
func Sleep(ctx context.Context, clock clockwork.Clock, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(pause):
		return ctx.Err() == nil
	}
}
