package cli

import (
	"fmt"
	"io"
	"net/http"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

var cmdLookup = Command{
	Name:    "lookup",
	Summary: "send a lookup",
	Doc: "Send a lookup to a service and print its answer. With --check the answer must be the one that a stand-in worker " +
		"gives to this very body; any other ends the command with an error.\n" +
		"Example: tackbeam lookup stock-lookup --workspace brno 'brake pad 42'",
	New: func(env *Env) any { return &lookup{env: env} },
}

type lookup struct {
	env       *Env
	Workspace string `short:"w" long:"workspace" required:"yes" description:"workspace that asks"`
	Check     bool   `long:"check" description:"check the answer against the stand-in's"`
	Args      struct {
		Workload string `positional-arg-name:"WORKLOAD" required:"yes"`
		Body     string `positional-arg-name:"BODY" description:"text to send; @FILE reads a file, @- standard input"`
	} `positional-args:"yes"`
}

// lookupAnswer is the JSON output for the answer to a lookup.
type lookupAnswer struct {
	Worker string `json:"worker"`
	Answer string `json:"answer"`
	Stale  bool   `json:"stale,omitempty"`
}

// Execute implements flags.Commander.
func (cm *lookup) Execute([]string) error {
	body := []byte(cm.Args.Body)
	if len(body) > 0 && body[0] == '@' {
		raw, err := cm.env.readFile(cm.Args.Body[1:])
		if err != nil {
			return err
		}
		body = raw
	}
	rsp, err := cm.env.client().Do(client.Request{
		Method: http.MethodPost, Path: "/v1/lookups/" + cm.Args.Workload, Body: body,
		Headers: map[string]string{api.HeaderWorkspace: cm.Workspace},
	})
	if err != nil {
		return err
	}
	if want := standinworker.ExpectedAnswer(body); cm.Check && string(want) != string(rsp.Body) {
		return fault.New(fault.WrongAnswer, "asked %q, got %q", body, rsp.Body)
	}
	an := lookupAnswer{Worker: rsp.Worker, Answer: string(rsp.Body), Stale: rsp.Stale}
	return cm.env.print(an, func(out io.Writer) {
		_, _ = fmt.Fprintf(out, "%s\n(from worker %s)\n", an.Answer, an.Worker)
	})
}
