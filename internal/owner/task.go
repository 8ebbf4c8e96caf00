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

// fenceTimeout limits the time to find out the status of a task whose start was not answered.
const fenceTimeout = 4 * time.Second

// task is one task that this owner has on a worker.
type task struct {
	worker string
	// ended is set once the worker has reported the end.
	ended *workermsg.Ended
	// reportedAt is when the end was last reported to the home.
	reportedAt time.Time
}

// Hold takes resources for as many of the tasks as fit, until the hold expires.
func (ow *Owner) Hold(hd nodemsg.Hold) nodemsg.HoldReply {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	acts := ow.step(policy.Event{Hold: &policy.Hold{
		ID: hd.ID, Tasks: hd.Tasks, Size: hd.Size, Expires: ow.now() + hd.Expires,
		Priority: hd.Priority, SubmittedAt: hd.SubmittedAt, Reserve: hd.Reserve, Urgent: hd.Urgent,
		Repeatable: hd.Repeatable, Run: hd.Run,
	}})
	for _, act := range acts {
		if act.Granted != nil {
			return nodemsg.HoldReply{Places: nodemsg.Places(act.Granted.Places, ow.rackAndIncarnation)}
		}
	}
	return nodemsg.HoldReply{}
}

// rackAndIncarnation returns the rack and the incarnation of a worker. The caller holds the lock.
func (ow *Owner) rackAndIncarnation(name string) (rack, incarnation string) {
	wc, ok := ow.conns[name]
	if !ok {
		return "", ""
	}
	return wc.rack, wc.incarnation
}

// replaced reports whether the worker of a place has been replaced by another incarnation.
func replaced(link *worker.Link, pl nodemsg.Place) bool {
	return pl.Incarnation != "" && link.Hello().Incarnation != pl.Incarnation
}

// checkpointTimeout limits the wait for a task's checkpoint before the task is preempted: the urgent work should start
// within 2.5 s.
const checkpointTimeout = time.Second

// CounterPreempted counts the tasks that were stopped to free resources for urgent work.
const CounterPreempted = "tasks_preempted"

// preempt stops a task. Its home places it again. The caller holds the lock.
func (ow *Owner) preempt(pr *policy.Preempt) {
	ow.Meter.Count(CounterPreempted, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ow.ctx, fenceTimeout)
		defer cancel()
		pl := nodemsg.Place{Task: pr.Task, Worker: pr.Worker}
		saveCtx, cancelSave := context.WithTimeout(ctx, checkpointTimeout)
		ow.order(saveCtx, worker.Checkpoint, pl) // without a checkpoint, the work is repeated
		cancelSave()
		ow.order(ctx, worker.Stop, pl)
	}()
}

// Release frees the resources of a hold.
func (ow *Owner) Release(rl nodemsg.Release) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.step(policy.Event{Release: &policy.Release{ID: rl.ID}})
}

// Commit turns a hold into tasks on their workers and returns the status of each.
func (ow *Owner) Commit(ctx context.Context, cm nodemsg.Commit) nodemsg.TaskStatuses {
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
		return ow.queryAll(cm.Places)
	}
	statuses := ow.forEachPlace(cm.Places, func(pl nodemsg.Place) nodemsg.TaskStatus { return ow.start(ctx, cm, pl) })
	return nodemsg.TaskStatuses{Statuses: statuses}
}

// queryAll answers a commit whose hold no longer exists. After a repeated commit the tasks are on the workers, so each
// is queried; a task that never arrived is fenced.
func (ow *Owner) queryAll(places []nodemsg.Place) nodemsg.TaskStatuses {
	ctx, cancel := context.WithTimeout(ow.ctx, fenceTimeout)
	defer cancel()
	return ow.Order(ctx, nodemsg.Order{Verb: nodemsg.VerbFence, Tasks: places})
}

