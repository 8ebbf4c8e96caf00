package owner

import (
	"context"
	"sync"
	"time"

	policy "tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/worker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// settleTime bounds the search for the fate of a task whose start got no reply.
const settleTime = 4 * time.Second

// task is one task that this owner has on a worker.
type task struct {
	worker string
	// ended is set once the worker has reported the end.
	ended *workermsg.Ended
	// told is when the home was last told of the end.
	told time.Time
}

// Hold takes room for as many of the tasks as fit, until the hold expires.
func (ow *Owner) Hold(hd nodemsg.Hold) nodemsg.Held {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	acts := ow.step(policy.Event{Hold: &policy.Hold{
		ID: hd.ID, Tasks: hd.Tasks, Size: hd.Size, Expires: ow.now() + hd.Expires,
		Priority: hd.Priority, SubmittedAt: hd.Age, Reserve: hd.Reserve, Urgent: hd.Urgent,
		Repeatable: hd.Repeatable, Run: hd.Run,
	}})
	for _, act := range acts {
		if act.Granted != nil {
			return nodemsg.Held{Places: nodemsg.Places(act.Granted.Places, ow.where)}
		}
	}
	return nodemsg.Held{}
}

// where returns the rack and the incarnation of a worker. The caller holds the lock.
func (ow *Owner) where(name string) (rack, machine string) {
	kp, ok := ow.keepers[name]
	if !ok {
		return "", ""
	}
	return kp.rack, kp.machine
}

// replaced reports whether the worker of a place is another machine by now.
func replaced(link *worker.Link, pl nodemsg.Place) bool {
	return pl.Machine != "" && link.Hello().Incarnation != pl.Machine
}

// saveTime bounds the wait for a task's checkpoint before it gives way: the urgent
// work is to start within 2.5 s.
const saveTime = time.Second

// CounterPreempted counts the tasks stopped to make room for urgent work.
const CounterPreempted = "tasks_preempted"

// preempt stops a task; its home lets it try again. The caller holds the lock.
func (ow *Owner) preempt(pr *policy.Preempt) {
	ow.Meter.Count(CounterPreempted, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ow.ctx, settleTime)
		defer cancel()
		pl := nodemsg.Place{Task: pr.Task, Worker: pr.Worker}
		save, enough := context.WithTimeout(ctx, saveTime)
		ow.order(save, worker.Checkpoint, pl) // without one the work is done again
		enough()
		ow.order(ctx, worker.Stop, pl)
	}()
}

// Release gives the room of a hold back.
func (ow *Owner) Release(rl nodemsg.Release) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.step(policy.Event{Release: &policy.Release{ID: rl.ID}})
}

// Commit turns a hold into tasks on their workers and tells how far each came.
func (ow *Owner) Commit(ctx context.Context, cm nodemsg.Commit) nodemsg.Fates {
	ow.mu.Lock()
	acts := ow.step(policy.Event{Commit: &policy.Commit{ID: cm.ID, Tasks: nodemsg.TasksOf(cm.Places)}})
	settled := false
	for _, act := range acts {
		settled = settled || act.Settled != nil && act.Settled.OK
	}
	if settled {
		for _, pl := range cm.Places {
			ow.tasks[pl.Task] = &task{worker: pl.Worker}
		}
	}
	ow.mu.Unlock()
	if !settled {
		return ow.neverAll(cm.Places)
	}
	fates := ow.each(cm.Places, func(pl nodemsg.Place) nodemsg.Fate { return ow.start(ctx, cm, pl) })
	return nodemsg.Fates{Fates: fates}
}

// neverAll answers a commit whose hold has gone. A repeated commit finds its
// tasks on the workers, so each is asked for; one that never came is fenced.
func (ow *Owner) neverAll(places []nodemsg.Place) nodemsg.Fates {
	ctx, cancel := context.WithTimeout(ow.ctx, settleTime)
	defer cancel()
	return ow.Order(ctx, nodemsg.Order{Verb: nodemsg.VerbFate, Tasks: places})
}

