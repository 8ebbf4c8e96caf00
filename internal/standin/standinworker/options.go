package standinworker

import (
	"io"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Options configure a stand-in worker.
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
	// StartWindow is the maximum age of the heartbeat that a start message names.
	StartWindow time.Duration
	// LookupTime is the duration of one lookup.
	LookupTime   time.Duration
	Capabilities []workermsg.Capability
	// Records, if set, receives each record immediately as a JSON line, so that the records survive a crash of
	// the process.
	Records io.Writer
}

// Defaults of the options.
const (
	defaultCores             = 64
	defaultMemory            = 128 << 10
	defaultSlots             = 8
	defaultConnections       = 60
	defaultLeaseTTL          = 20 * time.Second
	defaultHeartbeatInterval = 5 * time.Second
	defaultStartWindow       = 10 * time.Second
	defaultLookupTime        = 2 * time.Millisecond
	milliPerCore             = 1000
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
		op.LeaseTTL = defaultLeaseTTL
	}
	if op.HeartbeatInterval == 0 {
		op.HeartbeatInterval = defaultHeartbeatInterval
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

// Faults are injected into the worker's behavior.
type Faults struct {
	// FailAll makes every task and lookup fail immediately.
	FailAll bool `json:"fail_all"`
	// LookupDelay is added to the duration of every second lookup, so that answers arrive out of order.
	LookupDelay time.Duration `json:"lookup_delay"`
	// Truncate sends only half of each answer's body.
	Truncate bool `json:"cut_short"`
	// SendUnrequested sends, before each answer, an answer to a lookup that was never requested.
	SendUnrequested bool `json:"foreign"`
	// SendTwice sends each answer twice.
	SendTwice bool `json:"twice"`
	// DropSends drops everything that the worker sends, as a broken network link does.
	DropSends bool `json:"mute"`
}

// Record is one event that happened on a worker. Checkers compare it with what the scheduler reports.
type Record struct {
	At     time.Time `json:"at"`
	Worker string    `json:"worker"`
	Task   string    `json:"task"`
	Event  string    `json:"event"`
	Lookup bool      `json:"lookup,omitempty"`
	// Mark is the identification that the sender put into the payload or the body.
	Mark string `json:"mark,omitempty"`
	// Resume is the progress from which a starting task resumes.
	Resume time.Duration `json:"resume,omitempty"`
}

// Values of Record.Event.
const (
	EventBegin        = "begin"
	EventEnd          = "end"
	EventOverCapacity = "over capacity"
)
