package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tackbeam.example/policy/quota"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

func workspace(version uint64, limit size.Size) work.Workspace {
	return work.Workspace{Name: "parts", Weight: 2, Limit: limit, Version: version}
}

// TestHeadroom checks how many more tasks of one core, 100 MiB and no accelerator a workspace may have running.
func TestHeadroom(t *testing.T) {
	cases := map[string]struct {
		limit, used, unreported size.Size
		want                    int
	}{
		"nothing runs":                    {limit: size.New(8000, 1000, 0), want: 8},
		"some tasks run":                  {limit: size.New(8000, 1000, 0), used: size.New(3000, 300, 0), want: 5},
		"limited by memory":               {limit: size.New(8000, 400, 0), want: 4},
		"limit in one dimension only":     {limit: size.New(0, 400, 0), used: size.New(90_000, 0, 0), want: 4},
		"dimension that tasks do not use": {limit: size.New(0, 0, 1), used: size.New(0, 0, 5), want: math.MaxInt},
		"no limit":                        {used: size.New(90_000, 90_000, 9), want: math.MaxInt},
		"limit lowered below usage":       {limit: size.New(2000, 0, 0), used: size.New(5000, 0, 0), want: 0},
		"unreported tasks count":          {limit: size.New(8000, 0, 0), used: size.New(2000, 0, 0), unreported: size.New(5000, 0, 0), want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := quota.New()
			tr.Set(workspace(1, tc.limit))
			tr.Add("parts", tc.used)
			tr.SetUnreported(map[string]size.Size{"parts": tc.unreported})
			if got := tr.Headroom("parts", size.New(1000, 100, 0)); got != tc.want {
				t.Errorf("headroom for %d more tasks, want %d", got, tc.want)
			}
		})
	}
}

// TestLaterSettingsStay: a job that a node accepted with an old copy of the configuration must not revert a
// limit that was lowered since.
func TestLaterSettingsStay(t *testing.T) {
	tr := quota.New()
	tr.Set(workspace(7, size.New(2000, 0, 0)))
	tr.Set(workspace(6, size.New(9000, 0, 0)))
	if got := tr.Headroom("parts", size.New(1000, 0, 0)); got != 2 {
		t.Errorf("headroom for %d tasks under the limit of version 7, want 2", got)
	}
	tr.Update(func(string) (work.Workspace, bool) { return work.Workspace{}, false })
	if got := tr.Headroom("parts", size.New(1000, 0, 0)); got != 2 {
		t.Errorf("headroom for %d tasks after the workspace was removed, want 2", got)
	}
}

// TestNoWorkspace: jobs without a workspace have no limit and are not tracked.
func TestNoWorkspace(t *testing.T) {
	tr := quota.New()
	tr.Set(work.Workspace{})
	tr.Add("", size.New(1000, 0, 0))
	if got := tr.Headroom("", size.New(1000, 0, 0)); got != math.MaxInt {
		t.Errorf("headroom for %d tasks, want any number", got)
	}
	if len(tr.Usages()) != 0 {
		t.Errorf("usages %v, want none", tr.Usages())
	}
}

// TestWithinRate counts the jobs of a stream that are within the guaranteed rate.
func TestWithinRate(t *testing.T) {
	cases := map[string]struct {
		weight float64
		every  time.Duration
		want   int // of the stream's 10 s
	}{
		"below the weight":       {10, 200 * time.Millisecond, 50},
		"at the weight":          {10, 100 * time.Millisecond, 100},
		"seven times the weight": {10, 100 * time.Millisecond / 7, 110}, // plus the burst of one second at the start
		"weight below one":       {0.5, 500 * time.Millisecond, 6},
		"no weight":              {0, time.Millisecond, 10_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := quota.New()
			tr.Set(work.Workspace{Name: "parts", Weight: tc.weight, Version: 1})
			within := 0
			for arrived := 5 * time.Second; arrived < 15*time.Second; arrived += tc.every {
				if tr.WithinRate("parts", arrived) {
					within++
				}
			}
			if within != tc.want {
				t.Errorf("%d jobs are within the rate, want %d", within, tc.want)
			}
		})
	}
}

// ExampleTracker_Headroom shows a limit of four cores.
func ExampleTracker_Headroom() {
	tr := quota.New()
	tr.Set(work.Workspace{Name: "parts", Limit: size.New(4000, 0, 0), Version: 1})
	tr.Add("parts", size.New(2500, 0, 0))
	fmt.Println(tr.Headroom("parts", size.New(500, 0, 0)))
	// Output: 3
}
