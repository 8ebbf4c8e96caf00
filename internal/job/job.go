// Package job defines the record of a job in the journal.
package job

import (
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/attempt"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/wire"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// State is the progress of a job.
type State string

// The states of a job. A job is Placed once the journal has the intent to start it.
const (
	Waiting State = "waiting"
	Placed  State = "running"
	Done    State = "done"
)

// Answer tells what happened to a job that is done.
type Answer string

// The possible answers.
const (
	Ran     Answer = "ran"
	NotRun  Answer = "not-run"
	Unknown Answer = "unknown"
)

// The results of a job that ran.
const (
	ResultOK      = "ok"
	ResultFailed  = "failed"
	ResultStopped = "stopped"
)

// Record is the latest state of a job.
type Record struct {
	ID         string          `cbor:"1,keyasint"`
	Version    uint64          `cbor:"2,keyasint"`
	Workspace  string          `cbor:"3,keyasint"`
	Workload   string          `cbor:"4,keyasint"`
	Class      string          `cbor:"5,keyasint"`
	Key        string          `cbor:"6,keyasint,omitempty"`
	BodyHash   uint64          `cbor:"7,keyasint"`
	Tasks      int             `cbor:"8,keyasint"`
	Size       size.Size       `cbor:"9,keyasint"`
	Priority   int             `cbor:"10,keyasint"`
	Deadline   time.Time       `cbor:"11,keyasint,omitzero"`
	Repeatable bool            `cbor:"12,keyasint,omitempty"`
	Payload    []byte          `cbor:"13,keyasint,omitempty"`
	State      State           `cbor:"14,keyasint"`
	Attempt    int             `cbor:"15,keyasint"`
	Places     []nodemsg.Place `cbor:"16,keyasint,omitempty"`
	Answer     Answer          `cbor:"17,keyasint,omitempty"`
	Result     string          `cbor:"18,keyasint,omitempty"`
	Reason     string          `cbor:"19,keyasint,omitempty"`
	Submitted  time.Time       `cbor:"20,keyasint"`
	PlacedAt   time.Time       `cbor:"21,keyasint,omitzero"`
	EndedAt    time.Time       `cbor:"22,keyasint,omitzero"`
	Cancelled  bool            `cbor:"23,keyasint,omitempty"`
	// StartedAttempts counts the attempts that began and did not succeed.
	StartedAttempts int `cbor:"24,keyasint,omitempty"`
	// Failures counts the attempts in which a task failed or was lost.
	Failures int `cbor:"25,keyasint,omitempty"`
	// SavedWork is the run time whose work the next attempt need not repeat.
	SavedWork time.Duration `cbor:"26,keyasint,omitempty"`
	// EndedMapAge is the age of the cluster map at the end of the job.
	EndedMapAge uint64 `cbor:"27,keyasint,omitempty"`
}

// New returns the record of a newly submitted job.
func New(req nodemsg.Submit, now time.Time) Record {
	rec := Record{
		ID: ids.Job(req.Workspace), Workspace: req.Workspace, Workload: req.Workload,
		Class: req.Class, Key: req.Key, BodyHash: req.BodyHash, Tasks: req.Tasks, Size: req.Size,
		Priority: req.Priority, Repeatable: req.Repeatable,
		Payload: req.Payload, State: Waiting, Submitted: now,
	}
	if req.Budget > 0 {
		rec.Deadline = now.Add(req.Budget)
	}
	return rec
}

// Encode returns the record in the journal's format.
func (rc Record) Encode() (nodemsg.Record, error) {
	raw, err := wire.Encode(rc)
	return nodemsg.Record{Key: rc.ID, Version: rc.Version, Value: raw}, err
}

// Decode decodes a record of the journal.
func Decode(from nodemsg.Record) (Record, error) {
	var rc Record
	err := wire.Decode(from.Value, &rc)
	return rc, errors.Wrapf(err, "record %s", from.Key)
}

// TaskIDs returns the ids of the tasks of an attempt.
func (rc Record) TaskIDs(number int) []string {
	list := make([]string, rc.Tasks)
	for i := range list {
		list[i] = ids.Task(rc.ID, number, i)
	}
	return list
}

// Rules returns the properties of the job that determine the next action of an attempt.
func (rc Record) Rules() attempt.Rules {
	return attempt.Rules{
		Gang: rc.Class == "gang", Repeatable: rc.Repeatable, Cancelled: rc.Cancelled,
		Started: rc.StartedAttempts > 0,
	}
}

// StatusOf returns the status of a task in an attempt, given its state on the worker.
func StatusOf(st workermsg.State, begun bool) attempt.Status {
	switch st {
	case workermsg.Prepared:
		return attempt.Prepared
	case workermsg.Running:
		return attempt.Running
	case workermsg.OK:
		return attempt.OK
	case workermsg.Failed:
		return attempt.Failed
	case workermsg.NotStarted:
		if begun {
			return attempt.Lost // the task began, and the worker has forgotten its end
		}
		return attempt.NotStarted
	case workermsg.Stopped:
		if !begun {
			return attempt.NotStarted
		}
		return attempt.Stopped
	case workermsg.LeaseExpired:
		if !begun {
			return attempt.NotStarted
		}
		return attempt.Lost
	}
	return attempt.Unknown
}

// View returns the representation of the job for callers.
func (rc Record) View(home string, statuses []attempt.Status) nodemsg.JobView {
	vw := nodemsg.JobView{
		ID: rc.ID, Workspace: rc.Workspace, Workload: rc.Workload, Key: rc.Key,
		State: string(rc.State), Answer: string(rc.Answer), Result: rc.Result, Reason: rc.Reason,
		Count: rc.Tasks, Attempt: rc.Attempt, Submitted: rc.Submitted, Placed: rc.PlacedAt,
		Ended: rc.EndedAt, Home: home,
	}
	for i, pl := range rc.Places {
		state := ""
		if i < len(statuses) {
			state = statusNames[statuses[i]]
		}
		vw.Tasks = append(vw.Tasks, nodemsg.Task{ID: pl.Task, Worker: pl.Worker, State: state})
	}
	return vw
}

var statusNames = map[attempt.Status]string{
	attempt.Unknown: "unknown", attempt.Prepared: "prepared", attempt.Running: "running",
	attempt.NotStarted: "not begun", attempt.OK: "ok", attempt.Failed: "failed",
	attempt.Stopped: "stopped", attempt.Lost: "lost",
}
