package bootclock_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/bootclock"
)

// TestSuspension advances the monotonic clock, the wall clock and the time since boot as given by each
// case and checks that the clock includes suspensions and ignores changes of the wall clock.
func TestSuspension(t *testing.T) {
	const elapsed = 100 * time.Millisecond
	tests := map[string]struct {
		mono, wall, boot time.Duration
		want             time.Duration
	}{
		"no suspension":                {elapsed, elapsed, elapsed, elapsed},
		"suspended for half a second":  {0, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		"suspended for 20 s":           {elapsed, 20*time.Second + elapsed, 20*time.Second + elapsed, 20*time.Second + elapsed},
		"wall clock steps forward":     {elapsed, 5 * time.Second, elapsed, elapsed},
		"wall clock steps back":        {elapsed, -5 * time.Second, elapsed, elapsed},
		"suspended and wall clock set": {2 * time.Second, 2 * time.Second, 8 * time.Second, 8 * time.Second},
		"readings differ slightly":     {elapsed, elapsed, elapsed + 300*time.Microsecond, elapsed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mono, boot time.Duration
			wall := 50 * 365 * 24 * time.Hour
			cl, err := bootclock.NewForTest(clockwork.NewFakeClock(),
				func() (time.Duration, time.Duration) { return mono, wall },
				func() (time.Duration, error) { return time.Hour + boot, nil })
			is.NoErr(err)
			start, wallBefore := cl.Now(), bootclock.Wall(cl)
			mono, wall, boot = mono+tt.mono, wall+tt.wall, boot+tt.boot
			is.Equal(cl.Since(start), tt.want)
			is.Equal(cl.Until(start.Add(time.Minute)), time.Minute-tt.want)
			is.Equal(bootclock.Wall(cl)-wallBefore, tt.wall)
		})
	}
}

// TestSlowReadings guards against counting a delay between the readings of two clocks as a suspension.
// Such a delay occurs when the process is preempted between them. A later suspension is still detected.
func TestSlowReadings(t *testing.T) {
	is := is.New(t)
	var mono, suspended, readDelay time.Duration
	cl, err := bootclock.NewForTest(clockwork.NewFakeClock(),
		func() (time.Duration, time.Duration) { return mono, mono + suspended },
		func() (time.Duration, error) {
			mono += readDelay
			return mono + suspended, nil
		})
	is.NoErr(err)
	readDelay = 300 * time.Millisecond
	for range 20 {
		mono += 2 * time.Second
		cl.Now()
		is.Equal(cl.Suspended(), time.Duration(0))
	}
	suspended = 10 * time.Second
	is.True(cl.Suspended() > 9*time.Second)
	is.True(cl.Suspended() <= 10*time.Second)
}

// TestBootTimeUnavailable checks a system that does not provide the time since boot: the clock reports the
// error and follows the monotonic clock.
func TestBootTimeUnavailable(t *testing.T) {
	is := is.New(t)
	mono := time.Duration(0)
	none := errors.New("no such clock")
	cl, err := bootclock.NewForTest(clockwork.NewFakeClock(),
		func() (time.Duration, time.Duration) { return mono, mono },
		func() (time.Duration, error) { return 0, none })
	is.Equal(err, none)
	start := cl.Now()
	mono = 3 * time.Second
	is.Equal(cl.Since(start), 3*time.Second)
}

// TestSystemClock checks that the clock based on the system's clocks advances and detects no suspension.
func TestSystemClock(t *testing.T) {
	is := is.New(t)
	cl, err := bootclock.New()
	is.NoErr(err)
	start := cl.Now()
	is.True(cl.Since(start) >= 0)
	is.True(cl.Since(start) < time.Minute)
	is.True(bootclock.Wall(cl) > 50*365*24*time.Hour)
}

// BenchmarkNow compares Now with the system's clock.
func BenchmarkNow(b *testing.B) {
	cl, err := bootclock.New()
	if err != nil {
		b.Fatal(err)
	}
	for name, read := range map[string]func() time.Time{"including suspensions": cl.Now, "system": time.Now} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				read()
			}
		})
	}
}
