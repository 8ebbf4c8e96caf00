// Package vmclock simulates the clocks of a VM that is suspended at times, for tests.
package vmclock

import (
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/bootclock"
)

// New returns the clock of a VM whose monotonic time is that of the clock steady. The time for which the VM was
// suspended is added to its wall-clock time and its time since boot.
func New(steady clockwork.Clock, suspended func() time.Duration) (*bootclock.Clock, error) {
	epoch := steady.Now()
	return bootclock.NewForTest(steady, func() (time.Duration, time.Duration) {
		now := steady.Now()
		return now.Sub(epoch), time.Duration(now.UnixNano()) + suspended()
	}, func() (time.Duration, error) { return steady.Since(epoch) + suspended(), nil })
}
