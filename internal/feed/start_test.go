package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSimultaneousStart starts all nodes at once, as after a power failure, with a configuration of 5,000 routes.
// Normally 43 nodes have it after 0.5 s, and the store sends 7 MB. For 1,000 nodes it took 3.1 to 4.1 s and 372 to
// 499 MB, depending on the random retries, because a reader that has no version yet counts as failed. Copies from
// the store for all of them, 1,367 MB, would take 11 s.
func TestSimultaneousStart(t *testing.T) {
	cases := map[string]struct {
		fast, small int
		within      time.Duration
		sent        int // maximum sent by the store, in MB
	}{
		"43 nodes":    {6, 37, 1500 * time.Millisecond, 10},
		"1,000 nodes": {140, 860, 7 * time.Second, 800},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, tc.fast, tc.small, 5000)
				took := bd.awaitActive(time.Minute)
				sent := bd.out.count()
				t.Logf("active after %v; store sent %.1f MB", took, float64(sent)/1e6)
				is.True(took <= tc.within)
				is.True(sent <= tc.sent*1_000_000)
			})
		})
	}
}
