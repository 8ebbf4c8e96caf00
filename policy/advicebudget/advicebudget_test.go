package advicebudget_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/advicebudget"
	"tackbeam.example/policy/size"
)

// workers is the number of workers of 64 cores in newPlan.
const workers = 10

// beginPlan begins a plan with a number of cores free on each worker.
func beginPlan(bu *advicebudget.Budget, now time.Duration, freeCores int64) {
	bu.BeginPlan(now)
	for range workers {
		bu.AddFree("svc", size.New(1000*freeCores, 100000, 0))
	}
}

// waiting returns the demand of a step with tasks of some cores each, on all workers.
func waiting(tasks int, cores int64) advicebudget.Demand {
	return advicebudget.Demand{Service: "svc", Need: size.New(1000*cores, 100, 0), Tasks: tasks, Share: 1, Takes: time.Second}
}

// with returns the demand with a change.
func with(dm advicebudget.Demand, change func(dm *advicebudget.Demand)) advicebudget.Demand {
	change(&dm)
	return dm
}

// TestConsider guards against requests for steps without capacity, which saturate the advisor, and against steps that
// starve because they get none.
func TestConsider(t *testing.T) {
	const gone, runTime = 10 * time.Second, time.Second
	all := waiting(workers, 60)
	overdue := with(waiting(1, 60), func(dm *advicebudget.Demand) { dm.Waited = time.Minute })
	tests := map[string]struct {
		free   int64
		before func(bu *advicebudget.Budget)
		steps  []advicebudget.Demand
		want   []bool
	}{
		"all free": {free: 64, steps: []advicebudget.Demand{waiting(3, 10), waiting(3, 10)}, want: []bool{true, true}},
		"the first takes all": {
			free: 64, steps: []advicebudget.Demand{all, waiting(1, 60)}, want: []bool{true, false},
		},
		"smaller tasks fit into the rest": {
			free: 64, steps: []advicebudget.Demand{all, waiting(1, 40)}, want: []bool{true, true},
		},
		"a large step leaves the workers that it may not use": {
			free:  64,
			steps: []advicebudget.Demand{with(waiting(1000, 60), func(dm *advicebudget.Demand) { dm.Share = 0.3 }), waiting(3, 10)},
			want:  []bool{true, true},
		},
		"free capacity in pieces that are too small": {
			free: 20, steps: []advicebudget.Demand{waiting(1, 10), waiting(1, 30)}, want: []bool{true, false},
		},
		"full, first in order": {steps: []advicebudget.Demand{waiting(1, 60), waiting(1, 60)}, want: []bool{true, false}},
		"full, urgent": {
			steps: []advicebudget.Demand{with(waiting(1, 10), func(dm *advicebudget.Demand) { dm.Urgent = true })}, want: []bool{false},
		},
		"an urgent step is not the first of the others": {
			steps: []advicebudget.Demand{with(waiting(1, 10), func(dm *advicebudget.Demand) { dm.Urgent = true }), waiting(1, 10)},
			want:  []bool{false, true},
		},
		"reserves capacity": {
			steps: []advicebudget.Demand{waiting(1, 60), with(waiting(9, 60), func(dm *advicebudget.Demand) { dm.Reserves, dm.Gang = true, true })},
			want:  []bool{true, true},
		},
		"gang does not fit": {
			free:  64,
			steps: []advicebudget.Demand{waiting(5, 60), with(waiting(6, 60), func(dm *advicebudget.Demand) { dm.Gang = true }), waiting(1, 60)},
			want:  []bool{true, false, true}, // it does not keep others from the capacity that it cannot use
		},
		"gangs that the advisor allows on few workers": {
			free: 64,
			steps: slices.Repeat([]advicebudget.Demand{with(waiting(3, 60), func(dm *advicebudget.Demand) {
				dm.Gang, dm.Share = true, 0.05
			})}, 3),
			want: []bool{true, true, true},
		},
		"several have waited long": {
			steps: []advicebudget.Demand{waiting(1, 60), overdue, overdue}, want: []bool{true, true, false},
		},
		"one that pauses does not take the turn": {
			steps: []advicebudget.Demand{waiting(1, 60), with(overdue, func(dm *advicebudget.Demand) { dm.Paused = true }), overdue},
			want:  []bool{true, false, true},
		},
		"one that waits for an answer keeps its turn": {
			steps: []advicebudget.Demand{waiting(1, 60), with(overdue, func(dm *advicebudget.Demand) { dm.Pending = true }), overdue},
			want:  []bool{true, false, false},
		},
		"runs end": {
			before: func(bu *advicebudget.Budget) { bu.Released(gone, "svc", size.New(90000, 1000, 0), false) },
			steps:  []advicebudget.Demand{waiting(1, 60), waiting(1, 60), waiting(1, 60)}, want: []bool{true, true, false},
		},
		"urgent runs end": {
			before: func(bu *advicebudget.Budget) { bu.Released(gone, "svc", size.New(100000, 1000, 0), true) },
			steps: []advicebudget.Demand{
				with(waiting(1, 10), func(dm *advicebudget.Demand) { dm.Urgent = true }), waiting(1, 10), waiting(1, 10),
			},
			want: []bool{true, true, false}, // arriving urgent work uses it
		},
		"runs ended long ago": {
			before: func(bu *advicebudget.Budget) { bu.Released(0, "svc", size.New(100000, 1000, 0), false) },
			steps:  []advicebudget.Demand{waiting(1, 60), waiting(1, 60)}, want: []bool{true, false},
		},
		"accelerators are scarce": {
			free: 64, steps: []advicebudget.Demand{
				waiting(1, 10), with(waiting(1, 10), func(dm *advicebudget.Demand) { dm.Need = size.New(1000, 100, 1) }),
			}, want: []bool{true, false},
		},
		"another service": {
			free: 64, steps: []advicebudget.Demand{all, waiting(1, 60), with(waiting(1, 60), func(dm *advicebudget.Demand) { dm.Service = "other" })},
			want: []bool{true, false, true},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bu := advicebudget.New()
			if tt.before != nil {
				tt.before(bu)
			}
			beginPlan(bu, gone+runTime/2, tt.free)
			refused := 0
			for i, dm := range tt.steps {
				got := bu.Consider(dm, false)
				if got {
					bu.Requested(dm.Service)
				} else {
					refused++
				}
				is.Equal([]any{i, got}, []any{i, tt.want[i]})
			}
			is.Equal(bu.DeferredForRoom(), refused)
		})
	}
}

