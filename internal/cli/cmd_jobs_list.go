package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdJobsList = Command{
	Name:    "jobs list",
	Summary: "list jobs, newest first",
	Doc:     "List the jobs of all nodes, newest first. Nodes that did not answer are named.",
	New:     func(env *Env) any { return &jobsList{env: env} },
}

type jobsList struct {
	env       *Env
	Workspace string `short:"w" long:"workspace" description:"only jobs of this workspace"`
	Limit     int    `long:"limit" default:"100" description:"at most so many"`
}

// Execute implements flags.Commander.
func (cm *jobsList) Execute([]string) error {
	query := map[string]string{"limit": strconv.Itoa(cm.Limit)}
	if cm.Workspace != "" {
		query["workspace"] = cm.Workspace
	}
	list, err := client.JSON[api.Jobs](cm.env.client(), client.Request{
		Method: "GET", Path: api.PathJobs, Query: query,
	})
	if err != nil {
		return err
	}
	return cm.env.print(list, func(out io.Writer) { printJobs(out, list) })
}

func printJobs(out io.Writer, list api.Jobs) {
	gr := newGrid(out, "job", "workspace", "workload", "tasks", "state", "answer", "result", "submitted", "reason")
	for _, jb := range list.Jobs {
		gr.line(jb.ID, jb.Workspace, jb.Workload, strconv.Itoa(jb.Count), jb.State, orDash(jb.Answer),
			orDash(jb.Result), jb.Submitted.Format(time.DateTime), orDash(jb.Reason))
	}
	gr.flush()
	printUnreached(out, list.Unreached)
}

func printUnreached(out io.Writer, nodes []string) {
	if len(nodes) > 0 {
		_, _ = fmt.Fprintf(out, "no answer from %s\n", strings.Join(nodes, ", "))
	}
}
