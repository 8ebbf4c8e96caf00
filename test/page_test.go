package test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gonum.org/v1/gonum/stat"
)

const capacityPage = "../docs/CAPACITY.md"

// TestCapacityPage checks that the tables of docs/CAPACITY.md match the measurements in
// docs/capacity. If TACKBEAM_CAPACITY is set, it updates the tables instead.
func TestCapacityPage(t *testing.T) {
	raw, err := os.ReadFile(capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	page := string(raw)
	for name, text := range capacityTables(t) {
		page = replaceBlock(t, page, name, text)
	}
	if os.Getenv("TACKBEAM_CAPACITY") != "" {
		if err := os.WriteFile(capacityPage, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if page != string(raw) {
		t.Error("docs/CAPACITY.md differs from docs/capacity; run make capacity")
	}
}

// replaceBlock replaces the text between the begin and end markers of a block.
func replaceBlock(t *testing.T, page, name, text string) string {
	t.Helper()
	begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
	from, to := strings.Index(page, begin), strings.Index(page, end)
	if from < 0 || to < from {
		t.Fatalf("docs/CAPACITY.md has no block %s", name)
	}
	return page[:from+len(begin)] + text + page[to:]
}

func capacityTables(t *testing.T) map[string]string {
	var samples []sample
	var rates []startSample
	readData(t, "samples.json", &samples)
	readData(t, "starts.json", &rates)
	var tenants []workspaceSample
	var tm times
	readData(t, "tenants.json", &tenants)
	readData(t, "times.json", &tm)
	var halls []hallSample
	readData(t, "halls.json", &halls)
	return map[string]string{
		"rest": idleTable(samples), "lookups": lookupTable(samples), "starts": startTable(rates),
		"slopes": slopeTable(samples), "tenants": workspaceTable(tenants), "times": timeTable(tm),
		"halls": hallTable(halls),
	}
}

func readData(t *testing.T, name string, into any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "docs", "capacity", name))
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// newTable starts a Markdown table with a header row.
func newTable(head string, columns int) *strings.Builder {
	var out strings.Builder
	fmt.Fprintf(&out, "| %s |\n|%s\n", head, strings.Repeat(" --- |", columns))
	return &out
}

func idleTable(list []sample) string {
	out := newTable("nodes | workers | CPU, % of a core | resident MiB | to nodes B/s | to workers B/s | from workers B/s | store reads/s, all | store writes/s, all", 9)
	for _, sm := range list {
		fmt.Fprintf(out, "| %d | %d | %.2f | %.1f | %.0f | %.0f | %.0f | %.2f | %.1f |\n", sm.Nodes, sm.Workers,
			sm.CPU, sm.Memory, sm.PeerSent, sm.WorkerSent, sm.WorkerRead, sm.Reads, sm.Writes)
	}
	return out.String()
}

func lookupTable(list []sample) string {
	out := newTable("nodes | workers | direct p50, p99 ms | through tackbeam p50, p99 ms | added p50, p99 ms | CPU of all nodes a lookup, us", 6)
	for _, sm := range list {
		fmt.Fprintf(out, "| %d | %d | %.2f, %.2f | %.2f, %.2f | %.2f, %.2f | %.0f |\n", sm.Nodes, sm.Workers,
			sm.DirectP50, sm.DirectP99, sm.RoutedP50, sm.RoutedP99,
			sm.RoutedP50-sm.DirectP50, sm.RoutedP99-sm.DirectP99, sm.LookupCPU)
	}
	return out.String()
}

func startTable(list []startSample) string {
	out := newTable("jobs/s | jobs | failed | accepted p50, p99 ms | placed p50, p99 ms | store writes/s | refused by the store | CPU a node, % of a core | MiB a node | to nodes B/s a node", 10)
	for _, sm := range list {
		fmt.Fprintf(out, "| %d | %d | %d | %.0f, %.0f | %.0f, %.0f | %.0f | %d | %.1f | %.1f | %.0f |\n", sm.Rate, sm.Jobs,
			sm.Failed, sm.AcceptP50, sm.AcceptP99, sm.PlacedP50, sm.PlacedP99, sm.Writes, sm.Refused, sm.CPU, sm.Memory, sm.PeerSent)
	}
	return out.String()
}

func workspaceTable(list []workspaceSample) string {
	out := newTable("workspaces | nodes | CPU, % of a core | resident MiB | to nodes B/s | new row in force everywhere p50, p99 ms", 6)
	for _, sm := range list {
		fmt.Fprintf(out, "| %d | %d | %.2f | %.1f | %.0f | %.1f, %.1f |\n", sm.Workspaces, sm.Nodes, sm.CPU, sm.Memory,
			sm.PeerSent, sm.EditP50, sm.EditP99)
	}
	return out.String()
}

func hallTable(list []hallSample) string {
	out := newTable("what | nodes | workers | lost | settled s | store reads, writes more than at rest | CPU a node, % of a core | to nodes B/s a node", 8)
	for _, sm := range list {
		fmt.Fprintf(out, "| %s | %d | %d | %d | %.2f | %d, %d | %.2f | %.0f |\n", sm.What, sm.Nodes,
			sm.Workers, sm.WorkersLost, sm.RecoveryTime, sm.Reads, sm.Writes, sm.CPU, sm.PeerSent)
	}
	return out.String()
}

func timeTable(tm times) string {
	out := newTable("what | measured", 2)
	row := func(what, format string, args ...any) {
		fmt.Fprintf(out, "| %s | %s |\n", what, fmt.Sprintf(format, args...))
	}
	row("an edit in force on all nodes, p50, p99", "%.1f, %.1f ms", tm.EditP50, tm.EditP99)
	row("workers of a killed node taken over", "%.1f s", tm.WorkerTakeover)
	row("homes of a killed node taken over", "%.1f s", tm.JobTakeover)
	row("store reads, writes of that", "%d, %d", tm.StoreCalls[0], tm.StoreCalls[1])
	row("lookups answered in each second around the kill", "%v", tm.Goodput)
	row("lookups lost by the other nodes' callers", "%d", tm.FailedLookups)
	row("workers of a drained node moved", "%.2f s", tm.DrainTime)
	row("store reads, writes of a replacement", "%d, %d", tm.JoinCalls[0], tm.JoinCalls[1])
	row("store down for 30 s: lookups lost", "%d", tm.OutageFailedLookups)
	row("jobs submitted meanwhile", "%d", tm.OutageJobs)
	row("the last of them accepted after its return", "%.1f s", tm.OutageAccepted)
	row("store writes in each second after its return", "%v", tm.OutageWrites)
	row("store reads in each second after its return", "%v", tm.OutageReads)
	row("calls that the store refused for their rate", "%d", tm.OutageRefused)
	return out.String()
}

// quantity is a column of a sample, with its name in the table.
type quantity struct {
	name  string
	value func(sample) float64
}

// slopeTable fits each quantity linearly to the number of workers that a node owns, over
// the samples with seven nodes, and to the number of nodes, over those with fifty
// workers.
func slopeTable(list []sample) string {
	quantities := []quantity{
		{"CPU, % of a core", func(sm sample) float64 { return sm.CPU }},
		{"resident MiB", func(sm sample) float64 { return sm.Memory }},
		{"to nodes B/s", func(sm sample) float64 { return sm.PeerSent }},
		{"to workers B/s", func(sm sample) float64 { return sm.WorkerSent }},
		{"from workers B/s", func(sm sample) float64 { return sm.WorkerRead }},
		{"store writes/s, all", func(sm sample) float64 { return sm.Writes }},
	}
	out := newTable("quantity | for each owned worker | at none | largest residual | for each node | at none | largest residual", 7)
	for _, qu := range quantities {
		owned := fit(list, qu.value, func(sm sample) (float64, bool) {
			return float64(sm.Workers) / float64(sm.Nodes), sm.Nodes == 7
		})
		nodes := fit(list, qu.value, func(sm sample) (float64, bool) { return float64(sm.Nodes), sm.Workers == 50 })
		fmt.Fprintf(out, "| %s | %s | %s |\n", qu.name, owned, nodes)
	}
	return out.String()
}

// fit returns the slope, intercept and largest residual of a linear regression.
func fit(list []sample, value func(sample) float64, at func(sample) (float64, bool)) string {
	var xs, ys []float64
	for _, sm := range list {
		if x, ok := at(sm); ok {
			xs, ys = append(xs, x), append(ys, value(sm))
		}
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	maxResidual := 0.0
	for i := range xs {
		maxResidual = math.Max(maxResidual, math.Abs(ys[i]-intercept-slope*xs[i]))
	}
	return fmt.Sprintf("%.3g | %.3g | %.2g", slope, intercept, maxResidual)
}
