package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/table"
)

var cmdTableSet = Command{
	Name:    "table set",
	Summary: "set one cell",
	Doc: "Set one cell of a row; the row is made if it is not there, and an empty value empties the cell. " +
		"With --expect the edit is made only if the cell still has that value; the loser of a race is told both values. " +
		"With --wait the command fails, naming the nodes, unless every node has the edit in force.\n" +
		"Example: tackbeam table set workspace/brno weight 3 --wait",
	New: func(env *Env) any { return &tableSet{env: env} },
}

type tableSet struct {
	env    *Env
	Expect *string `long:"expect" description:"value that the cell must still have"`
	Wait   bool    `long:"wait" description:"fail unless every node confirms"`
	Args   struct {
		Row    string `positional-arg-name:"ROW" required:"yes" description:"workspace/NAME or workload/NAME"`
		Column string `positional-arg-name:"COLUMN" required:"yes"`
		Value  string `positional-arg-name:"VALUE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *tableSet) Execute([]string) error {
	path, err := rowPath(cm.Args.Row)
	if err != nil {
		return err
	}
	result, err := client.Send[table.EditResult](cm.env.client(), client.Request{
		Method: http.MethodPut, Path: path + "/" + cm.Args.Column,
		Headers: map[string]string{api.HeaderOperator: os.Getenv("USER")},
	}, api.CellRequest{Value: cm.Args.Value, Expect: cm.Expect, Wait: cm.Wait})
	if err != nil {
		return err
	}
	if err := cm.env.print(result, func(out io.Writer) { printEditResult(out, cm.Args.Row, result) }); err != nil {
		return err
	}
	if cm.Wait && len(result.Unconfirmed) > 0 {
		return fault.New(fault.NotConfirmed, "the edit is kept; not yet confirmed by %s", strings.Join(result.Unconfirmed, ", "))
	}
	return nil
}

func printEditResult(out io.Writer, name string, result table.EditResult) {
	_, _ = fmt.Fprintf(out, "%s is kept as version %d, in force on %s\n",
		name, result.Row.Version, strings.Join(result.Confirmed, ", "))
	if len(result.Unconfirmed) > 0 {
		_, _ = fmt.Fprintf(out, "not yet confirmed by %s\n", strings.Join(result.Unconfirmed, ", "))
	}
}
