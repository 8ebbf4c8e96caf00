// Package bootclock provides a clock that includes the time during which the VM was suspended. The
// monotonic clock stops during a suspension, so a resumed node would treat an expired lease as held
// and outdated copies of data as fresh.
package bootclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// wallStepThreshold is the shift of the wall clock against the monotonic clock that makes Now read the
	// time since boot. A suspension causes such a shift at once. One call returns both clocks, whereas
	// reading the time since boot is a system call, which a node would make some 2,000 times a second.
	wallStepThreshold = 5 * time.Millisecond
	// maxBootReadInterval is the longest time between two readings of the time since boot, because a step of
	// the wall clock may hide a suspension.
	maxBootReadInterval = time.Second
	// readTolerance is the difference allowed between readings of two clocks at the same moment.
	readTolerance = time.Millisecond
)

// Clock is a clock whose Now, Since and Until include suspensions. Its timers do not include them,
// so a timer's callback has to check the clock.
type Clock struct {
	clockwork.Clock
	epoch time.Time
	// read returns the monotonic time since epoch and the wall-clock time since 1970; boot returns the
	// time since boot. Tests replace both.
	read func() (mono, wall time.Duration)
	boot func() (time.Duration, error)

	mu sync.Mutex
	// baseline is the initial difference between the time since boot and the monotonic clock.
	baseline time.Duration
	// wallOffset is the wall-clock time minus the monotonic time at the last reading of the time since
	// boot; lastBootRead is the monotonic time of that reading.
	wallOffset, lastBootRead time.Duration
	suspended                time.Duration
}

// New returns a clock based on the system clock. If the system does not provide the time since boot,
// it returns an error together with a clock that does not detect suspensions.
func New() (*Clock, error) {
	cl := &Clock{Clock: clockwork.NewRealClock(), epoch: time.Now(), boot: sinceBoot}
	cl.read = func() (mono, wall time.Duration) {
		now := time.Now()
		return now.Sub(cl.epoch), time.Duration(now.UnixNano())
	}
	return cl, cl.initBaseline()
}

// NewForTest returns a clock for tests, with replaced readings of the system's clocks.
func NewForTest(clock clockwork.Clock, read func() (mono, wall time.Duration), boot func() (time.Duration, error)) (*Clock, error) {
	cl := &Clock{Clock: clock, epoch: clock.Now(), read: read, boot: boot}
	return cl, cl.initBaseline()
}

func (cl *Clock) initBaseline() error {
	mono, wall := cl.read()
	boot, err := cl.boot()
	// The time between the two readings may make the baseline too large. Suspensions are then
	// underestimated, never overestimated.
	cl.baseline, cl.wallOffset, cl.lastBootRead = boot-mono, wall-mono, mono
	return err
}

// sinceBoot returns the system's time since boot, including suspensions.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns a time that may only be compared with other times of this clock: it is the wall-clock
// time at the start plus the time that has passed since. Wall returns the current wall-clock time.
func (cl *Clock) Now() time.Time {
	mono, wall := cl.read()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if shift := wall - mono - cl.wallOffset; shift > wallStepThreshold || shift < -wallStepThreshold || mono-cl.lastBootRead > maxBootReadInterval {
		cl.readBootTime(mono, wall)
	}
	return cl.epoch.Add(mono + cl.suspended)
}

// readBootTime reads the time since boot and updates the suspended time. The caller holds the lock.
func (cl *Clock) readBootTime(mono, wall time.Duration) {
	cl.wallOffset, cl.lastBootRead = wall-mono, mono
	boot, err := cl.boot()
	if err != nil {
		return // New has returned this error already
	}
	// The monotonic clock is read after the time since boot, so that a delay between the two readings,
	// for example when the process is preempted, never counts as a suspension.
	after, _ := cl.read()
	if ahead := boot - after - cl.baseline; ahead > cl.suspended+readTolerance {
		cl.suspended = ahead
	}
}

// Since returns the time elapsed since a time of this clock.
func (cl *Clock) Since(at time.Time) time.Duration { return cl.Now().Sub(at) }

// Until returns the time remaining until a time of this clock.
func (cl *Clock) Until(at time.Time) time.Duration { return at.Sub(cl.Now()) }

// Suspended returns the total time for which the VM was suspended since the clock was created.
func (cl *Clock) Suspended() time.Duration {
	cl.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.suspended
}

// Wall returns a clock's wall-clock time since 1970.
func Wall(clock clockwork.Clock) time.Duration {
	if cl, ok := clock.(*Clock); ok {
		_, wall := cl.read()
		return wall
	}
	return time.Duration(clock.Now().UnixNano())
}
