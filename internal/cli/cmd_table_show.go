package cli

import (
	"io"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/table"
)

var cmdTableShow = Command{
	Name:    "table show",
	Summary: "show all rows of the table",
	Doc:     "Show the rows of workspaces and workloads with the values in force. A value in parentheses is the column's default.",
	New:     func(env *Env) any { return &tableShow{env: env} },
}

type tableShow struct {
	env *Env
}

// Execute implements flags.Commander.
func (cm *tableShow) Execute([]string) error {
	tb, err := client.JSON[api.Table](cm.env.client(), client.Request{Method: "GET", Path: api.PathTable})
	if err != nil {
		return err
	}
	return cm.env.print(tb, func(out io.Writer) { printRows(out, tb.Rows) })
}

func printRows(out io.Writer, rows []table.Row) {
	for _, kd := range column.Kinds() {
		head := []string{string(kd)}
		for _, cl := range column.Of(kd) {
			head = append(head, cl.Name())
		}
		gr := newGrid(out, head...)
		for _, row := range rows {
			if row.Kind == kd {
				gr.line(rowCells(row)...)
			}
		}
		gr.flush()
	}
}

func rowCells(row table.Row) []string {
	cells := []string{row.Name}
	for _, cl := range column.Of(row.Kind) {
		switch value := row.Cells[cl.Name()]; {
		case value != "":
			cells = append(cells, value)
		case cl.Default() != "":
			cells = append(cells, "("+cl.Default()+")")
		default:
			cells = append(cells, "-")
		}
	}
	return cells
}
