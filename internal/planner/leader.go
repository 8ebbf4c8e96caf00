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
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/term"
	"tackbeam.example/tackbeam/internal/wake"
)

// Intervals and limits of a term.
const (
	// defaultLease is the worker lease, unless the site's settings limit it. It covers the time to detect a dead
	// planner (1.2 s), to elect and load another (1 s), to reach all workers, and part of a store outage.
	defaultLease = 5 * time.Second
	// defaultMaxLease is used if the site's settings lack the longest lease that workers accept (Bounds.MaxLease).
	defaultMaxLease = 6 * time.Second
	// maxUnrenewed is how long after the beginning of a term an earlier planner may still send orders with deadlines.
	maxUnrenewed = term.MaxUnrenewed
	// maxClockDrift is the maximum rate by which a worker's clock may be slower than the planner's.
	maxClockDrift = 0.02
	// journalWatchPause is the pause between two watches of the journal. Most batches are announced directly by the
	// nodes that write them.
	journalWatchPause = 100 * time.Millisecond
	// workerWatchPause is the pause between two watches of the list of workers, which must be current within the time
	// that a leaving worker may still be given tasks (2 s).
	workerWatchPause = 250 * time.Millisecond
	// journalWait is how long a watch of the journal may stay unanswered. Only an answer shows that the copy is current,
	// and maxJournalAge limits the copy's age. listWait is the same for the list of workers, see maxListAge.
	journalWait = time.Second
	listWait    = time.Second
	// defaultContact is used if the site's settings lack the contact time (Bounds.Contact).
	defaultContact = 3 * time.Second
	// listMargin is subtracted from the contact time: on a lossy link a start takes up to 0.4 s from its decision.
	listMargin = 500 * time.Millisecond
	// maxJournalAge is the age of the journal's copy beyond which a job that is not in it may exist all the same: an
	// accepted job must be known within 3 s.
	maxJournalAge = 2200 * time.Millisecond
	// tickInterval is the period of time-based work.
	tickInterval = 50 * time.Millisecond
	// planPause is the pause after a planning pass, in which changes accumulate: at 850 starts and as many ends per
	// second they come faster than passes of 0.5 ms each can follow them.
	planPause = 5 * time.Millisecond
	// initialWindow is the maximum number of starts that a new planner has in flight until it has measured how fast
	// they are sent. A small node sends as many in 0.1 s.
	initialWindow = 64
)

// leader is the planner's state during one term.
type leader struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	term  term.Term
	began time.Time

	// jobs is the copy of the journal's batches, workers that of the list of workers.
	jobs, workers *mirror.Mirror
	// evacuations are the evacuated data halls.
	evacuations evacuations
	// maxListAge is the age of the list of workers beyond which no task is started. The capacity of a worker that does
	// not check it itself may have shrunk since the last read. The worker publishes the new capacity with its next
	// heartbeat, and starts beyond it count as an error one heartbeat plus the contact time after the change.
	maxListAge time.Duration
	// outageEnd is the end of the latest outage of the store that checkOutage has found.
	outageEnd time.Time
	// lease is how long a worker's runs may go on without a hold.
	lease time.Duration

	mu   sync.Mutex
	cell *cell.Cell
	// loaded is set when the journal has been read completely.
	loaded bool
	// journalRead is closed when loaded is set.
	journalRead chan struct{}
	// committed is closed, and replaced, by each write of records.
	committed chan struct{}
	sessions  map[incarnation.ID]*session
	// unreachableSessions is how many of them are with workers that do not answer.
	unreachableSessions int
	// current has the sessions with the present incarnations, by worker id.
	current map[string]*session
	// tokenCounts counts the fencing tokens for each worker, by worker id.
	tokenCounts map[string]uint64
	// unresolved has the workers of earlier planners that have neither reported all runs and ends nor had their lease
	// expire. The value is true if the worker may run any task, so that all tasks of earlier planners wait for it.
	unresolved map[incarnation.ID]bool
	// inheritedWorkers is how many of them there were when the journal had been read.
	inheritedWorkers int
	// inheritedLeases bounds the leases of workers that earlier planners renewed.
	inheritedLeases inheritedLeases
	// leasesResolved is set once the journal was told that none of them protects a run any more.
	leasesResolved bool
	// earlier has all incarnations that earlier planners recorded, by worker id.
	earlier      map[string][]incarnation.ID
	recoveryLog  recoveryLog
	records      recorder
	replyTimeout replyTimeout
	lossRate     lossRate
	metrics      metricSet
	stats        stats
	ignored      ignoredEntries
	adviceStats  adviceStats
	standby      standbyWorkers
	tickMonitor  tickMonitor
	batches      batchIndex
	// old are the writes of records of earlier planners until they have been applied, succeeded the jobs that have succeeded
	// according to them.
	old       []kv.Item
	succeeded map[string]bool
	dirty     bool
	// waitsLogged is when the waiting steps were last logged. lossyLogged is whether the last log line on unanswered
	// calls said that there are many.
	waitsLogged time.Duration
	lossyLogged bool
	// backlogReported is when the backlog was last reported, behind whether the planner was behind then.
	backlogReported time.Duration
	behind          bool
	// admission is what was reported if jobs are admitted by capacity.
	admission admissionReport
	// keepsHeadroom has the services in which headroom was kept for urgent work when this was last reported.
	keepsHeadroom map[string]bool
	holdLimiter   *holdLimiter
	wake          wake.Signal
	ctx           context.Context
	group         sync.WaitGroup
}

