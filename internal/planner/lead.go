package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/term"
)

// Times of a reign.
const (
	// lease is how long workers go on without a hold: the time to notice a dead
	// planner (2 s), to elect and load another (1 s), and to reach all workers.
	lease = 5 * time.Second
	// unproven is how long after its last proof a planner still renews the leases of
	// workers: an outage of the store of that time ends no work.
	unproven = 4 * time.Second
	// drift is the most that a worker's clock may run slow against ours.
	drift = 0.02
	// gather is the pause between two looks at the journal, so that jobs gather.
	gather = 15 * time.Millisecond
	// gatherWorkers is the same for the list of workers, which must be known within
	// the time that a leaving worker may still get tasks (2 s).
	gatherWorkers = 250 * time.Millisecond
	// watchWait is how long a watch may stay without an answer.
	watchWait = 2 * time.Second
	// journalWait is the same for the journal, whose age is asked for.
	journalWait = time.Second
	// staleJournal is the age of the journal's copy from which a job that is not in it
	// may exist all the same: an accepted job must be known within 3 s.
	staleJournal = 2200 * time.Millisecond
	// tick is the period of what time alone brings.
	tick = 50 * time.Millisecond
)

// lead is one reign.
type lead struct {
	parts Parts
	clock clockwork.Clock
	log   logr.Logger
	reign term.Reign
	began time.Time

	jobs *mirror.Mirror

	mu   sync.Mutex
	cell *cell.Cell
	// loaded is set once the journal has been read whole.
	loaded bool
	// journaled is closed then.
	journaled chan struct{}
	sessions  map[string]*session
	// old are the workers of earlier planners that have neither answered nor lapsed;
	// true where they may hold any task, so that all old tasks wait for them.
	old      map[string]bool
	records  recorder
	patience patience
	measures measures
	pace     pace
	batches  batches
	dirty    bool
	wake     chan struct{}
	ctx      context.Context
	group    sync.WaitGroup
}

func newLead(pt Parts, log logr.Logger, reign term.Reign) *lead {
	// runsAReign is more than the starts of one task in one reign: numbers of runs
	// rise over reigns although starts are not journaled.
	const runsAReign = 64
	ld := &lead{
		parts: pt, clock: pt.Clock, log: log, reign: reign, began: pt.Clock.Now(),
		sessions: map[string]*session{}, old: map[string]bool{},
		wake: make(chan struct{}, 1), journaled: make(chan struct{}),
		cell: cell.New(cell.Options{
			Keep: pt.Site.Bounds.KeepEnded, FarFactor: pt.Site.Bounds.FarFactor,
			FirstRun: (reign.Number-1)*runsAReign + 1, StopTime: pt.Site.Bounds.StopTime,
		}),
	}
	ld.measures.registry = pt.Meters
	ld.records.init()
	ld.batches.init()
	return ld
}

// now is the time since the reign began, on the steady clock.
func (ld *lead) now() time.Duration { return ld.clock.Since(ld.began) }

func (ld *lead) run(ctx context.Context) {
	ld.ctx = ctx
	old, ok := ld.readRecords(ctx)
	if !ok {
		return
	}
	ld.jobs = mirror.New(ld.clock, ld.log, ld.parts.Store, mirror.Options{
		Prefix: joblog.Batches, Wait: journalWait, Pause: gather,
		Changed: func(items []kv.Item, whole bool) { ld.takeBatches(items, whole, old) },
	})
	workers := mirror.New(ld.clock, ld.log, ld.parts.Store, mirror.Options{
		Prefix: ld.parts.WorkersPrefix, Wait: watchWait, Pause: gatherWorkers,
		Changed: ld.takeWorkers,
	})
	ld.spawn(func() { ld.jobs.Run(ctx) })
	ld.spawn(func() {
		select {
		case <-ctx.Done():
		case <-ld.journaled: // before that, a report would name runs of unknown jobs
			workers.Run(ctx)
		}
	})
	ld.spawn(func() { ld.commitLoop(ctx) })
	ld.spawn(func() { ld.collectLoop(ctx) })
	ld.planLoop(ctx)
	ld.group.Wait()
}

