package daemon_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/load"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/trace"
)

// TestLoad runs the load generator against two nodes. Every request must get a
// response, and unexpected responses must be detected.
func TestLoad(t *testing.T) {
	bd := newTestbed(t, 4, "n1", "n2")
	cls := []*client.Client{bd.api("n1"), bd.api("n2")}
	setCells(t, cls[0], "workspace/brno weight 1", "workload/lookup class service", "workload/push class batch")
	defaults := load.Options{
		LookupRate: 100, JobRate: 10, Span: time.Second, Workspaces: []string{"brno"}, Service: "lookup", Batch: "push",
		RunTime: 10 * time.Millisecond, MaxInFlight: 1000, JobWait: time.Minute, ExpectedAnswer: standinworker.ExpectedAnswer,
	}
	cases := map[string]struct {
		change func(*load.Options)
		wrong  bool
		unsent bool
		errors bool
	}{
		"expected answers":  {func(*load.Options) {}, false, false, false},
		"a wrong answer":    {func(op *load.Options) { op.ExpectedAnswer = func([]byte) []byte { return nil } }, true, false, false},
		"over concurrency":  {func(op *load.Options) { op.MaxInFlight, op.JobRate, op.RunTime = 1, 50, 300*time.Millisecond }, false, true, false},
		"no such workspace": {func(op *load.Options) { op.Workspaces = []string{"zlin"} }, false, false, true},
	}
	seed := uint64(0)
	for name, tc := range cases {
		seed++ // idempotency keys are derived from the seed
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			op := defaults
			op.Seed = seed
			tc.change(&op)
			ld, err := load.New(clockwork.NewRealClock(), cls, op)
			is.NoErr(err)
			rp := ld.Run(t.Context())
			is.Equal(len(rp.WrongAnswers) > 0, tc.wrong)
			is.Equal(rp.NotSent > 0, tc.unsent)
			is.Equal(len(rp.Errors) > 0, tc.errors)
			sent, answered := ld.Progress()
			is.Equal(sent, answered)
			is.Equal(int(sent)+rp.NotSent, ld.Planned())
		})
	}
}

// TestLoadFromTrace replays the jobs and lookups of a workload trace.
func TestLoadFromTrace(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 4, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service", "workload/push class batch")
	tr := trace.New(trace.Header{Name: "small"}, []trace.Event{
		{Job: &trace.Job{ID: "a", Workspace: "brno", Workload: "push", Tasks: 1, RunTime: time.Millisecond}},
		{Lookups: &trace.Lookups{Workspace: "brno", Rate: 100, Duration: time.Second, RunTime: 1, Budget: 1, Seed: 3}},
	})
	ld, err := load.FromTrace(clockwork.NewRealClock(), []*client.Client{bd.api("n1")},
		load.Options{Span: time.Minute, Service: "lookup", MaxInFlight: 100, JobWait: time.Minute, ExpectedAnswer: standinworker.ExpectedAnswer}, tr)
	is.NoErr(err)
	rp := ld.Run(t.Context())
	is.Equal(rp.JobOutcomes, map[string]int{"ran": 1})
	is.Equal(rp.Workloads["lookup"].Count, int64(ld.Planned()-1))
	is.Equal(len(rp.WrongAnswers)+len(rp.Errors), 0)
}
