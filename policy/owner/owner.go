// Package owner decides for the workers of one node: which worker a lookup
// goes to, which room a hold gets, what waits and what is refused.
//
// The machine is a step function. It reads no clock and starts no goroutine:
// equal events give equal actions.
package owner

import (
	"slices"
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// Limits of the machine that settings may change.
type Limits struct {
	// Queue is the number of lookups that may wait.
	Queue int `json:"queue"`
	// Candidates is the number of workers compared for one lookup.
	Candidates int `json:"candidates"`
	// Backfill lets short tasks use workers that are kept free for a gang.
	Backfill bool `json:"backfill"`
}

// DefaultLimits suit fifty workers of eight slots.
func DefaultLimits() Limits { return Limits{Queue: 512, Candidates: 4, Backfill: true} }

// Machine is the decision state of one owner. It is not safe for concurrent use.
type Machine struct {
	limits  Limits
	ledger  *ledger.Ledger
	queues  map[string]*queue
	waiting int
	sizes   map[string]size.Size
	holds   map[string]*hold
	// starting are the tasks that may not have reached their worker yet.
	starting map[string]bool
	// running are the committed tasks and what may be done to them.
	running map[string]*running
	health  map[string]*health
	started int
	service time.Duration
	active  int
}

// queue is the waiting lookups of one workspace, first come first.
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

// Ledger returns the account that the machine decides by, for reading.
func (mc *Machine) Ledger() *ledger.Ledger { return mc.ledger }

// Waiting returns the number of lookups that wait for a slot.
func (mc *Machine) Waiting() int { return mc.waiting }

// NeedsTick reports whether something happens by itself as time passes: a hold
// expires, a waiting lookup is late, or a worker's rest ends.
func (mc *Machine) NeedsTick() bool {
	return len(mc.holds) > 0 || mc.waiting > 0 || mc.ledger.Quarantined() > 0
}

// Step takes one event and returns the decisions that follow from it.
func (mc *Machine) Step(ev Event) []Action {
	switch {
	case ev.WorkerUp != nil:
		return mc.workerUp(ev.At, ev.WorkerUp)
	case ev.WorkerGone != nil:
		return mc.workerGone(ev.At, ev.WorkerGone)
	case ev.Lookup != nil:
		return mc.arrive(ev.At, *ev.Lookup)
	case ev.LookupDone != nil:
		return mc.done(ev.At, ev.LookupDone)
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
			mc.result(ev.At, worker, ev.Ended.Failed)
		}
		return mc.drain(ev.At, nil)
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
			mc.runs(rn, up.Worker.Name, 0)
		}
	}
	for _, hd := range mc.holds {
		for _, pl := range hd.places {
			keep[pl.Task] = true
		}
	}
	gone := mc.ledger.Reconcile(up.Worker.Name, func(id string) bool { return keep[id] || mc.starting[id] })
	mc.forget(gone)
	return mc.drain(now, nil)
}

func (mc *Machine) workerGone(now time.Duration, gone *WorkerGone) []Action {
	if !gone.Lost {
		mc.ledger.Leave(gone.Worker)
		return mc.refuseAll()
	}
	mc.forget(mc.ledger.Remove(gone.Worker))
	delete(mc.health, gone.Worker)
	return mc.drain(now, mc.refuseAll())
}

