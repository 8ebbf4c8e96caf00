package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tackbeam.example/tackbeam/internal/chart"
	"tackbeam.example/tackbeam/internal/fault"
)

// Bounds of the histograms in microseconds, and their precision.
const (
	minLatency         = 1
	maxLatency         = int64(time.Hour / time.Microsecond)
	significantFigures = 3
)

// maxErrorSamples is the number of error messages that a report keeps.
const maxErrorSamples = 5

// Latency is the latency distribution of a workload or workspace. The latency of a lookup ends with its answer; that of
// a job is the time from its submission to its first start.
type Latency struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P90   time.Duration `json:"p90"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
	// Distribution is the complete distribution, for a chart.
	Distribution []chart.Point `json:"-"`
}

// Report is the result of a load.
type Report struct {
	Elapsed      time.Duration      `json:"took"`
	Workloads    map[string]Latency `json:"workloads"`
	Workspaces   map[string]Latency `json:"workspaces"`
	JobOutcomes  map[string]int     `json:"job_answers"`
	Errors       map[fault.Kind]int `json:"errors"`
	ErrorSamples []string           `json:"error_samples,omitempty"`
	WrongAnswers []string           `json:"wrong_answers,omitempty"`
	NotSent      int                `json:"not_sent"`
}

// tally collects answers for the report.
type tally struct {
	mu         sync.Mutex
	workloads  map[string]*hdrhistogram.Histogram
	workspaces map[string]*hdrhistogram.Histogram
	rp         Report
}

func newTally() *tally {
	return &tally{
		workloads: map[string]*hdrhistogram.Histogram{}, workspaces: map[string]*hdrhistogram.Histogram{},
		rp: Report{JobOutcomes: map[string]int{}, Errors: map[fault.Kind]int{}},
	}
}

func (ta *tally) addAnswer(workload, workspace string, took time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	record(ta.workloads, workload, took)
	record(ta.workspaces, workspace, took)
}

func record(in map[string]*hdrhistogram.Histogram, name string, took time.Duration) {
	hi, ok := in[name]
	if !ok {
		hi = hdrhistogram.New(minLatency, maxLatency, significantFigures)
		in[name] = hi
	}
	_ = hi.RecordValue(max(minLatency, min(took.Microseconds(), maxLatency))) // can't fail: the value is within the bounds
}

func (ta *tally) addError(workload string, err error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rp.Errors[fault.From(err).Kind]++
	if len(ta.rp.ErrorSamples) < maxErrorSamples {
		ta.rp.ErrorSamples = append(ta.rp.ErrorSamples, workload+": "+err.Error())
	}
}

func (ta *tally) addJobOutcome(answer string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rp.JobOutcomes[answer]++
}

func (ta *tally) addWrongAnswer(what string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rp.WrongAnswers = append(ta.rp.WrongAnswers, what)
}

func (ta *tally) addNotSent() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.rp.NotSent++
}

func (ta *tally) report(took time.Duration) Report {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	rp := ta.rp
	rp.Elapsed = took
	rp.JobOutcomes, rp.Errors = maps.Clone(rp.JobOutcomes), maps.Clone(rp.Errors)
	rp.Workloads, rp.Workspaces = latencies(ta.workloads), latencies(ta.workspaces)
	return rp
}

func latencies(from map[string]*hdrhistogram.Histogram) map[string]Latency {
	all := map[string]Latency{}
	for name, hi := range from {
		at := func(q float64) time.Duration { return time.Duration(hi.ValueAtQuantile(q)) * time.Microsecond }
		all[name] = Latency{
			Count: hi.TotalCount(), P50: at(50), P90: at(90), P99: at(99),
			Max: time.Duration(hi.Max()) * time.Microsecond, Distribution: chart.Points(hi),
		}
	}
	return all
}
