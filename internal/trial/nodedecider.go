package trial

import (
	"hash/fnv"
	"time"

	"tackbeam.example/policy/backoff"
	"tackbeam.example/policy/home"
	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/trace"
)

// Periods and limits, equal to those of a node.
const (
	capacityInterval   = 500 * time.Millisecond
	heartbeatInterval  = time.Second
	holdTTL            = 8 * time.Second
	reservePause       = 100 * time.Millisecond
	maxConcurrentTries = 64
)

var startBackoff = backoff.Backoff{Initial: 25 * time.Millisecond, Max: time.Second}

// variant is a configuration of a node's decisions.
type variant struct {
	home   home.Rules
	limits owner.Limits
	// backoff retries a job that could not be placed after a delay, whether or not resources have become free.
	backoff bool
}

// nodeDecider decides as nodes do, with one home and several owners of which each has a part of the racks. The home
// knows the current summary of the first owner, and the summaries that the others sent last.
type nodeDecider struct {
	sim         *simulation
	variant     variant
	home        *home.Machine
	owners      []*owner.Machine
	summaries   []ledger.Summary
	ownerOf     map[string]int // worker to index of its owner
	held        map[string]map[int][]owner.Place
	reserving   map[string]bool
	largest     home.Capacity
	heartbeatAt time.Duration
	capacityAt  time.Duration
}

func newNodeDecider(sim *simulation, vr variant) decider {
	nd := &nodeDecider{
		sim: sim, variant: vr, home: home.New(maxConcurrentTries, vr.home), ownerOf: map[string]int{},
		held: map[string]map[int][]owner.Place{}, reserving: map[string]bool{},
		capacityAt: -capacityInterval, heartbeatAt: -heartbeatInterval,
	}
	for range max(1, sim.trace.Header().Owners) {
		nd.owners = append(nd.owners, owner.New(vr.limits))
	}
	nd.summaries = make([]ledger.Summary, len(nd.owners))
	return decider{
		workerUp: nd.workerUp, workerGone: nd.workerGone, limits: nd.limits, submit: nd.submit,
		cancel: nd.remove, requeue: nd.requeue, taskEnded: nd.taskEnded, removed: nd.remove,
		submitLookup: nd.submitLookup, lookupDone: nd.lookupDone, tick: nd.tick,
	}
}

// homeStep feeds an event to the home and executes its decisions.
func (nd *nodeDecider) homeStep(ev home.Event) {
	ev.At = nd.sim.now
	startedAt := time.Now()
	acts := nd.home.Step(ev)
	nd.sim.metrics.recordDecision(time.Since(startedAt), ev.Tick == nil)
	for _, act := range acts {
		if act.Try != nil {
			nd.place(act.Try)
		}
	}
}

// ownerStep feeds an event to an owner and executes its decisions on lookups and preempted tasks. The caller handles
// the other returned actions.
func (nd *nodeDecider) ownerStep(at int, ev owner.Event) []owner.Action {
	ev.At = nd.sim.now
	startedAt := time.Now()
	acts := nd.owners[at].Step(ev)
	nd.sim.metrics.recordDecision(time.Since(startedAt), ev.Tick == nil)
	for _, act := range acts {
		switch {
		case act.Dispatch != nil:
			nd.sim.send(nd.sim.lookups[act.Dispatch.ID], act.Dispatch.Worker)
		case act.Refuse != nil:
			nd.sim.shed(nd.sim.lookups[act.Refuse.ID])
		case act.Preempt != nil:
			nd.sim.stop(act.Preempt.Task)
		}
	}
	return acts
}

// workerUp assigns a worker to the owner of its rack.
func (nd *nodeDecider) workerUp(wk ledger.Worker) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(wk.Hall + wk.Rack)) // never fails
	at := int(hash.Sum32()) % len(nd.owners)
	nd.ownerOf[wk.Name] = at
	nd.ownerStep(at, owner.Event{WorkerUp: &owner.WorkerUp{Worker: wk}})
}

func (nd *nodeDecider) workerGone(name string, lost bool) {
	nd.ownerStep(nd.ownerOf[name], owner.Event{WorkerGone: &owner.WorkerGone{Worker: name, Lost: lost}})
}

func (nd *nodeDecider) limits(lm trace.Limits) {
	nd.homeStep(home.Event{Limits: &home.Limits{Workspace: lm.Workspace, Weight: lm.Weight, Running: lm.Running}})
}

