package home

import (
	"time"

	"tackbeam.example/policy/size"
)

// Event is one input of the machine: the time since the home started and
// exactly one of the pointers set. It encodes as JSON for the recorder.
type Event struct {
	At        time.Duration `json:"at"`
	Submit    *Submit       `json:"submit,omitempty"`
	Resume    *Resume       `json:"resume,omitempty"`
	Limits    *Limits       `json:"limits,omitempty"`
	Capacity  *Capacity     `json:"capacity,omitempty"`
	Placed    *Placed       `json:"placed,omitempty"`
	NotPlaced *NotPlaced    `json:"not_placed,omitempty"`
	TaskEnded *TaskEnded    `json:"task_ended,omitempty"`
	Remove    *Remove       `json:"remove,omitempty"`
	Tick      *Tick         `json:"tick,omitempty"`
}

// Submit adds a job to the queue.
type Submit struct {
	Job       string        `json:"job"`
	Workspace string        `json:"workspace"`
	Tasks     int           `json:"tasks"`
	Size      size.Size     `json:"size"`
	Priority  int           `json:"priority"`
	Deadline  time.Duration `json:"deadline"`
	Workload  string        `json:"workload,omitempty"`
	// Urgent jobs reserve room from their first try.
	Urgent bool `json:"urgent,omitempty"`
	// Waited is how long the job had waited before this event.
	Waited time.Duration `json:"waited,omitempty"`
	// RetryAt is the earliest time of the next try.
	RetryAt time.Duration `json:"again,omitempty"`
}

// Resume counts a job that already runs, after its record was taken over.
type Resume struct {
	Submit
	Running int `json:"running"`
}

// Limits sets the weight and the limits of a workspace. A nil limit is none.
type Limits struct {
	Workspace    string   `json:"workspace"`
	Weight       float64  `json:"weight"`
	Processors   *float64 `json:"processors,omitempty"`
	Memory       *int64   `json:"memory,omitempty"`
	Accelerators *int64   `json:"accelerators,omitempty"`
	Running      *int64   `json:"running,omitempty"`
}

// Capacity tells the room of the whole cluster.
type Capacity struct {
	Total   size.Size `json:"total"`
	Largest size.Size `json:"largest"`
	Free    size.Size `json:"free"`
}

// Placed says that every task of a job was committed.
type Placed struct {
	Job string `json:"job"`
}

// NotPlaced says that a try found no room. The job waits until Again or, where that
// is zero, until room may have come free.
type NotPlaced struct {
	Job     string        `json:"job"`
	RetryAt time.Duration `json:"again"`
}

// TaskEnded says that one task of a placed job gave its room back.
type TaskEnded struct {
	Job string `json:"job"`
	// OK is set where the task ran to its end, so that its time can be learned from.
	OK bool `json:"ok,omitempty"`
}

// Remove takes a job out: cancelled, ended or given to another home.
type Remove struct {
	Job string `json:"job"`
}

// Tick lets time pass and asks for the next tries.
type Tick struct{}

// Action is one decision of the machine; exactly one pointer is set.
type Action struct {
	Try     *Try     `json:"try,omitempty"`
	Expired *Expired `json:"late,omitempty"`
}

// Try asks for room for all tasks of a job.
type Try struct {
	Job string `json:"job"`
	// Reserve lets the job keep the room that it finds until it has all.
	Reserve bool `json:"reserve,omitempty"`
	// Run is how long its tasks are expected to run; zero is not known.
	Run time.Duration `json:"run,omitempty"`
}

// Expired says that a waiting job passed its deadline and left the queue.
type Expired struct {
	Job string `json:"job"`
}
