package backoff_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tackbeam.example/policy/backoff"
)

func ExampleBackoff() {
	pause := backoff.Backoff{Initial: 50 * time.Millisecond, Max: 800 * time.Millisecond}
	fmt.Println(pause.Delay(0), pause.Delay(1), pause.Delay(4), pause.Delay(9))
	// Output: 50ms 100ms 800ms 800ms
}

// TestAfter stays between the first and the longest pause, whatever the number of tries.
func TestAfter(t *testing.T) {
	for name, tc := range map[string]struct {
		pause backoff.Backoff
		tries int
		want  time.Duration
	}{
		"below 0":                        {backoff.Backoff{Initial: 5, Max: 80}, -3, 5},
		"many tries":                     {backoff.Backoff{Initial: 5, Max: 80}, math.MaxInt, 80},
		"longest is no power of 2 times": {backoff.Backoff{Initial: 30, Max: 100}, 2, 100},
		"longest is largest of all":      {backoff.Backoff{Initial: time.Hour, Max: math.MaxInt64}, 100, math.MaxInt64},
		"first is over the longest":      {backoff.Backoff{Initial: 90, Max: 80}, 0, 80},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.pause.Delay(tc.tries); got != tc.want {
				t.Errorf("%v after %d tries, want %v", got, tc.tries, tc.want)
			}
		})
	}
}

// TestJittered draws times of which none is below half of the pause or above it.
func TestJittered(t *testing.T) {
	pause := backoff.Backoff{Initial: 20 * time.Millisecond, Max: 2 * time.Second}
	for try := range 200 {
		whole := pause.Delay(try % 10)
		if got := pause.Jittered(try % 10); got < whole/2 || got > whole {
			t.Errorf("%v of %v", got, whole)
		}
	}
}
