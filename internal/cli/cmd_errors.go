package cli

import (
	"io"
	"sort"
	"strconv"

	"tackbeam.example/tackbeam/internal/fault"
)

var cmdErrors = Command{
	Name:    "errors",
	Summary: "list the kinds of errors and their exit codes",
	Doc:     "List every kind of error with its HTTP status, exit code and meaning, and whether the same request may succeed later.",
	New:     func(env *Env) any { return &errorsCommand{env: env} },
}

type errorsCommand struct{ env *Env }

// errorRow is the JSON output for one kind of error.
type errorRow struct {
	Kind      fault.Kind `json:"kind"`
	Status    int        `json:"status"`
	Exit      int        `json:"exit"`
	Retryable bool       `json:"again"`
	Meaning   string     `json:"meaning"`
}

// Execute implements flags.Commander.
func (cm *errorsCommand) Execute([]string) error {
	var rows []errorRow
	for kd, an := range fault.Kinds() {
		rows = append(rows, errorRow{kd, an.Status(), an.ExitCode(), an.Retryable(), an.Description()})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Exit < rows[j].Exit })
	return cm.env.print(rows, func(out io.Writer) {
		gr := newGrid(out, "kind", "status", "exit", "again", "meaning")
		for _, rw := range rows {
			gr.line(string(rw.Kind), strconv.Itoa(rw.Status), strconv.Itoa(rw.Exit), yesNo(rw.Retryable), rw.Meaning)
		}
		gr.flush()
	})
}

func yesNo(ok bool) string {
	if ok {
		return "yes"
	}
	return "no"
}
