package cli

import (
	"fmt"
	"io"
	"strings"

	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/table"
)

var cmdTableGet = Command{
	Name:    "table get",
	Summary: "show one row, or one cell",
	Doc:     "Show a row, named KIND/NAME, or the value in force in one of its cells.\nExample: tackbeam table get workspace/brno weight",
	New:     func(env *Env) any { return &tableGet{env: env} },
}

type tableGet struct {
	env  *Env
	Args struct {
		Row    string `positional-arg-name:"ROW" required:"yes" description:"workspace/NAME or workload/NAME"`
		Column string `positional-arg-name:"COLUMN"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *tableGet) Execute([]string) error {
	row, err := cm.env.getRow(cm.Args.Row)
	if err != nil {
		return err
	}
	if cm.Args.Column == "" {
		return cm.env.print(row, func(out io.Writer) { printRow(out, row) })
	}
	cl, err := column.Find(row.Kind, cm.Args.Column)
	if err != nil {
		return err
	}
	return cm.env.print(row.Cell(cl), func(out io.Writer) { _, _ = fmt.Fprintln(out, row.Cell(cl)) })
}

// getRow reads one row of the table from a node.
func (env *Env) getRow(name string) (table.Row, error) {
	path, err := rowPath(name)
	if err != nil {
		return table.Row{}, err
	}
	return client.JSON[table.Row](env.client(), client.Request{Method: "GET", Path: path})
}

func rowPath(name string) (string, error) {
	kind, row, ok := strings.Cut(name, "/")
	if !ok || kind == "" || row == "" || strings.Contains(row, "/") {
		return "", fault.New(fault.BadRequest, "row %q: name it workspace/NAME or workload/NAME", name)
	}
	return "/v1/table/" + kind + "/" + row, nil
}

func printRow(out io.Writer, row table.Row) {
	gr := newGrid(out, "column", "value", "unit", "meaning")
	for _, cl := range column.Of(row.Kind) {
		gr.line(cl.Name(), orDash(row.Cell(cl)), orDash(cl.Unit()), cl.Meaning())
	}
	gr.flush()
}
