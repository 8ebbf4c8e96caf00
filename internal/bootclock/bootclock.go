// Package bootclock is a clock that counts the time in which the VM was suspended. The steady
// clock stands still meanwhile, so that a node which wakes would take its lease to hold, and its
// copies to be fresh, for as long as before.
package bootclock

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// stepped is by how much the time of day moves against the steady clock before the time since
	// boot is read: a suspension shows there at once. Both come with one reading; that of the time
	// since boot is a system call, which a node would make some 2,000 times a second.
	stepped = 5 * time.Millisecond
	// lookEvery is the longest time without such a reading: a step of the time of day may hide a
	// suspension.
	lookEvery = time.Second
	// noise is how far two readings of one moment may be apart.
	noise = time.Millisecond
)

// Clock is a clock whose Now, Since and Until count suspensions. Its timers do not: what they
// begin has to look at the clock.
type Clock struct {
	clockwork.Clock
	epoch time.Time
	// read returns the steady time since epoch and the time of day since 1970, boot the time since
	// boot. They are seams.
	read func() (steady, wall time.Duration)
	boot func() (time.Duration, error)

	mu sync.Mutex
	// base is what the time since boot was ahead of the steady clock at first.
	base time.Duration
	// offset is the time of day less the steady time, when the time since boot was last read, at
	// looked.
	offset, looked time.Duration
	suspended      time.Duration
}

// New returns a clock on that of the system. It returns an error where the system does not
// tell the time since boot; the clock then counts no suspension.
func New() (*Clock, error) {
	cl := &Clock{Clock: clockwork.NewRealClock(), epoch: time.Now(), boot: sinceBoot}
	cl.read = func() (steady, wall time.Duration) {
		now := time.Now()
		return now.Sub(cl.epoch), time.Duration(now.UnixNano())
	}
	return cl, cl.begin()
}

// NewForTest returns a clock for tests, on readings of their own.
func NewForTest(clock clockwork.Clock, read func() (steady, wall time.Duration), boot func() (time.Duration, error)) (*Clock, error) {
	cl := &Clock{Clock: clock, epoch: clock.Now(), read: read, boot: boot}
	return cl, cl.begin()
}

func (cl *Clock) begin() error {
	steady, wall := cl.read()
	boot, err := cl.boot()
	// The base may be too much by the time between the readings, so that too little is seen later,
	// never too much.
	cl.base, cl.offset, cl.looked = boot-steady, wall-steady, steady
	return err
}

// sinceBoot reads the system's time since boot, suspensions included.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns a time to be compared with others of this clock only: its time of day is that of
// the start, moved by what has passed. Wall tells the time of day.
func (cl *Clock) Now() time.Time {
	steady, wall := cl.read()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if moved := wall - steady - cl.offset; moved > stepped || moved < -stepped || steady-cl.looked > lookEvery {
		cl.look(steady, wall)
	}
	return cl.epoch.Add(steady + cl.suspended)
}

// look reads the time since boot. The caller holds the lock.
func (cl *Clock) look(steady, wall time.Duration) {
	cl.offset, cl.looked = wall-steady, steady
	boot, err := cl.boot()
	if err != nil {
		return // New has said so
	}
	// The steady clock is read after the time since boot, so that time which passes between the two
	// is never taken for a suspension: a busy process may lose the processor there.
	after, _ := cl.read()
	if ahead := boot - after - cl.base; ahead > cl.suspended+noise {
		cl.suspended = ahead
	}
}

// Since returns the time that has passed since a time of this clock.
func (cl *Clock) Since(at time.Time) time.Duration { return cl.Now().Sub(at) }

// Until returns the time that is left to a time of this clock.
func (cl *Clock) Until(at time.Time) time.Duration { return at.Sub(cl.Now()) }

// Suspended returns for how long the VM was suspended since the clock began.
func (cl *Clock) Suspended() time.Duration {
	cl.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.suspended
}

// Wall returns the time of day since 1970 that belongs to a clock.
func Wall(clock clockwork.Clock) time.Duration {
	if cl, ok := clock.(*Clock); ok {
		_, wall := cl.read()
		return wall
	}
	return time.Duration(clock.Now().UnixNano())
}
