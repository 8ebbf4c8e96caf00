// Package workermsg contains the messages between an owner and a worker, as the stand-in worker implements them. The
// messages are sent as CBOR in WebSocket frames.
//
// A worker measures its lease from the time at which it sent the heartbeat that a renewal answers. However long a
// renewal takes to arrive, the lease ends no later than its length after the owner received that heartbeat.
package workermsg

import (
	"time"

	"tackbeam.example/policy/size"
)

// Paths of a worker's two kinds of connection.
const (
	ControlPath = "/v1/control"
	LookupPath  = "/v1/lookups"
)

// OwnerMessage is one message from an owner to a worker; exactly one pointer is non-nil.
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

// WorkerMessage is one message from a worker to an owner; exactly one pointer is non-nil.
type WorkerMessage struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Refused   *Refused   `cbor:"2,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"3,keyasint,omitempty"`
	Reply     *Reply     `cbor:"4,keyasint,omitempty"`
	Ended     *Ended     `cbor:"5,keyasint,omitempty"`
	Answer    *Answer    `cbor:"6,keyasint,omitempty"`
	Leaving   *Leaving   `cbor:"7,keyasint,omitempty"`
}

// Attach takes the worker's lease for an owner. The worker refuses an epoch below the highest that it has seen.
type Attach struct {
	Owner string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Detach returns the worker's lease.
type Detach struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// DrainOrder tells the worker to drain: it refuses all new work.
type DrainOrder struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// Renew answers the heartbeat with the nonce and renews the lease of the epoch.
type Renew struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
}

// Start starts a task. The worker refuses it if the heartbeat with the nonce is too old, so that a delayed start cannot
// start a task late. A prepared task occupies its resources and starts on StartPrepared.
type Start struct {
	Seq      uint64    `cbor:"1,keyasint"`
	Epoch    uint64    `cbor:"2,keyasint"`
	Nonce    uint64    `cbor:"3,keyasint"`
	Task     string    `cbor:"4,keyasint"`
	Size     size.Size `cbor:"5,keyasint"`
	Payload  []byte    `cbor:"6,keyasint,omitempty"`
	Prepared bool      `cbor:"7,keyasint,omitempty"`
	// Priority and Repeatable are returned in the inventory.
	Priority   int  `cbor:"8,keyasint,omitempty"`
	Repeatable bool `cbor:"9,keyasint,omitempty"`
	// Resume is the work that the task's last checkpoint saved. The task continues from there.
	Resume time.Duration `cbor:"10,keyasint,omitempty"`
}

// TaskOrder is an order that only names a task.
type TaskOrder struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Task  string `cbor:"3,keyasint"`
}

// Throttle limits a task to a percentage of its processors.
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

// Lookup requests an answer within Budget of its receipt. The worker refuses it if Session is not the session of the
// latest attachment: an owner that has attached again relies on the inventory, so lookups that it sent before must no
// longer start.
type Lookup struct {
	ID       uint64        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"`
	Workload string        `cbor:"3,keyasint"`
	Size     size.Size     `cbor:"4,keyasint"`
	Budget   time.Duration `cbor:"5,keyasint"`
	Body     []byte        `cbor:"6,keyasint"`
	Session  uint64        `cbor:"7,keyasint"`
}

// Capability is a feature that a worker may have and that the platform does not guarantee.
type Capability string

// Capabilities that affect how an owner ensures that a task has ended.
const (
	Fencing   Capability = "fencing"
	Inventory Capability = "inventory"
)

// Hello accepts an Attach. It contains the worker's capacity and its inventory.
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
	// Session identifies this attachment among all attachments of the worker.
	Session uint64 `cbor:"13,keyasint"`
}

// Refused refuses an Attach with a stale epoch. It contains the highest epoch seen.
type Refused struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// State is the state of a task on a worker.
type State string

// States of a task on a worker.
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

// Started reports whether a task in this state has started to run.
func (st State) Started() bool { return st != NotStarted && st != Prepared }

// TaskReport is one task in a worker's inventory.
type TaskReport struct {
	Task    string    `cbor:"1,keyasint"`
	State   State     `cbor:"2,keyasint"`
	Size    size.Size `cbor:"3,keyasint"`
	Started bool      `cbor:"4,keyasint,omitempty"`
	// Priority and Repeatable are the values of the start message.
	Priority   int  `cbor:"5,keyasint,omitempty"`
	Repeatable bool `cbor:"6,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"7,keyasint,omitempty"`
}

// Usage is the recent resource usage of one task. It is reported with a delay.
type Usage struct {
	Task string    `cbor:"1,keyasint"`
	Size size.Size `cbor:"2,keyasint"`
}

// Heartbeat is a worker's heartbeat. The owner answers it with Renew.
type Heartbeat struct {
	Nonce uint64  `cbor:"1,keyasint"`
	Usage []Usage `cbor:"2,keyasint,omitempty"`
}

// Refusal is the reason why a worker did not execute an order.
type Refusal string

// Reasons for a refusal. Accepted means that the order was executed.
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

// Reply answers the order with the same sequence number.
type Reply struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Refusal Refusal `cbor:"2,keyasint,omitempty"`
	State   State   `cbor:"3,keyasint,omitempty"`
	Started bool    `cbor:"4,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"5,keyasint,omitempty"`
}

// Ended reports the end of a task, or of a lookup sent by a former owner.
type Ended struct {
	Task    string `cbor:"1,keyasint"`
	State   State  `cbor:"2,keyasint"`
	Started bool   `cbor:"3,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"4,keyasint,omitempty"`
}

// Leaving reports that the worker accepts no new work from now on.
type Leaving struct{}

// Answer answers the lookup with the ID. Length is the length of the whole body.
type Answer struct {
	ID      uint64  `cbor:"1,keyasint"`
	Refusal Refusal `cbor:"2,keyasint,omitempty"`
	Failed  string  `cbor:"3,keyasint,omitempty"`
	Length  int     `cbor:"4,keyasint"`
	Body    []byte  `cbor:"5,keyasint"`
}
