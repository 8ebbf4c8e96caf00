// Package home accepts jobs and runs them to their end, for the workspaces whose home is this node according to the
// cluster map. Everything that must survive the node is in its journal before the node acts on it or reports it.
package home

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/attempt"
	policy "tackbeam.example/policy/home"
	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/journal"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/member"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/recorder"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/table"
	"tackbeam.example/tackbeam/internal/wake"
)

// Intervals of the home's loops.
const (
	tickInterval      = 25 * time.Millisecond
	capacityInterval  = 500 * time.Millisecond
	retentionInterval = 30 * time.Second
)

// MaxConcurrentTries is the number of jobs of one home that may request resources at the same time.
const MaxConcurrentTries = 64

type Options struct {
	MaxUnfinishedJobs int
	JobRetention      time.Duration
	// QueryAfter is how long a running job may go without a report before its workers are queried. A repeatable job
	// saves a checkpoint when it is queried.
	QueryAfter time.Duration
}

// Local contains the functions of this node's owner, which the home calls without a message.
type Local struct {
	// VMCount returns the number of workers in the platform's list of VMs.
	VMCount func() int
	Summary func() (ledger.Summary, int)
	Hold    func(nodemsg.Hold) nodemsg.HoldReply
	Commit  func(context.Context, nodemsg.Commit) nodemsg.TaskStatuses
	Release func(nodemsg.Release)
	Order   func(context.Context, nodemsg.Order) nodemsg.TaskStatuses
	Ack     func(nodemsg.Ack)
}

// Services contains the services that a home uses.
type Services struct {
	Clock    clockwork.Clock
	Log      logr.Logger
	Member   *member.Member
	Store    *store.Client
	Peer     *peer.Peer
	Table    *table.Table
	Local    Local
	Meter    *meter.Meter
	Recorder *recorder.Recorder
}

// Home runs the jobs of the partitions whose home is this node.
type Home struct {
	Services
	opts    Options
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	pacer   *loop.Pacer // for tick

	mu         sync.Mutex
	machine    *policy.Machine
	jobs       map[string]*entry
	keys       map[string]string
	parts      [ids.Partitions]partition
	age        mapAge // for removeExpired
	journal    *journal.Journal
	unfinished int
	largest    size.Size
	total      size.Size
	// capacityComplete is set once every listed worker has been seen, so that a request that fits none of them can be
	// refused.
	capacityComplete bool
}

// entry is one job in memory, guarded by the home's lock.
type entry struct {
	rec      job.Record
	statuses []attempt.Status
	// saved is the work that each task's checkpoints have saved.
	saved []time.Duration
	// persisted is set once the journal has the accepted job.
	persisted bool
	// frozen is set once the job's partition moves to another home; this node then stops working on the job.
	frozen bool
	// busy counts the operations in progress, which a handover must wait for.
	busy int
	// placing is set while the job requests resources.
	placing bool
	// ending is set while the job's end is being written to the journal.
	ending        bool
	kick          wake.Signal
	changed       chan struct{}
	pendingAccept *journal.Pending
	// toAck contains the places of earlier attempts, whose tasks are acknowledged together with the job's end.
	toAck []nodemsg.Place
	// reserved contains the places reserved so far, if the job reserves resources.
	reserved []nodemsg.Place
	// reserving is set while the job's holds are kept between tries.
	reserving bool
}

// New returns a home without partitions.
func New(sv Services, opts Options) *Home {
	sv.Log = sv.Log.WithName("home")
	hm := &Home{
		Services: sv, opts: opts, started: sv.Clock.Now(),
		machine: policy.New(MaxConcurrentTries, policy.DefaultRules()),
		jobs:    map[string]*entry{},
		keys:    map[string]string{},
		pacer:   loop.NewPacer(),
	}
	hm.ctx, hm.cancel = context.WithCancel(context.Background())
	hm.journal = journal.New(sv.Clock, sv.Log, sv.Store, sv.Member.Node().JournalName())
	sv.Member.Subscribe(hm.onMap)
	sv.Table.Subscribe(hm.onTable)
	hm.handle()
	return hm
}