// each runs act for all places side by side.
func (ow *Owner) each(places []nodemsg.Place, act func(nodemsg.Place) nodemsg.Fate) []nodemsg.Fate {
	fates := make([]nodemsg.Fate, len(places))
	var wg sync.WaitGroup
	for i, pl := range places {
		wg.Go(func() {
			fates[i] = act(pl)
		})
	}
	wg.Wait()
	return fates
}

// start sends one task to its worker. Where no reply comes, it asks for the fate.
func (ow *Owner) start(ctx context.Context, cm nodemsg.Commit, pl nodemsg.Place) nodemsg.Fate {
	defer ow.replied(pl.Task)
	link := ow.linkOf(pl.Worker)
	if link == nil || replaced(link, pl) {
		return ow.never(pl, "worker is not attached")
	}
	rp, err := link.Start(ctx, workermsg.Start{
		Task: pl.Task, Size: cm.Size, Payload: cm.Payload, Prepared: cm.Prepared,
		Priority: cm.Priority, Repeatable: cm.Repeatable, Resume: cm.Resume,
	})
	if err != nil && !fault.From(err).Begun {
		return ow.never(pl, err.Error())
	}
	if err != nil {
		return ow.seek(pl)
	}
	return ow.fate(pl, rp)
}

// replied tells the machine that the worker's inventory decides from now on.
func (ow *Owner) replied(id string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.step(policy.Event{Started: &policy.Started{Task: id}})
}

// seek looks for the fate of a task whose order got no reply.
func (ow *Owner) seek(pl nodemsg.Place) nodemsg.Fate {
	const pause = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ow.ctx, settleTime)
	defer cancel()
	for ctx.Err() == nil {
		if ft := ow.order(ctx, worker.Fence, pl); ft.Known {
			return ft
		}
		select {
		case <-ctx.Done():
		case <-ow.Clock.After(pause):
		}
	}
	return nodemsg.Fate{Task: pl.Task, Why: "the worker does not reply"}
}

func (ow *Owner) linkOf(name string) *worker.Link {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if kp, ok := ow.keepers[name]; ok {
		return kp.link
	}
	return nil
}

// never answers for a task that has surely not begun, and gives its room back.
func (ow *Owner) never(pl nodemsg.Place, why string) nodemsg.Fate {
	ow.forget(pl.Task)
	return nodemsg.Fate{Task: pl.Task, Known: true, State: workermsg.Never, Why: why}
}

func (ow *Owner) forget(id string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(ow.tasks, id)
	ow.step(policy.Event{Ended: &policy.Ended{Task: id}})
}

