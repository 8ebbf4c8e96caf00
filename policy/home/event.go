package home

import (
	"time"

	"tackbeam.example/policy/size"
)

// Event is one input of the machine: the time since the home started, and exactly one non-nil pointer. It is encoded
// as JSON for the recorder.
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
	// Urgent jobs reserve resources from their first try.
	Urgent bool `json:"urgent,omitempty"`
	// Waited is how long the job has waited before this event.
	Waited time.Duration `json:"waited,omitempty"`
	// RetryAt is the earliest time of the next try.
	RetryAt time.Duration `json:"again,omitempty"`
}

// Resume adds a job that already runs, after this home took over its record.
type Resume struct {
	Submit
	Running int `json:"running"`
}

// Limits sets the weight and the limits of a workspace. Nil means no limit.
type Limits struct {
	Workspace    string   `json:"workspace"`
	Weight       float64  `json:"weight"`
	Processors   *float64 `json:"processors,omitempty"`
	Memory       *int64   `json:"memory,omitempty"`
	Accelerators *int64   `json:"accelerators,omitempty"`
	Running      *int64   `json:"running,omitempty"`
}

// Capacity sets the total capacity of the cluster, the largest capacity of one worker, and the free resources.
type Capacity struct {
	Total   size.Size `json:"total"`
	Largest size.Size `json:"largest"`
	Free    size.Size `json:"free"`
}

// Placed reports that every task of a job was committed.
type Placed struct {
	Job string `json:"job"`
}

// NotPlaced reports that a try did not find enough resources. The job waits until RetryAt or, if that is zero, until
// resources may have been freed.
type NotPlaced struct {
	Job     string        `json:"job"`
	RetryAt time.Duration `json:"again"`
}

// TaskEnded reports that one task of a placed job ended.
type TaskEnded struct {
	Job string `json:"job"`
	// OK is set if the task completed, so that its run time is recorded.
	OK bool `json:"ok,omitempty"`
}

// Remove removes a job that was cancelled, has ended or was handed over to another home.
type Remove struct {
	Job string `json:"job"`
}

// Tick advances the time and starts the next tries.
type Tick struct{}

// Action is one decision of the machine; exactly one pointer is non-nil.
type Action struct {
	Try     *Try     `json:"try,omitempty"`
	Expired *Expired `json:"late,omitempty"`
}

// Try requests resources for all tasks of a job.
type Try struct {
	Job string `json:"job"`
	// Reserve lets the job keep the resources that it finds until it has enough for all tasks.
	Reserve bool `json:"reserve,omitempty"`
	// Run is the expected run time of its tasks; zero if unknown.
	Run time.Duration `json:"run,omitempty"`
}

// Expired reports that the deadline of a waiting job has passed and that it was removed from the queue.
type Expired struct {
	Job string `json:"job"`
}
