package cli

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"tackbeam.example/tackbeam/internal/chart"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/replay"
	"tackbeam.example/tackbeam/internal/trace"
	"tackbeam.example/tackbeam/internal/trial"
)

var cmdReplay = Command{
	Name:    "replay",
	Summary: "decide again from recorded traces, or run workload traces",
	Doc: "A trace that a node recorded (setting record.path) is fed to the decisions again, under the trace's own times, " +
		"and they must come out as recorded. A workload trace (see tackbeam trace) is run through the decisions in virtual time, " +
		"and its stated outcomes must come about; with --compare it is run through several policies, and nothing is checked. " +
		"Policies: " + strings.Join(lo.Map(trial.Policies(), func(pl trial.Policy, _ int) string {
		return pl.Name() + " (" + pl.Description() + ")"
	}), ", ") + ". Ends with an error where something differs from what is recorded or stated.",
	New: func(env *Env) any { return &replayCommand{env: env} },
}

type replayCommand struct {
	env     *Env
	Compare string `long:"compare" value-name:"POLICY,..." description:"policies to compare on workload traces; all for every one"`
	Plot    string `long:"plot" value-name:"FILE" description:"draw the waits of one workload trace: .svg, .png or .pdf"`
	Args    struct {
		Traces []string `positional-arg-name:"TRACE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *replayCommand) Execute([]string) error {
	kinds := lo.GroupBy(cm.Args.Traces, isWorkload)
	if len(kinds[false]) > 0 && (len(kinds[true]) > 0 || cm.Compare != "" || cm.Plot != "") {
		return fault.New(fault.BadRequest, "%s is no workload trace; give recorded traces by themselves, without --compare and --plot",
			kinds[false][0])
	}
	if len(kinds[true]) > 0 {
		return cm.runTrials()
	}
	return cm.runReplays()
}

// isWorkload reports whether a file is a workload trace, judging by its name or first line.
func isWorkload(path string) bool {
	if strings.HasSuffix(path, ".gz") {
		return true
	}
	file, err := os.Open(path)
	if err != nil {
		return false // reading the trace reports the error
	}
	defer func() { _ = file.Close() }() // opened for reading only
	line, _ := bufio.NewReader(file).ReadString('\n')
	return strings.Contains(line, `"workload"`)
}

func (cm *replayCommand) runReplays() error {
	var reports []replay.Report
	differences := 0
	for _, path := range cm.Args.Traces {
		rp, err := replayFile(path)
		if err != nil {
			return err
		}
		differences += rp.Differences
		reports = append(reports, rp)
	}
	err := cm.env.print(reports, func(out io.Writer) { printReplays(out, cm.Args.Traces, reports) })
	if err == nil && differences > 0 {
		err = fault.New(fault.WrongAnswer, "%d decisions differ from the trace", differences)
	}
	return err
}

func replayFile(path string) (replay.Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return replay.Report{}, fault.New(fault.BadRequest, "%v", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	return replay.Run(file, time.Now)
}

func printReplays(out io.Writer, paths []string, reports []replay.Report) {
	gr := newGrid(out, "trace", "node", "inputs", "decisions", "differences", "span", "took", "inputs/s")
	for i, rp := range reports {
		rate := "-"
		if rp.Elapsed > 0 {
			rate = fmt.Sprintf("%.0f", float64(rp.Inputs)/rp.Elapsed.Seconds())
		}
		gr.line(paths[i], rp.Node, fmt.Sprint(rp.Inputs), fmt.Sprint(rp.Decisions),
			fmt.Sprint(rp.Differences), rp.Span.Round(time.Millisecond).String(),
			rp.Elapsed.Round(time.Microsecond).String(), rate)
	}
	gr.flush()
	for _, rp := range reports {
		if rp.FirstDifference != "" {
			_, _ = fmt.Fprintln(out, "first difference:", rp.FirstDifference)
		}
	}
}

// runTrials runs the workload traces through the selected policies.
func (cm *replayCommand) runTrials() error {
	policies, err := cm.policies()
	if err != nil {
		return err
	}
	if cm.Plot != "" && len(cm.Args.Traces) > 1 {
		return fault.New(fault.BadRequest, "--plot draws one trace; give one")
	}
	var reports []trial.Report
	for _, path := range cm.Args.Traces {
		tr, err := trace.Load(path)
		if err != nil {
			return err
		}
		for _, pl := range policies {
			reports = append(reports, trial.Run(tr, pl))
		}
	}
	if cm.Plot != "" {
		if err := plotTrials(cm.Plot, reports); err != nil {
			return err
		}
	}
	if err := cm.env.print(reports, func(out io.Writer) { printTrials(out, reports) }); err != nil {
		return err
	}
	if cm.Compare != "" {
		return nil
	}
	return checkOutcomes(reports)
}

// plotTrials plots the wait times of one trace, with a line for each policy.
func plotTrials(path string, reports []trial.Report) error {
	ch := chart.New("waits of jobs, trace " + reports[0].Trace)
	for _, rp := range reports {
		if err := ch.AddLine(rp.Policy, rp.Distribution); err != nil {
			return err
		}
	}
	return ch.Save(path)
}

// policies returns the policies to run: those given by --compare, or else the one that nodes use.
func (cm *replayCommand) policies() ([]trial.Policy, error) {
	switch cm.Compare {
	case "":
		pl, err := trial.FindPolicy(trial.CurrentPolicy)
		return []trial.Policy{pl}, err
	case "all":
		return trial.Policies(), nil
	}
	var list []trial.Policy
	for _, name := range strings.Split(cm.Compare, ",") {
		pl, err := trial.FindPolicy(strings.TrimSpace(name))
		if err != nil {
			return nil, err
		}
		list = append(list, pl)
	}
	return list, nil
}

// checkOutcomes returns an error that lists the outcomes stated by the traces that were not met, if any.
func checkOutcomes(reports []trial.Report) error {
	var list []string
	for _, rp := range reports {
		for _, why := range rp.UnmetOutcomes {
			list = append(list, rp.Trace+": "+why)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return fault.New(fault.WrongAnswer, "%s", strings.Join(list, "; "))
}

func printTrials(out io.Writer, reports []trial.Report) {
	gr := newGrid(out, "trace", "policy", "ran", "refused", "missed", "failed", "packing", "backlog", "fairness",
		"shed", "preempted", "lost work", "decisions/s", "p99")
	for _, rp := range reports {
		gr.line(rp.Trace, rp.Policy, fmt.Sprint(rp.Ran), fmt.Sprint(rp.Refused), fmt.Sprint(rp.Missed), fmt.Sprint(rp.Failed),
			fmt.Sprintf("%.3f", rp.Packing), rp.BacklogTime.Round(time.Second).String(), fmt.Sprintf("%.3f", rp.Fairness),
			fmt.Sprint(rp.Shed), fmt.Sprint(rp.Preempted), rp.LostWork.Round(time.Second).String(),
			fmt.Sprintf("%.0f", rp.Rate()), rp.DecisionP99.String())
	}
	gr.flush()
	_, _ = fmt.Fprintln(out)
	gr = newGrid(out, "trace", "policy", "class", "started", "wait p50", "p99", "max")
	for _, rp := range reports {
		for _, class := range slices.Sorted(maps.Keys(rp.Classes)) {
			wt := rp.Classes[class]
			gr.line(rp.Trace, rp.Policy, class, fmt.Sprint(wt.Count), wt.P50.Round(time.Millisecond).String(),
				wt.P99.Round(time.Millisecond).String(), wt.Max.Round(time.Millisecond).String())
		}
	}
	gr.flush()
}
