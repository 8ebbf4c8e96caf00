package cli

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

var cmdStats = Command{
	Name:    "stats",
	Summary: "show what a node measures",
	Doc: "Show a node's histograms by measure, class and workspace, its counters, and what control costs it. " +
		"With --watch, show again and again what every node spends, against the limits, and how full it is.",
	New: func(env *Env) any { return &stats{env: env} },
}

type stats struct {
	env   *Env
	Watch bool          `long:"watch" description:"redraw in a terminal until interrupted"`
	Every time.Duration `long:"every" default:"2s" description:"time between two looks"`
	Count int           `long:"count" description:"with --watch, end after so many looks and do not clear the screen; 0 is never"`
}

// Execute carries the command out.
func (cm *stats) Execute([]string) error {
	if cm.Watch {
		return cm.watch()
	}
	st, err := client.JSON[api.Stats](cm.env.client(), client.Request{Method: "GET", Path: api.PathStats})
	if err != nil {
		return err
	}
	return cm.env.print(st, func(out io.Writer) {
		printControl(out, st.Node)
		printSeries(out, st.Report.Series)
		printCounters(out, st.Report.Counters)
	})
}

func printControl(out io.Writer, nd nodemsg.NodeInfo) {
	ct := nd.Control
	up := max(ct.Uptime.Seconds(), 1)
	_, _ = fmt.Fprintf(out, "node %s, up %v, cpu %.2f%% of a core, memory %s\n",
		nd.Name, ct.Uptime.Round(time.Second), 100*ct.CPU.Seconds()/up, mebibytes(ct.Resident))
	_, _ = fmt.Fprintf(out, "sent to nodes %.0f B/s, to workers %.0f B/s; store %.2f reads/s, %.2f writes/s, %d failed, budget in use %.0f%%\n\n",
		float64(ct.PeerSent)/up, float64(ct.WorkerSent)/up,
		float64(ct.StoreReads)/up, float64(ct.StoreWrites)/up, ct.StoreFailed, 100*ct.StoreBudgetUsed)
}

func printSeries(out io.Writer, list []meter.Series) {
	gr := newGrid(out, "measure", "class", "workspace", "count", "p50", "p99", "max")
	for _, sr := range list {
		gr.line(sr.Measure, sr.Class, sr.Workspace, strconv.FormatInt(sr.Count, 10),
			sr.P50.Round(time.Microsecond).String(), sr.P99.Round(time.Microsecond).String(),
			sr.Max.Round(time.Microsecond).String())
	}
	gr.flush()
}

func printCounters(out io.Writer, counters map[string]int64) {
	names := make([]string, 0, len(counters))
	for name := range counters {
		names = append(names, name)
	}
	sort.Strings(names)
	_, _ = fmt.Fprintln(out)
	gr := newGrid(out, "counter", "value")
	for _, name := range names {
		gr.line(name, strconv.FormatInt(counters[name], 10))
	}
	gr.flush()
}
