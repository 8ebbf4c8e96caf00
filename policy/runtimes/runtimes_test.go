package runtimes_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tackbeam.example/policy/runtimes"
)

// TestQuantile compares estimates with the distribution that the run times are drawn from.
func TestQuantile(t *testing.T) {
	cases := map[string]struct {
		runs     int
		low, top time.Duration // run times are uniform between the two
		known    bool
	}{
		"no runs":              {0, 0, 0, false},
		"too few runs":         {4, time.Second, time.Second, false},
		"constant run time":    {5, time.Second, time.Second, true},
		"few runs":             {60, time.Second, 3 * time.Second, true},
		"many runs, halved":    {5000, time.Second, 3 * time.Second, true},
		"below the range":      {100, time.Microsecond, time.Microsecond, true},
		"longer than two days": {100, 200 * time.Hour, 200 * time.Hour, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			hs := runtimes.New()
			rd := rand.New(rand.NewPCG(1, 2))
			for range tc.runs {
				hs.Record("push", tc.low+time.Duration(rd.Int64N(int64(tc.top-tc.low)+1)))
			}
			got, ok := hs.Quantile("push", 0.9)
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

// TestChange checks that the estimate follows a workload whose run time grows tenfold.
func TestChange(t *testing.T) {
	hs := runtimes.New()
	for range 2000 {
		hs.Record("push", time.Second)
	}
	for range 2000 {
		hs.Record("push", 10*time.Second)
	}
	if got, _ := hs.Quantile("push", 0.5); got < 9*time.Second {
		t.Errorf("the median is %v after 2000 longer runs", got)
	}
}

// ExampleHistograms estimates a workload from ten runs of 100 to 1000 ms.
func ExampleHistograms() {
	hs := runtimes.New()
	for n := 1; n <= 10; n++ {
		hs.Record("push", time.Duration(n)*100*time.Millisecond)
	}
	run, ok := hs.Quantile("push", 0.5)
	fmt.Println(run.Round(100*time.Millisecond), ok)
	// Output: 500ms true
}
