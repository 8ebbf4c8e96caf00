package cli

import (
	"fmt"
	"io"
	"net/http"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
)

var cmdDrain = Command{
	Name:    "drain",
	Summary: "drain a node or a worker",
	Doc: "Drain a node: it hands everything over, finishes what is in flight and ends. Or, with --worker, drain a worker: " +
		"it takes nothing new, and what runs there goes on. It needs --yes.\nExample: tackbeam drain node-2 --yes",
	New: func(env *Env) any { return &drain{env: env} },
}

type drain struct {
	env    *Env
	Worker bool `long:"worker" description:"NAME is a worker's"`
	Yes    bool `long:"yes" description:"allow the drain"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *drain) Execute([]string) error {
	if !cm.Yes {
		return fault.New(fault.Denied, "draining %s needs --yes", cm.Args.Name)
	}
	body := api.DrainRequest{Node: cm.Args.Name}
	if cm.Worker {
		body = api.DrainRequest{Worker: cm.Args.Name}
	}
	got, err := client.Send[api.DrainRequest](cm.env.client(), client.Request{
		Method: http.MethodPost, Path: api.PathDrain,
		Headers: map[string]string{api.HeaderAllow: api.AllowDrain},
	}, body)
	if err != nil {
		return err
	}
	return cm.env.print(got, func(out io.Writer) { _, _ = fmt.Fprintf(out, "%s is draining\n", cm.Args.Name) })
}
