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

// TestWorkerTakeover stops a node while a task runs on a worker that it owns. With
// fencing and an inventory, the task must keep running under the new owner. Otherwise
// the new owner must wait until the previous owner's lease has expired, by when the
// task has been stopped, and run it again. It must never run twice at the same time.
// The test logs how long the takeover took.
func TestWorkerTakeover(t *testing.T) {
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
			bd := newTestbedWith(t, 1, standinworker.Options{
				LeaseTTL: time.Second, HeartbeatInterval: 200 * time.Millisecond, Capabilities: tc.capabilities,
			}, "n1")
			setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch", "workload/push repeatable yes")
			vw, err := client.Send[api.Job](bd.api("n1"), client.Request{Method: "POST", Path: api.PathJobs},
				api.JobRequest{Workload: "push", Workspace: "brno", Payload: map[string]any{"run": 8, "mark": "m"}})
			must(t, err)
			bd.eventually("the task runs", func() bool { return len(sortedRecords(bd)) == 1 })
			bd.start("n2")
			began := time.Now()
			must(t, bd.nodes["n1"].Stop())
			delete(bd.nodes, "n1")
			bd.waitSlots(8)
			t.Logf("the worker accepted work again %v after the stop started", time.Since(began).Round(10*time.Millisecond))
			bd.eventually("the job has ended", func() bool {
				vw, err = client.JSON[api.Job](bd.api("n2"), client.Request{Method: "GET", Path: api.PathJobs + "/" + vw.ID})
				return err == nil && vw.Answer != ""
			})
			is.Equal(vw.Answer, "ran")
			is.Equal(vw.Result, "ok")
			begins, running := 0, 0
			for _, rc := range sortedRecords(bd) {
				switch rc.Event {
				case standinworker.EventBegin:
					begins++
					running++
				case standinworker.EventEnd:
					running--
				}
				is.True(running <= 1) // never twice at the same time
			}
			is.Equal(begins, tc.begins)
		})
	}
}
