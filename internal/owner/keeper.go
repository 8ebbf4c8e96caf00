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

// lookupPrefix marks the ids of lookups in ledgers and inventories.
const lookupPrefix = "lookup-"

// keeper keeps this owner attached to one worker.
type keeper struct {
	vm     vmsmsg.VM
	rack   string
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc

	link *worker.Link
	// since is when the link was made, or lost, or first sought.
	since time.Time
	// leaseEnd is the latest end of the lease that this owner has renewed, or, of
	// a worker never reached, the latest end of a former owner's.
	leaseEnd time.Time
	leaving  bool
	moving   bool
	used     size.Size
	// plain is set for a worker without fencing or inventory.
	plain bool
	// machine is the worker's incarnation when it was last attached.
	machine string
}

// keep starts a keeper. The caller holds the lock.
func (ow *Owner) keep(vm vmsmsg.VM, rack string, epoch uint64) {
	now := ow.Clock.Now()
	kp := &keeper{vm: vm, rack: rack, epoch: epoch, since: now, leaseEnd: now.Add(ow.opts.Lease)}
	kp.ctx, kp.cancel = context.WithCancel(ow.ctx)
	ow.keepers[vm.Name] = kp
	ow.wg.Go(func() {
		ow.keepLoop(kp)
	})
}

// keepLoop attaches, waits until the link is lost, and attaches again.
func (ow *Owner) keepLoop(kp *keeper) {
	fails := 0
	for kp.ctx.Err() == nil {
		if !ow.waitOut(kp) {
			return
		}
		lost, err := ow.attach(kp)
		if err == nil {
			fails = 0
			select {
			case <-kp.ctx.Done():
				return
			case <-lost:
			}
		} else if fails++; fails == 1 || fault.Is(err, fault.Conflict) {
			ow.Log.V(1).Info("Worker cannot be attached.", "worker", kp.vm.Name, "cause", err.Error())
		}
		loop.Pause(kp.ctx, ow.Clock, store.Backoff(fails))
	}
}

// waitOut waits, before a worker without fencing or inventory is attached, until
// whatever its former owner or link started there has surely ended.
func (ow *Owner) waitOut(kp *keeper) bool {
	ow.mu.Lock()
	wait := kp.leaseEnd.Add(ow.opts.Guard).Sub(ow.Clock.Now())
	plain := kp.plain
	ow.mu.Unlock()
	if !plain || wait <= 0 {
		return true
	}
	ow.Meter.Count(CounterWaited, 1)
	return loop.Pause(kp.ctx, ow.Clock, wait)
}

// CounterWaited counts the times that a worker without fencing or inventory was
// left idle until its lease had surely run out.
const CounterWaited = "workers_waited_out"

// mustWait reports whether a worker that has just been attached has to be let
// go and waited out first.
func (ow *Owner) mustWait(kp *keeper, link *worker.Link) bool {
	if link.Can(workermsg.Fencing) && link.Can(workermsg.Inventory) {
		return false
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	kp.plain = true
	return ow.Clock.Now().Before(kp.leaseEnd.Add(ow.opts.Guard))
}

// attach takes the worker's lease and brings the ledger to what runs there.
func (ow *Owner) attach(kp *keeper) (<-chan struct{}, error) {
	const patience = 5 * time.Second
	if ow.cutOff(kp) {
		return nil, fault.New(fault.Stale, "this node is cut off and takes no worker")
	}
	ctx, cancel := context.WithTimeout(kp.ctx, patience)
	defer cancel()
	lost := make(chan struct{})
	ready := make(chan struct{})
	var link *worker.Link
	link, err := worker.New(ctx, ow.Clock, worker.Options{
		Name: kp.vm.Name, Addr: kp.vm.Addr, Owner: ow.opts.Name, Epoch: kp.epoch, Dial: ow.opts.Dial,
	}, worker.Events{
		Ended:    func(en workermsg.Ended) { <-ready; ow.onEnded(kp, en) },
		Answered: func(an workermsg.Answer) { <-ready; ow.onAnswer(kp, an) },
		Beat:     func(bt workermsg.Beat) { <-ready; ow.onBeat(kp, link, bt) },
		Leaving:  func() { <-ready; ow.onLeaving(kp) },
		Lost:     func(cause error) { <-ready; ow.onLost(kp, link, cause); close(lost) },
	})
	if err != nil {
		return nil, err
	}
	if lease := link.Hello().Lease; lease > ow.opts.Lease {
		close(ready)
		link.Close()
		return nil, fault.New(fault.Conflict, "worker %s has a lease of %v, over setting owner.lease", kp.vm.Name, lease)
	}
	if ow.mustWait(kp, link) {
		close(ready)
		link.Close()
		return nil, fault.New(fault.Unavailable, "worker %s cannot fence, its lease is waited out", kp.vm.Name)
	}
	ow.mu.Lock()
	ow.up(kp, link)
	ow.mu.Unlock()
	close(ready)
	return lost, nil
}

// up feeds a worker's inventory to the machine. The caller holds the lock.
func (ow *Owner) up(kp *keeper, link *worker.Link) {
	he := link.Hello()
	kp.link = link
	kp.machine = he.Incarnation
	kp.since = ow.Clock.Now()
	kp.leaseEnd = link.BeatAt().Add(he.Lease)
	kp.leaving = he.Leaving
	up := policy.WorkerUp{Worker: workerOf(kp.vm, he)}
	running := map[string]bool{}
	for _, tr := range he.Tasks {
		ow.noteTask(kp, tr)
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
	ow.settleLookups(kp.vm.Name, running) // before the worker gets new ones
	ow.step(policy.Event{WorkerUp: &up})
	vm, listed := ow.vms[kp.vm.Name]
	if he.Leaving || kp.moving || listed && vm.Leaving {
		ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: kp.vm.Name}})
	}
	ow.Log.V(1).Info("Worker attached.", "worker", kp.vm.Name, "epoch", kp.epoch, "tasks", len(up.Running))
}

