package planner

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/bootclock"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/term"
	"tackbeam.example/tackbeam/internal/wake"
)

// Times of a reign.
const (
	// usualLease is how long workers go on without a hold, where they may: the time to
	// notice a dead planner (1.2 s), to elect and load another (1 s), to reach all
	// workers, and some of an outage of the store.
	usualLease = 5 * time.Second
	// unproven is how long after its last proof a planner still renews the leases of
	// workers: an outage of the store of that time ends no work.
	unproven = 4 * time.Second
	// drift is the most that a worker's clock may run slow against ours.
	drift = 0.02
	// gather is the pause between two looks at the journal, whose writers tell of most batches
	// themselves.
	gather = 100 * time.Millisecond
	// gatherWorkers is the same for the list of workers, which must be known within
	// the time that a leaving worker may still get tasks (2 s).
	gatherWorkers = 250 * time.Millisecond
	// journalWait is the same for the journal, whose age is asked for, listWait for the list of
	// workers, whose age bounds the starts.
	journalWait = time.Second
	listWait    = time.Second
	// usualContact is the users' contact time where the settings do not tell.
	usualContact = 3 * time.Second
	// listSlack is taken off it: a start takes up to 0.4 s from its decision on a lossy link.
	listSlack = 500 * time.Millisecond
	// staleJournal is the age of the journal's copy from which a job that is not in it
	// may exist all the same: an accepted job must be known within 3 s.
	staleJournal = 2200 * time.Millisecond
	// tick is the period of what time alone brings.
	tick = 50 * time.Millisecond
	// planGap is the pause after a plan, in which changes gather: at 850 starts and as
	// many ends a second they come faster than plans of 0.5 ms can follow them.
	planGap = 5 * time.Millisecond
	// firstWindow is how many starts a new planner has under way at most, until it has seen how
	// fast they go out: a small node sends as many in 0.1 s.
	firstWindow = 64
)

// lead is one reign.
type lead struct {
	parts Options
	clock clockwork.Clock
	log   logr.Logger
	reign term.Term
	began time.Time

	// jobs follows the batches of the journal, workers the list of workers.
	jobs, workers *mirror.Mirror
	// staleList is the age of the list from which no task is started. A worker that does not guard
	// its room may have shrunk since: its next beat says so, and users count the new room one beat
	// and the contact time later.
	staleList time.Duration
	// lease is how long workers go on without a hold.
	lease time.Duration

	mu   sync.Mutex
	cell *cell.Cell
	// loaded is set once the journal has been read whole.
	loaded bool
	// journaled is closed then.
	journaled chan struct{}
	// committed is closed, and replaced, with each write of records.
	committed chan struct{}
	sessions  map[incarnation.ID]*session
	// present are the sessions of the lives that are there by now, by the workers' ids.
	present map[string]*session
	// fences counts the sessions with each worker, by its id.
	fences map[string]uint64
	// old are the workers of earlier planners that have neither answered nor lapsed;
	// true where they may hold any task, so that all old tasks wait for them.
	old map[incarnation.ID]bool
	// earlier are all lives that earlier planners recorded, by the workers' ids.
	earlier  map[string][]incarnation.ID
	records  recorder
	patience patience
	losses   losses
	measures measures
	effort   effort
	aside    aside
	pace     pace
	batches  batches
	dirty    bool
	// told is when the steps that wait were last logged, toldLossy whether the log's last word on
	// lost calls was that there are many.
	told      time.Duration
	toldLossy bool
	// saidBacklog is when the planner last said how far it is behind, behind whether it was.
	saidBacklog time.Duration
	behind      bool
	holdLimiter *holdLimiter
	wake        wake.Signal
	ctx         context.Context
	group       sync.WaitGroup
}

