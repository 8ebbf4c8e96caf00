package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStartTogether has all nodes start at once, as after a loss of power, with a configuration of
// 5,000 routes: 43 nodes have it after 0.5 s, and the store sent 7 MB. 1,000 nodes had it after 3.1 to
// 4.1 s and 372 to 499 MB in six runs, by the luck of their retries: a reader that has no version yet
// counts as one that failed. Each copy from the store, 1,367 MB, would take 11 s.
func TestStartTogether(t *testing.T) {
	cases := map[string]struct {
		fast, small int
		within      time.Duration
		sent        int // MB by the store at the most
	}{
		"43 nodes":    {6, 37, 1500 * time.Millisecond, 10},
		"1,000 nodes": {140, 860, 7 * time.Second, 800},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, tc.fast, tc.small, 5000)
				took := bd.until(time.Minute)
				sent := bd.out.count()
				t.Logf("in force after %v; store sent %.1f MB", took, float64(sent)/1e6)
				is.True(took <= tc.within)
				is.True(sent <= tc.sent*1_000_000)
			})
		})
	}
}
