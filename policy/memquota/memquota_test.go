package memquota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/memquota"
)

const limit = 800 << 20

// grow claims memory for jobs of a class until the account refuses, and returns how much it admitted.
func grow(qt *memquota.Quota, cls memquota.Class, each int64) (total int64) {
	for qt.Admits(cls, each) {
		qt.Add(cls, each)
		total += each
	}
	return total
}

// TestClassesLeaveRoom guards against jobs of one workspace, or patient ones, that have those of others refused.
func TestClassesLeaveRoom(t *testing.T) {
	const each = 64 << 10
	for name, first := range map[string][]memquota.Class{
		"one workspace":     {{Workspace: "a"}},
		"three workspaces":  {{Workspace: "a"}, {Workspace: "b"}, {Workspace: "c"}},
		"no workspaces":     {{}},
		"urgent and others": {{Workspace: "a", Urgent: true}, {Workspace: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			qt := memquota.New(limit)
			for _, cls := range first {
				grow(qt, cls, each)
				is.True(qt.Full(cls))
			}
			last := memquota.Class{Workspace: "z", Urgent: true}
			is.True(!qt.Full(last))
			is.True(grow(qt, last, each) >= limit/2>>(len(first)+1)-2*each) // each class takes half of what is left
			is.True(qt.Used() <= limit*5/8)
			is.True(qt.Holds(each-1000, true)) // what nodes accepted meanwhile without a claim
		})
	}
}

// TestClaims guards against claims that together reserve more than there is, and against reserved memory that is not returned.
func TestClaims(t *testing.T) {
	const each = 80 << 20
	is := is.New(t)
	qt := memquota.New(limit)
	claim := func(now time.Duration, job string) (time.Duration, bool) {
		return qt.Claim(now, memquota.Claim{Job: job, Bytes: each})
	}
	_, ok := claim(0, "a")
	is.True(ok)
	_, ok = claim(0, "b")
	is.True(ok)
	retryAfter, ok := claim(time.Second, "c")
	is.True(!ok)
	is.Equal(retryAfter, 30*time.Second) // nothing was released so far
	_, ok = claim(time.Second, "a")
	is.True(ok) // the same job again
	qt.Settle("a")
	qt.Add(memquota.Class{}, each)
	_, ok = claim(2*time.Second, "c")
	is.True(!ok)
	qt.Add(memquota.Class{}, -each)
	_, ok = claim(3*time.Second, "c")
	is.True(ok)
	retryAfter, ok = claim(4*time.Second, "d")
	is.True(!ok)
	is.True(retryAfter >= time.Second && retryAfter < 10*time.Second)
	_, ok = claim(13*time.Second, "d")
	is.True(ok) // b never arrived
}

// TestHolds guards against other work that takes the last memory from urgent work, large jobs that take that of small ones, and
// jobs that take that of runs.
func TestHolds(t *testing.T) {
	is := is.New(t)
	qt := memquota.New(limit)
	is.True(qt.Holds(limit*3/8, false))
	is.True(!qt.Holds(limit*9/16, false))
	is.True(qt.Holds(limit*9/16, true))
	is.True(!qt.Holds(limit*9/16+1, true))
	qt.Add(memquota.Class{}, limit*9/16)
	is.True(qt.Holds(1000, false)) // a small job
	qt.Add(memquota.Class{}, limit*7/16)
	is.True(!qt.Holds(0, true))
	is.True(qt.HoldsRuns(limit/2, false)) // nothing runs
	qt.AddRuns(limit / 8)
	is.True(qt.HoldsRuns(limit/16, false))
	is.True(!qt.HoldsRuns(limit/8, false))
	is.True(qt.HoldsRuns(limit/8, true))
	is.True(!qt.HoldsRuns(limit/8+1, true))
	qt.AddRuns(limit / 8)
	is.True(!qt.HoldsRuns(1, true))
}

// TestNoLimit guards against refusals where the settings have no limit.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	qt := memquota.New(0)
	qt.Add(memquota.Class{}, 1<<50)
	_, ok := qt.Claim(0, memquota.Claim{Job: "a", Bytes: 1 << 50})
	is.True(ok)
	is.True(qt.Holds(1<<50, false) && qt.HoldsRuns(1<<50, false) && !qt.Full(memquota.Class{}))
	is.True(!memquota.NeverFits(0, 1<<50))
}

// TestWindow guards against windows that together exceed what is left for them, and against one in which no job fits.
func TestWindow(t *testing.T) {
	is := is.New(t)
	is.Equal(memquota.Window(0, 10), int64(0))
	for _, nodes := range []int{0, 1, 9, 300} {
		is.True(memquota.Window(limit, nodes)*int64(nodes) <= limit/8)
	}
	is.True(memquota.Window(limit, 100_000) >= 64<<10)
}

func ExampleQuota() {
	const mb = 1 << 20
	qt := memquota.New(200 * mb)
	batch, lookups := memquota.Class{Workspace: "a"}, memquota.Class{Workspace: "a", Urgent: true}
	fmt.Println(qt.Claim(time.Second, memquota.Claim{Job: "large", Class: batch, Bytes: 40 * mb}))
	fmt.Println(qt.Claim(time.Second, memquota.Claim{Job: "second", Class: batch, Bytes: 40 * mb}))
	fmt.Println(qt.Claim(time.Second, memquota.Claim{Job: "lookup", Class: lookups, Bytes: mb}))
	// Output:
	// 0s true
	// 30s false
	// 0s true
}
