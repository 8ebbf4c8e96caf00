package cli

import (
	"fmt"
	"io"
	"strconv"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdWorkers = Command{
	Name:    "workers",
	Summary: "show the workers",
	Doc:     "Show every worker: its place, its owner, its size, and what is committed on it. Sizes are cores/MiB/accelerators.",
	New:     func(env *Env) any { return &workers{env: env} },
}

type workers struct{ env *Env }

// Execute implements flags.Commander.
func (cm *workers) Execute([]string) error {
	list, err := client.JSON[api.Workers](cm.env.client(), client.Request{Method: "GET", Path: api.PathWorkers})
	if err != nil {
		return err
	}
	return cm.env.print(list, func(out io.Writer) { printWorkers(out, list) })
}

func printWorkers(out io.Writer, list api.Workers) {
	gr := newGrid(out, "worker", "hall", "rack", "owner", "state", "size", "committed", "reported", "slots", "tasks")
	for _, wk := range list.Workers {
		gr.line(wk.Name, wk.Hall, wk.Rack, wk.Owner, wk.State, sizeText(wk.Capacity), sizeText(wk.Used),
			sizeText(wk.Reported), fmt.Sprintf("%d/%d", wk.InUse, wk.Slots), strconv.Itoa(wk.Tasks))
	}
	gr.flush()
	printUnreached(out, list.Unreached)
}
