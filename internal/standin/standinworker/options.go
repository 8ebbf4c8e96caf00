package standinworker

import (
	"io"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Options describe one stand-in worker.
type Options struct {
	Name              string
	Hall              string
	Rack              string
	Listen            string
	Capacity          size.Size
	Slots             int
	Connections       int
	LeaseTTL          time.Duration
	HeartbeatInterval time.Duration
	// StartWindow is how old the beat may be that a start message names.
	StartWindow time.Duration
	// LookupTime is how long one lookup takes.
	LookupTime   time.Duration
	Capabilities []workermsg.Capability
	// Records, where set, gets each record as a JSON line at once, so that it
	// outlives the process.
	Records io.Writer
}

// Sizes and times of a stand-in worker where the options leave them out.
const (
	defaultCores       = 64
	defaultMemory      = 128 << 10
	defaultSlots       = 8
	defaultConnections = 60
	defaultLease       = 20 * time.Second
	defaultBeat        = 5 * time.Second
	defaultStartWindow = 10 * time.Second
	defaultLookupTime  = 2 * time.Millisecond
	milliPerCore       = 1000
)

func (op Options) withDefaults() Options {
	if op.Listen == "" {
		op.Listen = "127.0.0.1:0"
	}
	if op.Capacity.IsZero() {
		op.Capacity = size.New(defaultCores*milliPerCore, defaultMemory, 0)
	}
	if op.Slots == 0 {
		op.Slots = defaultSlots
	}
	if op.Connections == 0 {
		op.Connections = defaultConnections
	}
	if op.LeaseTTL == 0 {
		op.LeaseTTL = defaultLease
	}
	if op.HeartbeatInterval == 0 {
		op.HeartbeatInterval = defaultBeat
	}
	if op.StartWindow == 0 {
		op.StartWindow = defaultStartWindow
	}
	if op.LookupTime == 0 {
		op.LookupTime = defaultLookupTime
	}
	if op.Capabilities == nil {
		op.Capabilities = []workermsg.Capability{workermsg.Fencing, workermsg.Inventory}
	}
	return op
}

// Faults are the ways in which the stand-in misbehaves on demand.
type Faults struct {
	// FailAll makes every task and lookup fail at once.
	FailAll bool `json:"fail_all"`
	// LookupDelay is added to the time of every second lookup, so that answers
	// overtake each other.
	LookupDelay time.Duration `json:"lookup_delay"`
	// Truncate sends half of each answer's body.
	Truncate bool `json:"cut_short"`
	// SendUnrequested sends, before each answer, one to a lookup that nobody sent.
	SendUnrequested bool `json:"foreign"`
	// SendTwice sends each answer twice.
	SendTwice bool `json:"twice"`
	// DropSends drops what the worker would send, as a cut link does.
	DropSends bool `json:"mute"`
}

// Record is one line of what really happened on a worker, for a checker.
type Record struct {
	At     time.Time `json:"at"`
	Worker string    `json:"worker"`
	Task   string    `json:"task"`
	Event  string    `json:"event"`
	Lookup bool      `json:"lookup,omitempty"`
	// Mark is what the sender wrote into the payload or the body to know it by.
	Mark string `json:"mark,omitempty"`
	// Resume is the work that a task which begins need not do again.
	Resume time.Duration `json:"resume,omitempty"`
}

// The events of a record.
const (
	EventBegin        = "begin"
	EventEnd          = "end"
	EventOverCapacity = "over capacity"
)
