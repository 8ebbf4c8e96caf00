// Package loop runs work at a steady period.
package loop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
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

// Pause waits, and reports false where the context ended first.
func Pause(ctx context.Context, clock clockwork.Clock, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(pause):
		return ctx.Err() == nil
	}
}
