package daemon_test

import (
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// TestResumeFromCheckpoint interrupts an attempt of a repeatable job after a
// checkpoint. All tasks of the next attempt must resume from the checkpoint instead
// of starting from the beginning.
func TestResumeFromCheckpoint(t *testing.T) {
	cases := map[string]struct {
		workload  string
		tasks     int
		starts    int
		interrupt func(bd *testbed, worker string)
	}{
		"a gang loses a worker": {"rebuild", 3, 6, func(bd *testbed, worker string) {
			for _, wk := range bd.workers.Workers() {
				if wk.Options().Name == worker {
					_ = wk.Close()
				}
			}
		}},
		"a task is preempted by an urgent one": {"push", 1, 2, func(bd *testbed, _ string) {
			for range 4 { // one of them preempts the task
				_, err := submitJob(bd.api("n1"), "urgent", "urgent", 1, 0.1, 0)
				must(bd.t, err)
			}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newTestbed(t, 4, "n1")
			cl := bd.api("n1")
			setTable(t, cl)
			setCells(t, cl, "workload/rebuild class gang", "workload/rebuild processors 64", "workload/rebuild repeatable yes")
			vw, err := submitJob(cl, tc.workload, "job", tc.tasks, 2, 0)
			is.NoErr(err)
			path := api.PathJobs + "/" + vw.ID
			bd.eventually("a checkpoint is saved", func() bool {
				vw, err = client.JSON[api.Job](cl, client.Request{Method: "GET", Path: path})
				return err == nil && vw.Saved > 0
			})
			tc.interrupt(bd, vw.Tasks[0].Worker)
			vw = bd.waitJob(vw.ID)
			is.Equal(vw.Answer, "ran")
			is.Equal(vw.Result, "ok")
			starts, resumed := 0, 0
			for _, rc := range sortedRecords(bd) {
				if rc.Mark != "job" || rc.Event != standinworker.EventBegin {
					continue
				}
				starts++
				if rc.Resume > 0 {
					resumed++
				}
			}
			is.Equal(starts, tc.starts)
			is.Equal(resumed, tc.starts/2) // all tasks of the second attempt
		})
	}
}
