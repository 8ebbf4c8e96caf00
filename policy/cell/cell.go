// Package cell decides for one cell of workers: which task starts where and when,
// what is stopped, and what a job's state is.
//
// A Cell is pure: times come in with each call, orders and records go out through
// Take. It learns from three sources: the journal (jobs, cancels and records of
// earlier planners), the workers' reports, and the advisor's answers.
package cell

import (
	"slices"
	"tackbeam.example/policy/incarnation"
	"time"

	"tackbeam.example/policy/forecast"
	"tackbeam.example/policy/quota"
)

// Options of a cell.
type Options struct {
	// Retention is how long an ended job can still be asked for.
	Retention time.Duration
	// FirstRun is the lowest number of a run that this planner starts.
	FirstRun int
	// InitialWindow is how many starts may be under way at first; it follows how fast they
	// are answered. 0 is no limit.
	InitialWindow int
	// StopTimeout is how long a worker may take to stop a run. Its reports do not name
	// the run meanwhile, though it still runs.
	StopTimeout time.Duration
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
	workers map[incarnation.ID]*worker
	// open are the steps with tasks that wait.
	open    map[*step]bool
	pools   map[string]*pool
	queues  map[string]*queue
	cancels map[string]cancel
	// quota bounds what the workspaces have running.
	quota *quota.Tracker
	// doubted is when it was last counted what may be running unknown.
	doubted time.Duration
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
	// silences are when workers fell silent of late, excuses what was attributed to the tasks of each
	// worker that has lapsed.
	silences []time.Duration
	excuses  map[incarnation.ID]excuse
	// predecessors are earlier lives of workers, by their ids.
	predecessors map[string][]predecessor
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
		opts: opts, jobs: map[string]*job{}, workers: map[incarnation.ID]*worker{},
		window: window{limit: opts.InitialWindow},
		open:   map[*step]bool{}, pools: map[string]*pool{}, queues: map[string]*queue{}, cancels: map[string]cancel{}, quota: quota.New(),
		services: map[string]bool{}, excuses: map[incarnation.ID]excuse{}, predecessors: map[string][]predecessor{},
	}
}

// provenStop is a stop with the record that must be in the journal first: a run that
// is being stopped is in no report, so that only the journal tells the next planner.
type provenStop struct {
	Stop
	proof int
}

// TakeOutput returns what the cell wants done and forgets it. Stops of runs that have
// ended meanwhile are left out.
func (cl *Cell) TakeOutput() Output {
	for len(cl.stops) > 0 && cl.stops[0].proof <= cl.committed {
		cl.out.Stops = append(cl.out.Stops, cl.stops[0].Stop)
		cl.stops = cl.stops[1:]
	}
	out := cl.out
	cl.out = Output{}
	out.Stops = slices.DeleteFunc(out.Stops, func(sp Stop) bool {
		return !sp.Unknown && cl.placement(sp.Worker, sp.Task, sp.Run) == nil
	})
	return out
}

// RecordCount returns how many records the cell has given out so far.
func (cl *Cell) RecordCount() int { return cl.recorded }

// SetCommitted tells the cell that its first n records are in the journal.
func (cl *Cell) SetCommitted(n int) { cl.committed = max(cl.committed, n) }

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
// job is not known, or is not the workspace's; an empty workspace stands for any.
func (cl *Cell) Phase(id, workspace string) (Phase, bool) {
	jb, ok := cl.jobs[id]
	if !ok || !jb.isOf(workspace) {
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

// QueuedJobs returns how many accepted jobs of a queue have not begun.
func (cl *Cell) QueuedJobs(name string) int {
	if qu, ok := cl.queues[name]; ok {
		return qu.pending
	}
	return 0
}

// Counts returns the numbers of jobs, of steps that wait and of workers, for measures.
func (cl *Cell) Counts() (jobs, waiting, workers int) {
	return len(cl.jobs), len(cl.open), len(cl.workers)
}

// WorkersExamined returns how many workers planning has looked at: its effort, which must not grow
// with steps times workers.
func (cl *Cell) WorkersExamined() int { return cl.looks }
