// Package backoff gives the pauses between tries of something that fails again and again.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is a pause that doubles with each try.
type Backoff struct {
	// Initial is the pause after the first try, Most the longest.
	Initial, Max time.Duration
}

// Delay returns the pause after a number of tries before the last one: First for 0 and below.
func (bo Backoff) Delay(tries int) time.Duration {
	pause := bo.Initial
	for range tries {
		if pause >= bo.Max/2 {
			return bo.Max
		}
		pause *= 2
	}
	return min(pause, bo.Max)
}

// Jittered returns a time between half of that and the whole, so that those who failed together do not
// come back together.
func (bo Backoff) Jittered(tries int) time.Duration {
	pause := bo.Delay(tries)
	return pause/2 + rand.N(pause/2)
}