func (hm *Home) handle() {
	peer.Handle(hm.Peer, nodemsg.KindSubmit, func(ctx context.Context, _ string, sb nodemsg.Submit) (nodemsg.JobView, error) {
		return hm.Submit(ctx, sb)
	})
	peer.Handle(hm.Peer, nodemsg.KindJobGet, func(ctx context.Context, _ string, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
		return hm.Get(ctx, qu)
	})
	peer.Handle(hm.Peer, nodemsg.KindJobList, func(_ context.Context, _ string, fl nodemsg.JobFilter) (nodemsg.Jobs, error) {
		return hm.List(fl), nil
	})
	peer.Handle(hm.Peer, nodemsg.KindJobCancel, func(ctx context.Context, _ string, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
		return hm.Cancel(ctx, qu)
	})
	peer.Handle(hm.Peer, nodemsg.KindTaskEnded, func(_ context.Context, _ string, en nodemsg.TaskEnded) (nodemsg.TaskEndedReply, error) {
		return hm.TaskEnded(en)
	})
	peer.Handle(hm.Peer, nodemsg.KindFetchPartition, func(ctx context.Context, _ string, hp nodemsg.FetchPartition) (nodemsg.Records, error) {
		return hm.servePartition(ctx, hp)
	})
}

// Start starts the loops.
func (hm *Home) Start(context.Context) error {
	hm.wg.Go(func() {
		hm.pacer.Run(hm.ctx, hm.Clock, tickInterval, hm.tick)
	})
	hm.loop(capacityInterval, hm.updateCapacity)
	hm.loop(min(retentionInterval, hm.opts.JobRetention/(4*retentionSteps)), hm.removeExpired)
	return nil
}

func (hm *Home) loop(every time.Duration, act func()) {
	hm.wg.Go(func() {
		loop.Every(hm.ctx, hm.Clock, every, act)
	})
}

// Stop stops the loops and the journal.
func (hm *Home) Stop(context.Context) error {
	hm.cancel()
	hm.wg.Wait()
	hm.mu.Lock()
	jr := hm.journal
	hm.mu.Unlock()
	jr.Stop()
	return nil
}

// now returns the time since the home started, which is the time base of the state machine.
func (hm *Home) now() time.Duration { return hm.Clock.Since(hm.started) }

// step passes one event to the state machine and executes its decisions. The caller holds the lock.
func (hm *Home) step(ev policy.Event) {
	ev.At = hm.now()
	acts := hm.machine.Step(ev)
	hm.Recorder.RecordHome(ev, acts)
	if ev.Tick == nil && hm.machine.Waiting() > 0 {
		hm.pacer.Kick()
	}
	for _, act := range acts {
		switch {
		case act.Try != nil:
			hm.startTry(act.Try)
		case act.Expired != nil:
			hm.expire(act.Expired.Job)
		}
	}
}

// tick advances the time of the state machine, and reports whether jobs are still waiting.
func (hm *Home) tick() bool {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	hm.step(policy.Event{Tick: &policy.Tick{}})
	return hm.machine.Waiting() > 0
}

// updateCapacity passes the capacity of the whole cluster to the state machine. The capacity used to refuse infeasible
// jobs is the largest ever seen, because workers may be unavailable for a while.
func (hm *Home) updateCapacity() {
	summary, _ := hm.Local.Summary()
	total, free, largest, count := summary.Capacity, summary.Free, summary.LargestCapacity, summary.Workers
	for _, vw := range hm.Member.Peers() {
		sm := vw.Summary()
		total = total.Add(sm.Capacity)
		free = free.Add(sm.Free)
		largest = largest.Max(sm.LargestCapacity)
		count += sm.Workers
	}
	hm.mu.Lock()
	defer hm.mu.Unlock()
	hm.largest = hm.largest.Max(largest)
	hm.total = hm.total.Max(total)
	hm.capacityComplete = hm.capacityComplete || count > 0 && count >= hm.Local.VMCount()
	hm.step(policy.Event{Capacity: &policy.Capacity{Total: hm.total, Largest: hm.largest, Free: free}})
}

// onTable applies the limits of the workspaces.
func (hm *Home) onTable(sn *table.Snapshot) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	for _, ws := range sn.Workspaces() {
		hm.step(policy.Event{Limits: &policy.Limits{
			Workspace: ws.Name, Weight: ws.Weight, Processors: ws.Processors,
			Memory: ws.Memory, Accelerators: ws.Accelerators, Running: ws.Running,
		}})
	}
}

// Waiting returns the number of jobs that wait for resources.
func (hm *Home) Waiting() int {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.machine.Waiting()
}

// notify wakes all callers that wait for a change of the job.
func (en *entry) notify() {
	close(en.changed)
	en.changed = make(chan struct{})
}

func newEntry(rec job.Record) *entry {
	return &entry{rec: rec, kick: wake.New(), changed: make(chan struct{})}
}
