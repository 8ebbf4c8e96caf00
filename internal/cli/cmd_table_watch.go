package cli

import (
	"io"
	"strconv"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdTableWatch = Command{
	Name:    "table watch",
	Summary: "print rows as they change",
	Doc:     "Print each row that changes, until interrupted or, with --count, after so many changes.",
	New:     func(env *Env) any { return &tableWatch{env: env} },
}

type tableWatch struct {
	env   *Env
	Count int `long:"count" description:"end after so many changes; 0 is never"`
}

// Execute implements flags.Commander.
func (cm *tableWatch) Execute([]string) error {
	const wait = 30 * time.Second
	cl := cm.env.client()
	current, err := client.JSON[api.Table](cl, client.Request{Method: "GET", Path: api.PathTable})
	if err != nil {
		return err
	}
	after := current.Version
	for seen := 0; cm.Count == 0 || seen < cm.Count; {
		tb, err := client.JSON[api.Table](cl, client.Request{
			Method: "GET", Path: api.PathTable, Wait: wait,
			Query: map[string]string{
				"after": strconv.FormatUint(after, 10), "wait": strconv.Itoa(int(wait.Seconds())),
			},
		})
		if err != nil {
			return err
		}
		if len(tb.Rows) == 0 {
			continue
		}
		seen += len(tb.Rows)
		after = max(after, tb.Version)
		if err := cm.env.print(tb.Rows, func(out io.Writer) { printRows(out, tb.Rows) }); err != nil {
			return err
		}
	}
	return nil
}
