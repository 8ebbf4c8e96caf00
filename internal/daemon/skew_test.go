package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// submitWithKey submits a job with an idempotency key and waits for its end.
func submitWithKey(cl *client.Client, key string, deadlineIn float64) (api.Job, error) {
	return client.Send[api.Job](cl, client.Request{
		Method: "POST", Path: api.PathJobs, Query: map[string]string{"wait": "10"}, Wait: 10 * time.Second,
		Headers: map[string]string{api.HeaderIdempotencyKey: key},
	}, api.JobRequest{
		Workload: "push", Workspace: "brno", DeadlineIn: &deadlineIn, Payload: map[string]any{"mark": key},
	})
}

// TestClockSkew lets a node whose clock is off by two days take over jobs. It must keep
// an idempotency key for the whole retention time, although the key looks expired by
// its clock, and a deadline in seconds must be measured on the home's own clock.
func TestClockSkew(t *testing.T) {
	cases := map[string]time.Duration{"ahead": 48 * time.Hour, "behind": -48 * time.Hour}
	for name, offset := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newTestbed(t, 4)
			bd.clockOffsets = map[string]time.Duration{"n2": offset}
			bd.keepJobs = 2 * time.Minute // checked every 1.2 s
			bd.start("n1")
			setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch")
			vw, err := submitWithKey(bd.api("n1"), "first", 60)
			is.NoErr(err)
			is.Equal(vw.Answer, "ran")
			bd.start("n2")
			must(t, bd.nodes["n1"].Stop())
			delete(bd.nodes, "n1")
			bd.waitSlots(32)
			time.Sleep(3 * time.Second) // for the new home to check for expired jobs
			bd.eventually("the new home responds", func() bool {
				vw, err = submitWithKey(bd.api("n2"), "first", 60)
				return err == nil
			})
			is.Equal(vw.Answer, "ran")
			starts := 0
			for _, rc := range sortedRecords(bd) {
				if rc.Mark == "first" && rc.Event == standinworker.EventBegin {
					starts++
				}
			}
			is.Equal(starts, 1) // the key was kept
			bd.start("n3")
			for _, name := range []string{"n2", "n3"} { // at least one of them is not the home
				vw, err = submitWithKey(bd.api(name), "to "+name, 60)
				is.NoErr(err)
				is.Equal(vw.Answer, "ran") // the deadline is in one minute on both clocks
			}
		})
	}
}
