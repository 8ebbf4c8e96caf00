// Package home accepts jobs and sees them through, for the workspaces that the
// cluster map makes this node home of. Everything that must outlive the node is
// in its journal before it is acted on or said.
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

// Periods of the home's loops.
const (
	tickEvery     = 25 * time.Millisecond
	capacityEvery = 500 * time.Millisecond
	forgetEvery   = 30 * time.Second
)

// AtOnce is the number of jobs that one home lets try for room together.
const AtOnce = 64

// Options of a home.
type Options struct {
	WaitingJobs int
	KeepJobs    time.Duration
	// Ask is how long a running job may be silent before its workers are asked for
	// it. A repeatable one saves its work when asked.
	Ask time.Duration
}

// Local is the owner of this node, which the home reaches without a message.
type Local struct {
	// VMs returns the number of workers that the platform lists.
	VMs     func() int
	Room    func() (ledger.Summary, int)
	Hold    func(nodemsg.Hold) nodemsg.Held
	Commit  func(context.Context, nodemsg.Commit) nodemsg.Fates
	Release func(nodemsg.Release)
	Order   func(context.Context, nodemsg.Order) nodemsg.Fates
	Ack     func(nodemsg.Ack)
}

// Parts are the services that a home works with.
type Parts struct {
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

// Home is this node's home service.
type Home struct {
	Parts
	opts    Options
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	pacer   *loop.Pacer // of the ticks

	mu      sync.Mutex
	machine *policy.Machine
	jobs    map[string]*entry
	keys    map[string]string
	parts   [ids.Partitions]partition
	age     age // of the loop that forgets
	journal *journal.Journal
	open    int
	largest size.Size
	total   size.Size
	// complete is set once every listed worker was seen, so that what none of
	// them can carry is known.
	complete bool
}

// entry is one job in memory. The home's lock guards it.
type entry struct {
	rec      job.Record
	statuses []attempt.Status
	// saved is the work that each task's checkpoints have saved.
	saved []time.Duration
	// kept is set once the job's acceptance is in the journal.
	kept bool
	// frozen is set once the job's partition moves away; nothing is done to it then.
	frozen bool
	// busy counts the steps under way that a move must wait for.
	busy int
	// placing is set while the job tries for room.
	placing bool
	// settling is set once the job's end is on its way to the journal.
	settling bool
	kick     wake.Signal
	changed  chan struct{}
	accept   *journal.Pending
	toAck    []nodemsg.Place
	// reserved are the places that a job which reserves has so far.
	reserved []nodemsg.Place
	// reserving is set while the job's holds stand between tries.
	reserving bool
}

// New returns a home without partitions.
func New(pt Parts, opts Options) *Home {
	pt.Log = pt.Log.WithName("home")
	hm := &Home{
		Parts: pt, opts: opts, started: pt.Clock.Now(),
		machine: policy.New(AtOnce, policy.DefaultRules()),
		jobs:    map[string]*entry{},
		keys:    map[string]string{},
		pacer:   loop.NewPacer(),
	}
	hm.ctx, hm.cancel = context.WithCancel(context.Background())
	hm.journal = journal.New(pt.Clock, pt.Log, pt.Store, pt.Member.Node().JournalName())
	pt.Member.Subscribe(hm.onMap)
	pt.Table.Subscribe(hm.onTable)
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
	peer.Handle(hm.Peer, nodemsg.KindTaskEnded, func(_ context.Context, _ string, en nodemsg.TaskEnded) (nodemsg.Noted, error) {
		return hm.TaskEnded(en)
	})
	peer.Handle(hm.Peer, nodemsg.KindHandPartition, func(ctx context.Context, _ string, hp nodemsg.HandPartition) (nodemsg.Records, error) {
		return hm.hand(ctx, hp)
	})
}

// Start begins the loops.
func (hm *Home) Start(context.Context) error {
	hm.wg.Go(func() {
		hm.pacer.Run(hm.ctx, hm.Clock, tickEvery, hm.tick)
	})
	hm.loop(capacityEvery, hm.measure)
	hm.loop(min(forgetEvery, hm.opts.KeepJobs/(4*keepSteps)), hm.forgetOld)
	return nil
}

func (hm *Home) loop(every time.Duration, act func()) {
	hm.wg.Go(func() {
		loop.Every(hm.ctx, hm.Clock, every, act)
	})
}

// Stop ends the loops and the journal.
func (hm *Home) Stop(context.Context) error {
	hm.cancel()
	hm.wg.Wait()
	hm.mu.Lock()
	jr := hm.journal
	hm.mu.Unlock()
	jr.Stop()
	return nil
}

// now is the time since the home started, which the machine counts in.
func (hm *Home) now() time.Duration { return hm.Clock.Since(hm.started) }

// step feeds one event to the machine and carries its decisions out. The caller
// holds the lock.
func (hm *Home) step(ev policy.Event) {
	ev.At = hm.now()
	acts := hm.machine.Step(ev)
	hm.Recorder.Home(ev, acts)
	if ev.Tick == nil && hm.machine.Waiting() > 0 {
		hm.pacer.Kick()
	}
	for _, act := range acts {
		switch {
		case act.Try != nil:
			hm.startTry(act.Try)
		case act.Expired != nil:
			hm.late(act.Expired.Job)
		}
	}
}

// tick lets time pass, and reports whether jobs still wait.
func (hm *Home) tick() bool {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	hm.step(policy.Event{Tick: &policy.Tick{}})
	return hm.machine.Waiting() > 0
}

// measure tells the machine the room of the whole cluster. What no worker has
// is told by the largest ever seen, since workers may be away for a while.
func (hm *Home) measure() {
	room, _ := hm.Local.Room()
	total, free, largest, count := room.Capacity, room.Free, room.LargestCapacity, room.Workers
	for _, vw := range hm.Member.Peers() {
		rm := vw.Summary()
		total = total.Add(rm.Capacity)
		free = free.Add(rm.Free)
		largest = largest.Max(rm.LargestCapacity)
		count += rm.Workers
	}
	hm.mu.Lock()
	defer hm.mu.Unlock()
	hm.largest = hm.largest.Max(largest)
	hm.total = hm.total.Max(total)
	hm.complete = hm.complete || count > 0 && count >= hm.Local.VMs()
	hm.step(policy.Event{Capacity: &policy.Capacity{Total: hm.total, Largest: hm.largest, Free: free}})
}

// onTable brings the workspaces' limits into force.
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

// Waiting returns the number of jobs that wait for room.
func (hm *Home) Waiting() int {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.machine.Waiting()
}

// notify wakes those who wait for the job to change.
func (en *entry) notify() {
	close(en.changed)
	en.changed = make(chan struct{})
}

func newEntry(rec job.Record) *entry {
	return &entry{rec: rec, kick: wake.New(), changed: make(chan struct{})}
}
