package runtimes_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tackbeam.example/policy/runtimes"
)

// TestQuantile compares estimates with the distribution that the runs came from.
func TestQuantile(t *testing.T) {
	cases := map[string]struct {
		runs     int
		low, top time.Duration // the runs are even between the two
		known    bool
	}{
		"nothing known":       {0, 0, 0, false},
		"too few":             {4, time.Second, time.Second, false},
		"always the same":     {5, time.Second, time.Second, true},
		"a few":               {60, time.Second, 3 * time.Second, true},
		"many, older halved":  {5000, time.Second, 3 * time.Second, true},
		"shorter than a tick": {100, time.Microsecond, time.Microsecond, true},
		"longer than a week":  {100, 200 * time.Hour, 200 * time.Hour, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rn := runtimes.New()
			rd := rand.New(rand.NewPCG(1, 2))
			for range tc.runs {
				rn.Record("push", tc.low+time.Duration(rd.Int64N(int64(tc.top-tc.low)+1)))
			}
			got, ok := rn.Quantile("push", 0.9)
			if ok != tc.known {
				t.Fatalf("known is %v, want %v", ok, tc.known)
			}
			want := tc.low + (tc.top-tc.low)*9/10
			want = max(time.Millisecond, min(want, 48*time.Hour))
			if ok && (got < want*85/100 || got > want*115/100) {
				t.Errorf("estimate %v, want %v within 15%%", got, want)
			}
		})
	}
}

// TestChange lets a workload become ten times as long. It is learned anew.
func TestChange(t *testing.T) {
	rn := runtimes.New()
	for range 2000 {
		rn.Record("push", time.Second)
	}
	for range 2000 {
		rn.Record("push", 10*time.Second)
	}
	if got, _ := rn.Quantile("push", 0.5); got < 9*time.Second {
		t.Errorf("the median is %v after 2000 longer runs", got)
	}
}

// ExampleHistograms estimates a workload from ten runs of 100 to 1000 ms.
func ExampleHistograms() {
	rn := runtimes.New()
	for n := 1; n <= 10; n++ {
		rn.Record("push", time.Duration(n)*100*time.Millisecond)
	}
	run, ok := rn.Quantile("push", 0.5)
	fmt.Println(run.Round(100*time.Millisecond), ok)
	// Output: 500ms true
}
