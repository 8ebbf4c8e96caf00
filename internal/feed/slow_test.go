package feed_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestVerySlowStore guards against nodes that never get a change because the store takes longer than the initial
// timeout to begin each answer.
func TestVerySlowStore(t *testing.T) {
	for name, tc := range map[string]struct {
		storeDelay time.Duration
		more       int
	}{
		"answers after 0.6 s, one route":   {600 * time.Millisecond, 1},
		"answers after 0.6 s, many routes": {600 * time.Millisecond, 1400},
		"answers after 1.8 s, one route":   {1800 * time.Millisecond, 1},
		"answers after 1.8 s, many routes": {1800 * time.Millisecond, 1400},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 1, 2, 5000)
				if took := bd.awaitActive(time.Minute); took >= time.Minute {
					t.Fatal("first version not active after one minute")
				}
				time.Sleep(5 * time.Second)
				bd.set(func() { bd.storeDelay = tc.storeDelay })
				time.Sleep(5 * time.Second)
				bd.write(tc.more, 1)
				limit := 4*tc.storeDelay + maxDelay
				if took := bd.awaitActive(time.Minute); took > limit {
					t.Errorf("change active after %v, want at most %v", took, limit)
				}
			})
		})
	}
}
