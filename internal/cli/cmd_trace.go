package cli

import (
	"fmt"
	"strings"

	"tackbeam.example/tackbeam/internal/trace"
)

var cmdTrace = Command{
	Name:    "trace",
	Summary: "make a workload trace",
	Doc: "Make one of the workload traces that the decisions are measured by, and write it to a file; a name that ends in .gz is compressed. " +
		"The same seed gives the same trace. The traces are: " + strings.Join(trace.Names(), ", ") + ".",
	New: func(env *Env) any { return &traceCommand{env: env} },
}

type traceCommand struct {
	env  *Env
	Seed uint64 `long:"seed" default:"1" description:"where the chance begins"`
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *traceCommand) Execute([]string) error {
	tr, err := trace.Generate(cm.Args.Name, cm.Seed)
	if err != nil {
		return err
	}
	if err := tr.Save(cm.Args.File); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cm.env.Out, "%s: %d events over %v\n", cm.Args.File, len(tr.Events()), tr.Header().Span)
	return err
}
