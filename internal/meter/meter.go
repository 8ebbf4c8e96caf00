// Package meter holds the counters and histograms of a node, such as waits and
// latencies by workspace and class, and measures the resource usage of the process.
package meter

import (
	"encoding/json"
	"os"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Size of the histograms' samples, and decay factor that weights recent values.
const (
	reservoirSize = 256
	decay         = 0.015
	// maxSeries limits the memory that a large number of workspaces can use.
	maxSeries = 2048
)

// Meter holds the metrics of a node. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry
	started  time.Time
	mu       sync.Mutex
	series   int
}

// New returns an empty meter.
func New(now time.Time) *Meter {
	return &Meter{registry: metrics.NewRegistry(), started: now}
}

// Count adds n to a counter.
func (mt *Meter) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, mt.registry).Inc(n)
}

// Counter returns the value of a counter.
func (mt *Meter) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, mt.registry).Count()
}

// Observe records a duration in the histogram of a measure, class and workspace, and
// in the histogram of the class over all workspaces.
func (mt *Meter) Observe(measure, class, workspace string, took time.Duration) {
	mt.update(strings.Join([]string{measure, class, "*"}, "|"), took)
	mt.update(strings.Join([]string{measure, class, workspace}, "|"), took)
}

func (mt *Meter) update(name string, took time.Duration) {
	entry := mt.registry.Get(name)
	if entry == nil {
		mt.mu.Lock()
		if mt.series >= maxSeries {
			mt.mu.Unlock()
			return
		}
		mt.series++
		mt.mu.Unlock()
		entry = mt.registry.GetOrRegister(name, func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decay))
		})
	}
	if hg, ok := entry.(metrics.Histogram); ok {
		hg.Update(int64(took))
	}
}

// Series summarizes a histogram.
type Series struct {
	Measure   string        `json:"measure"`
	Class     string        `json:"class"`
	Workspace string        `json:"workspace"`
	Count     int64         `json:"count"`
	P50       time.Duration `json:"p50"`
	P99       time.Duration `json:"p99"`
	Max       time.Duration `json:"max"`
}

// Report holds the values of all metrics at one moment.
type Report struct {
	Counters map[string]int64 `json:"counters"`
	Series   []Series         `json:"series"`
}

// Report returns the current values.
func (mt *Meter) Report() Report {
	rp := Report{Counters: map[string]int64{}}
	mt.registry.Each(func(name string, value any) {
		switch typed := value.(type) {
		case metrics.Counter:
			rp.Counters[name] = typed.Count()
		case metrics.Histogram:
			rp.Series = append(rp.Series, newSeries(name, typed.Snapshot()))
		}
	})
	sort.Slice(rp.Series, func(i, j int) bool {
		a, b := rp.Series[i], rp.Series[j]
		return a.Measure+a.Class+a.Workspace < b.Measure+b.Class+b.Workspace
	})
	return rp
}

func newSeries(name string, hg metrics.Histogram) Series {
	const median, tail = 0.5, 0.99
	sr := Series{
		Count: hg.Count(), Max: time.Duration(hg.Max()),
		P50: time.Duration(hg.Percentile(median)), P99: time.Duration(hg.Percentile(tail)),
	}
	parts := strings.SplitN(name, "|", 3)
	if len(parts) == 3 {
		sr.Measure, sr.Class, sr.Workspace = parts[0], parts[1], parts[2]
	}
	return sr
}

// Usage is the resource usage of the process.
type Usage struct {
	CPU           time.Duration
	ResidentBytes int64
	Uptime        time.Duration
}

// Usage returns the processor time, resident memory and uptime of this process.
func (mt *Meter) Usage(now time.Time) Usage {
	ct := Usage{Uptime: now.Sub(mt.started), ResidentBytes: residentBytes()}
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err == nil {
		ct.CPU = time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
	}
	return ct
}

// residentBytes returns the resident memory of the process. If the kernel does not
// report it, it returns the memory that the Go runtime has obtained from the system.
func residentBytes() int64 {
	const pagesField = 1
	raw, err := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(raw))
	if err == nil && len(fields) > pagesField {
		var pages int64
		if json.Unmarshal([]byte(fields[pagesField]), &pages) == nil {
			return pages * int64(os.Getpagesize())
		}
	}
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.Sys)
}
