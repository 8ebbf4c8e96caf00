package cli

import (
	"io"
	"net/http"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdJobsCancel = Command{
	Name:    "jobs cancel",
	Summary: "cancel a job",
	Doc:     "Cancel a job. One that waits is not run; the tasks of one that runs are stopped. A job that is done stays as it ended.",
	New:     func(env *Env) any { return &jobsCancel{env: env} },
}

type jobsCancel struct {
	env  *Env
	Args struct {
		Job string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *jobsCancel) Execute([]string) error {
	vw, err := client.JSON[api.Job](cm.env.client(), client.Request{
		Method: http.MethodDelete, Path: api.PathJobs + "/" + cm.Args.Job,
	})
	if err != nil {
		return err
	}
	return cm.env.print(vw, func(out io.Writer) { printJob(out, vw) })
}
