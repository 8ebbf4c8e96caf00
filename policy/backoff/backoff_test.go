package backoff_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tackbeam.example/policy/backoff"
)

func ExampleBackoff() {
	bo := backoff.Backoff{Initial: 50 * time.Millisecond, Max: 800 * time.Millisecond}
	fmt.Println(bo.Delay(0), bo.Delay(1), bo.Delay(4), bo.Delay(9))
	// Output: 50ms 100ms 800ms 800ms
}

// TestDelay checks that the delay stays between the initial and the maximum one for any number of attempts.
func TestDelay(t *testing.T) {
	for name, tc := range map[string]struct {
		bo       backoff.Backoff
		attempts int
		want     time.Duration
	}{
		"negative":                          {backoff.Backoff{Initial: 5, Max: 80}, -3, 5},
		"many attempts":                     {backoff.Backoff{Initial: 5, Max: 80}, math.MaxInt, 80},
		"maximum is no power of 2 times":    {backoff.Backoff{Initial: 30, Max: 100}, 2, 100},
		"maximum is the longest duration":   {backoff.Backoff{Initial: time.Hour, Max: math.MaxInt64}, 100, math.MaxInt64},
		"initial delay is over the maximum": {backoff.Backoff{Initial: 90, Max: 80}, 0, 80},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.bo.Delay(tc.attempts); got != tc.want {
				t.Errorf("%v after %d attempts, want %v", got, tc.attempts, tc.want)
			}
		})
	}
}

// TestJittered checks that delays are between half of the full delay and all of it.
func TestJittered(t *testing.T) {
	bo := backoff.Backoff{Initial: 20 * time.Millisecond, Max: 2 * time.Second}
	for try := range 200 {
		full := bo.Delay(try % 10)
		if got := bo.Jittered(try % 10); got < full/2 || got > full {
			t.Errorf("got %v, want between half of %v and all of it", got, full)
		}
	}
}
