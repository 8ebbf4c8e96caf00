package bootclock_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/bootclock"
)

// TestSuspension lets the steady clock, the time of day and the time since boot pass as they do in
// each case, and reads the clock.
func TestSuspension(t *testing.T) {
	const usual = 100 * time.Millisecond
	tests := map[string]struct {
		steady, wall, boot time.Duration
		want               time.Duration
	}{
		"nothing but time":                   {usual, usual, usual, usual},
		"suspended for half a second":        {0, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		"suspended for 20 s":                 {usual, 20*time.Second + usual, 20*time.Second + usual, 20*time.Second + usual},
		"the time of day jumps ahead":        {usual, 5 * time.Second, usual, usual},
		"the time of day jumps back":         {usual, -5 * time.Second, usual, usual},
		"suspended, and the time of day set": {2 * time.Second, 2 * time.Second, 8 * time.Second, 8 * time.Second},
		"readings a little apart":            {usual, usual, usual + 300*time.Microsecond, usual},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var steady, boot time.Duration
			wall := 50 * 365 * 24 * time.Hour
			cl, err := bootclock.NewForTest(clockwork.NewFakeClock(),
				func() (time.Duration, time.Duration) { return steady, wall },
				func() (time.Duration, error) { return time.Hour + boot, nil })
			is.NoErr(err)
			began, wallBefore := cl.Now(), bootclock.Wall(cl)
			steady, wall, boot = steady+tt.steady, wall+tt.wall, boot+tt.boot
			is.Equal(cl.Since(began), tt.want)
			is.Equal(cl.Until(began.Add(time.Minute)), time.Minute-tt.want)
			is.Equal(bootclock.Wall(cl)-wallBefore, tt.wall)
		})
	}
}

// TestSlowReadings lets much time pass between the readings of the clocks, as in a process that
// loses the processor there. It is no suspension, and one that comes later is still seen.
func TestSlowReadings(t *testing.T) {
	is := is.New(t)
	var steady, suspended, between time.Duration
	cl, err := bootclock.NewForTest(clockwork.NewFakeClock(),
		func() (time.Duration, time.Duration) { return steady, steady + suspended },
		func() (time.Duration, error) {
			steady += between
			return steady + suspended, nil
		})
	is.NoErr(err)
	between = 300 * time.Millisecond
	for range 20 {
		steady += 2 * time.Second
		cl.Now()
		is.Equal(cl.Suspended(), time.Duration(0))
	}
	suspended = 10 * time.Second
	is.True(cl.Suspended() > 9*time.Second)
	is.True(cl.Suspended() <= 10*time.Second)
}

// TestWithoutBootTime has a system that does not tell the time since boot: that is said, and the
// clock goes by the steady one.
func TestWithoutBootTime(t *testing.T) {
	is := is.New(t)
	steady := time.Duration(0)
	none := errors.New("no such clock")
	cl, err := bootclock.NewForTest(clockwork.NewFakeClock(),
		func() (time.Duration, time.Duration) { return steady, steady },
		func() (time.Duration, error) { return 0, none })
	is.Equal(err, none)
	began := cl.Now()
	steady = 3 * time.Second
	is.Equal(cl.Since(began), 3*time.Second)
}

// TestSystem reads the system's clock, which goes on and was not suspended meanwhile.
func TestSystem(t *testing.T) {
	is := is.New(t)
	cl, err := bootclock.New()
	is.NoErr(err)
	began := cl.Now()
	is.True(cl.Since(began) >= 0)
	is.True(cl.Since(began) < time.Minute)
	is.True(bootclock.Wall(cl) > 50*365*24*time.Hour)
}

// BenchmarkNow reads the clock, and the system's alone.
func BenchmarkNow(b *testing.B) {
	cl, err := bootclock.New()
	if err != nil {
		b.Fatal(err)
	}
	for name, read := range map[string]func() time.Time{"counting suspensions": cl.Now, "system": time.Now} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				read()
			}
		})
	}
}
