// Package workermsg holds the messages between an owner and a worker, as the
// stand-in worker speaks them. The messages travel as CBOR in WebSocket frames.
//
// A worker measures its lease from the moment it sent the beat that a renewal
// answers. However long a renewal is under way, the lease ends no later than
// its length after the owner received that beat.
package workermsg

import (
	"time"

	"tackbeam.example/policy/size"
)

// The paths of a worker's two kinds of connection.
const (
	ControlPath = "/v1/control"
	LookupPath  = "/v1/lookups"
)

// OwnerMessage is one message from an owner to a worker; exactly one pointer is set.
type OwnerMessage struct {
	Attach        *Attach     `cbor:"1,keyasint,omitempty"`
	Renew         *Renew      `cbor:"2,keyasint,omitempty"`
	Start         *Start      `cbor:"3,keyasint,omitempty"`
	StartPrepared *TaskOrder  `cbor:"4,keyasint,omitempty"`
	Stop          *TaskOrder  `cbor:"5,keyasint,omitempty"`
	Checkpoint    *TaskOrder  `cbor:"6,keyasint,omitempty"`
	Throttle      *Throttle   `cbor:"7,keyasint,omitempty"`
	Fence         *TaskOrder  `cbor:"8,keyasint,omitempty"`
	Ack           *Ack        `cbor:"9,keyasint,omitempty"`
	Lookup        *Lookup     `cbor:"10,keyasint,omitempty"`
	Detach        *Detach     `cbor:"11,keyasint,omitempty"`
	Drain         *DrainOrder `cbor:"12,keyasint,omitempty"`
}

// WorkerMessage is one message from a worker to an owner; exactly one pointer is set.
type WorkerMessage struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Refused   *Refused   `cbor:"2,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"3,keyasint,omitempty"`
	Reply     *Reply     `cbor:"4,keyasint,omitempty"`
	Ended     *Ended     `cbor:"5,keyasint,omitempty"`
	Answer    *Answer    `cbor:"6,keyasint,omitempty"`
	Leaving   *Leaving   `cbor:"7,keyasint,omitempty"`
}

// Attach takes the worker's lease for an owner. The worker refuses an epoch
// below the highest it has seen.
type Attach struct {
	Owner string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Detach gives the worker's lease back.
type Detach struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// DrainOrder tells the worker to drain: it refuses whatever is new.
type DrainOrder struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// Renew answers the beat of the nonce and renews the lease of the epoch.
type Renew struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
}

// Start begins a task. The worker refuses it where the beat of the nonce is old,
// so that a start which was delayed on its way cannot begin late. A prepared
// task holds its room and begins on Go.
type Start struct {
	Seq      uint64    `cbor:"1,keyasint"`
	Epoch    uint64    `cbor:"2,keyasint"`
	Nonce    uint64    `cbor:"3,keyasint"`
	Task     string    `cbor:"4,keyasint"`
	Size     size.Size `cbor:"5,keyasint"`
	Payload  []byte    `cbor:"6,keyasint,omitempty"`
	Prepared bool      `cbor:"7,keyasint,omitempty"`
	// Priority and Repeatable come back in the inventory.
	Priority   int  `cbor:"8,keyasint,omitempty"`
	Repeatable bool `cbor:"9,keyasint,omitempty"`
	// Resume is the work that the task's last checkpoint saved; it goes on from there.
	Resume time.Duration `cbor:"10,keyasint,omitempty"`
}

// TaskOrder is an order that names a task and nothing else.
type TaskOrder struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Task  string `cbor:"3,keyasint"`
}

// Throttle slows a task to a percentage of its processors.
type Throttle struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Task    string `cbor:"3,keyasint"`
	Percent int    `cbor:"4,keyasint"`
}

// Ack lets the worker forget the report of an ended task.
type Ack struct {
	Task string `cbor:"1,keyasint"`
}

// Lookup asks for an answer within Budget of its receipt. The worker refuses it
// where Session is not that of the last attachment: an owner that has attached
// anew counts by the inventory, and what it sent before must not begin any more.
type Lookup struct {
	ID       uint64        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"`
	Workload string        `cbor:"3,keyasint"`
	Size     size.Size     `cbor:"4,keyasint"`
	Budget   time.Duration `cbor:"5,keyasint"`
	Body     []byte        `cbor:"6,keyasint"`
	Session  uint64        `cbor:"7,keyasint"`
}

