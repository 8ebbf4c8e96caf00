package planner

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Without these limits, a new planner connects to thousands of workers at once. That starves its own lease renewals of
// CPU time for seconds, and the lease expires.
const (
	// maxUnansweredHolds is the number of slots for holds to workers that have not answered this planner.
	maxUnansweredHolds = 64
	// holdSlotTimeout is the longest time a hold occupies a slot, so that dead workers do not delay the others.
	holdSlotTimeout = 100 * time.Millisecond
)

// holdLimiter limits concurrent holds to workers that have not answered this planner. Use newHoldLimiter to create one.
type holdLimiter struct {
	clock clockwork.Clock
	slots chan struct{}
}

func newHoldLimiter(clock clockwork.Clock) *holdLimiter {
	return &holdLimiter{clock: clock, slots: make(chan struct{}, maxUnansweredHolds)}
}

// acquire waits for a free slot and returns a function that releases it, which may be called more than once. The slot
// is also released after holdSlotTimeout. It returns false if ctx is done first.
func (hl *holdLimiter) acquire(ctx context.Context) (release func(), ok bool) {
	select {
	case hl.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	release = sync.OnceFunc(func() { <-hl.slots })
	hl.clock.AfterFunc(holdSlotTimeout, release)
	return release, true
}