func (ow *Owner) onBeat(kp *keeper, link *worker.Link, bt workermsg.Beat) {
	ow.mu.Lock()
	kp.leaseEnd = link.BeatAt().Add(link.Hello().Lease)
	kp.used = size.Size{}
	for _, us := range bt.Usage {
		kp.used = kp.used.Add(us.Size)
	}
	ow.mu.Unlock()
	if ow.cutOff(kp) {
		ow.Log.Info("Node is cut off and lets a worker's lease run out.", "worker", kp.vm.Name)
		link.Close()
	}
}

// cutOff reports whether others may have taken this node out without its knowledge,
// so that a worker's lease must run out. Workers that fence refuse an owner that was
// taken out; theirs runs out only when neither the store nor any node was heard for
// long. For the others it is enough that one member was not, and the store was not.
func (ow *Owner) cutOff(kp *keeper) bool {
	selfFence := ow.opts.Guard * 2 / 3 // the rest is for the drift of clocks
	ow.mu.Lock()
	plain := kp.plain
	ow.mu.Unlock()
	if plain {
		return ow.Clock.Since(ow.Member.MembershipConfirmedAt()) > selfFence
	}
	return ow.Member.Isolated() && ow.Clock.Since(ow.Member.LastContact()) > selfFence
}

func (ow *Owner) onLeaving(kp *keeper) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	kp.leaving = true
	ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: kp.vm.Name}})
	ow.Log.Info("Worker is leaving.", "worker", kp.vm.Name)
}

// onLost stops new work on a worker whose link has ended. What it runs stays in
// the ledger until its inventory, or the end of its lease, tells.
func (ow *Owner) onLost(kp *keeper, link *worker.Link, cause error) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if kp.link != link {
		return
	}
	kp.link = nil
	kp.since = ow.Clock.Now()
	sent, received := link.Traffic()
	ow.pastSent += sent
	ow.pastReceived += received
	if ow.keepers[kp.vm.Name] == kp {
		ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: kp.vm.Name}})
	}
	if kp.ctx.Err() == nil {
		go ow.refresh() // the list may have another machine by the name
		ow.Log.V(1).Info("Worker's link was lost.", "worker", kp.vm.Name, "cause", cause.Error())
	}
}

// dropSilent ends the links of workers whose lease has run out without a word. A
// machine without power closes no connection, and nothing else would notice.
func (ow *Owner) dropSilent() {
	var silent []*worker.Link
	ow.mu.Lock()
	for _, kp := range ow.keepers {
		if kp.link != nil && kp.link.Lapsed() {
			silent = append(silent, kp.link)
		}
	}
	ow.mu.Unlock()
	for _, link := range silent {
		link.Close()
	}
}

// letGo gives a worker up: its rack has another owner, or it has gone. Lookups
// in flight keep the link for a while. The caller holds the lock.
func (ow *Owner) letGo(kp *keeper) {
	name := kp.vm.Name
	delete(ow.keepers, name)
	kp.moving = true
	if kp.link == nil {
		ow.gone[name] = goneWorker{epoch: kp.epoch, leaseEnd: kp.leaseEnd}
	}
	ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: name, Lost: true}})
	for id, tk := range ow.tasks {
		if tk.worker == name {
			delete(ow.tasks, id)
		}
	}
	link := kp.link
	if link == nil {
		kp.cancel()
		ow.settleLookups(name, nil)
		return
	}
	go ow.seeOut(kp, link)
}

// seeOut waits for the lookups in flight on a worker that moves away.
func (ow *Owner) seeOut(kp *keeper, link *worker.Link) {
	const pause = 20 * time.Millisecond
	deadline := ow.Clock.Now().Add(ow.opts.Drain)
	for ow.Clock.Now().Before(deadline) && ow.ctx.Err() == nil && ow.inFlight(kp.vm.Name) {
		ow.Clock.Sleep(pause)
	}
	kp.cancel()
	link.Detach()
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.keepers[kp.vm.Name] == nil {
		ow.settleLookups(kp.vm.Name, nil)
	}
}

// inFlight reports whether lookups sent to the worker are unanswered.
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

// Busy returns the number of lookups that this owner has not answered.
func (ow *Owner) Busy() int {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return len(ow.lookups)
}

func isLookup(id string) bool { return strings.HasPrefix(id, lookupPrefix) }
