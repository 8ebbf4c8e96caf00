package kv

import (
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"
)

// Backoff computes the pauses between attempts of a failing call. They stay short while the store is unavailable, so
// that its recovery is noticed at once. They double while the calls of all nodes exceed the store's rate limit, because
// with short pauses the nodes would exceed it for ever. The zero value is ready to use.
type Backoff struct{ rateLimited int }

var (
	// unavailablePause is the pause while the store is unavailable.
	unavailablePause = backoff.Backoff{Initial: 80 * time.Millisecond, Max: 80 * time.Millisecond}
	// rateLimitedPause is the pause while calls exceed the rate limit.
	rateLimitedPause = backoff.Backoff{Initial: 160 * time.Millisecond, Max: 5 * time.Second}
)

// Next returns the pause after an attempt that failed with err.
func (bo *Backoff) Next(err error) time.Duration {
	if !errors.Is(err, ErrRateLimited) {
		bo.rateLimited = 0
		return unavailablePause.Jittered(0)
	}
	bo.rateLimited++
	return rateLimitedPause.Jittered(bo.rateLimited - 1)
}

// Reset must be called after a successful attempt.
func (bo *Backoff) Reset() { bo.rateLimited = 0 }
