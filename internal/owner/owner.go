// Package owner runs the service through which all work is placed on this node's workers. It attaches to the workers in
// the racks that the cluster map assigns to this node, maintains their ledger, and sends them lookups and tasks.
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

// tickInterval is the interval at which holds and waiting lookups are checked for expiry.
const tickInterval = 50 * time.Millisecond

// leaseCheckInterval is the interval at which links are checked for workers whose lease has expired.
const leaseCheckInterval = time.Second

type Options struct {
	Name   string
	Limits policy.Limits
	// DrainTimeout limits how long the link to a worker that moves to another owner stays open for lookups in flight.
	DrainTimeout time.Duration
	// Dial opens connections to workers. The default is worker.Dial.
	Dial func(ctx context.Context, addr, path string) (*frames.Conn, error)
	// LeaseGuard is added to a worker's lease before its tasks count as ended. It covers clock drift during a lease and
	// the time after which an isolated former owner has stopped renewing.
	LeaseGuard time.Duration
	// MaxLease is the longest lease that a worker may have.
	MaxLease time.Duration
}

// Services contains the services that an owner uses.
type Services struct {
	Clock    clockwork.Clock
	Log      logr.Logger
	Member   *member.Member
	VMs      *vms.List
	Peer     *peer.Peer
	Meter    *meter.Meter
	Recorder *recorder.Recorder
}

// Owner manages the workers in this node's racks.
type Owner struct {
	Services
	opts    Options
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	pacer   *loop.Pacer // for tick

	mu      sync.Mutex
	machine *policy.Machine
	conns   map[string]*workerConn
	racks   map[string]clustermap.Rack
	// rackSince is when this owner got each of its racks.
	rackSince map[string]time.Time
	vms       map[string]vmsmsg.VM
	lookups   map[uint64]*lookup
	tasks     map[string]*task
	budgets   map[string]float64 // retry budgets by workspace
	// removed contains the lease ends of workers that were removed while unreachable.
	removed                map[string]removedWorker
	pastSent, pastReceived int64
}

// removedWorker is the time at which the lease of a removed worker has surely expired, and the epoch of its rack.
type removedWorker struct {
	epoch    uint64
	leaseEnd time.Time
}

// New returns an owner without workers.
func New(sv Services, opts Options) *Owner {
	if opts.Dial == nil {
		opts.Dial = worker.Dial
	}
	sv.Log = sv.Log.WithName("owner")
	ow := &Owner{
		Services: sv, opts: opts, started: sv.Clock.Now(),
		machine: policy.New(opts.Limits),
		conns:   map[string]*workerConn{},
		lookups: map[uint64]*lookup{},
		tasks:   map[string]*task{},
		budgets: map[string]float64{},
		removed: map[string]removedWorker{},
		pacer:   loop.NewPacer(),
	}
	ow.ctx, ow.cancel = context.WithCancel(context.Background())
	sv.Member.Subscribe(ow.onMap)
	sv.VMs.Subscribe(ow.onVMs)
	ow.handle()
	return ow
}

