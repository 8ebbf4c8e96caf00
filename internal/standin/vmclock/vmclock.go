// Package vmclock is a stand-in of the clocks of a VM that is suspended, for tests.
package vmclock

import (
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/bootclock"
)

// New returns a clock of a VM whose steady time is that of another clock. For how long the VM was
// suspended is added to its time of day and to its time since boot.
func New(steady clockwork.Clock, suspended func() time.Duration) (*bootclock.Clock, error) {
	epoch := steady.Now()
	return bootclock.NewForTest(steady, func() (time.Duration, time.Duration) {
		now := steady.Now()
		return now.Sub(epoch), time.Duration(now.UnixNano()) + suspended()
	}, func() (time.Duration, error) { return steady.Since(epoch) + suspended(), nil })
}
