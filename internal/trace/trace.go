// Package trace is the format of workload traces: what arrives at a cluster and
// what happens to its workers, one JSON line each, with the outcomes that the
// decisions are held to. Times are since the start of the trace.
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

// Version is the version of the format.
const Version = 1

// maxLine bounds one line in bytes.
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

// Outcomes are what a run of the trace must come to. What is not named is free.
type Outcomes struct {
	// Refused is the number of jobs that can never run and are refused at once.
	Refused *int `json:"refused,omitempty"`
	// MaxMissed bounds the jobs that end after their deadline, or not at all.
	MaxMissed *int `json:"missed,omitempty"`
	// MaxFailed bounds the jobs that end as failed.
	MaxFailed *int `json:"failed,omitempty"`
	// MinPacking is the least part of the bound that is used while work waits.
	MinPacking *float64 `json:"packing,omitempty"`
	// MinFairness is the least ratio of the smallest to the largest weighted share.
	MinFairness *float64 `json:"fairness,omitempty"`
	// MaxUrgentWait bounds the longest wait of an urgent job.
	MaxUrgentWait *time.Duration `json:"urgent,omitempty"`
	// MaxShed bounds the part of the lookups that are refused.
	MaxShed *float64 `json:"shed,omitempty"`
}

// Event is one thing that happens; exactly one pointer is set.
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

// Workers adds workers of one size to a hall, in racks.
type Workers struct {
	Hall  string    `json:"hall"`
	Count int       `json:"count"`
	Rack  int       `json:"rack"`
	Size  size.Size `json:"size"`
	Slots int       `json:"slots"`
}

// HallLost takes all workers of a hall away at once.
type HallLost struct {
	Hall string `json:"hall"`
}

// Limits sets the weight of a workspace and its limit on running tasks.
type Limits struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	Running   *int64  `json:"running,omitempty"`
}

// Job is one job. Size is what it declares, Used what its tasks use, and Run how
// long they truly run.
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

// Cancel ends a job.
type Cancel struct {
	Job string `json:"job"`
}

// Lookups is a stream of lookups of a workspace at an even rate, with gaps and
// run times by chance from a seed.
type Lookups struct {
	Workspace string        `json:"workspace"`
	Rate      float64       `json:"rate"`
	Duration  time.Duration `json:"for"`
	RunTime   time.Duration `json:"run"`
	Budget    time.Duration `json:"budget"`
	Seed      uint64        `json:"seed"`
}

// Failing makes the first workers of a hall fail all that they start, or ends that.
type Failing struct {
	Hall    string `json:"hall"`
	Count   int    `json:"count"`
	Healthy bool   `json:"healthy,omitempty"`
}

// Trace is a whole trace.
type Trace struct {
	header Header
	events []Event
}

// New returns a trace of some events, which are in the order of their times.
func New(head Header, events []Event) *Trace {
	head.Version = Version
	return &Trace{header: head, events: events}
}

// Header returns the first line.
func (tr *Trace) Header() Header { return tr.header }

// Events returns what happens. The caller does not change it.
func (tr *Trace) Events() []Event { return tr.events }

// suffix marks a file that is compressed.
const suffix = ".gz"

// Load reads a trace from a file, which may be compressed.
func Load(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	defer func() { _ = file.Close() }() // only read
	if !strings.HasSuffix(path, suffix) {
		return Read(file)
	}
	unzip, err := gzip.NewReader(file)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%s: %v", path, err)
	}
	return Read(unzip)
}

// Read reads a trace and checks each line.
func Read(from io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	tr := &Trace{}
	for number := 1; lines.Scan(); number++ {
		dec := json.NewDecoder(strings.NewReader(lines.Text()))
		dec.DisallowUnknownFields()
		if number == 1 {
			if err := dec.Decode(&tr.header); err != nil || tr.header.Version != Version {
				return nil, fault.New(fault.BadRequest, "line 1 is not the header of a workload trace of version %d", Version)
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
		return nil, fault.New(fault.BadRequest, "the trace is empty")
	}
	return tr, nil
}

// add checks one event and takes it in.
func (tr *Trace) add(ev Event) error {
	if n := len(tr.events); n > 0 && ev.At < tr.events[n-1].At {
		return errors.Errorf("at %v comes after %v", ev.At, tr.events[n-1].At)
	}
	if jb := ev.Job; jb != nil && (jb.Tasks < 1 || jb.RunTime <= 0 || !jb.Size.Valid()) {
		return errors.Errorf("job %s: give tasks of 1 or more, a run above 0 and a size of 0 or more", jb.ID)
	}
	if lk := ev.Lookups; lk != nil && (lk.Rate <= 0 || lk.Duration <= 0 || lk.RunTime <= 0 || lk.Budget <= 0) {
		return errors.Errorf("lookups of %s: give rate, for, run and budget above 0", lk.Workspace)
	}
	tr.events = append(tr.events, ev)
	return nil
}

// Save writes a trace to a file, compressed where the name says so.
func (tr *Trace) Save(path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write trace")
	}
	defer func() {
		if shut := file.Close(); err == nil {
			err = errors.Wrap(shut, "write trace")
		}
	}()
	if !strings.HasSuffix(path, suffix) {
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
