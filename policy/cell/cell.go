// Package cell schedules the jobs of one cell of workers: it decides which task starts where and when, which
// runs are stopped, and what state each job is in.
//
// A Cell performs no I/O and reads no clock: the time is passed to each call, and orders and records are
// collected with TakeOutput. Its inputs are the journal (jobs, cancellations and records of earlier planners),
// the workers' reports, and the advisor's answers.
package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/advicebudget"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/forecast"
	"tackbeam.example/policy/gainlog"
	"tackbeam.example/policy/headroom"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/nearsort"
	"tackbeam.example/policy/quota"
	"tackbeam.example/policy/speed"
	"tackbeam.example/policy/work"
)

// Options configure a cell.
type Options struct {
	// Retention is how long an ended job can still be queried.
	Retention time.Duration
	// FirstRun is the lowest run number that this planner assigns.
	FirstRun int
	// InitialWindow is the initial limit on starts in flight; the limit then adapts to how fast they are
	// answered. 0 means no limit.
	InitialWindow int
	// StopTimeout is how long a worker may take to stop a run. Meanwhile its reports omit the run although it
	// is still running.
	StopTimeout time.Duration
	// MinInUse is how many workers of a service are in use even if there is no work; 0 means a default.
	MinInUse int
	// MemoryLimit is how many bytes jobs and runs may take, 0 for any number.
	MemoryLimit int64
	// Watch returns a monotonic time by which the time of a plan is bounded; nil means no bound.
	Watch func() time.Duration
	// Features are the optional features that are enabled.
	Features feature.Set
}

// Cell is the state of one cell. It is not safe for concurrent use.
type Cell struct {
	opts Options
	// now is the time of the current plan; ignoreReserved is set while a step may use capacity reserved for
	// gangs.
	now            time.Duration
	ignoreReserved bool
	// planCount is the number of plans made so far.
	planCount int
	// planTime bounds their time.
	planTime planTime
	// nextRequestAt is the earliest time for further non-urgent advice requests; requestsSent counts those of
	// the current plan.
	nextRequestAt time.Duration
	// advisorBusyAt is when a non-urgent request was last deferred because the advisor was busy.
	advisorBusyAt time.Duration
	requestsSent  int
	jobs          map[string]*job
	workers       map[incarnation.ID]*worker
	// unpooled holds the workers that are in no pool.
	unpooled map[*worker]bool
	// standby holds the workers that are not in use, by service.
	standby map[string]*standby
	// outdatedAt is when the entries of workers were last known to be possibly outdated, outdatedUntil until when these are
	// not used.
	outdatedAt, outdatedUntil time.Duration
	// evacuated holds the data halls whose workers get no new runs.
	evacuated map[string]bool
	// open holds the steps that are ready and not finished.
	open    map[*step]bool
	pools   map[string]*pool
	queues  map[string]*queue
	cancels map[string]cancel
	// quota limits what each workspace has running, memory what jobs and runs take of the node's memory.
	quota  *quota.Tracker
	memory *memquota.Quota
	// deferred are the jobs that are not held, in the order of their arrival. held counts the others that have not ended.
	deferred []*job
	held     int
	// unreportedAt is when the unreported usage of the workspaces was last estimated.
	unreportedAt time.Duration
	// arrivals measures the urgent work, nil unless jobs are admitted by capacity.
	arrivals *arrivals
	// adviceBudget is nil unless feature.AdviceBudget is enabled.
	adviceBudget *advicebudget.Budget
	// services are the services that tasks of any job run on.
	services map[string]bool
	out      Output
	// stops are held back until the journal has their records. stopping has the runs that are being stopped, and some that were.
	stops    []journaledStop
	stopping map[*placement]bool
	// starts are held back likewise. recordedStarts are the workers of the runs whose starts were recorded, unknownLoss
	// is set once the inherited jobs were marked by RecordUnknownLoss.
	starts         []journaledStart
	recordedStarts map[placementKey]incarnation.ID
	unknownLoss    bool
	// recorded counts all records so far, committed those that the journal has.
	recorded, committed int
	recovered           bool
	// window limits the starts in flight; urgentPending counts the urgent tasks of the current plan that have
	// tickets or an advice request.
	window        window
	urgentPending int
	// ended are the ended jobs in the order of their ends. The tasks of the first compacted ones were discarded.
	ended     []*job
	compacted int
	// finishedRounds are finished rounds of jobs that have not ended, in the order of their ends.
	finishedRounds []finishedRound
	// finishedSteps are finished steps of rounds that have not finished, in the order of their ends.
	finishedSteps []finishedStep
	// recurring are the jobs that run repeatedly and have not ended.
	recurring map[*job]bool
	// examined counts the workers that planning has examined.
	examined int
	// unreachableTimes are the times at which workers recently became unreachable; attributions are the crashes
	// attributed to tasks, by the worker that was lost.
	unreachableTimes []time.Duration
	attributions     map[incarnation.ID]attribution
	// reserving holds the steps that capacity is reserved for.
	reserving map[*step]bool
	// ranking is the order of the last plan, sorted by sorter. notRanked are the other open steps, spareSteps is memory
	// for them.
	ranking               []ranked
	sorter                nearsort.Sorter[ranked]
	notRanked, spareSteps []*step
	// gains logs the workers that have gained capacity, recent are those of the last plan and this one.
	gains  *gainlog.Log[*worker]
	recent recentGains
	// poolChanges counts the changes of the pools and of their workers' entries.
	poolChanges int
	// settings counts the changes of the queues' settings.
	settings int
	// noShortcuts makes plans compute anew what they otherwise know from earlier ones. Tests compare the decisions.
	noShortcuts bool
	// expecting are the steps with expected restarts.
	expecting []*step
	// speeds are the models of the workers' speeds by service, nil if the feature is not enabled.
	speeds map[string]*speed.Model
	// predecessors are earlier incarnations of workers, by worker ID.
	predecessors map[string][]predecessor
	// forecasts are the forecasts of urgent demand by service; limitedBy is the one that limits the starts of the step
	// being planned, or nil.
	forecasts map[string]*headroom.Forecast
	limitedBy *headroom.Forecast
}

