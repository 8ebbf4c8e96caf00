package cell

import (
	"time"

	"tackbeam.example/policy/incarnation"
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

// Ended reports whether the phase is final.
func (ph Phase) Ended() bool { return ph == Succeeded || ph == Failed || ph == Cancelled }

// Worker is the description that a worker gives of itself.
type Worker struct {
	ID       incarnation.ID
	Service  string
	Capacity size.Size
	// Hall is its data hall.
	Hall string
	// Rack is the label of its rack, Labels are all of its labels.
	Rack   string
	Labels []string
	// Draining workers take no new tasks. Remaining is the least time that they stay.
	Draining  bool
	Remaining time.Duration
	// SeenAt is when the entry was read.
	SeenAt time.Duration
}

// Run is one start of a task, as the worker reports it.
type Run struct {
	Task       work.Task `cbor:"1,keyasint"`
	Number     int       `cbor:"2,keyasint"`
	Checkpoint string    `cbor:"3,keyasint,omitempty"`
	// Percent is the progress of the task.
	Percent int `cbor:"4,keyasint,omitempty"`
	// TailLatencyMS is the tail latency of a task that serves users, over the last half second.
	TailLatencyMS int `cbor:"5,keyasint,omitempty"`
}

// Result is how a run ended.
type Result string

// Results of runs. Stopped, LeaseExpired, Broken and Alone do not count as attempts.
const (
	ResultDone         Result = "done"
	ResultFailed       Result = "failed"
	ResultStopped      Result = "stopped"
	ResultLeaseExpired Result = "lapsed"
	ResultBroken       Result = "broken"
	ResultAlone        Result = "alone"
)

// Results that appear in records only: the run's worker crashed, or nothing is held against the task for the run: its
// worker did not crash, or its start was recorded and it is over.
const (
	ResultCrashed Result = "crashed"
	ResultCleared Result = "cleared"
)

// End is the end of a run. Seq numbers the ends of one worker.
type End struct {
	Seq int
	Run
	Result Result
}

// Refusal is the reason why a worker did not start a run.
type Refusal string

// Reasons for refusals. RefusedUnhealthy stands for a worker that accepted nothing.
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
	// Urgent is set for queues that are served before others.
	Urgent bool
	// Version is that of the configuration with the queue's settings.
	Version uint64
	// DecidedAt is when the plan placed the task, or when the journal had the record that the start waited for.
	DecidedAt time.Duration
}

// Stop is an order to end a run on a worker, and to prevent it from starting later.
type Stop struct {
	Worker incarnation.ID
	Task   work.Task
	Run    int
	// Reason is for the log.
	Reason string
	// Unknown is set for a run that the cell does not know.
	Unknown bool
	// Attempts counts the orders that were not confirmed.
	Attempts int
}

// AdviceRequest asks the advisor which workers may run a step. Nodes exchange it encoded under these field
// names.
type AdviceRequest struct {
	Step    work.Task
	Workers []incarnation.ID
	// Takes is how long the advisor is expected to need.
	Takes time.Duration
	// Urgent requests are served before others.
	Urgent bool
}

// Record is a fact that must survive a change of planner.
type Record struct {
	Job   string `cbor:"1,keyasint,omitempty"`
	Phase Phase  `cbor:"2,keyasint,omitempty"`
	// Task is set together with Result and the number of the run that ended.
	Task   *work.Task `cbor:"3,keyasint,omitempty"`
	Result Result     `cbor:"4,keyasint,omitempty"`
	Run    int        `cbor:"5,keyasint,omitempty"`
	// Worker may hold any run from now on. With Closed, it gets no more runs and holds at most those in Held;
	// with Gone, it holds none.
	Worker incarnation.ID `cbor:"6,keyasint,omitempty"`
	Gone   bool           `cbor:"7,keyasint,omitempty"`
	Closed bool           `cbor:"8,keyasint,omitempty"`
	Held   []Run          `cbor:"9,keyasint,omitempty"`
	// Stop instead marks the runs in Held as being stopped on the worker.
	Stop bool `cbor:"10,keyasint,omitempty"`
	// Explained marks a crash that has another explanation than the run's task, Departed a closed worker that
	// leaves in an orderly way.
	Explained bool `cbor:"11,keyasint,omitempty"`
	Departed  bool `cbor:"12,keyasint,omitempty"`
	// RunWorker is the worker that was lost with a crashed run, or is about to get the run in Started.
	RunWorker incarnation.ID `cbor:"13,keyasint,omitempty"`
	// LeasesResolved says that no lease which an earlier planner renewed protects a run any more: it has expired, or its
	// worker has answered this planner.
	LeasesResolved bool `cbor:"14,keyasint,omitempty"`
	// Unrenewed marks a closed worker that does not answer and whose lease is not renewed from now on.
	Unrenewed bool `cbor:"15,keyasint,omitempty"`
	// Started is a run whose start is sent to RunWorker once the journal has this record.
	Started *Run `cbor:"16,keyasint,omitempty"`
	// MayHaveCrashed says that tasks of the job may have run on a worker that was lost, without a record of that.
	MayHaveCrashed bool `cbor:"17,keyasint,omitempty"`
}

// OmittedRun is a run that was released without an end, because its worker's report omits it.
type OmittedRun struct {
	Worker incarnation.ID
	Task   work.Task
	Run    int
	// Adopted is set for a run that an earlier planner started, Stopping for one that was being stopped.
	Adopted, Stopping bool
}

// Output holds the orders to workers, the requests and the records that a cell has produced.
type Output struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	// ReportRequests are workers whose next report is wanted immediately.
	ReportRequests []incarnation.ID
	AdviceRequests []AdviceRequest
	Records        []Record
	// Restarts are not orders: they have happened.
	Restarts []Restart
	// SpeedChanges are not orders either, nor are Omitted runs.
	SpeedChanges []SpeedChange
	Omitted      []OmittedRun
	// Loaded are the jobs that were not held before, Unloadable those that could not be loaded.
	Loaded     []string
	Unloadable []Unloadable
}

// Unloadable is a job that could not be loaded.
type Unloadable struct {
	Job string
	Err error
}

// Empty reports whether there is nothing to do.
func (ou *Output) Empty() bool {
	return len(ou.Starts)+len(ou.Stops)+len(ou.Paces)+len(ou.ReportRequests)+len(ou.AdviceRequests)+len(ou.Records)+len(ou.Restarts)+len(ou.SpeedChanges)+len(ou.Omitted)+len(ou.Loaded)+len(ou.Unloadable) == 0
}
