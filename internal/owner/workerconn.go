package owner

import (
	"context"
	"strings"
	"time"

	policy "tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/vmsmsg"
	"tackbeam.example/tackbeam/internal/worker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// lookupPrefix is the prefix of the ids of lookups in ledgers and inventories.
const lookupPrefix = "lookup-"

// workerConn keeps this owner attached to one worker.
type workerConn struct {
	vm     vmsmsg.VM
	rack   string
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc

	link *worker.Link
	// since is when the link was established or lost, or when the first attempt to attach began.
	since time.Time
	// leaseEnd is the latest end of the lease that this owner has renewed or, for a worker that was never reached, the
	// latest end of a former owner's lease.
	leaseEnd time.Time
	leaving  bool
	moving   bool
	used     size.Size
	// noFencing is set for a worker that lacks fencing or inventory.
	noFencing bool
	// incarnation is the worker's incarnation when it was last attached.
	incarnation string
}

// connect starts connecting to a worker. The caller holds the lock.
func (ow *Owner) connect(vm vmsmsg.VM, rack string, epoch uint64) {
	now := ow.Clock.Now()
	wc := &workerConn{vm: vm, rack: rack, epoch: epoch, since: now, leaseEnd: now.Add(ow.opts.MaxLease)}
	wc.ctx, wc.cancel = context.WithCancel(ow.ctx)
	ow.conns[vm.Name] = wc
	ow.wg.Go(func() {
		ow.connectLoop(wc)
	})
}

// connectLoop attaches to the worker, waits until the link is lost, and attaches again.
func (ow *Owner) connectLoop(wc *workerConn) {
	failures := 0
	for wc.ctx.Err() == nil {
		if !ow.waitForLease(wc) {
			return
		}
		lost, err := ow.attach(wc)
		if err == nil {
			failures = 0
			select {
			case <-wc.ctx.Done():
				return
			case <-lost:
			}
		} else if failures++; failures == 1 || fault.Is(err, fault.Conflict) {
			ow.Log.V(1).Info("Could not attach to worker.", "worker", wc.vm.Name, "cause", err.Error())
		}
		loop.Pause(wc.ctx, ow.Clock, store.Backoff(failures))
	}
}

// waitForLease waits, before a worker without fencing or inventory is attached, until everything that a former owner or
// link started there has surely ended.
func (ow *Owner) waitForLease(wc *workerConn) bool {
	ow.mu.Lock()
	wait := wc.leaseEnd.Add(ow.opts.LeaseGuard).Sub(ow.Clock.Now())
	noFencing := wc.noFencing
	ow.mu.Unlock()
	if !noFencing || wait <= 0 {
		return true
	}
	ow.Meter.Count(CounterLeaseWaits, 1)
	return loop.Pause(wc.ctx, ow.Clock, wait)
}

// CounterLeaseWaits counts the waits until the lease of a worker without fencing or inventory had surely expired.
const CounterLeaseWaits = "workers_waited_out"

// mustWaitForLease reports whether a worker that has just been attached has to be disconnected until its lease has
// expired.
func (ow *Owner) mustWaitForLease(wc *workerConn, link *worker.Link) bool {
	if link.HasCapability(workermsg.Fencing) && link.HasCapability(workermsg.Inventory) {
		return false
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	wc.noFencing = true
	return ow.Clock.Now().Before(wc.leaseEnd.Add(ow.opts.LeaseGuard))
}

// attach takes the worker's lease and updates the ledger with the worker's inventory.
func (ow *Owner) attach(wc *workerConn) (<-chan struct{}, error) {
	const timeout = 5 * time.Second
	if ow.isIsolated(wc) {
		return nil, fault.New(fault.Stale, "this node is isolated and attaches to no worker")
	}
	ctx, cancel := context.WithTimeout(wc.ctx, timeout)
	defer cancel()
	lost := make(chan struct{})
	ready := make(chan struct{})
	var link *worker.Link
	link, err := worker.New(ctx, ow.Clock, worker.Options{
		Name: wc.vm.Name, Addr: wc.vm.Addr, Owner: ow.opts.Name, Epoch: wc.epoch, Dial: ow.opts.Dial,
	}, worker.Events{
		Ended:     func(en workermsg.Ended) { <-ready; ow.onEnded(wc, en) },
		Answered:  func(an workermsg.Answer) { <-ready; ow.onAnswer(wc, an) },
		Heartbeat: func(hb workermsg.Heartbeat) { <-ready; ow.onHeartbeat(wc, link, hb) },
		Leaving:   func() { <-ready; ow.onLeaving(wc) },
		Lost:      func(cause error) { <-ready; ow.onLost(wc, link, cause); close(lost) },
	})
	if err != nil {
		return nil, err
	}
	if lease := link.Hello().Lease; lease > ow.opts.MaxLease {
		close(ready)
		link.Close()
		return nil, fault.New(fault.Conflict, "worker %s has a lease of %v, which is longer than setting owner.lease", wc.vm.Name, lease)
	}
	if ow.mustWaitForLease(wc, link) {
		close(ready)
		link.Close()
		return nil, fault.New(fault.Unavailable, "worker %s has no fencing or inventory; waiting until its lease has expired", wc.vm.Name)
	}
	ow.mu.Lock()
	ow.applyHello(wc, link)
	ow.mu.Unlock()
	close(ready)
	return lost, nil
}

// applyHello passes a worker's inventory to the state machine. The caller holds the lock.
func (ow *Owner) applyHello(wc *workerConn, link *worker.Link) {
	he := link.Hello()
	wc.link = link
	wc.incarnation = he.Incarnation
	wc.since = ow.Clock.Now()
	wc.leaseEnd = link.LastHeartbeatAt().Add(he.Lease)
	wc.leaving = he.Leaving
	up := policy.WorkerUp{Worker: workerOf(wc.vm, he)}
	running := map[string]bool{}
	for _, tr := range he.Tasks {
		ow.applyTaskReport(wc, tr)
		if !tr.State.Ended() {
			up.Running = append(up.Running, policy.Running{
				ID: tr.Task, Size: tr.Size, Priority: tr.Priority, Repeatable: tr.Repeatable,
			})
		}
	}
	for _, tr := range he.Lookups {
		running[tr.Task] = true
		up.Running = append(up.Running, policy.Running{ID: tr.Task, Size: tr.Size, Slots: 1})
	}
	ow.endMissingLookups(wc.vm.Name, running) // before new lookups are sent to the worker
	ow.step(policy.Event{WorkerUp: &up})
	vm, listed := ow.vms[wc.vm.Name]
	if he.Leaving || wc.moving || listed && vm.Leaving {
		ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: wc.vm.Name}})
	}
	ow.Log.V(1).Info("Worker attached.", "worker", wc.vm.Name, "epoch", wc.epoch, "tasks", len(up.Running))
}