// forEachPlace calls act concurrently for all places.
func (ow *Owner) forEachPlace(places []nodemsg.Place, act func(nodemsg.Place) nodemsg.TaskStatus) []nodemsg.TaskStatus {
	statuses := make([]nodemsg.TaskStatus, len(places))
	var wg sync.WaitGroup
	for i, pl := range places {
		wg.Go(func() {
			statuses[i] = act(pl)
		})
	}
	wg.Wait()
	return statuses
}

// start sends one task to its worker. If no reply arrives, it queries the status.
func (ow *Owner) start(ctx context.Context, cm nodemsg.Commit, pl nodemsg.Place) nodemsg.TaskStatus {
	defer ow.startReplied(pl.Task)
	link := ow.linkOf(pl.Worker)
	if link == nil || replaced(link, pl) {
		return ow.notStarted(pl, "worker is not attached")
	}
	rp, err := link.Start(ctx, workermsg.Start{
		Task: pl.Task, Size: cm.Size, Payload: cm.Payload, Prepared: cm.Prepared,
		Priority: cm.Priority, Repeatable: cm.Repeatable, Resume: cm.Resume,
	})
	if err != nil && !fault.From(err).MayHaveRun {
		return ow.notStarted(pl, err.Error())
	}
	if err != nil {
		return ow.fenceUntilKnown(pl)
	}
	return ow.statusOf(pl, rp)
}

// startReplied tells the state machine that from now on the worker's inventory shows whether the task runs.
func (ow *Owner) startReplied(id string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.step(policy.Event{Started: &policy.Started{Task: id}})
}

// fenceUntilKnown queries the status of a task whose start was not answered, and fences the task, until the status is
// known.
func (ow *Owner) fenceUntilKnown(pl nodemsg.Place) nodemsg.TaskStatus {
	const pause = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(ow.ctx, fenceTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if ts := ow.order(ctx, worker.Fence, pl); ts.Known {
			return ts
		}
		select {
		case <-ctx.Done():
		case <-ow.Clock.After(pause):
		}
	}
	return nodemsg.TaskStatus{Task: pl.Task, Reason: "the worker did not reply"}
}

func (ow *Owner) linkOf(name string) *worker.Link {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if wc, ok := ow.conns[name]; ok {
		return wc.link
	}
	return nil
}

// notStarted returns the status of a task that has surely not started, and frees its resources.
func (ow *Owner) notStarted(pl nodemsg.Place, reason string) nodemsg.TaskStatus {
	ow.removeTask(pl.Task)
	return nodemsg.TaskStatus{Task: pl.Task, Known: true, State: workermsg.NotStarted, Reason: reason}
}

func (ow *Owner) removeTask(id string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(ow.tasks, id)
	ow.step(policy.Event{Ended: &policy.Ended{Task: id}})
}

