package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/replay"
)

var cmdReplay = Command{
	Name:    "replay",
	Summary: "decide again from recorded traces",
	Doc: "Feed the inputs that a node recorded (setting record.path) to the decisions again, under the trace's own times, " +
		"and check that the decisions come out as recorded. Ends with an error where one differs.",
	New: func(env *Env) any { return &replayCommand{env: env} },
}

type replayCommand struct {
	env  *Env
	Args struct {
		Traces []string `positional-arg-name:"TRACE" required:"1"`
	} `positional-args:"yes"`
}

// Execute carries the command out.
func (cm *replayCommand) Execute([]string) error {
	var reports []replay.Report
	differ := 0
	for _, path := range cm.Args.Traces {
		rp, err := replayFile(path)
		if err != nil {
			return err
		}
		differ += rp.Differences
		reports = append(reports, rp)
	}
	err := cm.env.print(reports, func(out io.Writer) { printReplays(out, cm.Args.Traces, reports) })
	if err == nil && differ > 0 {
		err = fault.New(fault.WrongAnswer, "%d decisions differ from the trace", differ)
	}
	return err
}

func replayFile(path string) (replay.Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return replay.Report{}, fault.New(fault.BadRequest, "%v", err)
	}
	defer func() { _ = file.Close() }() // only read
	return replay.Run(file, time.Now)
}

func printReplays(out io.Writer, paths []string, reports []replay.Report) {
	gr := newGrid(out, "trace", "node", "inputs", "decisions", "differences", "span", "took", "inputs/s")
	for i, rp := range reports {
		rate := "-"
		if rp.Took > 0 {
			rate = fmt.Sprintf("%.0f", float64(rp.Inputs)/rp.Took.Seconds())
		}
		gr.line(paths[i], rp.Node, fmt.Sprint(rp.Inputs), fmt.Sprint(rp.Decisions),
			fmt.Sprint(rp.Differences), rp.Span.Round(time.Millisecond).String(),
			rp.Took.Round(time.Microsecond).String(), rate)
	}
	gr.flush()
	for _, rp := range reports {
		if rp.First != "" {
			_, _ = fmt.Fprintln(out, "first difference:", rp.First)
		}
	}
}
