// Package owner is the only place that commits work onto this node's workers. It
// attaches to the workers of the racks that the cluster map gives to this node,
// keeps their ledger, and sends them lookups and tasks.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/ledger"
	policy "tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/frames"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/member"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/recorder"
	"tackbeam.example/tackbeam/internal/vms"
	"tackbeam.example/tackbeam/internal/vmsmsg"
	"tackbeam.example/tackbeam/internal/worker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// tickEvery is how often holds and waiting lookups are looked at for expiry.
const tickEvery = 50 * time.Millisecond

// silenceEvery is how often links are looked at for workers that have fallen silent.
const silenceEvery = time.Second

// Options of an owner.
type Options struct {
	Name   string
	Limits policy.Limits
	// Drain bounds how long a worker that moves away keeps its link for lookups
	// in flight.
	Drain time.Duration
	// Dial opens connections to workers; nil is worker.Dial.
	Dial func(ctx context.Context, addr, path string) (*frames.Conn, error)
	// Guard is what is added to a worker's lease before its tasks count as ended.
	// It covers the drift of clocks over a lease and the time by which a former
	// owner that is cut off has stopped to renew.
	Guard time.Duration
	// Lease is the longest lease that a worker may have.
	Lease time.Duration
}

// Parts are the services that an owner works with.
type Parts struct {
	Clock    clockwork.Clock
	Log      logr.Logger
	Member   *member.Member
	VMs      *vms.List
	Peer     *peer.Peer
	Meter    *meter.Meter
	Recorder *recorder.Recorder
}

// Owner is this node's owner service.
type Owner struct {
	Parts
	opts    Options
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	pacer   *loop.Pacer // of the ticks

	mu      sync.Mutex
	machine *policy.Machine
	keepers map[string]*keeper
	racks   map[string]clustermap.Rack
	// since is when this owner got each of its racks.
	since   map[string]time.Time
	vms     map[string]vmsmsg.VM
	lookups map[uint64]*lookup
	tasks   map[string]*task
	budgets map[string]float64
	// gone remembers the leases of workers that were let go while unreachable.
	gone                   map[string]goneWorker
	pastSent, pastReceived int64
}

// goneWorker is when the lease of a worker that has gone surely runs out.
type goneWorker struct {
	epoch    uint64
	leaseEnd time.Time
}

// New returns an owner without workers.
func New(pt Parts, opts Options) *Owner {
	if opts.Dial == nil {
		opts.Dial = worker.Dial
	}
	pt.Log = pt.Log.WithName("owner")
	ow := &Owner{
		Parts: pt, opts: opts, started: pt.Clock.Now(),
		machine: policy.New(opts.Limits),
		keepers: map[string]*keeper{},
		lookups: map[uint64]*lookup{},
		tasks:   map[string]*task{},
		budgets: map[string]float64{},
		gone:    map[string]goneWorker{},
		pacer:   loop.NewPacer(),
	}
	ow.ctx, ow.cancel = context.WithCancel(context.Background())
	pt.Member.Subscribe(ow.onMap)
	pt.VMs.Subscribe(ow.onVMs)
	ow.handle()
	return ow
}

func (ow *Owner) handle() {
	peer.Handle(ow.Peer, nodemsg.KindHold, func(_ context.Context, _ string, hd nodemsg.Hold) (nodemsg.Held, error) {
		return ow.Hold(hd), nil
	})
	peer.Handle(ow.Peer, nodemsg.KindCommit, func(ctx context.Context, _ string, cm nodemsg.Commit) (nodemsg.Fates, error) {
		return ow.Commit(ctx, cm), nil
	})
	peer.Handle(ow.Peer, nodemsg.KindRelease, func(_ context.Context, _ string, rl nodemsg.Release) (nodemsg.Empty, error) {
		ow.Release(rl)
		return nodemsg.Empty{}, nil
	})
	peer.Handle(ow.Peer, nodemsg.KindOrder, func(ctx context.Context, _ string, od nodemsg.Order) (nodemsg.Fates, error) {
		return ow.Order(ctx, od), nil
	})
	peer.Handle(ow.Peer, nodemsg.KindAck, func(_ context.Context, _ string, ak nodemsg.Ack) (nodemsg.Empty, error) {
		ow.Ack(ak)
		return nodemsg.Empty{}, nil
	})
	peer.Handle(ow.Peer, nodemsg.KindLookup, func(ctx context.Context, _ string, lk nodemsg.Lookup) (nodemsg.Answer, error) {
		return ow.Lookup(ctx, lk)
	})
}

// Start begins the loops.
func (ow *Owner) Start(context.Context) error {
	ow.wg.Go(func() {
		ow.pacer.Run(ow.ctx, ow.Clock, tickEvery, ow.tick)
	})
	ow.loop(tellAgain/2, func() { ow.tellDue(tellAgain) })
	ow.loop(silenceEvery, ow.dropSilent)
	return nil
}

func (ow *Owner) loop(every time.Duration, act func()) {
	ow.wg.Go(func() {
		loop.Every(ow.ctx, ow.Clock, every, act)
	})
}

