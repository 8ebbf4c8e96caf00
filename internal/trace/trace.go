// Package trace defines the format of workload traces: one JSON line for each event at a cluster or its workers, and
// the outcomes that scheduling decisions must achieve. Times are relative to the start of the trace.
package trace

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/fault"
)

// Version is the version of the trace format.
const Version = 1

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Header is the first line of a trace.
type Header struct {
	Version     int           `json:"version"`
	Name        string        `json:"workload"`
	Description string        `json:"about"`
	Span        time.Duration `json:"span"`
	Owners      int           `json:"owners"`
	Outcomes    Outcomes      `json:"outcomes"`
}

// Outcomes are the required results of a run of the trace. Fields that are not set are not checked.
type Outcomes struct {
	// Refused is the exact number of jobs that can never run and are refused on submission.
	Refused *int `json:"refused,omitempty"`
	// MaxMissed bounds the number of jobs that end after their deadline or don't end.
	MaxMissed *int `json:"missed,omitempty"`
	// MaxFailed bounds the number of jobs that fail.
	MaxFailed *int `json:"failed,omitempty"`
	// MinPacking is the minimum ratio of the used resources to the upper bound of usable ones, while work waits.
	MinPacking *float64 `json:"packing,omitempty"`
	// MinFairness is the minimum ratio of the smallest to the largest weighted share.
	MinFairness *float64 `json:"fairness,omitempty"`
	// MaxUrgentWait bounds the wait of each urgent job.
	MaxUrgentWait *time.Duration `json:"urgent,omitempty"`
	// MaxShed bounds the share of lookups that are refused.
	MaxShed *float64 `json:"shed,omitempty"`
}

// Event is one event of a trace; exactly one pointer is set.
type Event struct {
	At       time.Duration `json:"at"`
	Workers  *Workers      `json:"workers,omitempty"`
	HallLost *HallLost     `json:"lost,omitempty"`
	Limits   *Limits       `json:"limits,omitempty"`
	Job      *Job          `json:"job,omitempty"`
	Cancel   *Cancel       `json:"cancel,omitempty"`
	Lookups  *Lookups      `json:"lookups,omitempty"`
	Failing  *Failing      `json:"failing,omitempty"`
}

// Workers adds workers of the same size to a hall, with Rack workers in each rack.
type Workers struct {
	Hall  string    `json:"hall"`
	Count int       `json:"count"`
	Rack  int       `json:"rack"`
	Size  size.Size `json:"size"`
	Slots int       `json:"slots"`
}

// HallLost removes all workers of a hall at once.
type HallLost struct {
	Hall string `json:"hall"`
}

// Limits sets the weight of a workspace and its limit of running tasks.
type Limits struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	Running   *int64  `json:"running,omitempty"`
}

// Job submits a job. Size is the declared size of its tasks, Used their actual usage, and RunTime their actual run
// time.
type Job struct {
	ID         string        `json:"id"`
	Workspace  string        `json:"workspace"`
	Workload   string        `json:"workload"`
	Tasks      int           `json:"tasks"`
	Size       size.Size     `json:"size"`
	Used       size.Size     `json:"used,omitzero"`
	RunTime    time.Duration `json:"run"`
	Deadline   time.Duration `json:"deadline,omitempty"`
	Priority   int           `json:"priority"`
	Repeatable bool          `json:"repeatable,omitempty"`
}

// Cancel cancels a job.
type Cancel struct {
	Job string `json:"job"`
}

// Lookups is a stream of lookups of a workspace at a constant mean rate, with random gaps and run times from a seed.
type Lookups struct {
	Workspace string        `json:"workspace"`
	Rate      float64       `json:"rate"`
	Duration  time.Duration `json:"for"`
	RunTime   time.Duration `json:"run"`
	Budget    time.Duration `json:"budget"`
	Seed      uint64        `json:"seed"`
}

// Failing makes the first Count workers of a hall fail everything that they start, or makes them healthy again.
type Failing struct {
	Hall    string `json:"hall"`
	Count   int    `json:"count"`
	Healthy bool   `json:"healthy,omitempty"`
}

// Trace is a workload trace.
type Trace struct {
	header Header
	events []Event
}

// New returns a trace of events, which must be sorted by time.
func New(head Header, events []Event) *Trace {
	head.Version = Version
	return &Trace{header: head, events: events}
}

// Header returns the header of the trace.
func (tr *Trace) Header() Header { return tr.header }

// Events returns the events. The caller must not modify the slice.
func (tr *Trace) Events() []Event { return tr.events }

// gzipSuffix is the file name suffix of compressed traces.
const gzipSuffix = ".gz"

// Load reads a trace from a file, which may be compressed.
func Load(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	defer func() { _ = file.Close() }() // nothing was written
	if !strings.HasSuffix(path, gzipSuffix) {
		return Read(file)
	}
	unzip, err := gzip.NewReader(file)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%s: %v", path, err)
	}
	return Read(unzip)
}

// Read reads and validates a trace.
func Read(from io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	tr := &Trace{}
	for number := 1; lines.Scan(); number++ {
		dec := json.NewDecoder(strings.NewReader(lines.Text()))
		dec.DisallowUnknownFields()
		if number == 1 {
			if err := dec.Decode(&tr.header); err != nil || tr.header.Version != Version {
				return nil, fault.New(fault.BadRequest, "line 1 is not a header of a workload trace of version %d", Version)
			}
			continue
		}
		var ev Event
		if err := dec.Decode(&ev); err != nil {
			return nil, fault.New(fault.BadRequest, "line %d: %v", number, err)
		}
		if err := tr.add(ev); err != nil {
			return nil, fault.New(fault.BadRequest, "line %d: %v", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fault.New(fault.BadRequest, "read trace: %v", err)
	}
	if tr.header.Version == 0 {
		return nil, fault.New(fault.BadRequest, "trace is empty")
	}
	return tr, nil
}

// add validates and appends an event.
func (tr *Trace) add(ev Event) error {
	if n := len(tr.events); n > 0 && ev.At < tr.events[n-1].At {
		return errors.Errorf("time %v is before the previous event's time %v", ev.At, tr.events[n-1].At)
	}
	if jb := ev.Job; jb != nil && (jb.Tasks < 1 || jb.RunTime <= 0 || !jb.Size.Valid()) {
		return errors.Errorf("job %s: tasks must be at least 1, run above 0 and size not negative", jb.ID)
	}
	if lk := ev.Lookups; lk != nil && (lk.Rate <= 0 || lk.Duration <= 0 || lk.RunTime <= 0 || lk.Budget <= 0) {
		return errors.Errorf("lookups of %s: rate, for, run and budget must be above 0", lk.Workspace)
	}
	tr.events = append(tr.events, ev)
	return nil
}

// Save writes a trace to a file, compressed if the path ends in .gz.
func (tr *Trace) Save(path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write trace")
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "write trace")
		}
	}()
	if !strings.HasSuffix(path, gzipSuffix) {
		return tr.Write(file)
	}
	zip := gzip.NewWriter(file)
	if err := tr.Write(zip); err != nil {
		return err
	}
	return errors.Wrap(zip.Close(), "write trace")
}

// Write writes a trace.
func (tr *Trace) Write(to io.Writer) error {
	enc := json.NewEncoder(to)
	if err := enc.Encode(tr.header); err != nil {
		return errors.Wrap(err, "write trace")
	}
	for _, ev := range tr.events {
		if err := enc.Encode(ev); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
