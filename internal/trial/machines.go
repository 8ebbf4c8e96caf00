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

// Periods and times as a node has them.
const (
	measureTime  = 500 * time.Millisecond
	beatTime     = time.Second
	holdTime     = 8 * time.Second
	reservePause = 100 * time.Millisecond
	atOnce       = 64
)

var startPause = backoff.Backoff{Initial: 25 * time.Millisecond, Max: time.Second}

// variant is what one policy changes of the decisions.
type variant struct {
	home   home.Rules
	limits owner.Limits
	// backoff lets a job without room try again after a pause, room or no room.
	backoff bool
}

// machines are the decisions of the product: one home, and an owner for each part
// of the racks. The home knows the first owner's room as it is, and the others'
// as they last told it.
type machines struct {
	wo      *world
	variant variant
	home    *home.Machine
	owners  []*owner.Machine
	rooms   []ledger.Summary
	of      map[string]int // the owner of each worker
	held    map[string]map[int][]owner.Place
	keeps   map[string]bool
	largest home.Capacity
	beaten  time.Duration
	told    time.Duration
}

func newMachines(wo *world, vr variant) decider {
	ma := &machines{
		wo: wo, variant: vr, home: home.New(atOnce, vr.home), of: map[string]int{},
		held: map[string]map[int][]owner.Place{}, keeps: map[string]bool{},
		told: -measureTime, beaten: -beatTime,
	}
	for range max(1, wo.trace.Header().Owners) {
		ma.owners = append(ma.owners, owner.New(vr.limits))
	}
	ma.rooms = make([]ledger.Summary, len(ma.owners))
	return decider{
		workerUp: ma.workerUp, workerGone: ma.workerGone, limits: ma.limits, submit: ma.submit,
		cancel: ma.gone, again: ma.again, ended: ma.ended, gone: ma.gone, ask: ma.ask, done: ma.done, tick: ma.tick,
	}
}

// homeStep feeds one event to the home and carries its decisions out.
func (ma *machines) homeStep(ev home.Event) {
	ev.At = ma.wo.now
	began := time.Now()
	acts := ma.home.Step(ev)
	ma.wo.measure.decided(time.Since(began), ev.Tick == nil)
	for _, act := range acts {
		if act.Try != nil {
			ma.try(act.Try)
		}
	}
}

// ownerStep feeds one event to an owner and carries out what concerns lookups and
// tasks that give way.
func (ma *machines) ownerStep(at int, ev owner.Event) []owner.Action {
	ev.At = ma.wo.now
	began := time.Now()
	acts := ma.owners[at].Step(ev)
	ma.wo.measure.decided(time.Since(began), ev.Tick == nil)
	for _, act := range acts {
		switch {
		case act.Dispatch != nil:
			ma.wo.send(ma.wo.lookups[act.Dispatch.ID], act.Dispatch.Worker)
		case act.Refuse != nil:
			ma.wo.shed(ma.wo.lookups[act.Refuse.ID])
		case act.Preempt != nil:
			ma.wo.stop(act.Preempt.Task)
		}
	}
	return acts
}

// workerUp gives a worker to the owner of its rack.
func (ma *machines) workerUp(wk ledger.Worker) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(wk.Hall + wk.Rack)) // a hash takes everything
	at := int(hash.Sum32()) % len(ma.owners)
	ma.of[wk.Name] = at
	ma.ownerStep(at, owner.Event{WorkerUp: &owner.WorkerUp{Worker: wk}})
}

func (ma *machines) workerGone(name string, lost bool) {
	ma.ownerStep(ma.of[name], owner.Event{WorkerGone: &owner.WorkerGone{Worker: name, Lost: lost}})
}

func (ma *machines) limits(lm trace.Limits) {
	ma.homeStep(home.Event{Limits: &home.Limits{Workspace: lm.Workspace, Weight: lm.Weight, Running: lm.Running}})
}

