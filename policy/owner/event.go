package owner

import (
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// Event is one input of the machine: the time since the owner started, and exactly one non-nil pointer. It is encoded
// as JSON, so that the inputs of a machine can be recorded and replayed.
type Event struct {
	At         time.Duration `json:"at"`
	WorkerUp   *WorkerUp     `json:"worker_up,omitempty"`
	WorkerGone *WorkerGone   `json:"worker_gone,omitempty"`
	Lookup     *Lookup       `json:"arrive,omitempty"`
	LookupDone *LookupDone   `json:"done,omitempty"`
	Hold       *Hold         `json:"hold,omitempty"`
	Commit     *Commit       `json:"commit,omitempty"`
	Release    *Release      `json:"release,omitempty"`
	Started    *Started      `json:"started,omitempty"`
	Ended      *Ended        `json:"ended,omitempty"`
	Tick       *Tick         `json:"tick,omitempty"`
}

// WorkerUp reports that the owner holds a worker's lease, and what runs there. All other commitments on the worker
// are released, except those of holds and of tasks that are about to start.
type WorkerUp struct {
	Worker  ledger.Worker `json:"worker"`
	Running []Running     `json:"running,omitempty"`
}

// Running is a task or lookup that runs on a worker.
type Running struct {
	ID    string    `json:"id"`
	Size  size.Size `json:"size"`
	Slots int       `json:"slots,omitempty"`
	// Priority and Repeatable are as sent to the worker when the task started.
	Priority   int  `json:"priority,omitempty"`
	Repeatable bool `json:"repeatable,omitempty"`
}

// WorkerGone reports that a worker accepts no new work or, with Lost, that this owner no longer owns it.
type WorkerGone struct {
	Worker string `json:"worker"`
	Lost   bool   `json:"lost"`
}

// Lookup requests a slot for a lookup, until Deadline.
type Lookup struct {
	ID        string        `json:"id"`
	Workspace string        `json:"workspace"`
	Workload  string        `json:"workload"`
	Weight    float64       `json:"weight"`
	Size      size.Size     `json:"size"`
	Deadline  time.Duration `json:"deadline"`
}

// LookupDone releases a lookup's slot, or removes a waiting lookup from the queue.
type LookupDone struct {
	ID      string        `json:"id"`
	Latency time.Duration `json:"latency"`
	// Failed is set if the lookup failed on the worker.
	Failed bool `json:"failed,omitempty"`
}

// Hold requests resources for tasks of one size, until Expires. It replaces an earlier hold with the same id, and
// keeps the places of the tasks that are in both.
type Hold struct {
	ID      string        `json:"id"`
	Tasks   []string      `json:"tasks"`
	Size    size.Size     `json:"size"`
	Expires time.Duration `json:"expires"`
	// Priority and SubmittedAt order holds that reserve: higher priority first, then the job that was submitted
	// earlier.
	Priority    int   `json:"priority,omitempty"`
	SubmittedAt int64 `json:"age,omitempty"`
	// Reserve reserves capacity that is free, or is freed later, for this hold ahead of those that it precedes.
	Reserve bool `json:"reserve,omitempty"`
	// Urgent holds also preempt repeatable running tasks of lower priority.
	Urgent bool `json:"urgent,omitempty"`
	// Repeatable tasks may be preempted by urgent holds.
	Repeatable bool `json:"repeatable,omitempty"`
	// Run is the expected run time of the tasks; zero if unknown.
	Run time.Duration `json:"run,omitempty"`
}

// Commit turns the places of some tasks of a hold into commitments that last until the tasks end. The other places
// of the hold are released.
type Commit struct {
	ID    string   `json:"id"`
	Tasks []string `json:"tasks"`
}

// Started reports that the start of a committed task was answered, or that it failed in such a way that the worker's
// next inventory shows whether the task runs.
type Started struct {
	Task string `json:"task"`
}

// Release releases a hold.
type Release struct {
	ID string `json:"id"`
}

// Ended releases the resources of one task.
type Ended struct {
	Task string `json:"task"`
	// Failed and Succeeded are the result of the task, if known.
	Failed    bool `json:"failed,omitempty"`
	Succeeded bool `json:"succeeded,omitempty"`
}

// Tick advances the time, so that holds and waiting lookups expire.
type Tick struct{}

// Action is one decision of the machine; exactly one pointer is non-nil.
type Action struct {
	Dispatch *Dispatch `json:"send,omitempty"`
	Refuse   *Refuse   `json:"refuse,omitempty"`
	Granted  *Granted  `json:"granted,omitempty"`
	Settled  *Settled  `json:"settled,omitempty"`
	Expired  *Expired  `json:"expired,omitempty"`
	Preempt  *Preempt  `json:"preempt,omitempty"`
}

// Dispatch assigns a lookup to a worker.
type Dispatch struct {
	ID     string `json:"id"`
	Worker string `json:"worker"`
}

// Reason is why a lookup is refused.
type Reason string

// Reasons for refusing a lookup.
const (
	ReasonFull     Reason = "full"
	ReasonDeadline Reason = "deadline"
	ReasonEmpty    Reason = "no workers"
)

// Refuse refuses a lookup, which was not started, and says after how long to retry.
type Refuse struct {
	ID         string        `json:"id"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after"`
}

// Place is a task and the worker on which resources are held for it.
type Place struct {
	Task   string `json:"task" cbor:"1,keyasint"`
	Worker string `json:"worker" cbor:"2,keyasint"`
}

// Granted lists the places of a hold, possibly fewer than requested.
type Granted struct {
	ID     string  `json:"id"`
	Places []Place `json:"places,omitempty"`
}

// Settled is the result of a commit: not OK if the hold or one of its places no longer exists.
type Settled struct {
	ID     string  `json:"id"`
	OK     bool    `json:"ok"`
	Places []Place `json:"places,omitempty"`
}

// Expired reports that a hold expired and was released.
type Expired struct {
	ID string `json:"id"`
}

// Preempt requests that a running task is stopped to free resources for urgent work.
type Preempt struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
}