// TestOverdueTurns guards against a step that has waited long and keeps all others from their turn, or that never gets
// another.
func TestOverdueTurns(t *testing.T) {
	is := is.New(t)
	bu := advicebudget.New()
	overdue := with(waiting(1, 60), func(dm *advicebudget.Demand) { dm.Waited = time.Minute })
	pending := with(overdue, func(dm *advicebudget.Demand) { dm.Pending = true })
	paused := with(overdue, func(dm *advicebudget.Demand) { dm.Paused = true })
	plans := []struct {
		steps []advicebudget.Demand
		want  []bool
	}{
		{[]advicebudget.Demand{overdue, overdue}, []bool{true, false}},
		{[]advicebudget.Demand{pending, overdue}, []bool{false, false}},
		{[]advicebudget.Demand{overdue, pending}, []bool{false, false}}, // one that is now ahead
		{[]advicebudget.Demand{paused, overdue}, []bool{false, false}},  // the open request of the plan before
		{[]advicebudget.Demand{paused, overdue}, []bool{false, true}},
	}
	for num, pn := range plans {
		bu.BeginPlan(0)
		bu.Consider(waiting(1, 60), false) // the first in order
		for i, dm := range pn.steps {
			allowed := bu.Consider(dm, true)
			is.Equal([]any{num, i, allowed}, []any{num, i, pn.want[i]})
			if allowed {
				bu.Requested(dm.Service)
			}
		}
	}
	is.Equal(bu.DeferredForRoom(), 0) // steps that were deferred before are not counted again
}

// TestOverdueWithoutRequest guards against a step that waits for long and has nothing to request, and keeps those behind
// it from their turns for good.
func TestOverdueWithoutRequest(t *testing.T) {
	is := is.New(t)
	bu := advicebudget.New()
	overdue := with(waiting(1, 60), func(dm *advicebudget.Demand) { dm.Waited = time.Minute })
	bu.BeginPlan(0)
	bu.Consider(waiting(1, 60), false) // the first in order
	is.True(bu.Consider(overdue, true))
	is.True(bu.Consider(overdue, true))
	bu.Requested(overdue.Service)
	is.True(!bu.Consider(overdue, true))
}