func newLead(pt Options, log logr.Logger, reign term.Term) *lead {
	// runsAReign is more than the starts of one task in one reign: numbers of runs
	// rise over reigns although starts are not journaled.
	const runsAReign = 64
	ld := &lead{
		parts: pt, clock: pt.Clock, log: log, reign: reign, began: pt.Clock.Now(),
		lease: usualLease, sessions: map[incarnation.ID]*session{}, present: map[string]*session{}, fences: map[string]uint64{},
		old: map[incarnation.ID]bool{}, earlier: map[string][]incarnation.ID{},
		holdLimiter: newHoldLimiter(pt.Clock), wake: wake.New(), journaled: make(chan struct{}), committed: make(chan struct{}),
		cell: cell.New(cell.Options{
			Retention: pt.Site.Bounds.KeepEnded,
			FirstRun:  (reign.Number-1)*runsAReign + 1, StopTimeout: pt.Site.Bounds.StopTime,
			InitialWindow: firstWindow,
		}),
	}
	ld.staleList = max(cmp.Or(pt.Site.Bounds.Contact, usualContact)-listSlack, listSlack)
	if most := pt.Site.Bounds.MaxLease; most > 0 {
		ld.lease = min(ld.lease, most)
	}
	ld.measures.registry = pt.Meters
	ld.records.init()
	ld.batches.init()
	ld.aside.init()
	return ld
}

// now is the time since the reign began, on the steady clock.
func (ld *lead) now() time.Duration { return ld.clock.Since(ld.began) }

// wall is the time of day since 1970.
func (ld *lead) wall() time.Duration { return bootclock.Wall(ld.clock) }

func (ld *lead) run(ctx context.Context) {
	ld.ctx = ctx
	old, ok := ld.readRecords(ctx)
	if !ok {
		return
	}
	ld.jobs = mirror.New(ld.clock, ld.log, ld.parts.Store, mirror.Options{
		Prefix: joblog.Batches, Wait: journalWait, Pause: gather,
		OnChange: func(items []kv.Item, whole bool) { ld.takeBatches(items, whole, old) },
	})
	ld.workers = mirror.New(ld.clock, ld.log, ld.parts.Store, mirror.Options{
		Prefix: ld.parts.WorkersPrefix, Wait: listWait, Pause: gatherWorkers,
		OnChange: ld.takeWorkers,
	})
	ld.spawn(func() { ld.jobs.Run(ctx) })
	ld.spawn(func() {
		select {
		case <-ctx.Done():
		case <-ld.journaled: // before that, a report would name runs of unknown jobs
			ld.workers.Run(ctx)
		}
	})
	ld.spawn(func() { ld.commitLoop(ctx) })
	ld.spawn(func() { loop.Every(ctx, ld.clock, tick, ld.keepPace) })
	ld.spawn(func() { ld.collectLoop(ctx) })
	ld.planLoop(ctx)
	ld.group.Wait()
}

func (ld *lead) spawn(act func()) {
	ld.group.Go(act)
}

// answers returns why nothing that this planner knows can be told, or nil. One that was suspended
// may have been followed by another. The caller holds the lock.
func (ld *lead) answers() error {
	if !ld.loaded {
		return notReady("the planner reads the journal")
	}
	if !ld.reign.LeaseHeld() {
		return notReady("the planner's lease is not proven")
	}
	return nil
}

func (ld *lead) pending(queue string) (int, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if err := ld.answers(); err != nil {
		return 0, err
	}
	if err := ld.fresh(); err != nil {
		return 0, err
	}
	return ld.cell.QueuedJobs(queue), nil
}

// knowsRoom reports whether the list of workers is fresh enough to start tasks by it.
func (ld *lead) knowsRoom() bool {
	age, read := ld.workers.Age()
	return read && age < ld.staleList
}

// fresh returns an error where the journal may have jobs that are not known here.
func (ld *lead) fresh() error {
	if age, _ := ld.jobs.Age(); age > staleJournal {
		return notReady("the planner's copy of the journal is " + age.Round(time.Millisecond).String() + " old")
	}
	return nil
}

func (ld *lead) reroute() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.cell.UpdateQueues(ld.parts.Queue)
	ld.cell.UpdateWorkspaces(ld.parts.Workspace)
	ld.kick()
}
