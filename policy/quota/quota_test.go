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

// TestRoom tells how many more tasks of one core, 100 MiB and no accelerator a workspace may have running.
func TestRoom(t *testing.T) {
	cases := map[string]struct {
		limit, used, doubt size.Size
		want               int
	}{
		"nothing runs":                     {limit: size.New(8000, 1000, 0), want: 8},
		"some runs":                        {limit: size.New(8000, 1000, 0), used: size.New(3000, 300, 0), want: 5},
		"bound by memory":                  {limit: size.New(8000, 400, 0), want: 4},
		"limit of one dimension only":      {limit: size.New(0, 400, 0), used: size.New(90_000, 0, 0), want: 4},
		"a dimension that it does not ask": {limit: size.New(0, 0, 1), used: size.New(0, 0, 5), want: math.MaxInt},
		"no limit":                         {used: size.New(90_000, 90_000, 9), want: math.MaxInt},
		"lowered below what runs":          {limit: size.New(2000, 0, 0), used: size.New(5000, 0, 0), want: 0},
		"runs of which nobody has heard":   {limit: size.New(8000, 0, 0), used: size.New(2000, 0, 0), doubt: size.New(5000, 0, 0), want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bk := quota.New()
			bk.Set(workspace(1, tc.limit))
			bk.Add("parts", tc.used)
			bk.SetUnreported(map[string]size.Size{"parts": tc.doubt})
			if got := bk.Headroom("parts", size.New(1000, 100, 0)); got != tc.want {
				t.Errorf("room for %d more tasks, want %d", got, tc.want)
			}
		})
	}
}

// TestLaterSettingsStay: a job that a node accepted by an old copy of the configuration must not take back
// a limit that was lowered since.
func TestLaterSettingsStay(t *testing.T) {
	bk := quota.New()
	bk.Set(workspace(7, size.New(2000, 0, 0)))
	bk.Set(workspace(6, size.New(9000, 0, 0)))
	if got := bk.Headroom("parts", size.New(1000, 0, 0)); got != 2 {
		t.Errorf("room for %d tasks by the limit of version 7, want 2", got)
	}
	bk.Update(func(string) (work.Workspace, bool) { return work.Workspace{}, false })
	if got := bk.Headroom("parts", size.New(1000, 0, 0)); got != 2 {
		t.Errorf("room for %d tasks after the workspace is gone, want 2", got)
	}
}

// TestNoWorkspace: jobs without a workspace are bound by nothing, and add up nowhere.
func TestNoWorkspace(t *testing.T) {
	bk := quota.New()
	bk.Set(work.Workspace{})
	bk.Add("", size.New(1000, 0, 0))
	if got := bk.Headroom("", size.New(1000, 0, 0)); got != math.MaxInt {
		t.Errorf("room for %d tasks, want any number", got)
	}
	if len(bk.Usages()) != 0 {
		t.Errorf("uses %v, want none", bk.Usages())
	}
}

// TestOwes counts the jobs that are owed of a stream.
func TestOwes(t *testing.T) {
	cases := map[string]struct {
		weight float64
		every  time.Duration
		want   int // of the stream's 10 s
	}{
		"below the weight":  {10, 200 * time.Millisecond, 50},
		"at the weight":     {10, 100 * time.Millisecond, 100},
		"seven times of it": {10, 100 * time.Millisecond / 7, 110}, // and a second's worth at first
		"a part of one":     {0.5, 500 * time.Millisecond, 6},
		"no weight":         {0, time.Millisecond, 10_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			bk := quota.New()
			bk.Set(work.Workspace{Name: "parts", Weight: tc.weight, Version: 1})
			owed := 0
			for came := 5 * time.Second; came < 15*time.Second; came += tc.every {
				if bk.WithinRate("parts", came) {
					owed++
				}
			}
			if owed != tc.want {
				t.Errorf("%d jobs are owed, want %d", owed, tc.want)
			}
		})
	}
}

// ExampleTracker_Headroom shows a limit of four cores.
func ExampleTracker_Headroom() {
	bk := quota.New()
	bk.Set(work.Workspace{Name: "parts", Limit: size.New(4000, 0, 0), Version: 1})
	bk.Add("parts", size.New(2500, 0, 0))
	fmt.Println(bk.Headroom("parts", size.New(500, 0, 0)))
	// Output: 3
}