func (ld *lead) spawn(act func()) {
	ld.group.Add(1)
	go func() {
		defer ld.group.Done()
		act()
	}()
}

// readRecords reads what earlier planners wrote.
func (ld *lead) readRecords(ctx context.Context) ([]kv.Item, bool) {
	for {
		items, _, err := ld.parts.Store.All(ctx, joblog.Records)
		if err == nil {
			return items, true
		}
		if !loop.Pause(ctx, ld.clock, readPause) {
			return nil, false
		}
	}
}

// readPause is the pause between two tries to read the records.
const readPause = 50 * time.Millisecond

// takeBatches takes in accepted jobs and cancels; the first time, with the records
// of earlier planners.
func (ld *lead) takeBatches(items []kv.Item, whole bool, old []kv.Item) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.now()
	for _, item := range items {
		if item.Gone {
			continue
		}
		bt, err := joblog.DecodeBatch(item.Value)
		if err != nil {
			ld.log.Error(err, "A batch of the journal cannot be read.", "key", item.Key)
			continue
		}
		ld.takeBatch(now, item, bt)
	}
	if whole && !ld.loaded {
		ld.restore(now, old)
		ld.loaded = true
		close(ld.journaled)
		ld.log.Info("Journal is read.", "batches", len(items), "writes", len(old), "after", now.String())
	}
	ld.settle(now)
	ld.kick()
}

func (ld *lead) takeBatch(now time.Duration, item kv.Item, bt *joblog.Batch) {
	inherited := item.Revision < ld.reign.Token
	for at := range bt.Jobs {
		jb := &bt.Jobs[at]
		if qu, ok := ld.parts.Queue(jb.Queue.Name); ok {
			jb.Queue = qu
		}
		ld.cell.Add(now, jb, inherited)
		ld.log.Info("Job taken in.", "job", jb.ID, "queue", jb.Queue.Name, "revision", item.Revision, "inherited", inherited)
	}
	for _, id := range bt.Cancels {
		ld.cell.Cancel(now, id)
		ld.log.Info("Cancel taken in.", "job", id, "revision", item.Revision)
	}
	ld.batches.add(item.Key, bt)
}

// restore takes in what earlier planners recorded.
func (ld *lead) restore(now time.Duration, items []kv.Item) {
	var all []cell.Record
	workers := map[string]cell.Record{}
	stops := map[string][]cell.Run{}
	for at, item := range items {
		recs, err := joblog.DecodeRecords(item.Value)
		if err != nil {
			ld.log.Error(err, "Records of an earlier planner cannot be read.", "key", item.Key)
			continue
		}
		ld.records.keep(item.Key, recs)
		for _, rec := range recs {
			switch {
			case rec.Stop && at >= len(items)-recentWrites:
				stops[rec.Worker] = append(stops[rec.Worker], rec.Held...)
			case rec.Worker != "" && !rec.Stop:
				workers[rec.Worker] = rec
			}
		}
		all = append(all, recs...)
	}
	ld.cell.Restore(now, all)
	for id, rec := range workers {
		if rec.Gone {
			continue
		}
		ld.cell.Inherit(now, id, rec.Held)
		ld.cell.InheritStops(now, id, stops[id])
		ld.old[id] = !rec.Closed
	}
}

// recentWrites is the number of the journal's last writes in which stops may be that
// are not over: writes are commitGap apart, a stop takes up to 0.9 s.
const recentWrites = 40

// settle lets workers lapse that no list names any more, and frees the old tasks once
// no worker can hold any of them unknown.
func (ld *lead) settle(now time.Duration) {
	if !ld.loaded {
		return
	}
	open := 0
	for id, any := range ld.old {
		if _, ok := ld.sessions[id]; !ok && now > ld.lapseUnknown() {
			ld.lapseOld(now, id)
		} else if any {
			open++
		}
	}
	if open == 0 && !ld.cell.Settled() {
		ld.cell.Settle(now)
		ld.log.Info("Whereabouts of all tasks are known.", "after", now.String(), "silent", len(ld.old))
	}
}

// lapseUnknown is when a worker that an earlier planner held has surely ended all
// that it ran, if it has not answered this one: the earlier planner renewed it for
// the last time at most unproven after its last proof.
func (ld *lead) lapseUnknown() time.Duration {
	return unproven + time.Duration(float64(lease)*(1+drift)) + time.Second
}

