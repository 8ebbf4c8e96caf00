package memwindow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/memwindow"
)

// TestOutcomes guards against a window that closes for good although the planner knows of the jobs, and against one that opens
// before it does.
func TestOutcomes(t *testing.T) {
	const size, each = 100, 60
	cm := func(id string) memquota.Claim { return memquota.Claim{Job: id, Bytes: each} }
	for name, tc := range map[string]struct {
		after func(wd *memwindow.Window)
		opens bool
	}{
		"write is open":             {after: func(*memwindow.Window) {}},
		"refused by the store":      {after: func(wd *memwindow.Window) { wd.Settle(1, "a", false, false) }, opens: true},
		"written":                   {after: func(wd *memwindow.Window) { wd.Settle(1, "a", true, false) }},
		"the planner knows of it":   {after: func(wd *memwindow.Window) { wd.Settle(1, "a", true, false); wd.Known("a") }, opens: true},
		"known before the outcome":  {after: func(wd *memwindow.Window) { wd.Known("a"); wd.Settle(1, "a", true, false) }, opens: true},
		"planner answers at once":   {after: func(wd *memwindow.Window) { wd.Settle(1, "a", true, false); wd.PlannerAnswered(time.Second) }},
		"planner answers later":     {after: func(wd *memwindow.Window) { wd.Settle(1, "a", true, false); wd.PlannerAnswered(4 * time.Second) }, opens: true},
		"unknown outcome":           {after: func(wd *memwindow.Window) { wd.Settle(1, "a", false, true); wd.PlannerAnswered(4 * time.Second) }},
		"unknown outcome, a minute": {after: func(wd *memwindow.Window) { wd.Settle(1, "a", false, true); wd.PlannerAnswered(time.Minute) }, opens: true},
		"open write, a minute":      {after: func(wd *memwindow.Window) { wd.PlannerAnswered(time.Minute) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wd := memwindow.New()
			decision, _ := wd.Decide(0, cm("a"), size)
			is.Equal(decision, memwindow.Accept)
			decision, _ = wd.Decide(0, cm("a"), size)
			is.Equal(decision, memwindow.Accept) // the same job again
			tc.after(wd)
			decision, _ = wd.Decide(time.Minute, cm("b"), size)
			is.Equal(decision == memwindow.Accept, tc.opens)
		})
	}
}

// TestFullClass guards against a node that goes on accepting jobs of a class that is full, and against one that refuses those of
// others, or its own for good.
func TestFullClass(t *testing.T) {
	is := is.New(t)
	wd := memwindow.New()
	batch, lookups := memquota.Class{}, memquota.Class{Urgent: true}
	decide := func(now time.Duration, cls memquota.Class) memwindow.Decision {
		decision, _ := wd.Decide(now, memquota.Claim{Job: fmt.Sprint(now, cls), Class: cls, Bytes: 1}, 0)
		return decision
	}
	sent := memquota.Claim{Job: "sent", Class: batch, Bytes: 1}
	wd.Decide(0, sent, 0)
	wd.SetFull(batch, 5*time.Second)
	decision, _ := wd.Decide(time.Second, sent, 0)
	is.Equal(decision, memwindow.Accept) // sent again: it may have been accepted
	is.Equal(decide(time.Second, batch), memwindow.Refuse)
	is.Equal(decide(time.Second, lookups), memwindow.Accept)
	is.Equal(decide(5*time.Second, batch), memwindow.Ask)
	wd.SetFree(batch)
	is.Equal(decide(6*time.Second, batch), memwindow.Accept)
}

func ExampleWindow() {
	wd := memwindow.New()
	const size = 1000
	for _, id := range []string{"first", "second"} {
		decision, _ := wd.Decide(0, memquota.Claim{Job: id, Bytes: 600}, size)
		fmt.Println(id, decision == memwindow.Accept, wd.Bytes())
	}
	wd.Settle(time.Millisecond, "first", true, false)
	wd.Known("first")
	fmt.Println(wd.Bytes())
	// Output:
	// first true 600
	// second false 600
	// 0
}
