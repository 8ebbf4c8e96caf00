package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/admission"
	"tackbeam.example/policy/fairshare"
	"tackbeam.example/policy/work"
)

// urgentJob has a critical path of 0.6 s and a slack of 0.6 s.
func urgentJob(workspace string) *work.Job {
	const part = 300 * time.Millisecond
	return &work.Job{
		ID: "j", Queue: work.Queue{Service: "svc", Stretch: 1.5, Target: part}, Workspace: work.Workspace{Name: workspace},
		Steps: []work.Step{{Count: 4, Estimate: part}, {Count: 1, Estimate: part / 3}, {Count: 2, Estimate: part, After: []int{0, 1}}},
	}
}

// constant returns a source of random numbers that are all the same.
func constant(number float64) func() float64 { return func() float64 { return number } }

// TestRefuseForRoom guards against a refused job that has capacity, an accepted one that cannot be in time, and retries
// that arrive together.
func TestRefuseForRoom(t *testing.T) {
	const token = 7
	limited := fairshare.Share{Admitted: 0.4, Wait: 500 * time.Millisecond, Drain: 3 * time.Second}
	with := func(change func(sh *fairshare.Share)) fairshare.Share {
		sh := limited
		change(&sh)
		return sh
	}
	tests := map[string]struct {
		share      fairshare.Share
		workspace  string
		priority   int
		age        time.Duration
		token      uint64
		random     float64
		retryAfter time.Duration
		refuse     bool
	}{
		"within the share":          {share: limited, workspace: "a", token: token, random: 0.3},
		"beyond the share":          {share: limited, workspace: "a", token: token, random: 0.4, retryAfter: 3600 * time.Millisecond, refuse: true},
		"another workspace":         {share: limited, workspace: "b", token: token, random: 0.9},
		"another queue":             {share: limited, workspace: "a", priority: 1, token: token, random: 0.9},
		"old report":                {share: limited, workspace: "a", token: token, age: 3100 * time.Millisecond, random: 0.9},
		"report of another planner": {share: limited, workspace: "a", token: token + 1, random: 0.9},
		"planner is gone":           {share: limited, workspace: "a", random: 0.8, retryAfter: 4200 * time.Millisecond, refuse: true},
		"wait is longer than slack": {share: with(func(sh *fairshare.Share) { sh.Wait = 601 * time.Millisecond }), workspace: "a", token: token, retryAfter: 3 * time.Second, refuse: true},
		"wait is as long as slack":  {share: with(func(sh *fairshare.Share) { sh.Wait = 600 * time.Millisecond }), workspace: "a", token: token},
		"excess drains soon":        {share: with(func(sh *fairshare.Share) { sh.Drain = 0 }), workspace: "a", token: token, random: 1, retryAfter: 1500 * time.Millisecond, refuse: true},
		"excess does not drain":     {share: with(func(sh *fairshare.Share) { sh.Drain = time.Minute }), workspace: "a", token: token, random: 1, retryAfter: 4500 * time.Millisecond, refuse: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ctl admission.Controller
			tt.share.Key = fairshare.Key{Service: "svc", Workspace: "a"}
			ctl.UpdateShares(time.Minute, []fairshare.Share{tt.share})
			ctl.UpdatePlanner(token, 0)
			jb := urgentJob(tt.workspace)
			jb.Queue.Priority = tt.priority
			retryAfter, refuse := ctl.RefuseForRoom(time.Minute+tt.age, tt.token, jb, constant(tt.random))
			is.Equal(retryAfter, tt.retryAfter)
			is.Equal(refuse, tt.refuse)
		})
	}
}

// TestRefuseUnplanned guards against jobs that are accepted without a bound while nothing can start them, and against
// refusing any once a planner has reported, or if it is one that never does.
func TestRefuseUnplanned(t *testing.T) {
	const token = 7
	tests := map[string]struct {
		reported uint64
		rate     int
		token    uint64
		age      time.Duration
		nodes    int
		accepted int // of 100 jobs of 7 starts each
	}{
		"no planner":                           {nodes: 10, accepted: 16},
		"no planner, known rate":               {rate: 140, nodes: 10, accepted: 8},
		"no planner, rate after quiet seconds": {rate: 3, nodes: 10, accepted: 8},
		"no planner, many nodes":               {nodes: 1000, accepted: 1},
		"no planner, members unknown":          {nodes: 0, accepted: 100},
		"planner is new":                       {token: token, age: 3900 * time.Millisecond, nodes: 10, accepted: 16},
		"planner has not reported for 4 s":     {token: token, age: 4 * time.Second, nodes: 10, accepted: 100},
		"planner has reported":                 {token: token, reported: token, nodes: 10, accepted: 100},
		"only an earlier planner reported":     {token: token, reported: token - 1, nodes: 10, accepted: 16},
		"only the planner before the vacancy":  {reported: token, nodes: 10, accepted: 16},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ctl admission.Controller
			ctl.UpdatePlanner(tt.reported, tt.rate)
			accepted := 0
			for range 100 {
				retryAfter, refuse := ctl.RefuseUnplanned(tt.token, tt.age, tt.nodes, urgentJob("a"), constant(0.5))
				if !refuse {
					accepted++
					continue
				}
				is.Equal(retryAfter, 1500*time.Millisecond)
				is.True(ctl.Unplanned())
			}
			is.Equal(accepted, tt.accepted)
			ctl.UpdatePlanner(token, 0)
			_, refuse := ctl.RefuseUnplanned(token, 0, tt.nodes, urgentJob("a"), constant(0.5))
			is.True(!refuse) // the planner has reported
			is.True(!ctl.Unplanned())
		})
	}
}

func ExampleController_RefuseForRoom() {
	var ctl admission.Controller
	ctl.UpdateShares(0, []fairshare.Share{{Key: fairshare.Key{Service: "svc", Workspace: "a"}, Admitted: 0.5, Drain: 2 * time.Second}})
	for _, random := range []float64{0.4, 0.6} {
		fmt.Println(ctl.RefuseForRoom(time.Second, 0, urgentJob("a"), constant(random)))
	}
	// Output:
	// 0s false
	// 2.6s true
}