// tick advances the time of owners and home, and reports the cluster's capacity to the home periodically.
func (nd *nodeDecider) tick() {
	for at := range nd.owners {
		nd.ownerStep(at, owner.Event{Tick: &owner.Tick{}})
	}
	if nd.sim.now-nd.heartbeatAt >= heartbeatInterval {
		nd.heartbeatAt = nd.sim.now
		for at, mc := range nd.owners {
			nd.summaries[at] = mc.Ledger().Summary()
		}
	}
	if nd.sim.now-nd.capacityAt >= capacityInterval {
		nd.capacityAt = nd.sim.now
		nd.reportCapacity()
	}
	nd.homeStep(home.Event{Tick: &home.Tick{}})
}

func (nd *nodeDecider) reportCapacity() {
	for at, su := range nd.summaries {
		if at == 0 || su.Workers == 0 {
			nd.summaries[at] = nd.owners[at].Ledger().Summary()
		}
	}
	now := home.Capacity{}
	for _, su := range nd.summaries {
		now.Total = now.Total.Add(su.Capacity)
		now.Free = now.Free.Add(su.Free)
		now.Largest = now.Largest.Max(su.LargestCapacity)
	}
	nd.largest.Total, nd.largest.Largest = nd.largest.Total.Max(now.Total), nd.largest.Largest.Max(now.Largest)
	now.Total, now.Largest = nd.largest.Total, nd.largest.Largest
	nd.homeStep(home.Event{Capacity: &now})
}

// submit queues a job, or returns why it can never run.
func (nd *nodeDecider) submit(jb *job) string {
	if nd.largest.Total.IsZero() {
		nd.reportCapacity()
	}
	sb := nd.submitEvent(jb)
	if reason := nd.home.Infeasible(*sb); reason != "" {
		return reason
	}
	nd.homeStep(home.Event{Submit: sb})
	return ""
}

func (nd *nodeDecider) submitEvent(jb *job) *home.Submit {
	sb := &home.Submit{
		Job: jb.ID, Workspace: jb.Workspace, Workload: jb.Workload, Tasks: jb.Tasks, Size: jb.Size,
		Priority: jb.Priority, Urgent: jb.Priority >= column.MaxPriority, Waited: nd.sim.now - jb.submitted,
	}
	if jb.Deadline > 0 {
		sb.Deadline = jb.submitted + jb.Deadline
	}
	return sb
}

// requeue queues a job retryAt after an attempt.
func (nd *nodeDecider) requeue(jb *job) {
	nd.homeStep(home.Event{Remove: &home.Remove{Job: jb.ID}})
	sb := nd.submitEvent(jb)
	sb.RetryAt = nd.sim.now + startBackoff.Delay(jb.attempt)
	nd.homeStep(home.Event{Submit: sb})
}

// remove removes a job that has ended or was cancelled.
func (nd *nodeDecider) remove(jb *job) {
	nd.release(jb)
	nd.homeStep(home.Event{Remove: &home.Remove{Job: jb.ID}})
}

func (nd *nodeDecider) taskEnded(jb *job, task, worker string, fails bool) {
	nd.ownerStep(nd.ownerOf[worker], owner.Event{Ended: &owner.Ended{Task: task, Failed: fails, Succeeded: !fails}})
	nd.homeStep(home.Event{TaskEnded: &home.TaskEnded{Job: jb.ID, OK: !fails}})
}

// submitLookup sends a lookup to the owner with the most free slots.
func (nd *nodeDecider) submitLookup(lk *lookup) {
	best, maxFree := 0, -1<<30
	for at, mc := range nd.owners {
		if free := mc.Ledger().Load().FreeSlots - mc.Waiting(); free > maxFree {
			best, maxFree = at, free
		}
	}
	nd.ownerStep(best, owner.Event{Lookup: &owner.Lookup{
		ID: lk.id, Workspace: lk.workspace, Weight: 1, Deadline: lk.deadline,
	}})
}

func (nd *nodeDecider) lookupDone(lk *lookup, fails bool) {
	nd.ownerStep(nd.ownerOf[lk.worker], owner.Event{LookupDone: &owner.LookupDone{ID: lk.id, Latency: lk.run, Failed: fails}})
}
