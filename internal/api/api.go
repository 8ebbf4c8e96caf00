// Package api defines the paths, headers and bodies of the HTTP API for callers and
// operators. docs/http.md documents them.
package api

import (
	"time"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/table"
)

// Headers of requests and responses.
const (
	// HeaderWorkspace names the caller's workspace.
	HeaderWorkspace = "Tackbeam-Workspace"
	// HeaderTimeout is the caller's timeout in seconds, such as 2.5.
	HeaderTimeout = "Request-Timeout"
	// HeaderIdempotencyKey is the idempotency key: jobs submitted again with the same key are not
	// started twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOperator names the operator that edits the table.
	HeaderOperator = "Tackbeam-Operator"
	// HeaderWorker names the worker that ran a lookup.
	HeaderWorker = "Tackbeam-Worker"
	// HeaderStale is set on responses of a node whose table may be out of date.
	HeaderStale = "Tackbeam-Stale"
	// HeaderAllow confirms a risky operation explicitly.
	HeaderAllow = "Tackbeam-Allow"
)

// AllowDrain is the value of HeaderAllow that allows a drain.
const AllowDrain = "drain"

// Paths of the API.
const (
	PathLookup  = "/v1/lookups/:workload"
	PathJobs    = "/v1/jobs"
	PathJob     = "/v1/jobs/:id"
	PathTable   = "/v1/table"
	PathColumns = "/v1/table/columns"
	PathRow     = "/v1/table/:kind/:row"
	PathCell    = "/v1/table/:kind/:row/:column"
	PathWorkers = "/v1/workers"
	PathNodes   = "/v1/nodes"
	PathDrain   = "/v1/drain"
	PathStats   = "/v1/stats"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	// PathEvacuations is served at the metrics address of nodes on the users' platform.
	PathEvacuations = "/v1/evacuations"
)

// ErrorBody is the body of all error responses.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo describes an error. Ran is "not-run" if no work was started, and
// "unknown" if work may have been started. RetryAfter is in seconds.
type ErrorInfo struct {
	Kind       fault.Kind `json:"kind"`
	Message    string     `json:"message"`
	Ran        string     `json:"ran"`
	RetryAfter float64    `json:"retry_after,omitempty"`
}

// NewErrorBody returns the body for an error.
func NewErrorBody(er *fault.Error) ErrorBody {
	info := ErrorInfo{Kind: er.Kind, Message: er.Message, Ran: "not-run"}
	if er.MayHaveRun || er.Kind == fault.Timeout || er.Kind == fault.Internal {
		info.Ran = "unknown"
	}
	info.RetryAfter = max(er.RetryAfter.Seconds(), 0)
	return ErrorBody{Error: info}
}

// JobRequest is the body of a request to submit a job. Sizes default to those of the
// workload's row. Deadline and DeadlineIn are mutually exclusive; DeadlineIn is in seconds.
type JobRequest struct {
	Workload     string     `json:"workload"`
	Workspace    string     `json:"workspace,omitempty"`
	Tasks        int        `json:"tasks,omitempty"`
	Processors   *float64   `json:"processors,omitempty"`
	Memory       *int64     `json:"memory,omitempty"`
	Accelerators *int64     `json:"accelerators,omitempty"`
	Deadline     *time.Time `json:"deadline,omitempty"`
	DeadlineIn   *float64   `json:"deadline_in,omitempty"`
	Payload      any        `json:"payload,omitempty"`
}

// Job is the state of a job as returned to callers.
type Job = nodemsg.JobView

// Jobs is a list of jobs. Unreached names the nodes that did not respond and whose
// jobs are missing.
type Jobs struct {
	Jobs      []Job    `json:"jobs"`
	Unreached []string `json:"unreached,omitempty"`
}

// CellRequest is the body of an edit of a cell. If Expect is set, the edit applies
// only if the cell has that value.
type CellRequest struct {
	Value  string  `json:"value"`
	Expect *string `json:"expect,omitempty"`
	// Wait asks for a response with the status of NotConfirmed if a node has not
	// confirmed the edit.
	Wait bool `json:"wait,omitempty"`
}

// Table is the operators' table with the highest version of its rows.
type Table struct {
	Version uint64      `json:"version"`
	Rows    []table.Row `json:"rows"`
	Stale   bool        `json:"stale,omitempty"`
}

// Column describes a column of the table.
type Column struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Default string `json:"default"`
	Unit    string `json:"unit"`
	Allowed string `json:"allowed"`
	Meaning string `json:"meaning"`
}

// Workers is a list of workers. Unreached names the nodes that did not respond.
type Workers struct {
	Workers   []nodemsg.WorkerView `json:"workers"`
	Unreached []string             `json:"unreached,omitempty"`
}

// Nodes is a list of nodes. Unreached names the nodes that did not respond.
type Nodes struct {
	Nodes     []nodemsg.NodeInfo `json:"nodes"`
	Unreached []string           `json:"unreached,omitempty"`
}

// DrainRequest is the body of a request to drain a node or a worker.
type DrainRequest struct {
	Node   string `json:"node,omitempty"`
	Worker string `json:"worker,omitempty"`
}

// Stats holds the state and the metrics of a node.
type Stats struct {
	Node   nodemsg.NodeInfo `json:"node"`
	Report meter.Report     `json:"report"`
}

// Health is the body of responses to health and readiness checks.
type Health struct {
	Status string   `json:"status"`
	Why    []string `json:"why,omitempty"`
}