func (ow *Owner) handle() {
	peer.Handle(ow.Peer, nodemsg.KindHold, func(_ context.Context, _ string, hd nodemsg.Hold) (nodemsg.HoldReply, error) {
		return ow.Hold(hd), nil
	})
	peer.Handle(ow.Peer, nodemsg.KindCommit, func(ctx context.Context, _ string, cm nodemsg.Commit) (nodemsg.TaskStatuses, error) {
		return ow.Commit(ctx, cm), nil
	})
	peer.Handle(ow.Peer, nodemsg.KindRelease, func(_ context.Context, _ string, rl nodemsg.Release) (nodemsg.Empty, error) {
		ow.Release(rl)
		return nodemsg.Empty{}, nil
	})
	peer.Handle(ow.Peer, nodemsg.KindOrder, func(ctx context.Context, _ string, od nodemsg.Order) (nodemsg.TaskStatuses, error) {
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

// Start starts the loops.
func (ow *Owner) Start(context.Context) error {
	ow.wg.Go(func() {
		ow.pacer.Run(ow.ctx, ow.Clock, tickInterval, ow.tick)
	})
	ow.loop(reportRetryInterval/2, func() { ow.reportDue(reportRetryInterval) })
	ow.loop(leaseCheckInterval, ow.closeExpired)
	return nil
}

func (ow *Owner) loop(every time.Duration, act func()) {
	ow.wg.Go(func() {
		loop.Every(ow.ctx, ow.Clock, every, act)
	})
}

// Stop disconnects from all workers.
func (ow *Owner) Stop(context.Context) error {
	ow.cancel()
	ow.mu.Lock()
	conns := ow.conns
	ow.conns = map[string]*workerConn{}
	ow.mu.Unlock()
	for _, wc := range conns {
		wc.cancel()
	}
	ow.wg.Wait()
	return nil
}

// now returns the time since the owner started, which is the time base of the state machine.
func (ow *Owner) now() time.Duration { return ow.Clock.Since(ow.started) }

// step passes one event to the state machine and executes its decisions. The caller holds the lock.
func (ow *Owner) step(ev policy.Event) []policy.Action {
	ev.At = ow.now()
	acts := ow.machine.Step(ev)
	ow.Recorder.RecordOwner(ev, acts)
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

// tick advances the time of the state machine, and reports whether it needs further ticks.
func (ow *Owner) tick() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.step(policy.Event{Tick: &policy.Tick{}})
	return ow.machine.NeedsTick()
}

// Summary returns the summary of the ledger and the number of waiting lookups.
func (ow *Owner) Summary() (ledger.Summary, int) {
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

// onMap applies a new cluster map.
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
			since[key] = ow.rackSince[key]
		}
	}
	ow.racks, ow.rackSince = mine, since
	ow.mu.Unlock()
	ow.refresh()
	go ow.reportAll()
}

// onVMs applies a new list of VMs, and adds missing racks to the cluster map.
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
	const timeout = 10 * time.Second
	ctx, cancel := context.WithTimeout(ow.ctx, timeout)
	defer cancel()
	err := ow.Member.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
		return mp.AddRacks(racks)
	})
	if err != nil && ow.ctx.Err() == nil {
		ow.Log.Error(err, "Could not add new racks to the cluster map, will retry.")
		ow.Clock.Sleep(time.Second)
		ow.mu.Lock()
		list := ow.vms
		ow.mu.Unlock()
		ow.onVMs(list)
	}
}

// refresh starts and ends connections so that each worker in this node's racks has one of the rack's current epoch.
func (ow *Owner) refresh() {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.ctx.Err() != nil {
		return
	}
	for name, wc := range ow.conns {
		rack, mine := ow.racks[wc.rack]
		vm, listed := ow.vms[name]
		switch {
		case !mine || rack.Epoch != wc.epoch:
			ow.removeWorker(wc)
		case listed && vm.Addr != wc.vm.Addr && (wc.link == nil || wc.link.LeaseExpired()):
			ow.removeWorker(wc) // a new VM has this name; while the old one sends heartbeats, the list is wrong
		case listed && vm.Leaving:
			ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: name}})
		case !listed && wc.link == nil && ow.Clock.Since(wc.since) > ow.opts.LeaseGuard:
			ow.removeWorker(wc)
		}
	}
	for name, vm := range ow.vms {
		key := clustermap.RackKey(vm.Hall, vm.Rack)
		rack, mine := ow.racks[key]
		if _, connected := ow.conns[name]; mine && !connected {
			ow.connect(vm, key, rack.Epoch)
		}
	}
}

// workerOf returns a worker as the ledger describes it.
func workerOf(vm vmsmsg.VM, he workermsg.Hello) ledger.Worker {
	return ledger.Worker{
		Name: vm.Name, Hall: vm.Hall, Rack: vm.Rack, Capacity: he.Capacity, Slots: he.Slots,
	}
}