// statusOf converts a worker's reply into a task status, and updates the ledger.
func (ow *Owner) statusOf(pl nodemsg.Place, rp workermsg.Reply) nodemsg.TaskStatus {
	ts := nodemsg.TaskStatus{Task: pl.Task, Known: true, State: rp.State, Started: rp.Started, Reason: string(rp.Refusal), Saved: rp.Saved}
	if rp.Refusal == workermsg.StaleEpoch && rp.State == "" {
		return nodemsg.TaskStatus{Task: pl.Task, Reason: string(rp.Refusal)} // only the new owner knows the status
	}
	if !rp.State.Ended() {
		return ts
	}
	if !rp.Started {
		ow.removeTask(pl.Task)
		return ts
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.endTask(workermsg.Ended{Task: pl.Task, State: rp.State, Started: true, Saved: rp.Saved}, pl.Worker)
	return ts
}

var verbs = map[nodemsg.Verb]worker.Verb{
	nodemsg.VerbStartPrepared: worker.StartPrepared,
	nodemsg.VerbStop:          worker.Stop,
	nodemsg.VerbFence:         worker.Fence,
	nodemsg.VerbCheckpoint:    worker.Checkpoint,
}

// Order executes an order for tasks on this owner's workers.
func (ow *Owner) Order(ctx context.Context, od nodemsg.Order) nodemsg.TaskStatuses {
	verb, ok := verbs[od.Verb]
	if !ok {
		return nodemsg.TaskStatuses{}
	}
	return nodemsg.TaskStatuses{Statuses: ow.forEachPlace(od.Tasks, func(pl nodemsg.Place) nodemsg.TaskStatus {
		return ow.order(ctx, verb, pl)
	})}
}

// order sends one order. For an unreachable worker, the status is known once its lease, and that of any former owner,
// has surely expired.
func (ow *Owner) order(ctx context.Context, verb worker.Verb, pl nodemsg.Place) nodemsg.TaskStatus {
	link := ow.linkOf(pl.Worker)
	if link == nil || replaced(link, pl) {
		return ow.unreachable(pl)
	}
	rp, err := link.Order(ctx, verb, pl.Task)
	if err != nil {
		return nodemsg.TaskStatus{Task: pl.Task, Reason: err.Error()}
	}
	return ow.statusOf(pl, rp)
}

// unreachable returns the status of a task on a worker without a link.
func (ow *Owner) unreachable(pl nodemsg.Place) nodemsg.TaskStatus {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ts := nodemsg.TaskStatus{Task: pl.Task, Reason: "worker " + pl.Worker + " is unreachable"}
	rack, mine := ow.racks[pl.Rack]
	if !mine {
		ts.Reason = "rack " + pl.Rack + " has another owner"
		return ts
	}
	leaseEnd := ow.rackSince[pl.Rack].Add(ow.opts.MaxLease)
	if wc, ok := ow.conns[pl.Worker]; ok && wc.link != nil {
		leaseEnd = wc.since.Add(ow.opts.MaxLease) // another incarnation; the end of the former lease is not known better
	} else if ok {
		leaseEnd = wc.leaseEnd
	} else if at, ok := ow.removed[pl.Worker]; ok && at.epoch == rack.Epoch {
		leaseEnd = at.leaseEnd
	}
	if ow.Clock.Now().Before(leaseEnd.Add(ow.opts.LeaseGuard)) {
		return ts
	}
	ts.Known, ts.State, ts.Started = true, workermsg.LeaseExpired, true
	ts.Reason = "the lease of worker " + pl.Worker + " has expired"
	delete(ow.tasks, pl.Task)
	ow.step(policy.Event{Ended: &policy.Ended{Task: pl.Task}})
	return ts
}

// applyTaskReport records a task of a worker's inventory. The caller holds the lock.
func (ow *Owner) applyTaskReport(wc *workerConn, tr workermsg.TaskReport) {
	if tr.State.Ended() {
		if tr.State != workermsg.NotStarted {
			ow.endTask(workermsg.Ended{Task: tr.Task, State: tr.State, Started: tr.Started, Saved: tr.Saved}, wc.vm.Name)
		}
		return
	}
	if _, known := ow.tasks[tr.Task]; !known {
		ow.tasks[tr.Task] = &task{worker: wc.vm.Name}
	}
}

// onEnded processes a worker's report of an end.
func (ow *Owner) onEnded(wc *workerConn, en workermsg.Ended) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if id, ok := lookupID(en.Task); ok && isLookup(en.Task) {
		ow.step(policy.Event{Ended: &policy.Ended{Task: en.Task}})
		ow.finish(id, result{
			worker: wc.vm.Name, ended: true,
			err: fault.New(fault.EndpointFailed, "the answer of worker %s was lost", wc.vm.Name).MarkMayHaveRun(),
		}, 0)
		return
	}
	ow.endTask(en, wc.vm.Name)
}

// endTask frees the resources of an ended task and starts reporting the end to its home. The caller holds the lock.
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
	tk.reportedAt = ow.Clock.Now()
	go ow.reportEnd(en)
}

// Ack removes ended tasks whose ends are in their home's journal.
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
		return // the worker will report the task again, and it is acknowledged then
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(ow.tasks, id)
}