// queue is what the cell has learned from the jobs of a route.
type queue struct {
	queuedJobs int
	// settings are the latest that any of its jobs, or the configuration, had.
	settings work.Queue
	runTimes forecast.Model
	// allowedShare is a moving average of the share of workers that the advisor allows.
	allowedShare float64
}

// New returns an empty cell. Tasks that an earlier planner may have started are not placed before
// FinishRecovery.
func New(opts Options) *Cell {
	cl := &Cell{
		opts: opts, jobs: map[string]*job{}, workers: map[incarnation.ID]*worker{}, unpooled: map[*worker]bool{}, standby: map[string]*standby{},
		window: window{limit: opts.InitialWindow}, adviceBudget: newAdviceBudget(opts.Features),
		open: map[*step]bool{}, pools: map[string]*pool{}, queues: map[string]*queue{}, cancels: map[string]cancel{}, quota: quota.New(),
		memory:   memquota.New(opts.MemoryLimit),
		services: map[string]bool{}, attributions: map[incarnation.ID]attribution{}, recurring: map[*job]bool{}, predecessors: map[string][]predecessor{},
		forecasts: map[string]*headroom.Forecast{}, recordedStarts: map[placementKey]incarnation.ID{}, stopping: map[*placement]bool{}, arrivals: newArrivals(opts.Features), reserving: map[*step]bool{}, gains: gainlog.New[*worker](gainsKept), recent: recentGains{indexes: map[*worker]int{}}, sorter: nearsort.Sorter[ranked]{Compare: compareRanked},
	}
	if opts.Features.Has(feature.WorkerSpeeds) {
		cl.speeds = map[string]*speed.Model{}
	}
	return cl
}

// journaledStop is a stop together with the record that the journal must have first: reports omit a run that is
// being stopped, so the next planner learns of it only from the journal.
type journaledStop struct {
	Stop
	record int
}

// TakeOutput returns the pending output and clears it. Stops of runs that have ended in the meantime are
// dropped.
func (cl *Cell) TakeOutput() Output {
	for len(cl.stops) > 0 && cl.stops[0].record <= cl.committed {
		cl.out.Stops = append(cl.out.Stops, cl.stops[0].Stop)
		cl.stops = cl.stops[1:]
	}
	cl.releaseStarts()
	out := cl.out
	cl.out = Output{}
	out.Stops = slices.DeleteFunc(out.Stops, func(sp Stop) bool {
		return !sp.Unknown && cl.placement(sp.Worker, sp.Task, sp.Run) == nil
	})
	return out
}

// RecordCount returns the number of records produced so far.
func (cl *Cell) RecordCount() int { return cl.recorded }

// SetCommitted marks the first n records as committed to the journal.
func (cl *Cell) SetCommitted(n int) { cl.committed = max(cl.committed, n) }

// HasCommitted reports whether the first n records are committed to the journal.
func (cl *Cell) HasCommitted(n int) bool { return n <= cl.committed }

func (cl *Cell) record(rec Record) {
	cl.out.Records = append(cl.out.Records, rec)
	cl.recorded++
}

func (cl *Cell) queue(name string) *queue {
	qu, ok := cl.queues[name]
	if !ok {
		qu = &queue{allowedShare: initialAllowedShare}
		cl.queues[name] = qu
	}
	return qu
}

// initialAllowedShare is the assumed share of allowed workers before the advisor has answered.
const initialAllowedShare = 0.4

// Phase returns the state of a job as far as the journal has it, and false if the job is not known or belongs
// to another workspace. An empty workspace matches any.
func (cl *Cell) Phase(id, workspace string) (Phase, bool) {
	jb, ok := cl.jobs[id]
	if !ok || !jb.belongsTo(workspace) {
		return "", false
	}
	if !jb.phase.Ended() {
		return jb.phase, true
	}
	if jb.endRecord > cl.committed {
		return Running, true
	}
	return jb.phase, true
}

// QueuedJobs returns how many accepted jobs of a queue have not begun.
func (cl *Cell) QueuedJobs(name string) int {
	if qu, ok := cl.queues[name]; ok {
		return qu.queuedJobs
	}
	return 0
}

// Counts returns the numbers of jobs, open steps and workers, for metrics.
func (cl *Cell) Counts() (jobs, waiting, workers int) {
	return len(cl.jobs), len(cl.open), len(cl.workers)
}

// WorkersExamined returns how many workers planning has examined, a measure of its cost. It must not grow with
// the product of steps and workers.
func (cl *Cell) WorkersExamined() int { return cl.examined }
