package cellnode_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestBatchThroughPeer submits a job to a node that the store has just begun to ignore. Its caller must learn within its
// timeout that the job is accepted, whether or not the node's own write took effect, and the job must run once. If no node
// gets an answer, the outcome is unknown.
func TestBatchThroughPeer(t *testing.T) {
	for name, tc := range map[string]struct {
		fault   memkv.Fault
		ignored []string
		kind    fault.Kind // of the error, empty if the job is accepted
	}{
		"writes are lost":            {memkv.RequestLost, []string{"n2"}, ""},
		"answers are lost":           {memkv.ResponseLost, []string{"n2"}, ""},
		"answers of all nodes are":   {memkv.ResponseLost, []string{"n1", "n2"}, fault.Timeout},
		"writes of all nodes are":    {memkv.RequestLost, []string{"n1", "n2"}, fault.Timeout},
		"this node's are refused":    {memkv.Refused, []string{"n2"}, ""},
		"those of all nodes refused": {memkv.Refused, []string{"n1", "n2"}, fault.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			dp := newDeployment(t)
			first := dp.start("n1")
			dp.awaitPlanner("the first node plans", first)
			second := dp.start("n2")
			dp.awaitPlanner("the second node knows the planner", second)
			ignored := map[string]bool{}
			for _, node := range tc.ignored {
				ignored[node] = true
			}
			dp.store.SetFault(func(client, call string) memkv.Fault {
				if ignored[client] && call == "commit" {
					return tc.fault
				}
				return memkv.None
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err := second.Submit(ctx, second.View(), routes.Caller{}, &work.Job{
				ID: "job", Spec: "job", Queue: queue, Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0)}},
			})
			if tc.kind != "" {
				is.True(fault.Is(err, tc.kind))
				return
			}
			is.NoErr(err)
			dp.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
			dp.waitFor("the job succeeds", func() bool {
				phase, err := first.State(t.Context(), first.View(), routes.Caller{}, "job")
				return err == nil && phase == cell.Succeeded
			})
			is.Equal(len(dp.fleet.Starts()), 1)
		})
	}
}
