package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// TestTakeoverOfWorkers stops a node while a task runs on a worker. With fencing
// and an inventory the task runs on under its new owner. Without, the new owner
// waits until the former one's lease has surely run out; the task has ended by
// then, and runs again, never twice at once. The log shows what that costs.
func TestTakeoverOfWorkers(t *testing.T) {
	cases := map[string]struct {
		capabilities []workermsg.Capability
		begins       int
	}{
		"fencing and inventory": {[]workermsg.Capability{workermsg.Fencing, workermsg.Inventory}, 1},
		"neither":               {[]workermsg.Capability{}, 2},
		"fencing only":          {[]workermsg.Capability{workermsg.Fencing}, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bd := newBedOf(t, 1, standinworker.Options{
				LeaseTTL: time.Second, HeartbeatInterval: 200 * time.Millisecond, Capabilities: tc.capabilities,
			}, "n1")
			setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch", "workload/push repeatable yes")
			vw, err := client.Send[api.Job](bd.api("n1"), client.Request{Method: "POST", Path: api.PathJobs},
				api.JobRequest{Workload: "push", Workspace: "brno", Payload: map[string]any{"run": 8, "mark": "m"}})
			must(t, err)
			bd.eventually("the task runs", func() bool { return len(inOrder(bd)) == 1 })
			bd.start("n2")
			began := time.Now()
			must(t, bd.nodes["n1"].Stop())
			delete(bd.nodes, "n1")
			bd.waitSlots(8)
			t.Logf("the worker took new work %v after the stop began", time.Since(began).Round(10*time.Millisecond))
			bd.eventually("the job is done", func() bool {
				vw, err = client.JSON[api.Job](bd.api("n2"), client.Request{Method: "GET", Path: api.PathJobs + "/" + vw.ID})
				return err == nil && vw.Answer != ""
			})
			is.Equal(vw.Answer, "ran")
			is.Equal(vw.Result, "ok")
			begins, running := 0, 0
			for _, rc := range inOrder(bd) {
				switch rc.Event {
				case standinworker.EventBegin:
					begins++
					running++
				case standinworker.EventEnd:
					running--
				}
				is.True(running <= 1) // never twice at once
			}
			is.Equal(begins, tc.begins)
		})
	}
}
