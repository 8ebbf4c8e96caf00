package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// keyed submits a job under a key and waits for its end.
func keyed(cl *client.Client, key string, deadlineIn float64) (api.Job, error) {
	return client.Send[api.Job](cl, client.Request{
		Method: "POST", Path: api.PathJobs, Query: map[string]string{"wait": "10"}, Wait: 10 * time.Second,
		Headers: map[string]string{api.HeaderKey: key},
	}, api.JobRequest{
		Workload: "push", Workspace: "brno", DeadlineIn: &deadlineIn, Payload: map[string]any{"mark": key},
	})
}

// TestSkewedClocks lets a node whose clock is two days off take jobs over. An
// idempotency key is kept for its time though that node believes it is long past,
// and a deadline given in seconds counts on the home's own clock.
func TestSkewedClocks(t *testing.T) {
	cases := map[string]time.Duration{"ahead": 48 * time.Hour, "behind": -48 * time.Hour}
	for name, ahead := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newBed(t, 4)
			bd.skew = map[string]time.Duration{"n2": ahead}
			bd.keep = 2 * time.Minute // looked at each 1.2 s
			bd.start("n1")
			setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch")
			vw, err := keyed(bd.api("n1"), "first", 60)
			is.NoErr(err)
			is.Equal(vw.Answer, "ran")
			bd.start("n2")
			must(t, bd.nodes["n1"].Stop())
			delete(bd.nodes, "n1")
			bd.waitSlots(32)
			time.Sleep(3 * time.Second) // for the new home to look at what it may forget
			bd.eventually("the new home answers", func() bool {
				vw, err = keyed(bd.api("n2"), "first", 60)
				return err == nil
			})
			is.Equal(vw.Answer, "ran")
			begun := 0
			for _, rc := range inOrder(bd) {
				if rc.Mark == "first" && rc.Event == standinworker.EventBegin {
					begun++
				}
			}
			is.Equal(begun, 1) // the key was not forgotten
			bd.start("n3")
			for _, name := range []string{"n2", "n3"} { // one of them is not the home
				vw, err = keyed(bd.api(name), "to "+name, 60)
				is.NoErr(err)
				is.Equal(vw.Answer, "ran") // the deadline is a minute on either clock
			}
		})
	}
}