func (ow *Owner) onHeartbeat(wc *workerConn, link *worker.Link, hb workermsg.Heartbeat) {
	ow.mu.Lock()
	wc.leaseEnd = link.LastHeartbeatAt().Add(link.Hello().Lease)
	wc.used = size.Size{}
	for _, us := range hb.Usage {
		wc.used = wc.used.Add(us.Size)
	}
	ow.mu.Unlock()
	if ow.isIsolated(wc) {
		ow.Log.Info("Node is isolated; letting the lease of a worker expire.", "worker", wc.vm.Name)
		link.Close()
	}
}

// isIsolated reports whether other nodes may have removed this node from the cluster map without its knowledge, so that
// it must let the worker's lease expire. A worker with fencing refuses a removed owner; its lease expires only if
// neither the store nor any node has been reachable for long. For other workers it is enough that one member and the
// store have not been.
func (ow *Owner) isIsolated(wc *workerConn) bool {
	selfFence := ow.opts.LeaseGuard * 2 / 3 // the rest covers clock drift
	ow.mu.Lock()
	noFencing := wc.noFencing
	ow.mu.Unlock()
	if noFencing {
		return ow.Clock.Since(ow.Member.MembershipConfirmedAt()) > selfFence
	}
	return ow.Member.Isolated() && ow.Clock.Since(ow.Member.LastContact()) > selfFence
}

func (ow *Owner) onLeaving(wc *workerConn) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	wc.leaving = true
	ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: wc.vm.Name}})
	ow.Log.Info("Worker is leaving.", "worker", wc.vm.Name)
}

// onLost stops sending new work to a worker whose link has ended. Its tasks stay in the ledger until the worker's
// inventory, or the end of its lease, decides.
func (ow *Owner) onLost(wc *workerConn, link *worker.Link, cause error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if wc.link != link {
		return
	}
	wc.link = nil
	wc.since = ow.Clock.Now()
	sent, received := link.Traffic()
	ow.pastSent += sent
	ow.pastReceived += received
	if ow.conns[wc.vm.Name] == wc {
		ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: wc.vm.Name}})
	}
	if wc.ctx.Err() == nil {
		go ow.refresh() // the list may have another VM of this name
		ow.Log.V(1).Info("Link to worker was lost.", "worker", wc.vm.Name, "cause", cause.Error())
	}
}

// closeExpired closes the links of workers whose lease has expired without a heartbeat. A VM that loses power closes no
// connection, so nothing else would detect it.
func (ow *Owner) closeExpired() {
	var expired []*worker.Link
	ow.mu.Lock()
	for _, wc := range ow.conns {
		if wc.link != nil && wc.link.LeaseExpired() {
			expired = append(expired, wc.link)
		}
	}
	ow.mu.Unlock()
	for _, link := range expired {
		link.Close()
	}
}

// removeWorker gives up a worker that has been removed from the list or whose rack has another owner. The link stays
// open for a while for lookups in flight. The caller holds the lock.
func (ow *Owner) removeWorker(wc *workerConn) {
	name := wc.vm.Name
	delete(ow.conns, name)
	wc.moving = true
	if wc.link == nil {
		ow.removed[name] = removedWorker{epoch: wc.epoch, leaseEnd: wc.leaseEnd}
	}
	ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: name, Lost: true}})
	for id, tk := range ow.tasks {
		if tk.worker == name {
			delete(ow.tasks, id)
		}
	}
	link := wc.link
	if link == nil {
		wc.cancel()
		ow.endMissingLookups(name, nil)
		return
	}
	go ow.drainLookups(wc, link)
}

// drainLookups waits for the lookups in flight on a worker that moves to another owner.
func (ow *Owner) drainLookups(wc *workerConn, link *worker.Link) {
	const pause = 20 * time.Millisecond
	deadline := ow.Clock.Now().Add(ow.opts.DrainTimeout)
	for ow.Clock.Now().Before(deadline) && ow.ctx.Err() == nil && ow.inFlight(wc.vm.Name) {
		ow.Clock.Sleep(pause)
	}
	wc.cancel()
	link.Detach()
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.conns[wc.vm.Name] == nil {
		ow.endMissingLookups(wc.vm.Name, nil)
	}
}

// inFlight reports whether the worker has not answered all lookups sent to it.
func (ow *Owner) inFlight(name string) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, lk := range ow.lookups {
		if lk.worker == name {
			return true
		}
	}
	return false
}

// PendingLookups returns the number of lookups that this owner has not answered.
func (ow *Owner) PendingLookups() int {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return len(ow.lookups)
}

func isLookup(id string) bool { return strings.HasPrefix(id, lookupPrefix) }
