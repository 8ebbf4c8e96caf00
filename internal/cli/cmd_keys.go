package cli

import (
	"fmt"

	"tackbeam.example/tackbeam/internal/keys"
)

var cmdKeys = Command{
	Name:    "keys",
	Summary: "make a test set of certificates",
	Doc: "Make a signer and a certificate for each node in a directory, for demos and tests. The signer's key is not kept.\n" +
		"Example: tackbeam keys ./keys node-1 node-2 node-3",
	New: func(env *Env) any { return &keysCommand{env: env} },
}

type keysCommand struct {
	env  *Env
	Args struct {
		Dir   string   `positional-arg-name:"DIR" required:"yes"`
		Nodes []string `positional-arg-name:"NODE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *keysCommand) Execute([]string) error {
	if err := keys.Issue(cm.Args.Dir, cm.Args.Nodes); err != nil {
		return err
	}
	_, err := fmt.Fprintf(cm.env.Out, "made certificates of %d nodes in %s\n", len(cm.Args.Nodes), cm.Args.Dir)
	return err
}