// TestTime guards against other requests that leave urgent ones no time of the advisor, and against a budget that never
// recovers from requests without an answer or lets them be repeated all at once.
func TestTime(t *testing.T) {
	const nodes = 10
	tests := map[string]struct {
		// urgent is the urgent work per second over 10 s before.
		urgent time.Duration
		nodes  int
		refund bool
		// want is how many requests of 100 ms are allowed at once, wantNext how many a second later.
		want, wantNext int
	}{
		"no history":                   {nodes: nodes, want: 100, wantNext: 100},
		"no urgent work, refunded":     {nodes: nodes, refund: true, want: 100, wantNext: 100},
		"half of the time for urgent":  {nodes: nodes, urgent: 3333 * time.Millisecond, want: 50, wantNext: 70},
		"a tenth remains":              {nodes: nodes, urgent: 9 * time.Second, want: 10, wantNext: 20},
		"number of nodes is not known": {want: 1000, wantNext: 1000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bu := advicebudget.New()
			bu.SetNodes(0, tt.nodes)
			is.Equal(bu.Known(), tt.nodes > 0)
			now := time.Duration(0)
			for ; now < 10*time.Second; now += 100 * time.Millisecond {
				bu.Sent(now, tt.urgent/10, true)
			}
			got := spend(bu, now)
			is.True(got >= tt.want*8/10 && got <= tt.want*11/10) // requests allowed at once
			if tt.refund {
				for range 2 * got {
					bu.Refund(now, 100*time.Millisecond, false)
				}
				is.Equal(spend(bu, now), got) // not more than before
			}
			got = spend(bu, now+time.Second)
			is.True(got >= tt.wantNext*8/10 && got <= tt.wantNext*11/10) // a second later
		})
	}
}

// spend sends requests of 100 ms while they are allowed, at most 1,000, and returns their number.
func spend(bu *advicebudget.Budget, now time.Duration) int {
	count := 0
	for count < 1000 && bu.AllowsTime(now) {
		bu.Sent(now, 100*time.Millisecond, false)
		count++
	}
	return count
}

// TestSetNodes guards against a budget that keeps the time of nodes that have left.
func TestSetNodes(t *testing.T) {
	is := is.New(t)
	bu := advicebudget.New()
	bu.SetNodes(0, 10)
	is.True(bu.HasSpare(0))
	bu.SetNodes(0, 2)
	is.Equal(spend(bu, 0), 20)
	is.True(!bu.HasSpare(0))
	is.True(bu.HasSpare(time.Second))
}

// TestPause guards against a step that pauses longer than its tickets are valid and so starts late.
func TestPause(t *testing.T) {
	tests := map[string]struct {
		takes   time.Duration
		answers int
		want    time.Duration
	}{
		"first":                  {100 * time.Millisecond, 1, 100 * time.Millisecond},
		"third":                  {100 * time.Millisecond, 3, 400 * time.Millisecond},
		"until tickets expire":   {100 * time.Millisecond, 5, 1500 * time.Millisecond},
		"many":                   {100 * time.Millisecond, 1 << 40, 1500 * time.Millisecond},
		"longer than a ticket":   {5 * time.Second, 1, 1500 * time.Millisecond},
		"takes no time at all":   {0, 1000, 0},
		"before the first start": {100 * time.Millisecond, 0, 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bu := advicebudget.New()
			bu.Answered(1500 * time.Millisecond)
			bu.Answered(0) // no tickets
			is.Equal(bu.Pause(tt.takes, tt.answers), tt.want)
		})
	}
}

func ExampleBudget() {
	bu := advicebudget.New()
	bu.SetNodes(0, 2)
	bu.BeginPlan(0)
	bu.AddFree("svc", size.New(16000, 64000, 0))
	step := advicebudget.Demand{Service: "svc", Need: size.New(8000, 1000, 0), Tasks: 2, Share: 1, Takes: time.Second}
	fmt.Println(bu.Consider(step, false)) // there is room
	fmt.Println(bu.Consider(step, false)) // the first step takes it
	for range 2 {
		bu.Sent(0, time.Second, false)
	}
	fmt.Println(bu.AllowsTime(0), bu.AllowsTime(time.Second))
	fmt.Println(bu.DeferredForRoom())
	// Output:
	// true
	// false
	// false true
	// 1
}
