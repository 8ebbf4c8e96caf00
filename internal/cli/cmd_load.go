package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"

	"tackbeam.example/tackbeam/internal/chart"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/load"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/trace"
)

var cmdLoad = Command{
	Name:    "load",
	Summary: "send a load to a running system and check every answer",
	Doc: "Send lookups and jobs at times that do not depend on the answers, from rates and a seed or from a workload trace, " +
		"and check each answer. Lookups are measured from the moment at which each should have been sent, jobs from submission to start. " +
		"The rows of the table must exist. Ends with an error where an answer was wrong. " +
		"Example: tackbeam load -w brno --lookups 200 --jobs 5 --time 30s",
	New: func(env *Env) any { return &loadCommand{env: env} },
}

type loadCommand struct {
	env         *Env
	Workspaces  []string      `short:"w" long:"workspace" description:"workspace that asks; give several"`
	Lookups     float64       `long:"lookups" description:"lookups a second"`
	Jobs        float64       `long:"jobs" description:"jobs a second, of one task each"`
	Duration    time.Duration `long:"time" default:"10s" description:"how long to send"`
	Trace       string        `long:"trace" description:"workload trace whose jobs and lookups to send, instead of rates"`
	Seed        uint64        `long:"seed" default:"1" description:"where the chance begins; job keys are made from it"`
	Service     string        `long:"service" default:"lookup" description:"workload of the lookups"`
	Batch       string        `long:"batch" default:"push" description:"workload of the jobs"`
	JobRunTime  time.Duration `long:"run" default:"100ms" description:"how long each job runs on stand-in workers"`
	MaxInFlight int           `long:"most" default:"2000" description:"requests under way at most; more are not sent, and counted"`
	JobWait     time.Duration `long:"job-wait" default:"60s" description:"how long to wait for a job's end"`
	AnyAnswer   bool          `long:"any-answer" description:"take any answer to a lookup; otherwise it must be that of a stand-in worker"`
	Plot        string        `long:"plot" value-name:"FILE" description:"draw the latencies by workload: .svg, .png or .pdf"`
}

// progressInterval is the interval between two progress lines.
const progressInterval = 5 * time.Second

// Execute implements flags.Commander.
func (cm *loadCommand) Execute([]string) error {
	ld, err := cm.plan()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	done := make(chan struct{})
	go cm.reportProgress(ld, done)
	rp := ld.Run(ctx)
	close(done)
	if cm.Plot != "" {
		if err := plotLoad(cm.Plot, rp); err != nil {
			return err
		}
	}
	if err := cm.env.print(rp, func(out io.Writer) { printLoad(out, rp) }); err != nil {
		return err
	}
	if len(rp.WrongAnswers) > 0 {
		return fault.New(fault.WrongAnswer, "%d wrong answers, for example: %s", len(rp.WrongAnswers), rp.WrongAnswers[0])
	}
	return nil
}

func (cm *loadCommand) plan() (*load.Load, error) {
	op := load.Options{
		LookupRate: cm.Lookups, JobRate: cm.Jobs, Span: cm.Duration, Seed: cm.Seed, Workspaces: cm.Workspaces,
		Service: cm.Service, Batch: cm.Batch, RunTime: cm.JobRunTime, MaxInFlight: cm.MaxInFlight, JobWait: cm.JobWait,
		ExpectedAnswer: standinworker.ExpectedAnswer,
	}
	if cm.AnyAnswer {
		op.ExpectedAnswer = nil
	}
	clock := clockwork.NewRealClock()
	if cm.Trace == "" {
		return load.New(clock, cm.clients(), op)
	}
	if cm.Lookups > 0 || cm.Jobs > 0 {
		return nil, fault.New(fault.BadRequest, "give --trace or rates, not both")
	}
	tr, err := trace.Load(cm.Trace)
	if err != nil {
		return nil, err
	}
	return load.FromTrace(clock, cm.clients(), op, tr)
}

// clients returns a client for each node. The load uses them in turn.
func (cm *loadCommand) clients() []*client.Client {
	return lo.Map(cm.env.Options.Node, func(addr string, _ int) *client.Client {
		return client.New(cm.env.Options.Timeout, addr)
	})
}

// reportProgress prints the progress of the load on standard error until it is done.
func (cm *loadCommand) reportProgress(ld *load.Load, done <-chan struct{}) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			sent, answered := ld.Progress()
			_, _ = fmt.Fprintf(cm.env.Err, "sent %d of %d, answered %d\n", sent, ld.Planned(), answered)
		}
	}
}

func plotLoad(path string, rp load.Report) error {
	ch := chart.New("latencies under load")
	for _, name := range slices.Sorted(maps.Keys(rp.Workloads)) {
		if err := ch.AddLine(name, rp.Workloads[name].Distribution); err != nil {
			return err
		}
	}
	return ch.Save(path)
}

func printLoad(out io.Writer, rp load.Report) {
	gr := newGrid(out, "workload", "answered", "p50", "p90", "p99", "max")
	printLatencies(gr, rp.Workloads)
	gr.flush()
	_, _ = fmt.Fprintln(out)
	gr = newGrid(out, "workspace", "answered", "p50", "p90", "p99", "max")
	printLatencies(gr, rp.Workspaces)
	gr.flush()
	_, _ = fmt.Fprintf(out, "\ntook %v; jobs %v; errors %v; not sent %d; wrong answers %d\n",
		rp.Elapsed.Round(time.Millisecond), rp.JobOutcomes, rp.Errors, rp.NotSent, len(rp.WrongAnswers))
	for _, text := range rp.ErrorSamples {
		_, _ = fmt.Fprintln(out, "error:", text)
	}
}

func printLatencies(gr *grid, all map[string]load.Latency) {
	for _, name := range slices.Sorted(maps.Keys(all)) {
		la := all[name]
		gr.line(name, fmt.Sprint(la.Count), la.P50.Round(time.Microsecond).String(), la.P90.Round(time.Microsecond).String(),
			la.P99.Round(time.Microsecond).String(), la.Max.Round(time.Microsecond).String())
	}
}
