// Package backoff computes exponentially growing delays between retries.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is a delay that doubles with each retry.
type Backoff struct {
	// Initial is the delay after the first attempt, Max the longest delay.
	Initial, Max time.Duration
}

// Delay returns the delay after a number of earlier attempts, not counting the last one: Initial for 0 and below.
func (bo Backoff) Delay(attempts int) time.Duration {
	delay := bo.Initial
	for range attempts {
		if delay >= bo.Max/2 {
			return bo.Max
		}
		delay *= 2
	}
	return min(delay, bo.Max)
}

// Jittered returns a random delay between half of Delay and all of it, so that clients that failed together
// do not retry together.
func (bo Backoff) Jittered(attempts int) time.Duration {
	delay := bo.Delay(attempts)
	return delay/2 + rand.N(delay/2)
}
