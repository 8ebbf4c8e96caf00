package daemon_test

import (
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// TestCheckpoint ends an attempt of a repeatable job after a checkpoint. The next
// attempt goes on from what was saved, every task of it, and does not begin anew.
func TestCheckpoint(t *testing.T) {
	cases := map[string]struct {
		workload string
		tasks    int
		begun    int
		end      func(bd *bed, worker string)
	}{
		"a gang loses a worker": {"rebuild", 3, 6, func(bd *bed, worker string) {
			for _, wk := range bd.workers.Workers() {
				if wk.Options().Name == worker {
					_ = wk.Close()
				}
			}
		}},
		"a task gives way to an urgent one": {"push", 1, 2, func(bd *bed, _ string) {
			for range 4 { // one of them takes the task's worker
				_, err := submitJob(bd.api("n1"), "urgent", "urgent", 1, 0.1, 0)
				must(bd.t, err)
			}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newBed(t, 4, "n1")
			cl := bd.api("n1")
			fill(t, cl)
			setCells(t, cl, "workload/rebuild class gang", "workload/rebuild processors 64", "workload/rebuild repeatable yes")
			vw, err := submitJob(cl, tc.workload, "job", tc.tasks, 2, 0)
			is.NoErr(err)
			path := api.PathJobs + "/" + vw.ID
			bd.eventually("work was saved", func() bool {
				vw, err = client.JSON[api.Job](cl, client.Request{Method: "GET", Path: path})
				return err == nil && vw.Saved > 0
			})
			tc.end(bd, vw.Tasks[0].Worker)
			vw = bd.ended(vw.ID)
			is.Equal(vw.Answer, "ran")
			is.Equal(vw.Result, "ok")
			begun, resumed := 0, 0
			for _, rc := range inOrder(bd) {
				if rc.Mark != "job" || rc.Event != standinworker.EventBegin {
					continue
				}
				begun++
				if rc.Resume > 0 {
					resumed++
				}
			}
			is.Equal(begun, tc.begun)
			is.Equal(resumed, tc.begun/2) // all of the second attempt
		})
	}
}
