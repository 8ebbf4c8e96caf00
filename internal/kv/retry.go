package kv

import (
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"
)

// Backoff gives the pauses between tries of a call that fails. They stay short while the service is away, so that
// its return is noticed at once, and double while the calls of all nodes are over its rate: with short ones
// the nodes keep each other over it for ever. The zero value is ready.
type Backoff struct{ limited int }

var (
	// awayPause is the pause while the service is away.
	awayPause = backoff.Backoff{Initial: 80 * time.Millisecond, Max: 80 * time.Millisecond}
	// limitedPause is the pause while calls are over its rate.
	limitedPause = backoff.Backoff{Initial: 160 * time.Millisecond, Max: 5 * time.Second}
)

// Next returns the pause after a try that ended with an error.
func (rt *Backoff) Next(err error) time.Duration {
	if !errors.Is(err, ErrRateLimited) {
		rt.limited = 0
		return awayPause.Jittered(0)
	}
	rt.limited++
	return limitedPause.Jittered(rt.limited - 1)
}

// Reset takes in that a try did.
func (rt *Backoff) Reset() { rt.limited = 0 }
