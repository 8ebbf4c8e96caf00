package daemon_test

import (
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

// TestDeadWorker kills the worker that runs a task. Nobody reports the task's
// end; once its lease has surely run out the job is answered as unknown.
func TestDeadWorker(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bd := newBed(t, 1, "n1")
	cl := bd.api("n1")
	setCells(t, cl, "workspace/brno weight 1", "workload/push class batch")
	vw, err := submitJob(cl, "push", "m", 1, 600, 0)
	is.NoErr(err)
	bd.eventually("the task runs", func() bool { return len(inOrder(bd)) == 1 })
	is.NoErr(bd.workers.Workers()[0].Close())
	bd.eventually("the job is answered", func() bool {
		vw, err = client.JSON[api.Job](cl, client.Request{Method: "GET", Path: api.PathJobs + "/" + vw.ID})
		return err == nil && vw.Answer != ""
	})
	is.Equal(vw.Answer, "unknown") // it began, and how it ended nobody knows
}
