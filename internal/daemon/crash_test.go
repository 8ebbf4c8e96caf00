package daemon_test

import (
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

// TestWorkerCrash kills the worker that runs a task, so that the end of the task is
// never reported. The job must end as unknown after the worker's lease has expired.
func TestWorkerCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bd := newTestbed(t, 1, "n1")
	cl := bd.api("n1")
	setCells(t, cl, "workspace/brno weight 1", "workload/push class batch")
	vw, err := submitJob(cl, "push", "m", 1, 600, 0)
	is.NoErr(err)
	bd.eventually("the task runs", func() bool { return len(sortedRecords(bd)) == 1 })
	is.NoErr(bd.workers.Workers()[0].Close())
	bd.eventually("the job has ended", func() bool {
		vw, err = client.JSON[api.Job](cl, client.Request{Method: "GET", Path: api.PathJobs + "/" + vw.ID})
		return err == nil && vw.Answer != ""
	})
	is.Equal(vw.Answer, "unknown") // the task started, and its result is not known
}