// Capability names something a worker can do that the platform need not promise.
type Capability string

// The capabilities that change how an owner makes sure of a task's end.
const (
	Fencing   Capability = "fencing"
	Inventory Capability = "inventory"
)

// Hello accepts an Attach and lists what the worker has and runs.
type Hello struct {
	Worker       string        `cbor:"1,keyasint"`
	Incarnation  string        `cbor:"2,keyasint"`
	Epoch        uint64        `cbor:"3,keyasint"`
	Nonce        uint64        `cbor:"4,keyasint"`
	Capacity     size.Size     `cbor:"5,keyasint"`
	Slots        int           `cbor:"6,keyasint"`
	Connections  int           `cbor:"7,keyasint"`
	Lease        time.Duration `cbor:"8,keyasint"`
	Capabilities []Capability  `cbor:"9,keyasint"`
	Tasks        []TaskReport  `cbor:"10,keyasint,omitempty"`
	Lookups      []TaskReport  `cbor:"11,keyasint,omitempty"`
	Leaving      bool          `cbor:"12,keyasint,omitempty"`
	// Session tells this attachment from all others of the worker.
	Session uint64 `cbor:"13,keyasint"`
}

// Refused answers an Attach of a stale epoch with the highest epoch seen.
type Refused struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// State is how far a task has come on a worker.
type State string

// The states of a task on a worker.
const (
	NotStarted   State = "never"
	Prepared     State = "prepared"
	Running      State = "running"
	OK           State = "ok"
	Failed       State = "failed"
	Stopped      State = "stopped"
	LeaseExpired State = "lapsed"
)

// Ended reports whether the state is final.
func (st State) Ended() bool {
	switch st {
	case OK, Failed, Stopped, LeaseExpired, NotStarted:
		return true
	}
	return false
}

// Started reports whether a task in the state has begun to run.
func (st State) Started() bool { return st != NotStarted && st != Prepared }

// TaskReport is one task in a worker's inventory.
type TaskReport struct {
	Task    string    `cbor:"1,keyasint"`
	State   State     `cbor:"2,keyasint"`
	Size    size.Size `cbor:"3,keyasint"`
	Started bool      `cbor:"4,keyasint,omitempty"`
	// Priority and Repeatable are what the start said.
	Priority   int  `cbor:"5,keyasint,omitempty"`
	Repeatable bool `cbor:"6,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"7,keyasint,omitempty"`
}

// Usage is what one task used of late; the report lags.
type Usage struct {
	Task string    `cbor:"1,keyasint"`
	Size size.Size `cbor:"2,keyasint"`
}

// Heartbeat is a worker's heartbeat. The owner answers it with Renew.
type Heartbeat struct {
	Nonce uint64  `cbor:"1,keyasint"`
	Usage []Usage `cbor:"2,keyasint,omitempty"`
}

// Refusal says why a worker did not do as it was told.
type Refusal string

// The refusals of a worker. The empty one is consent.
const (
	Accepted      Refusal = ""
	StaleEpoch    Refusal = "stale epoch"
	StaleStart    Refusal = "stale start"
	NoCapacity    Refusal = "no room"
	WorkerLeaving Refusal = "leaving"
	TaskFenced    Refusal = "fenced"
	StaleSession  Refusal = "old session"
	UnknownTask   Refusal = "no such task"
)

// Reply answers the order of the same sequence number.
type Reply struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Refusal Refusal `cbor:"2,keyasint,omitempty"`
	State   State   `cbor:"3,keyasint,omitempty"`
	Started bool    `cbor:"4,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"5,keyasint,omitempty"`
}

// Ended reports the end of a task, or of a lookup that a former owner sent.
type Ended struct {
	Task    string `cbor:"1,keyasint"`
	State   State  `cbor:"2,keyasint"`
	Started bool   `cbor:"3,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"4,keyasint,omitempty"`
}

// Leaving says that the worker takes nothing new from now on.
type Leaving struct{}

// Answer answers the lookup of the id. Length is the length of the whole body.
type Answer struct {
	ID      uint64  `cbor:"1,keyasint"`
	Refusal Refusal `cbor:"2,keyasint,omitempty"`
	Failed  string  `cbor:"3,keyasint,omitempty"`
	Length  int     `cbor:"4,keyasint"`
	Body    []byte  `cbor:"5,keyasint"`
}