// refuseAll empties the queues once no worker takes anything, so that callers
// can turn to another owner at once.
func (mc *Machine) refuseAll() []Action {
	if mc.waiting == 0 || mc.ledger.Load().Workers > 0 {
		return nil
	}
	var ids []string
	for _, qu := range mc.queues {
		for _, ar := range qu.items {
			ids = append(ids, ar.ID)
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

// arrive sends a lookup at once, lets it wait, or refuses it.
func (mc *Machine) arrive(now time.Duration, ar Lookup) []Action {
	if ar.Deadline <= now {
		return []Action{refuse(ar.ID, ReasonDeadline, 0)}
	}
	if mc.ledger.Load().Workers == 0 {
		return []Action{refuse(ar.ID, ReasonEmpty, 0)}
	}
	if mc.waiting == 0 {
		if worker, ok := mc.take(ar); ok {
			return []Action{{Dispatch: &Dispatch{ID: ar.ID, Worker: worker}}}
		}
	}
	if mc.waiting >= mc.limits.Queue {
		return []Action{refuse(ar.ID, ReasonFull, mc.wait(mc.waiting))}
	}
	if wait := mc.wait(mc.waiting); now+wait >= ar.Deadline {
		return []Action{refuse(ar.ID, ReasonFull, wait)}
	}
	mc.enqueue(ar)
	return nil
}

func refuse(id string, why Reason, after time.Duration) Action {
	return Action{Refuse: &Refuse{ID: id, Reason: why, RetryAfter: after}}
}

// take commits room for a lookup on the least loaded candidate.
func (mc *Machine) take(ar Lookup) (string, bool) {
	worker, ok := mc.ledger.LeastLoaded(ar.Size, mc.limits.Candidates)
	if !ok || !mc.ledger.Take(worker, ar.ID, ar.Size, 1) {
		return "", false
	}
	mc.active++
	mc.sizes[ar.ID] = ar.Size
	return worker, true
}

// wait estimates how long n lookups ahead take to be served.
func (mc *Machine) wait(n int) time.Duration {
	if mc.active == 0 || mc.service == 0 {
		return 0
	}
	return mc.service * time.Duration(n+1) / time.Duration(mc.active)
}

func (mc *Machine) enqueue(ar Lookup) {
	qu, ok := mc.queues[ar.Workspace]
	if !ok {
		qu = &queue{served: mc.floor()}
		mc.queues[ar.Workspace] = qu
	}
	qu.weight = max(ar.Weight, minimumWeight)
	qu.items = append(qu.items, ar)
	mc.waiting++
}

// minimumWeight keeps a workspace of weight zero from dividing by zero.
const minimumWeight = 0.001

// floor is the service that a workspace new to the queues starts with, so that
// it gets its share from now on and nothing for the past.
func (mc *Machine) floor() float64 {
	low, found := 0.0, false
	for _, qu := range mc.queues {
		if !found || qu.served < low {
			low, found = qu.served, true
		}
	}
	return low
}

// next returns the workspace that is furthest behind its weighted share.
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

// drain sends waiting lookups for as long as there are free slots.
func (mc *Machine) drain(now time.Duration, acts []Action) []Action {
	for mc.waiting > 0 {
		name := mc.next()
		qu := mc.queues[name]
		ar := qu.items[0]
		if ar.Deadline <= now {
			mc.pop(name)
			acts = append(acts, refuse(ar.ID, ReasonDeadline, mc.wait(mc.waiting)))
			continue
		}
		worker, ok := mc.take(ar)
		if !ok {
			return acts
		}
		qu.served += 1 / qu.weight
		mc.pop(name)
		acts = append(acts, Action{Dispatch: &Dispatch{ID: ar.ID, Worker: worker}})
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

func (mc *Machine) done(now time.Duration, dn *LookupDone) []Action {
	if _, ok := mc.sizes[dn.ID]; !ok {
		mc.withdraw(dn.ID)
		return nil
	}
	delete(mc.sizes, dn.ID)
	mc.active--
	if worker, ok := mc.ledger.Release(dn.ID); ok && dn.Latency > 0 {
		mc.ledger.Observe(worker, dn.Latency)
		mc.observe(dn.Latency)
		mc.result(now, worker, dn.Failed)
	}
	return mc.drain(now, nil)
}

// observe folds one latency into the mean service time of this owner.
func (mc *Machine) observe(latency time.Duration) {
	const weight = 16
	mc.service += (latency - mc.service) / weight
}

// withdraw takes a lookup whose caller has gone out of its queue.
func (mc *Machine) withdraw(id string) {
	for name, qu := range mc.queues {
		at := slices.IndexFunc(qu.items, func(ar Lookup) bool { return ar.ID == id })
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
		mc.giveBack(mc.holds[id])
		delete(mc.holds, id)
		acts = append(acts, Action{Expired: &Expired{ID: id}})
	}
	mc.wake(now)
	acts = mc.overdue(now, acts)
	return mc.drain(now, acts)
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

// overdue refuses the waiting lookups whose deadline has passed.
func (mc *Machine) overdue(now time.Duration, acts []Action) []Action {
	if mc.waiting == 0 {
		return acts
	}
	var late []string
	for name, qu := range mc.queues {
		qu.items = slices.DeleteFunc(qu.items, func(ar Lookup) bool {
			if ar.Deadline > now {
				return false
			}
			late = append(late, ar.ID)
			mc.waiting--
			return true
		})
		if len(qu.items) == 0 {
			delete(mc.queues, name)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		acts = append(acts, refuse(id, ReasonDeadline, mc.wait(mc.waiting)))
	}
	return acts
}