// Stop lets go of all workers.
func (ow *Owner) Stop(context.Context) error {
	ow.cancel()
	ow.mu.Lock()
	keepers := ow.keepers
	ow.keepers = map[string]*keeper{}
	ow.mu.Unlock()
	for _, kp := range keepers {
		kp.cancel()
	}
	ow.wg.Wait()
	return nil
}

// now is the time since the owner started, which the machine counts in.
func (ow *Owner) now() time.Duration { return ow.Clock.Since(ow.started) }

// step feeds one event to the machine and carries its decisions out. The caller
// holds the lock.
func (ow *Owner) step(ev policy.Event) []policy.Action {
	ev.At = ow.now()
	acts := ow.machine.Step(ev)
	ow.Recorder.Owner(ev, acts)
	if ev.Tick == nil && ow.machine.NeedsTick() {
		ow.pacer.Kick()
	}
	for _, act := range acts {
		switch {
		case act.Dispatch != nil:
			ow.sendLookup(act.Dispatch)
		case act.Refuse != nil:
			ow.refuseLookup(act.Refuse)
		case act.Preempt != nil:
			ow.preempt(act.Preempt)
		}
	}
	return acts
}

// tick lets time pass, and reports whether the machine still waits for it.
func (ow *Owner) tick() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.step(policy.Event{Tick: &policy.Tick{}})
	return ow.machine.NeedsTick()
}

// Room returns the digest of the ledger and the number of waiting lookups.
func (ow *Owner) Room() (ledger.Summary, int) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.machine.Ledger().Summary(), ow.machine.Waiting()
}

// Load returns the load of the ledger and the number of waiting lookups.
func (ow *Owner) Load() (ledger.Load, int) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.machine.Ledger().Load(), ow.machine.Waiting()
}

// onMap takes a new cluster map into account.
func (ow *Owner) onMap(mp *clustermap.Map) {
	mine := map[string]clustermap.Rack{}
	nd := ow.Member.Node()
	for key, rk := range mp.Racks {
		if rk.Owner == nd.Name && mp.Has(nd) {
			mine[key] = rk
		}
	}
	ow.mu.Lock()
	since := map[string]time.Time{}
	for key, rk := range mine {
		since[key] = ow.Clock.Now()
		if ow.racks[key].Epoch == rk.Epoch {
			since[key] = ow.since[key]
		}
	}
	ow.racks, ow.since = mine, since
	ow.mu.Unlock()
	ow.refresh()
	go ow.redeliver()
}

// onVMs takes a new list of VMs into account, and adds racks that the map lacks.
func (ow *Owner) onVMs(list map[string]vmsmsg.VM) {
	ow.mu.Lock()
	ow.vms = list
	ow.mu.Unlock()
	ow.refresh()
	racks := map[string]string{}
	known := ow.Member.Map()
	for _, vm := range list {
		key := clustermap.RackKey(vm.Hall, vm.Rack)
		if _, ok := known.Racks[key]; !ok {
			racks[key] = vm.Hall
		}
	}
	if len(racks) > 0 && known.Epoch > 0 {
		go ow.addRacks(racks)
	}
}

func (ow *Owner) addRacks(racks map[string]string) {
	const patience = 10 * time.Second
	ctx, cancel := context.WithTimeout(ow.ctx, patience)
	defer cancel()
	err := ow.Member.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
		return mp.AddRacks(racks)
	})
	if err != nil && ow.ctx.Err() == nil {
		ow.Log.Error(err, "New racks are not in the map yet.")
		ow.Clock.Sleep(time.Second)
		ow.mu.Lock()
		list := ow.vms
		ow.mu.Unlock()
		ow.onVMs(list)
	}
}

// refresh starts and ends keepers so that each worker of this node's racks has
// one of the rack's present epoch.
func (ow *Owner) refresh() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.ctx.Err() != nil {
		return
	}
	for name, kp := range ow.keepers {
		rack, mine := ow.racks[kp.rack]
		vm, listed := ow.vms[name]
		switch {
		case !mine || rack.Epoch != kp.epoch:
			ow.letGo(kp)
		case listed && vm.Addr != kp.vm.Addr && (kp.link == nil || kp.link.Lapsed()):
			ow.letGo(kp) // the name has a new machine; while the old one beats, the list is wrong
		case listed && vm.Leaving:
			ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: name}})
		case !listed && kp.link == nil && ow.Clock.Since(kp.since) > ow.opts.Guard:
			ow.letGo(kp)
		}
	}
	for name, vm := range ow.vms {
		key := clustermap.RackKey(vm.Hall, vm.Rack)
		rack, mine := ow.racks[key]
		if _, kept := ow.keepers[name]; mine && !kept {
			ow.keep(vm, key, rack.Epoch)
		}
	}
}

// workerOf returns a worker's view of the ledger for the machine.
func workerOf(vm vmsmsg.VM, he workermsg.Hello) ledger.Worker {
	return ledger.Worker{
		Name: vm.Name, Hall: vm.Hall, Rack: vm.Rack, Capacity: he.Capacity, Slots: he.Slots,
	}
}