func (ld *lead) lapseOld(now time.Duration, id string) {
	delete(ld.old, id)
	ld.cell.Lapsed(now, id)
	ld.log.Info("Worker of an earlier planner has lapsed.", "worker", id)
}

// takeWorkers takes in changes of the list of workers.
func (ld *lead) takeWorkers(items []kv.Item, _ bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, item := range items {
		if item.Gone {
			ld.unlist(item.Key)
			continue
		}
		en, err := ld.parts.DecodeWorker(item)
		if err != nil {
			ld.log.Error(err, "Entry of a worker cannot be read.", "key", item.Key)
			continue
		}
		ld.list(en)
	}
	ld.kick()
}

func (ld *lead) list(en Entry) {
	ld.cell.PutWorker(ld.now(), en.Worker)
	se, ok := ld.sessions[en.ID]
	if !ok {
		se = newSession(ld, en)
		ld.sessions[en.ID] = se
		ld.spawn(func() { se.run(ld.ctx) })
		ld.log.Info("Worker is listed.", "worker", en.ID, "address", en.Address, "draining", en.Draining)
		return
	}
	if se.entry.Draining != en.Draining {
		ld.log.Info("Worker drains.", "worker", en.ID, "draining", en.Draining)
	}
	se.entry = en
}

func (ld *lead) unlist(key string) {
	id := key[len(ld.parts.WorkersPrefix):]
	ld.cell.Unlist(id)
	ld.log.Info("Worker's entry is gone.", "worker", id)
}

// planLoop plans when something has changed, and at each tick.
func (ld *lead) planLoop(ctx context.Context) {
	timer := ld.clock.NewTicker(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ld.wake:
		case <-timer.Chan():
			ld.tick()
			if ld.pace.slow(ld.now()) {
				ld.reign.Yield("this node is too slow to plan")
			}
		}
		ld.plan()
	}
}

func (ld *lead) kick() {
	ld.dirty = true
	select {
	case ld.wake <- struct{}{}:
	default:
	}
}

func (ld *lead) tick() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded {
		return
	}
	now := ld.now()
	ld.cell.Tick(now, time.Duration(ld.clock.Now().UnixNano()))
	ld.settle(now)
	ld.dirty = true
	jobs, waiting, workers := ld.cell.Sizes()
	ld.measures.gauge("planner.jobs", jobs)
	ld.measures.gauge("planner.steps_waiting", waiting)
	ld.measures.gauge("planner.workers", workers)
}

// plan decides, if the term is proven, and has the orders carried out.
func (ld *lead) plan() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.loaded && ld.dirty && ld.reign.Proven() {
		ld.dirty = false
		ld.cell.Plan(ld.now())
	}
	ld.flush()
}

// flush carries out what the cell wants done. The caller holds the lock.
func (ld *lead) flush() {
	out := ld.cell.Take()
	ld.records.add(out.Records)
	for _, sr := range out.Starts {
		ld.spawn(func() { ld.start(sr) })
	}
	for _, sp := range out.Stops {
		ld.spawn(func() { ld.stop(sp) })
	}
	for _, id := range out.Asks {
		if se, ok := ld.sessions[id]; ok {
			se.ask()
		}
	}
	for _, pc := range out.Paces {
		ld.spawn(func() { ld.setPace(pc) })
	}
	for _, qn := range out.Questions {
		ld.spawn(func() { ld.advise(qn) })
	}
}

func (ld *lead) state(id string) (cell.Phase, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded {
		return "", notReady("the planner reads the journal")
	}
	phase, ok := ld.cell.Phase(id)
	if !ok {
		if err := ld.fresh(); err != nil {
			return "", err
		}
		return "", fault.New(fault.NotFound, "job %s is not known", id)
	}
	return phase, nil
}

func (ld *lead) pending(queue string) (int, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded {
		return 0, notReady("the planner reads the journal")
	}
	if err := ld.fresh(); err != nil {
		return 0, err
	}
	return ld.cell.Pending(queue), nil
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
	ld.cell.Reroute(ld.parts.Queue)
	ld.kick()
}
