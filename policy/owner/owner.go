// Package owner makes the decisions for the workers of one node: which worker runs a lookup, which resources a hold
// gets, what waits and what is refused.
//
// It is a deterministic state machine that reads no clock and starts no goroutine: the same events always give the
// same actions.
package owner

import (
	"slices"
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// Limits are the configurable limits of the machine.
type Limits struct {
	// Queue is the maximum number of waiting lookups.
	Queue int `json:"queue"`
	// Candidates is the number of workers compared for one lookup.
	Candidates int `json:"candidates"`
	// Backfill lets short tasks use workers that are reserved for a gang.
	Backfill bool `json:"backfill"`
}

// DefaultLimits returns limits for about fifty workers with eight slots each.
func DefaultLimits() Limits { return Limits{Queue: 512, Candidates: 4, Backfill: true} }

// Machine is the state of one owner. It is not safe for concurrent use.
type Machine struct {
	limits  Limits
	ledger  *ledger.Ledger
	queues  map[string]*queue
	waiting int
	sizes   map[string]size.Size
	holds   map[string]*hold
	// starting are the committed tasks whose start has not been answered yet.
	starting map[string]bool
	// running are the committed tasks, with what is needed to preempt them.
	running map[string]*running
	health  map[string]*health
	// started counts the tasks added to running, to order them.
	started int
	// service is the moving average of the latencies of lookups.
	service time.Duration
	// active is the number of lookups that are assigned to workers.
	active int
}

// queue holds the waiting lookups of one workspace in the order of arrival.
type queue struct {
	weight float64
	served float64
	items  []Lookup
}

// New returns a machine without workers.
func New(lim Limits) *Machine {
	return &Machine{
		limits:   lim,
		ledger:   ledger.New(),
		queues:   map[string]*queue{},
		holds:    map[string]*hold{},
		starting: map[string]bool{},
		running:  map[string]*running{},
		health:   map[string]*health{},
		sizes:    map[string]size.Size{},
	}
}

// Ledger returns the ledger of the machine's workers, for reading only.
func (mc *Machine) Ledger() *ledger.Ledger { return mc.ledger }

// Waiting returns the number of waiting lookups.
func (mc *Machine) Waiting() int { return mc.waiting }

// NeedsTick reports whether the passing of time alone can change the state: a hold or a waiting lookup can expire, or a
// worker's quarantine can end.
func (mc *Machine) NeedsTick() bool {
	return len(mc.holds) > 0 || mc.waiting > 0 || mc.ledger.Quarantined() > 0
}

// Step processes one event and returns the resulting actions.
func (mc *Machine) Step(ev Event) []Action {
	switch {
	case ev.WorkerUp != nil:
		return mc.workerUp(ev.At, ev.WorkerUp)
	case ev.WorkerGone != nil:
		return mc.workerGone(ev.At, ev.WorkerGone)
	case ev.Lookup != nil:
		return mc.lookup(ev.At, *ev.Lookup)
	case ev.LookupDone != nil:
		return mc.lookupDone(ev.At, ev.LookupDone)
	case ev.Hold != nil:
		return mc.hold(ev.At, ev.Hold)
	case ev.Commit != nil:
		return mc.commit(ev.At, ev.Commit)
	case ev.Release != nil:
		return mc.release(ev.At, ev.Release)
	case ev.Started != nil:
		delete(mc.starting, ev.Started.Task)
	case ev.Ended != nil:
		delete(mc.starting, ev.Ended.Task)
		delete(mc.running, ev.Ended.Task)
		worker, ok := mc.ledger.Release(ev.Ended.Task)
		if ok && (ev.Ended.Failed || ev.Ended.Succeeded) {
			mc.recordResult(ev.At, worker, ev.Ended.Failed)
		}
		return mc.dispatchWaiting(ev.At, nil)
	case ev.Tick != nil:
		return mc.tick(ev.At)
	}
	return nil
}

func (mc *Machine) workerUp(now time.Duration, up *WorkerUp) []Action {
	mc.ledger.Put(up.Worker)
	keep := map[string]bool{}
	for _, rn := range up.Running {
		keep[rn.ID] = true
		mc.ledger.Restore(up.Worker.Name, rn.ID, rn.Size, rn.Slots)
		if rn.Slots == 0 {
			mc.addRunning(rn, up.Worker.Name, 0)
		}
	}
	for _, hd := range mc.holds {
		for _, pl := range hd.places {
			keep[pl.Task] = true
		}
	}
	released := mc.ledger.Reconcile(up.Worker.Name, func(id string) bool { return keep[id] || mc.starting[id] })
	mc.removeRunning(released)
	return mc.dispatchWaiting(now, nil)
}

func (mc *Machine) workerGone(now time.Duration, gone *WorkerGone) []Action {
	if !gone.Lost {
		mc.ledger.Leave(gone.Worker)
		return mc.refuseAll()
	}
	mc.removeRunning(mc.ledger.Remove(gone.Worker))
	delete(mc.health, gone.Worker)
	return mc.dispatchWaiting(now, mc.refuseAll())
}

// refuseAll empties the queues if no worker accepts work, so that callers can try another owner immediately.
func (mc *Machine) refuseAll() []Action {
	if mc.waiting == 0 || mc.ledger.Load().Workers > 0 {
		return nil
	}
	var ids []string
	for _, qu := range mc.queues {
		for _, lk := range qu.items {
			ids = append(ids, lk.ID)
		}
	}
	slices.Sort(ids)
	mc.queues = map[string]*queue{}
	mc.waiting = 0
	var acts []Action
	for _, id := range ids {
		acts = append(acts, refuse(id, ReasonEmpty, 0))
	}
	return acts
}

// lookup dispatches a lookup, queues it or refuses it.
func (mc *Machine) lookup(now time.Duration, lk Lookup) []Action {
	if lk.Deadline <= now {
		return []Action{refuse(lk.ID, ReasonDeadline, 0)}
	}
	if mc.ledger.Load().Workers == 0 {
		return []Action{refuse(lk.ID, ReasonEmpty, 0)}
	}
	if mc.waiting == 0 {
		if worker, ok := mc.assign(lk); ok {
			return []Action{{Dispatch: &Dispatch{ID: lk.ID, Worker: worker}}}
		}
	}
	if mc.waiting >= mc.limits.Queue {
		return []Action{refuse(lk.ID, ReasonFull, mc.wait(mc.waiting))}
	}
	if wait := mc.wait(mc.waiting); now+wait >= lk.Deadline {
		return []Action{refuse(lk.ID, ReasonFull, wait)}
	}
	mc.enqueue(lk)
	return nil
}

func refuse(id string, why Reason, after time.Duration) Action {
	return Action{Refuse: &Refuse{ID: id, Reason: why, RetryAfter: after}}
}

// assign commits resources for a lookup on the least loaded candidate.
func (mc *Machine) assign(lk Lookup) (string, bool) {
	worker, ok := mc.ledger.LeastLoaded(lk.Size, mc.limits.Candidates)
	if !ok || !mc.ledger.Take(worker, lk.ID, lk.Size, 1) {
		return "", false
	}
	mc.active++
	mc.sizes[lk.ID] = lk.Size
	return worker, true
}

// wait estimates how long a lookup behind n others waits.
func (mc *Machine) wait(n int) time.Duration {
	if mc.active == 0 || mc.service == 0 {
		return 0
	}
	return mc.service * time.Duration(n+1) / time.Duration(mc.active)
}

func (mc *Machine) enqueue(lk Lookup) {
	qu, ok := mc.queues[lk.Workspace]
	if !ok {
		qu = &queue{served: mc.minServed()}
		mc.queues[lk.Workspace] = qu
	}
	qu.weight = max(lk.Weight, minimumWeight)
	qu.items = append(qu.items, lk)
	mc.waiting++
}

// minimumWeight prevents a division by zero for a workspace of weight zero.
const minimumWeight = 0.001

// minServed returns the least service of the queued workspaces. A workspace that is new to the queues starts with it,
// so that it gets its share from now on, without credit for the past.
func (mc *Machine) minServed() float64 {
	least, found := 0.0, false
	for _, qu := range mc.queues {
		if !found || qu.served < least {
			least, found = qu.served, true
		}
	}
	return least
}

// next returns the workspace with the least weighted service.
func (mc *Machine) next() string {
	best := ""
	for name, qu := range mc.queues {
		if best == "" || qu.before(mc.queues[best], name < best) {
			best = name
		}
	}
	return best
}

func (qu *queue) before(other *queue, tie bool) bool {
	if qu.served != other.served {
		return qu.served < other.served
	}
	return tie
}

// dispatchWaiting dispatches waiting lookups while there are free slots.
func (mc *Machine) dispatchWaiting(now time.Duration, acts []Action) []Action {
	for mc.waiting > 0 {
		name := mc.next()
		qu := mc.queues[name]
		lk := qu.items[0]
		if lk.Deadline <= now {
			mc.pop(name)
			acts = append(acts, refuse(lk.ID, ReasonDeadline, mc.wait(mc.waiting)))
			continue
		}
		worker, ok := mc.assign(lk)
		if !ok {
			return acts
		}
		qu.served += 1 / qu.weight
		mc.pop(name)
		acts = append(acts, Action{Dispatch: &Dispatch{ID: lk.ID, Worker: worker}})
	}
	return acts
}

func (mc *Machine) pop(name string) {
	qu := mc.queues[name]
	qu.items = qu.items[1:]
	mc.waiting--
	if len(qu.items) == 0 {
		delete(mc.queues, name)
	}
}

func (mc *Machine) lookupDone(now time.Duration, dn *LookupDone) []Action {
	if _, ok := mc.sizes[dn.ID]; !ok {
		mc.removeWaiting(dn.ID)
		return nil
	}
	delete(mc.sizes, dn.ID)
	mc.active--
	if worker, ok := mc.ledger.Release(dn.ID); ok && dn.Latency > 0 {
		mc.ledger.Observe(worker, dn.Latency)
		mc.observe(dn.Latency)
		mc.recordResult(now, worker, dn.Failed)
	}
	return mc.dispatchWaiting(now, nil)
}

// observe adds one latency to the moving average of this owner's service time.
func (mc *Machine) observe(latency time.Duration) {
	const weight = 16
	mc.service += (latency - mc.service) / weight
}

// removeWaiting removes from its queue a lookup whose caller no longer waits.
func (mc *Machine) removeWaiting(id string) {
	for name, qu := range mc.queues {
		at := slices.IndexFunc(qu.items, func(lk Lookup) bool { return lk.ID == id })
		if at < 0 {
			continue
		}
		qu.items = slices.Delete(qu.items, at, at+1)
		mc.waiting--
		if len(qu.items) == 0 {
			delete(mc.queues, name)
		}
		return
	}
}

func (mc *Machine) tick(now time.Duration) []Action {
	var acts []Action
	for _, id := range mc.expired(now) {
		mc.releasePlaces(mc.holds[id])
		delete(mc.holds, id)
		acts = append(acts, Action{Expired: &Expired{ID: id}})
	}
	mc.endQuarantines(now)
	acts = mc.refuseOverdue(now, acts)
	return mc.dispatchWaiting(now, acts)
}

func (mc *Machine) expired(now time.Duration) []string {
	var ids []string
	for id, hd := range mc.holds {
		if hd.expires <= now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// refuseOverdue refuses the waiting lookups whose deadline has passed.
func (mc *Machine) refuseOverdue(now time.Duration, acts []Action) []Action {
	if mc.waiting == 0 {
		return acts
	}
	var overdue []string
	for name, qu := range mc.queues {
		qu.items = slices.DeleteFunc(qu.items, func(lk Lookup) bool {
			if lk.Deadline > now {
				return false
			}
			overdue = append(overdue, lk.ID)
			mc.waiting--
			return true
		})
		if len(qu.items) == 0 {
			delete(mc.queues, name)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		acts = append(acts, refuse(id, ReasonDeadline, mc.wait(mc.waiting)))
	}
	return acts
}
