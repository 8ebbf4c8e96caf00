package cli_test

import (
	"context"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/evacuation"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/metricsrv"
	"tackbeam.example/tackbeam/internal/standin/ports"
)

// TestEvacuations checks what the command prints for each answer of a node.
func TestEvacuations(t *testing.T) {
	for name, tc := range map[string]struct {
		list []evacuation.Status
		err  error
		code int
		want string
	}{
		"none":       {list: []evacuation.Status{}, want: "no data hall is evacuated"},
		"one":        {list: []evacuation.Status{{Hall: "brno-a", KnownForMS: 61_400, Runs: 12}}, want: "brno-a  1m1s       12"},
		"no planner": {err: fault.New(fault.Unavailable, "no planner known"), code: 14, want: "no planner known"},
		"no bound":   {err: fault.New(fault.NotFound, "no bound for evacuations"), code: 7, want: "no bound for evacuations"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			block, err := ports.Reserve(1)
			is.NoErr(err)
			defer func() { is.NoErr(block.Close()) }()
			server := metricsrv.New(logr.Discard(), metrics.NewRegistry()).WithJSON(api.PathEvacuations, func(context.Context) (any, error) {
				return tc.list, tc.err
			})
			is.NoErr(server.Listen(block.Address(0)))
			defer func() { is.NoErr(server.Close()) }()
			code, out, errOut := run("--node", block.Address(0), "evacuations")
			t.Log(out, errOut)
			is.Equal(code, tc.code)
			is.True(strings.Contains(out+errOut, tc.want))
		})
	}
}
