package cli

import (
	"fmt"

	"tackbeam.example/tackbeam/internal/version"
)

var cmdVersion = Command{
	Name:    "version",
	Summary: "print the release",
	Doc:     "Print the release of this program.",
	New:     func(env *Env) any { return &versionCommand{env: env} },
}

type versionCommand struct{ env *Env }

// Execute implements flags.Commander.
func (cm *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(cm.env.Out, "tackbeam", version.Release)
	return err
}
