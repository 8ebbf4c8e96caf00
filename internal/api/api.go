// Package api holds the paths, headers and bodies of the HTTP interface for
// callers and operators. docs/http.md describes them.
package api

import (
	"time"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/table"
)

// The headers of requests and answers.
const (
	// HeaderWorkspace names the caller's workspace.
	HeaderWorkspace = "Tackbeam-Workspace"
	// HeaderTimeout is the time the caller waits, in seconds, such as 2.5.
	HeaderTimeout = "Request-Timeout"
	// HeaderKey makes a repeated job the same job.
	HeaderKey = "Idempotency-Key"
	// HeaderOperator names who edits the table.
	HeaderOperator = "Tackbeam-Operator"
	// HeaderWorker names the worker that answered a lookup.
	HeaderWorker = "Tackbeam-Worker"
	// HeaderStale is set on answers of a node that may hold an old table.
	HeaderStale = "Tackbeam-Stale"
	// HeaderAllow carries an explicit allow for something risky.
	HeaderAllow = "Tackbeam-Allow"
)

// AllowDrain is the explicit allow of a drain.
const AllowDrain = "drain"

// The paths.
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
)

// ErrorBody is the body of every answer that is an error.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo says what went wrong. Ran is "not-run" where nothing was started, and
// "unknown" where it may have been. RetryAfter is in seconds.
type ErrorInfo struct {
	Kind       fault.Kind `json:"kind"`
	Message    string     `json:"message"`
	Ran        string     `json:"ran"`
	RetryAfter float64    `json:"retry_after,omitempty"`
}

// JobRequest is the body of a new job. Sizes left out come from the workload's
// row. Deadline and DeadlineIn exclude each other; DeadlineIn is in seconds.
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

// Job is a job as callers see it.
type Job = nodemsg.JobView

// Jobs is a list of jobs. Unreached names the nodes whose jobs are missing.
type Jobs struct {
	Jobs      []Job    `json:"jobs"`
	Unreached []string `json:"unreached,omitempty"`
}

// CellRequest is the body of an edit of one cell. Expect, where given, is the
// value that the operator saw.
type CellRequest struct {
	Value  string  `json:"value"`
	Expect *string `json:"expect,omitempty"`
	// Wait asks the answer to be an error where a node has not confirmed.
	Wait bool `json:"wait,omitempty"`
}

// Table is the table with its newest version.
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

// Workers is a list of workers. Unreached names the nodes that did not answer.
type Workers struct {
	Workers   []nodemsg.WorkerView `json:"workers"`
	Unreached []string             `json:"unreached,omitempty"`
}

// Nodes is a list of nodes. Unreached names the nodes that did not answer.
type Nodes struct {
	Nodes     []nodemsg.NodeInfo `json:"nodes"`
	Unreached []string           `json:"unreached,omitempty"`
}

// DrainRequest asks for the drain of a node or of a worker.
type DrainRequest struct {
	Node   string `json:"node,omitempty"`
	Worker string `json:"worker,omitempty"`
}

// Stats is what one node measures of itself.
type Stats struct {
	Node   nodemsg.NodeInfo `json:"node"`
	Report meter.Report     `json:"report"`
}

// Health answers the health and readiness paths.
type Health struct {
	Status string   `json:"status"`
	Why    []string `json:"why,omitempty"`
}
