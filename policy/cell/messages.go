package cell

import (
	"tackbeam.example/policy/incarnation"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// Phase is the state of a job as callers see it.
type Phase string

// The phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Succeeded Phase = "succeeded"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Ended reports whether a job in the phase runs no more.
func (ph Phase) Ended() bool { return ph == Succeeded || ph == Failed || ph == Cancelled }

// Worker is what a worker says of itself.
type Worker struct {
	ID       incarnation.ID
	Service  string
	Capacity size.Size
	// Rack is its rack's label, Labels are all of its labels.
	Rack   string
	Labels []string
	// Draining workers take no new tasks. Remaining is how long they stay, at least.
	Draining  bool
	Remaining time.Duration
}

// Run is one start of a task, as a worker reports it while it is there.
type Run struct {
	Task       work.Task `cbor:"1,keyasint"`
	Number     int       `cbor:"2,keyasint"`
	Checkpoint string    `cbor:"3,keyasint,omitempty"`
	// Percent of the task's work that is done.
	Percent int `cbor:"4,keyasint,omitempty"`
	// TailLatencyMS is, for a task that serves users, the tail of their latency in milliseconds
	// over the last half second.
	TailLatencyMS int `cbor:"5,keyasint,omitempty"`
}

// Result is how a run ended.
type Result string

// The results. Stopped, Lapsed, Broken and Alone do not count as attempts.
const (
	ResultDone    Result = "done"
	ResultFailed  Result = "failed"
	ResultStopped Result = "stopped"
	ResultLapsed  Result = "lapsed"
	ResultBroken  Result = "broken"
	ResultAlone   Result = "alone"
)

// The results that stand only in records: the run's worker crashed, or did not after all.
const (
	ResultCrashed Result = "crashed"
	ResultCleared Result = "cleared"
)

// End is one end of a run; its worker counts its ends by Seq.
type End struct {
	Seq int
	Run
	Result Result
}

// Refusal is why a worker did not start a run.
type Refusal string

// The refusals. RefusedUnhealthy stands for a worker that took nothing on.
const (
	RefusedStale      Refusal = "old"
	RefusedLate       Refusal = "late"
	RefusedNoCapacity Refusal = "room"
	RefusedTicket     Refusal = "ticket"
	RefusedUnhealthy  Refusal = "unhealthy"
	RefusedInvalid    Refusal = "bad"
)

// Start is an order to start a run on a worker.
type Start struct {
	Worker     incarnation.ID
	Task       work.Task
	Run        int
	Spec       string
	Ticket     string
	Checkpoint string
	// Urgent is set for queues that go before others.
	Urgent bool
	// DecidedAt is when the plan placed it.
	DecidedAt time.Duration
}

// Stop is an order to end a run on a worker, and to keep it from starting later.
type Stop struct {
	Worker incarnation.ID
	Task   work.Task
	Run    int
	// Reason is for the log.
	Reason string
	// Unknown is set for a run of which the cell knows nothing.
	Unknown bool
	// Attempts counts the orders that were not confirmed.
	Attempts int
}

// AdviceRequest asks the advisor which workers may run a step.
type AdviceRequest struct {
	Step    work.Task
	Workers []incarnation.ID
	// Takes is how long the advisor is expected to need.
	Takes time.Duration
	// Urgent questions go before others.
	Urgent bool
}

// Record is a fact that must outlive the planner.
type Record struct {
	Job   string `cbor:"1,keyasint,omitempty"`
	Phase Phase  `cbor:"2,keyasint,omitempty"`
	// Task is set with Result and the number of the run that ended so.
	Task   *work.Task `cbor:"3,keyasint,omitempty"`
	Result Result     `cbor:"4,keyasint,omitempty"`
	Run    int        `cbor:"5,keyasint,omitempty"`
	// Worker is one that may hold any run from now on; with Closed it gets no more
	// runs and holds at most Held, with Gone it holds none.
	Worker incarnation.ID `cbor:"6,keyasint,omitempty"`
	Gone   bool           `cbor:"7,keyasint,omitempty"`
	Closed bool           `cbor:"8,keyasint,omitempty"`
	Held   []Run          `cbor:"9,keyasint,omitempty"`
	// Stop says instead that the worker is told to stop the runs in Held.
	Stop bool `cbor:"10,keyasint,omitempty"`
	// Explained says of a run that crashed that something else explains it, Left of a worker that
	// is closed that it leaves in order.
	Explained bool `cbor:"11,keyasint,omitempty"`
	Departed  bool `cbor:"12,keyasint,omitempty"`
	// LostWorker is the worker that was lost with a run that crashed.
	LostWorker incarnation.ID `cbor:"13,keyasint,omitempty"`
}

// Output is what a cell wants done.
type Output struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	// ReportRequests are workers whose next report is wanted at once.
	ReportRequests []incarnation.ID
	AdviceRequests []AdviceRequest
	Records        []Record
}

// Empty reports whether there is nothing to do.
func (ou *Output) Empty() bool {
	return len(ou.Starts)+len(ou.Stops)+len(ou.Paces)+len(ou.ReportRequests)+len(ou.AdviceRequests)+len(ou.Records) == 0
}