// fate turns a worker's reply into a fate, and the ledger with it.
func (ow *Owner) fate(pl nodemsg.Place, rp workermsg.Reply) nodemsg.Fate {
	ft := nodemsg.Fate{Task: pl.Task, Known: true, State: rp.State, Begun: rp.Begun, Why: string(rp.Refusal), Saved: rp.Saved}
	if rp.Refusal == workermsg.StaleEpoch && rp.State == "" {
		return nodemsg.Fate{Task: pl.Task, Why: string(rp.Refusal)} // only the new owner knows
	}
	if !rp.State.Ended() {
		return ft
	}
	if !rp.Begun {
		ow.forget(pl.Task)
		return ft
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.endTask(workermsg.Ended{Task: pl.Task, State: rp.State, Begun: true, Saved: rp.Saved}, pl.Worker)
	return ft
}

var verbs = map[nodemsg.Verb]worker.Verb{
	nodemsg.VerbGo:         worker.Go,
	nodemsg.VerbStop:       worker.Stop,
	nodemsg.VerbFate:       worker.Fence,
	nodemsg.VerbCheckpoint: worker.Checkpoint,
}

// Order carries out an order for tasks of this owner's workers.
func (ow *Owner) Order(ctx context.Context, od nodemsg.Order) nodemsg.Fates {
	verb, ok := verbs[od.Verb]
	if !ok {
		return nodemsg.Fates{}
	}
	return nodemsg.Fates{Fates: ow.each(od.Tasks, func(pl nodemsg.Place) nodemsg.Fate {
		return ow.order(ctx, verb, pl)
	})}
}

// order gives one order. A worker that cannot be reached is answered for once its
// lease, and that of any former owner, has surely run out.
func (ow *Owner) order(ctx context.Context, verb worker.Verb, pl nodemsg.Place) nodemsg.Fate {
	link := ow.linkOf(pl.Worker)
	if link == nil || replaced(link, pl) {
		return ow.unreachable(pl)
	}
	rp, err := link.Order(ctx, verb, pl.Task)
	if err != nil {
		return nodemsg.Fate{Task: pl.Task, Why: err.Error()}
	}
	return ow.fate(pl, rp)
}

// unreachable answers for a task on a worker without a link.
func (ow *Owner) unreachable(pl nodemsg.Place) nodemsg.Fate {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ft := nodemsg.Fate{Task: pl.Task, Why: "worker " + pl.Worker + " cannot be reached"}
	rack, mine := ow.racks[pl.Rack]
	if !mine {
		ft.Why = "rack " + pl.Rack + " has another owner"
		return ft
	}
	leaseEnd := ow.since[pl.Rack].Add(ow.opts.Lease)
	if kp, ok := ow.keepers[pl.Worker]; ok && kp.link != nil {
		leaseEnd = kp.since.Add(ow.opts.Lease) // a new machine; the former one's lease is not known better
	} else if ok {
		leaseEnd = kp.leaseEnd
	} else if at, ok := ow.gone[pl.Worker]; ok && at.epoch == rack.Epoch {
		leaseEnd = at.leaseEnd
	}
	if ow.Clock.Now().Before(leaseEnd.Add(ow.opts.Guard)) {
		return ft
	}
	ft.Known, ft.State, ft.Begun = true, workermsg.Lapsed, true
	ft.Why = "the lease of worker " + pl.Worker + " has run out"
	delete(ow.tasks, pl.Task)
	ow.step(policy.Event{Ended: &policy.Ended{Task: pl.Task}})
	return ft
}

// noteTask takes a task of a worker's inventory in. The caller holds the lock.
func (ow *Owner) noteTask(kp *keeper, tr workermsg.TaskReport) {
	if tr.State.Ended() {
		if tr.State != workermsg.Never {
			ow.endTask(workermsg.Ended{Task: tr.Task, State: tr.State, Begun: tr.Begun, Saved: tr.Saved}, kp.vm.Name)
		}
		return
	}
	if _, known := ow.tasks[tr.Task]; !known {
		ow.tasks[tr.Task] = &task{worker: kp.vm.Name}
	}
}

// onEnded takes a worker's report of an end.
func (ow *Owner) onEnded(kp *keeper, en workermsg.Ended) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if id, ok := lookupID(en.Task); ok && isLookup(en.Task) {
		ow.step(policy.Event{Ended: &policy.Ended{Task: en.Task}})
		ow.finish(id, end{
			worker: kp.vm.Name, over: true,
			err: fault.New(fault.Endpoint, "the answer of worker %s was lost", kp.vm.Name).AfterStart(),
		}, 0)
		return
	}
	ow.endTask(en, kp.vm.Name)
}

// endTask gives an ended task's room back and has its home told. The caller
// holds the lock.
func (ow *Owner) endTask(en workermsg.Ended, name string) {
	tk, ok := ow.tasks[en.Task]
	if !ok {
		tk = &task{worker: name}
		ow.tasks[en.Task] = tk
	}
	if tk.ended != nil {
		return
	}
	tk.ended = &en
	ow.step(policy.Event{Ended: &policy.Ended{
		Task: en.Task, Failed: en.State == workermsg.Failed, Succeeded: en.State == workermsg.OK,
	}})
	tk.told = ow.Clock.Now()
	go ow.tell(en)
}

// Ack forgets ended tasks whose ends their home has kept.
func (ow *Owner) Ack(ak nodemsg.Ack) {
	for _, id := range ak.Tasks {
		ow.ack(id)
	}
}

func (ow *Owner) ack(id string) {
	ow.mu.Lock()
	tk, ok := ow.tasks[id]
	ow.mu.Unlock()
	if !ok || tk.ended == nil {
		return
	}
	link := ow.linkOf(tk.worker)
	if link == nil || link.Ack(id) != nil {
		return // the worker reports the task again, and it is acknowledged then
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(ow.tasks, id)
}
