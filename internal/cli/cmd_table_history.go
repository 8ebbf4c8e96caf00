package cli

import (
	"io"
	"time"

	"tackbeam.example/tackbeam/internal/table"
)

var cmdTableHistory = Command{
	Name:    "table history",
	Summary: "show the last edits of a row",
	Doc:     "Show the last 32 edits of a row, newest first: when, by whom, which column, and both values.",
	New:     func(env *Env) any { return &tableHistory{env: env} },
}

type tableHistory struct {
	env  *Env
	Args struct {
		Row string `positional-arg-name:"ROW" required:"yes" description:"workspace/NAME or workload/NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *tableHistory) Execute([]string) error {
	row, err := cm.env.getRow(cm.Args.Row)
	if err != nil {
		return err
	}
	return cm.env.print(row.History, func(out io.Writer) { printHistory(out, row) })
}

func printHistory(out io.Writer, row table.Row) {
	gr := newGrid(out, "when", "who", "column", "old", "new")
	for _, ed := range row.History {
		gr.line(ed.At.Format(time.DateTime), orDash(ed.By), ed.Column, orDash(ed.Old), orDash(ed.New))
	}
	gr.flush()
}
