package cli

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/evacuation"
)

var cmdEvacuations = Command{
	Name:    "evacuations",
	Summary: "show the evacuated data halls on the users' platform",
	Doc: "Show each data hall that the operators have evacuated, for how long the planner has known of it, and how many runs its " +
		"workers still have. Any node answers; --node is its metrics address.\n" +
		"Example: tackbeam evacuations --node 10.1.0.11:9464",
	New: func(env *Env) any { return &evacuations{env: env} },
}

type evacuations struct{ env *Env }

// Execute implements flags.Commander.
func (cm *evacuations) Execute([]string) error {
	list, err := client.JSON[[]evacuation.Status](cm.env.client(), client.Request{Method: "GET", Path: api.PathEvacuations})
	if err != nil {
		return err
	}
	return cm.env.print(list, func(out io.Writer) { printEvacuations(out, list) })
}

func printEvacuations(out io.Writer, list []evacuation.Status) {
	if len(list) == 0 {
		_, _ = fmt.Fprintln(out, "no data hall is evacuated")
		return
	}
	gr := newGrid(out, "hall", "known for", "runs")
	for _, ev := range list {
		known := time.Duration(ev.KnownForMS) * time.Millisecond
		gr.line(ev.Hall, known.Round(time.Second).String(), strconv.Itoa(ev.Runs))
	}
	gr.flush()
}
