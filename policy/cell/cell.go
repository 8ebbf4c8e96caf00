// Package cell decides for one cell of workers: which task starts where and when,
// what is stopped, and what a job's state is.
//
// A Cell is pure: times come in with each call, orders and records go out through
// Take. It learns from three sources: the journal (jobs, cancels and records of
// earlier planners), the workers' reports, and the advisor's answers.
package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/forecast"
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
	ID       string
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
	// Load is, for a task that serves users, the tail of their latency in milliseconds
	// over the last half second.
	Load int `cbor:"5,keyasint,omitempty"`
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
	RefusedOld       Refusal = "old"
	RefusedLate      Refusal = "late"
	RefusedRoom      Refusal = "room"
	RefusedTicket    Refusal = "ticket"
	RefusedUnhealthy Refusal = "unhealthy"
	RefusedBad       Refusal = "bad"
)

// Start is an order to start a run on a worker.
type Start struct {
	Worker     string
	Task       work.Task
	Run        int
	Spec       string
	Ticket     string
	Checkpoint string
	// Urgent is set for queues that go before others.
	Urgent bool
	// Decided is when the plan placed it.
	Decided time.Duration
}

// Stop is an order to end a run on a worker, and to keep it from starting later.
type Stop struct {
	Worker string
	Task   work.Task
	Run    int
	// Reason is for the log.
	Reason string
	// Stranger is set for a run of which the cell knows nothing.
	Stranger bool
}

// Question asks the advisor which workers may run a step.
type Question struct {
	Step    work.Task
	Workers []string
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
	Worker string `cbor:"6,keyasint,omitempty"`
	Gone   bool   `cbor:"7,keyasint,omitempty"`
	Closed bool   `cbor:"8,keyasint,omitempty"`
	Held   []Run  `cbor:"9,keyasint,omitempty"`
	// Stop says instead that the worker is told to stop the runs in Held.
	Stop bool `cbor:"10,keyasint,omitempty"`
}

// Output is what a cell wants done.
type Output struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	// Asks are workers whose next report is wanted at once.
	Asks      []string
	Questions []Question
	Records   []Record
}

// Empty reports whether there is nothing to do.
func (ou *Output) Empty() bool {
	return len(ou.Starts)+len(ou.Stops)+len(ou.Paces)+len(ou.Asks)+len(ou.Questions)+len(ou.Records) == 0
}

// Options of a cell.
type Options struct {
	// Keep is how long an ended job can still be asked for.
	Keep time.Duration
	// FirstRun is the lowest number of a run that this planner starts.
	FirstRun int
	// FirstWindow is how many starts may be under way at first; it follows how fast they
	// are answered. 0 is no limit.
	FirstWindow int
	// StopTime is how long a worker may take to stop a run. Its reports do not name
	// the run meanwhile, though it still runs.
	StopTime time.Duration
}

// Cell is the state of one cell. It is not safe for concurrent use.
type Cell struct {
	opts Options
	// now is the time of the present plan; overClaims is set while room that is kept free
	// for gangs may be used by others.
	now        time.Duration
	overClaims bool
	// plans counts the plans.
	plans int
	// askAgain is when questions that are not urgent may be put again, asked how many the
	// present plan has put.
	askAgain time.Duration
	// busy is when the last such question found the advisor busy.
	busy    time.Duration
	asked   int
	jobs    map[string]*job
	workers map[string]*worker
	// open are the steps with tasks that wait.
	open    map[*step]bool
	shelves map[string]*shelf
	queues  map[string]*queue
	cancels map[string]time.Duration
	// services are those that a job's tasks run on.
	services map[string]bool
	out      Output
	// stops wait until the journal has them.
	stops []provenStop
	// recorded counts all records so far, committed those that are in the journal.
	recorded, committed int
	settled             bool
	// window bounds the starts under way, pending counts the urgent tasks of the present plan that
	// have tickets or a question.
	window  window
	pending int
	ended   []*job
	// looks counts the workers that planning looked at.
	looks int
}

// queue is what the cell learned of a route's jobs.
type queue struct {
	pending int
	runs    forecast.Model
	// good is the share of workers that the advisor allowed of late.
	good float64
}

// New returns an empty cell. Until Settle, tasks that an earlier planner may have
// started wait.
func New(opts Options) *Cell {
	return &Cell{
		opts: opts, jobs: map[string]*job{}, workers: map[string]*worker{},
		window: window{limit: opts.FirstWindow},
		open:   map[*step]bool{}, shelves: map[string]*shelf{}, queues: map[string]*queue{}, cancels: map[string]time.Duration{},
		services: map[string]bool{},
	}
}

// provenStop is a stop with the record that must be in the journal first: a run that
// is being stopped is in no report, so that only the journal tells the next planner.
type provenStop struct {
	Stop
	proof int
}

// Take returns what the cell wants done and forgets it. Stops of runs that have
// ended meanwhile are left out.
func (cl *Cell) Take() Output {
	for len(cl.stops) > 0 && cl.stops[0].proof <= cl.committed {
		cl.out.Stops = append(cl.out.Stops, cl.stops[0].Stop)
		cl.stops = cl.stops[1:]
	}
	out := cl.out
	cl.out = Output{}
	out.Stops = slices.DeleteFunc(out.Stops, func(sp Stop) bool {
		return !sp.Stranger && cl.placement(sp.Worker, sp.Task, sp.Run) == nil
	})
	return out
}

// Recorded returns how many records the cell has given out so far.
func (cl *Cell) Recorded() int { return cl.recorded }

// Committed tells the cell that its first n records are in the journal.
func (cl *Cell) Committed(n int) { cl.committed = max(cl.committed, n) }

func (cl *Cell) record(rec Record) {
	cl.out.Records = append(cl.out.Records, rec)
	cl.recorded++
}

func (cl *Cell) queue(name string) *queue {
	qu, ok := cl.queues[name]
	if !ok {
		qu = &queue{good: firstGood}
		cl.queues[name] = qu
	}
	return qu
}

// firstGood is the share of workers expected to be allowed before any answer came.
const firstGood = 0.4

// Phase returns a job's state as far as the journal proves it, or false where the
// job is not known.
func (cl *Cell) Phase(id string) (Phase, bool) {
	jb, ok := cl.jobs[id]
	if !ok {
		return "", false
	}
	if !jb.phase.Ended() {
		return jb.phase, true
	}
	if jb.proof > cl.committed {
		return Running, true
	}
	return jb.phase, true
}

// Pending returns how many accepted jobs of a queue have not begun.
func (cl *Cell) Pending(name string) int {
	if qu, ok := cl.queues[name]; ok {
		return qu.pending
	}
	return 0
}

// Sizes returns the numbers of jobs, of steps that wait and of workers, for measures.
func (cl *Cell) Sizes() (jobs, waiting, workers int) {
	return len(cl.jobs), len(cl.open), len(cl.workers)
}

// Looks returns how many workers planning has looked at: its effort, which must not grow
// with steps times workers.
func (cl *Cell) Looks() int { return cl.looks }
