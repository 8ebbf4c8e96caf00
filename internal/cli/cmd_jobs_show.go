package cli

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdJobsShow = Command{
	Name:    "jobs show",
	Summary: "show one job",
	Doc:     "Show a job: its state, its answer, where each task ran, and why it waits.",
	New:     func(env *Env) any { return &jobsShow{env: env} },
}

type jobsShow struct {
	env  *Env
	Wait float64 `long:"wait" description:"seconds to wait for the end"`
	Args struct {
		Job string `positional-arg-name:"JOB" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *jobsShow) Execute([]string) error {
	vw, err := client.JSON[api.Job](cm.env.client(), client.Request{
		Method: "GET", Path: api.PathJobs + "/" + cm.Args.Job,
		Query: map[string]string{"wait": strconv.FormatFloat(cm.Wait, 'f', -1, 64)},
		Wait:  time.Duration(cm.Wait * float64(time.Second)),
	})
	if err != nil {
		return err
	}
	return cm.env.print(vw, func(out io.Writer) { printJob(out, vw) })
}

func printJob(out io.Writer, vw api.Job) {
	_, _ = fmt.Fprintf(out, "job %s of %s for %s: %s", vw.ID, vw.Workload, vw.Workspace, vw.State)
	if vw.Answer != "" {
		_, _ = fmt.Fprintf(out, ", %s", vw.Answer)
	}
	if vw.Result != "" {
		_, _ = fmt.Fprintf(out, " (%s)", vw.Result)
	}
	if vw.Reason != "" {
		_, _ = fmt.Fprintf(out, ": %s", vw.Reason)
	}
	_, _ = fmt.Fprintf(out, "\nattempt %d, home %s\n", vw.Attempt, vw.Home)
	if len(vw.Tasks) == 0 {
		return
	}
	gr := newGrid(out, "task", "worker", "state")
	for _, tk := range vw.Tasks {
		gr.line(tk.ID, tk.Worker, tk.State)
	}
	gr.flush()
}
