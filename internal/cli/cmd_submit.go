package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
)

var cmdSubmit = Command{
	Name:    "submit",
	Summary: "submit a job",
	Doc: "Submit a job of a workload for a workspace. With --wait it answers when the job is done: ran, not-run or unknown. " +
		"With --key a repeated submission is the same job; without, the command makes a key up, so that its own retries are safe.\n" +
		"Example: tackbeam submit price-push --workspace brno --payload '{\"run\":0.1}' --wait 30",
	New: func(env *Env) any { return &submit{env: env} },
}

type submit struct {
	env          *Env
	Workspace    string   `short:"w" long:"workspace" required:"yes" description:"workspace that the job is for"`
	Key          string   `long:"key" description:"idempotency key"`
	Tasks        int      `long:"tasks" default:"1" description:"tasks that must all start together"`
	Processors   *float64 `long:"processors" description:"cores of one task; the row's value if left out"`
	Memory       *int64   `long:"memory" description:"MiB of one task"`
	Accelerators *int64   `long:"accelerators" description:"accelerators of one task"`
	DeadlineIn   *float64 `long:"deadline-in" description:"seconds by which the job must have started"`
	Payload      string   `long:"payload" description:"JSON for the task; @FILE reads a file, @- standard input"`
	Wait         float64  `long:"wait" description:"seconds to wait for the end"`
	Args         struct {
		Workload string `positional-arg-name:"WORKLOAD" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *submit) Execute([]string) error {
	payload, err := cm.payload()
	if err != nil {
		return err
	}
	if cm.Key == "" {
		cm.Key = "cli-" + ids.Random(10)
	}
	vw, err := client.Send[api.Job](cm.env.client(), client.Request{
		Method: http.MethodPost, Path: api.PathJobs,
		Query:   map[string]string{"wait": strconv.FormatFloat(cm.Wait, 'f', -1, 64)},
		Headers: map[string]string{api.HeaderIdempotencyKey: cm.Key},
		Wait:    time.Duration(cm.Wait * float64(time.Second)),
	}, api.JobRequest{
		Workload: cm.Args.Workload, Workspace: cm.Workspace, Tasks: cm.Tasks,
		Processors: cm.Processors, Memory: cm.Memory, Accelerators: cm.Accelerators,
		DeadlineIn: cm.DeadlineIn, Payload: payload,
	})
	if err != nil {
		return err
	}
	return cm.env.print(vw, func(out io.Writer) { printJob(out, vw) })
}

func (cm *submit) payload() (any, error) {
	text := []byte(cm.Payload)
	if len(text) == 0 {
		return nil, nil
	}
	if text[0] == '@' {
		raw, err := cm.env.readFile(cm.Payload[1:])
		if err != nil {
			return nil, err
		}
		text = raw
	}
	if !json.Valid(text) {
		return nil, fault.New(fault.BadRequest, "--payload is not JSON")
	}
	return json.RawMessage(text), nil
}
