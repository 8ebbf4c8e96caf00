package owner

import (
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// Event is one input of the machine: the time since the owner started and
// exactly one of the pointers set. It encodes as JSON, so that a recorder can
// write the inputs of a machine down and a replay can read them back.
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

// WorkerUp says that the owner holds a worker's lease and what runs there. What
// the ledger has on the worker besides, and is not about to start, is given back.
type WorkerUp struct {
	Worker  ledger.Worker `json:"worker"`
	Running []Running     `json:"running,omitempty"`
}

// Running is one task or lookup found on a worker.
type Running struct {
	ID    string    `json:"id"`
	Size  size.Size `json:"size"`
	Slots int       `json:"slots,omitempty"`
	// Priority and Repeatable are what the worker was told when the task started.
	Priority   int  `json:"priority,omitempty"`
	Repeatable bool `json:"repeatable,omitempty"`
}

// WorkerGone says that a worker takes nothing new; Lost, that it is not ours any more.
type WorkerGone struct {
	Worker string `json:"worker"`
	Lost   bool   `json:"lost"`
}

// Lookup is a lookup that wants a slot until Deadline.
type Lookup struct {
	ID        string        `json:"id"`
	Workspace string        `json:"workspace"`
	Workload  string        `json:"workload"`
	Weight    float64       `json:"weight"`
	Size      size.Size     `json:"size"`
	Deadline  time.Duration `json:"deadline"`
}

// LookupDone gives a lookup's slot back, or takes a waiting lookup out of the queue.
type LookupDone struct {
	ID      string        `json:"id"`
	Latency time.Duration `json:"latency"`
	// Failed says that the worker failed the lookup.
	Failed bool `json:"failed,omitempty"`
}

// Hold asks for room for tasks of one size until Expires. A hold of the same id
// replaces the former one, and keeps the places of the tasks that it names again.
type Hold struct {
	ID      string        `json:"id"`
	Tasks   []string      `json:"tasks"`
	Size    size.Size     `json:"size"`
	Expires time.Duration `json:"expires"`
	// Priority and Age order holds that reserve: higher priority first, then the
	// lower age, which is when the job was submitted.
	Priority    int   `json:"priority,omitempty"`
	SubmittedAt int64 `json:"age,omitempty"`
	// Reserve keeps room that is free, or comes free, for this hold, against
	// younger ones.
	Reserve bool `json:"reserve,omitempty"`
	// Urgent may also stop running tasks of lower priority that may be repeated.
	Urgent bool `json:"urgent,omitempty"`
	// Repeatable tells whether the tasks may be stopped for urgent ones.
	Repeatable bool `json:"repeatable,omitempty"`
	// Run is how long the tasks are expected to run; zero is not known.
	Run time.Duration `json:"run,omitempty"`
}

// Commit turns the places of some tasks of a hold into commitments that stay
// until the tasks end. What else the hold has is given back.
type Commit struct {
	ID    string   `json:"id"`
	Tasks []string `json:"tasks"`
}

// Started says that a committed task's start has been answered, or has failed
// in a way that the worker's next inventory will settle.
type Started struct {
	Task string `json:"task"`
}

// Release gives the room of a hold back.
type Release struct {
	ID string `json:"id"`
}

// Ended gives the room of one task back.
type Ended struct {
	Task string `json:"task"`
	// Failed and Succeeded say how the task ended, where that is known.
	Failed    bool `json:"failed,omitempty"`
	Succeeded bool `json:"succeeded,omitempty"`
}

// Tick lets time pass: holds and waiting lookups expire.
type Tick struct{}

// Action is one decision of the machine; exactly one pointer is set.
type Action struct {
	Dispatch *Dispatch `json:"send,omitempty"`
	Refuse   *Refuse   `json:"refuse,omitempty"`
	Granted  *Granted  `json:"granted,omitempty"`
	Settled  *Settled  `json:"settled,omitempty"`
	Expired  *Expired  `json:"expired,omitempty"`
	Preempt  *Preempt  `json:"preempt,omitempty"`
}

// Dispatch says on which worker a lookup goes.
type Dispatch struct {
	ID     string `json:"id"`
	Worker string `json:"worker"`
}

// Reason says why a lookup is refused.
type Reason string

// The reasons to refuse a lookup.
const (
	ReasonFull     Reason = "full"
	ReasonDeadline Reason = "deadline"
	ReasonEmpty    Reason = "no workers"
)

// Refuse says that a lookup was not begun, and when to come back.
type Refuse struct {
	ID         string        `json:"id"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after"`
}

// Place is one task and the worker that room was taken on.
type Place struct {
	Task   string `json:"task" cbor:"1,keyasint"`
	Worker string `json:"worker" cbor:"2,keyasint"`
}

// Granted lists the places that a hold got, perhaps fewer than asked for.
type Granted struct {
	ID     string  `json:"id"`
	Places []Place `json:"places,omitempty"`
}

// Settled answers a commit: false where the hold, or one of the places, had gone.
type Settled struct {
	ID     string  `json:"id"`
	OK     bool    `json:"ok"`
	Places []Place `json:"places,omitempty"`
}

// Expired says that a hold ran out and its room was given back.
type Expired struct {
	ID string `json:"id"`
}

// Preempt says that a running task is to be stopped to make room for urgent work.
type Preempt struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
}