// tick lets time pass and tells the home the room of the cluster.
func (ma *machines) tick() {
	for at := range ma.owners {
		ma.ownerStep(at, owner.Event{Tick: &owner.Tick{}})
	}
	if ma.wo.now-ma.beaten >= beatTime {
		ma.beaten = ma.wo.now
		for at, mc := range ma.owners {
			ma.rooms[at] = mc.Ledger().Summary()
		}
	}
	if ma.wo.now-ma.told >= measureTime {
		ma.told = ma.wo.now
		ma.tell()
	}
	ma.homeStep(home.Event{Tick: &home.Tick{}})
}

func (ma *machines) tell() {
	for at, rm := range ma.rooms {
		if at == 0 || rm.Workers == 0 {
			ma.rooms[at] = ma.owners[at].Ledger().Summary()
		}
	}
	now := home.Capacity{}
	for _, rm := range ma.rooms {
		now.Total = now.Total.Add(rm.Capacity)
		now.Free = now.Free.Add(rm.Free)
		now.Largest = now.Largest.Max(rm.LargestCapacity)
	}
	ma.largest.Total, ma.largest.Largest = ma.largest.Total.Max(now.Total), ma.largest.Largest.Max(now.Largest)
	now.Total, now.Largest = ma.largest.Total, ma.largest.Largest
	ma.homeStep(home.Event{Capacity: &now})
}

// submit refuses a job that can never run, and lets any other wait.
func (ma *machines) submit(jb *job) string {
	if ma.largest.Total.IsZero() {
		ma.tell()
	}
	sb := ma.event(jb)
	if why := ma.home.Infeasible(*sb); why != "" {
		return why
	}
	ma.homeStep(home.Event{Submit: sb})
	return ""
}

func (ma *machines) event(jb *job) *home.Submit {
	sb := &home.Submit{
		Job: jb.ID, Workspace: jb.Workspace, Workload: jb.Workload, Tasks: jb.Tasks, Size: jb.Size,
		Priority: jb.Priority, Urgent: jb.Priority >= column.MaxPriority, Waited: ma.wo.now - jb.submitted,
	}
	if jb.Deadline > 0 {
		sb.Deadline = jb.submitted + jb.Deadline
	}
	return sb
}

// again lets a job wait once more after an attempt.
func (ma *machines) again(jb *job) {
	ma.homeStep(home.Event{Remove: &home.Remove{Job: jb.ID}})
	sb := ma.event(jb)
	sb.RetryAt = ma.wo.now + startPause.Delay(jb.attempt)
	ma.homeStep(home.Event{Submit: sb})
}

// gone takes out a job that has ended or was cancelled.
func (ma *machines) gone(jb *job) {
	ma.release(jb)
	ma.homeStep(home.Event{Remove: &home.Remove{Job: jb.ID}})
}

func (ma *machines) ended(jb *job, task, worker string, fails bool) {
	ma.ownerStep(ma.of[worker], owner.Event{Ended: &owner.Ended{Task: task, Failed: fails, Succeeded: !fails}})
	ma.homeStep(home.Event{TaskEnded: &home.TaskEnded{Job: jb.ID, OK: !fails}})
}

// ask sends a lookup to the owner with the most free slots.
func (ma *machines) ask(lk *lookup) {
	best, most := 0, -1<<30
	for at, mc := range ma.owners {
		if free := mc.Ledger().Load().FreeSlots - mc.Waiting(); free > most {
			best, most = at, free
		}
	}
	ma.ownerStep(best, owner.Event{Lookup: &owner.Lookup{
		ID: lk.id, Workspace: lk.workspace, Weight: 1, Deadline: lk.deadline,
	}})
}

func (ma *machines) done(lk *lookup, fails bool) {
	ma.ownerStep(ma.of[lk.worker], owner.Event{LookupDone: &owner.LookupDone{ID: lk.id, Latency: lk.run, Failed: fails}})
}
