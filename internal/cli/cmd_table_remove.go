package cli

import (
	"fmt"
	"io"
	"net/http"

	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/table"
)

var cmdTableRemove = Command{
	Name:    "table remove",
	Summary: "remove one row",
	Doc:     "Remove a row. Requests that name it are refused from then on; jobs that were accepted go on. It needs --yes.",
	New:     func(env *Env) any { return &tableRemove{env: env} },
}

type tableRemove struct {
	env  *Env
	Yes  bool `long:"yes" description:"allow the removal"`
	Args struct {
		Row string `positional-arg-name:"ROW" required:"yes" description:"workspace/NAME or workload/NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *tableRemove) Execute([]string) error {
	if !cm.Yes {
		return fault.New(fault.Denied, "removing %s needs --yes", cm.Args.Row)
	}
	path, err := rowPath(cm.Args.Row)
	if err != nil {
		return err
	}
	result, err := client.JSON[table.EditResult](cm.env.client(), client.Request{Method: http.MethodDelete, Path: path})
	if err != nil {
		return err
	}
	return cm.env.print(result, func(out io.Writer) { _, _ = fmt.Fprintf(out, "%s is removed\n", cm.Args.Row) })
}