func newLeader(opts Options, log logr.Logger, tm term.Term) *leader {
	// runsPerTerm is more than the number of starts of most tasks in one term, so that their run numbers increase across
	// terms although most starts are not journaled. Workers refuse lower numbers than they have had, see cell.Cell.Refused.
	const runsPerTerm = 64
	began := opts.Clock.Now()
	ld := &leader{
		opts: opts, clock: opts.Clock, log: log, term: tm, began: began,
		lease: defaultLease, sessions: map[incarnation.ID]*session{}, current: map[string]*session{}, tokenCounts: map[string]uint64{}, keepsHeadroom: map[string]bool{},
		unresolved: map[incarnation.ID]bool{}, earlier: map[string][]incarnation.ID{},
		holdLimiter: newHoldLimiter(opts.Clock), wake: wake.New(), journalRead: make(chan struct{}), committed: make(chan struct{}),
		cell: cell.New(cell.Options{
			Retention: opts.Site.Bounds.JobRetention,
			FirstRun:  (tm.Number-1)*runsPerTerm + 1, StopTimeout: opts.Site.Bounds.StopTimeout,
			MemoryLimit: opts.Site.JobMemory(), Watch: func() time.Duration { return opts.Clock.Since(began) },
			InitialWindow: initialWindow, MinInUse: opts.MinInUse, Features: opts.Site.Features,
		}),
	}
	ld.maxListAge = maxListAge(opts.Site.Bounds)
	if maxLease := opts.Site.Bounds.MaxLease; maxLease > 0 {
		ld.lease = min(ld.lease, maxLease)
	}
	ld.inheritedLeases.init(tm.RenewalsEnd.Sub(ld.began)+ld.leaseBound(), maxUnrenewed+ld.leaseBound()+time.Second)
	ld.metrics.registry = opts.Metrics
	ld.records.init()
	ld.batches.init()
	ld.ignored.init()
	ld.initEvacuations(opts.Site.Bounds)
	ld.standby.init()
	return ld
}

// maxListAge returns the age of a list from which no task may be started by it. Rules with a time limit apply to a node
// that has been in contact with the store for the contact time.
func maxListAge(bounds site.Bounds) time.Duration {
	return max(cmp.Or(bounds.Contact, defaultContact)-listMargin, listMargin)
}

// now returns the time since the term began, on the monotonic clock.
func (ld *leader) now() time.Duration { return ld.clock.Since(ld.began) }

// wall returns the wall-clock time since 1970.
func (ld *leader) wall() time.Duration { return bootclock.Wall(ld.clock) }

func (ld *leader) run(ctx context.Context) {
	ld.ctx = ctx
	records, ok := ld.readRecords(ctx)
	if !ok {
		return
	}
	ld.old = records
	ld.jobs = mirror.New(ld.clock, ld.log, ld.opts.Store, mirror.Options{
		Prefix: joblog.Batches, Wait: journalWait, Pause: journalWatchPause,
		OnChange: func(items []kv.Item, full bool) { ld.applyBatches(items, full) },
	})
	ld.workers = mirror.New(ld.clock, ld.log, ld.opts.Store, mirror.Options{
		Prefix: ld.opts.WorkersPrefix, Wait: listWait, Pause: workerWatchPause,
		OnChange: ld.applyWorkers,
	})
	ld.spawn(func() { ld.jobs.Run(ctx) })
	ld.spawn(func() {
		select {
		case <-ctx.Done():
		case <-ld.journalRead: // before that, a report would name runs of unknown jobs
			ld.workers.Run(ctx)
		}
	})
	ld.followEvacuations(ctx)
	ld.spawn(func() { ld.commitLoop(ctx) })
	ld.spawn(func() {
		select {
		case <-ctx.Done():
		case <-ld.journalRead: // the journal bounds the leases too
			ld.requestLeases(ctx)
		}
	})
	ld.spawn(func() { ld.awaitRenewalsEnd(ctx) })
	ld.spawn(func() { loop.Every(ctx, ld.clock, tickInterval, ld.yieldIfSlow) })
	ld.spawn(func() { ld.gcLoop(ctx) })
	ld.planLoop(ctx)
	ld.group.Wait()
}

func (ld *leader) spawn(act func()) {
	ld.group.Go(act)
}

// checkReady returns an error if the planner's state must not be reported. After a suspension of the VM another node
// may be the planner. The caller holds the lock.
func (ld *leader) checkReady() error {
	if !ld.loaded {
		return unavailable("the planner is still reading the journal")
	}
	if !ld.term.LeaseHeld() {
		return unavailable("the planner's lease is not confirmed")
	}
	return nil
}

func (ld *leader) pending(queue string) (int, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if err := ld.checkReady(); err != nil {
		return 0, err
	}
	if err := ld.checkJournalAge(); err != nil {
		return 0, err
	}
	return ld.cell.QueuedJobs(queue), nil
}

// checkJournalAge returns an error if the journal may have jobs that are not known here.
func (ld *leader) checkJournalAge() error {
	if age, _ := ld.jobs.Age(); age > maxJournalAge {
		return unavailable("the planner's copy of the journal is " + age.Round(time.Millisecond).String() + " old")
	}
	return nil
}

func (ld *leader) applySettings() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.cell.UpdateQueues(ld.opts.Queue)
	ld.cell.UpdateWorkspaces(ld.opts.Workspace)
	ld.schedulePlan()
}
