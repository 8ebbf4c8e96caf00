package standinworker

import (
	"encoding/json"
	"slices"
	"time"

	"tackbeam.example/tackbeam/internal/frames"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// serveControl executes an owner's orders until the connection closes.
func (wk *Worker) serveControl(cn *frames.Conn) {
	for {
		var msg workermsg.OwnerMessage
		if err := cn.Receive(&msg); err != nil {
			return
		}
		wk.order(cn, msg)
	}
}

// order executes one message. Orders on a connection that a newer owner has replaced are dropped or refused
// because of their epoch.
func (wk *Worker) order(cn *frames.Conn, msg workermsg.OwnerMessage) {
	switch {
	case msg.Attach != nil:
		wk.attach(cn, msg.Attach)
	case msg.Detach != nil:
		wk.detach(cn, msg.Detach)
	case msg.Renew != nil:
		wk.renew(cn, msg.Renew)
	case msg.Ack != nil:
		wk.ack(msg.Ack.Task)
	case msg.Drain != nil:
		wk.Drain()
	case msg.Start != nil:
		wk.reply(cn, msg.Start.Seq, wk.start(cn, msg.Start))
	case msg.StartPrepared != nil:
		wk.reply(cn, msg.StartPrepared.Seq, wk.withTask(cn, msg.StartPrepared, wk.startPrepared))
	case msg.Stop != nil:
		wk.reply(cn, msg.Stop.Seq, wk.withTask(cn, msg.Stop, wk.stop))
	case msg.Fence != nil:
		wk.reply(cn, msg.Fence.Seq, wk.withTask(cn, msg.Fence, wk.fence))
	case msg.Checkpoint != nil:
		wk.reply(cn, msg.Checkpoint.Seq, wk.withTask(cn, msg.Checkpoint, wk.checkpoint))
	case msg.Throttle != nil:
		order := &workermsg.TaskOrder{Epoch: msg.Throttle.Epoch, Task: msg.Throttle.Task}
		wk.reply(cn, msg.Throttle.Seq, wk.withTask(cn, order, func(_ string, tk *task) workermsg.Reply {
			return wk.throttle(tk, msg.Throttle.Percent)
		}))
	}
}

func (wk *Worker) reply(cn *frames.Conn, seq uint64, rp workermsg.Reply) {
	rp.Seq = seq
	wk.send(cn, workermsg.WorkerMessage{Reply: &rp})
}

func (wk *Worker) attach(cn *frames.Conn, at *workermsg.Attach) {
	wk.mu.Lock()
	if at.Epoch < wk.epoch && wk.hasCapability(workermsg.Fencing) {
		epoch := wk.epoch
		wk.mu.Unlock()
		wk.send(cn, workermsg.WorkerMessage{Refused: &workermsg.Refused{Epoch: epoch}})
		return
	}
	wk.epoch = at.Epoch
	wk.control = cn
	wk.session++
	if now := time.Now(); wk.hasCapability(workermsg.Fencing) || now.After(wk.leaseUntil) {
		wk.leaseUntil = now.Add(wk.opts.LeaseTTL)
	}
	hello := wk.hello()
	wk.mu.Unlock()
	wk.send(cn, workermsg.WorkerMessage{Hello: hello})
}

func (wk *Worker) hasCapability(cp workermsg.Capability) bool {
	return slices.Contains(wk.opts.Capabilities, cp)
}

func (wk *Worker) hello() *workermsg.Hello {
	he := &workermsg.Hello{
		Worker: wk.opts.Name, Incarnation: wk.incarnation, Epoch: wk.epoch,
		Nonce: wk.nextNonce(), Capacity: wk.opts.Capacity, Slots: wk.opts.Slots,
		Connections: wk.opts.Connections, Lease: wk.opts.LeaseTTL,
		Capabilities: wk.opts.Capabilities, Leaving: wk.leaving, Session: wk.session,
	}
	if !wk.hasCapability(workermsg.Inventory) {
		return he
	}
	for id, tk := range wk.tasks {
		he.Tasks = append(he.Tasks, workermsg.TaskReport{
			Task: id, State: tk.state, Size: tk.size, Started: tk.started,
			Priority: tk.priority, Repeatable: tk.repeatable, Saved: tk.saved,
		})
	}
	for id, lk := range wk.lookups {
		he.Lookups = append(he.Lookups, workermsg.TaskReport{Task: id, State: workermsg.Running, Size: lk.size})
	}
	return he
}

func (wk *Worker) detach(cn *frames.Conn, dt *workermsg.Detach) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.control == cn && wk.epoch == dt.Epoch {
		wk.control = nil
	}
}

// renew extends the lease, starting at the time when the heartbeat that the owner answers was sent.
func (wk *Worker) renew(cn *frames.Conn, rn *workermsg.Renew) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	sent, ok := wk.heartbeats[rn.Nonce]
	if !ok || wk.hasCapability(workermsg.Fencing) && (wk.control != cn || rn.Epoch != wk.epoch) {
		return
	}
	if until := sent.Add(wk.opts.LeaseTTL); until.After(wk.leaseUntil) {
		wk.leaseUntil = until
	}
}

func (wk *Worker) ack(id string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if tk, ok := wk.tasks[id]; ok && tk.state.Ended() && tk.state != workermsg.NotStarted {
		delete(wk.tasks, id)
		// A delayed duplicate of the start order must still be refused.
		wk.retain(id, &task{state: workermsg.NotStarted, started: tk.started})
	}
}

// isCurrent reports whether an order on the connection comes from the current owner and the lease has not expired.
func (wk *Worker) isCurrent(cn *frames.Conn, epoch uint64) bool {
	if !wk.hasCapability(workermsg.Fencing) {
		return true
	}
	return wk.control == cn && epoch == wk.epoch && time.Now().Before(wk.leaseUntil)
}

func (wk *Worker) start(cn *frames.Conn, st *workermsg.Start) workermsg.Reply {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.isCurrent(cn, st.Epoch) {
		return workermsg.Reply{Refusal: workermsg.StaleEpoch, State: workermsg.NotStarted}
	}
	if tk, ok := wk.tasks[st.Task]; ok {
		if tk.state == workermsg.NotStarted {
			return workermsg.Reply{Refusal: workermsg.TaskFenced, State: tk.state, Started: tk.started}
		}
		return workermsg.Reply{State: tk.state, Started: tk.started}
	}
	sentAt, ok := wk.heartbeats[st.Nonce]
	if wk.hasCapability(workermsg.Fencing) && (!ok || time.Since(sentAt) > wk.opts.StartWindow) {
		return workermsg.Reply{Refusal: workermsg.StaleStart, State: workermsg.NotStarted}
	}
	if wk.leaving {
		return workermsg.Reply{Refusal: workermsg.WorkerLeaving, State: workermsg.NotStarted}
	}
	tk := &task{
		state: workermsg.Prepared, size: st.Size, priority: st.Priority, repeatable: st.Repeatable,
		resume: st.Resume, saved: st.Resume,
	}
	if len(st.Payload) > 0 {
		_ = json.Unmarshal(st.Payload, &tk.payload) // a payload in another format runs with the defaults
	}
	wk.tasks[st.Task] = tk
	wk.addUsed(st.Task, st.Size)
	if !st.Prepared {
		wk.begin(st.Task, tk)
	}
	return workermsg.Reply{State: tk.state, Started: tk.started}
}

// addUsed adds to the used resources and records when they exceed the worker's capacity.
func (wk *Worker) addUsed(id string, sz [3]int64) {
	wk.used = wk.used.Add(sz)
	if !wk.used.Fits(wk.opts.Capacity) || len(wk.lookups) > wk.opts.Slots {
		wk.recordEvent(id, EventOverCapacity, "")
	}
}

// defaultRun is the run time of a task whose payload specifies none.
const defaultRun = 20 * time.Millisecond

func (wk *Worker) begin(id string, tk *task) {
	tk.state = workermsg.Running
	tk.started = true
	wk.appendRecord(Record{Task: id, Event: EventBegin, Mark: tk.payload.Mark, Resume: tk.resume})
	run := defaultRun
	if tk.payload.Run > 0 {
		run = time.Duration(tk.payload.Run * float64(time.Second))
	}
	run = max(run-tk.resume, time.Millisecond)
	end := workermsg.OK
	if tk.payload.Fail || wk.faults.FailAll {
		end = workermsg.Failed
	}
	if wk.faults.FailAll {
		run = time.Millisecond
	}
	tk.startedAt, tk.percent = time.Now(), fullPercent
	tk.endsAt = tk.startedAt.Add(run)
	tk.timer = time.AfterFunc(run, func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		if tk.state == workermsg.Running {
			wk.finish(id, tk, end)
		}
	})
}

// finish ends a task, releases its resources and reports the end to the owner.
func (wk *Worker) finish(id string, tk *task, end workermsg.State) {
	if tk.timer != nil {
		tk.timer.Stop()
	}
	if tk.started {
		wk.recordEvent(id, EventEnd, tk.payload.Mark)
	}
	wk.used = wk.used.Sub(tk.size)
	tk.state = end
	wk.retain(id, tk)
	if cn := wk.control; cn != nil {
		ended := &workermsg.Ended{Task: id, State: end, Started: tk.started, Saved: tk.saved}
		go wk.send(cn, workermsg.WorkerMessage{Ended: ended})
	}
}

// retain keeps the final state of a task; the oldest ones are dropped beyond maxEndedTasks.
func (wk *Worker) retain(id string, tk *task) {
	wk.tasks[id] = tk
	wk.finished = append(wk.finished, id)
	for len(wk.finished) > maxEndedTasks {
		delete(wk.tasks, wk.finished[0])
		wk.finished = wk.finished[1:]
	}
}

// withTask executes an order on one task while it holds the lock, if the order comes from the current owner.
func (wk *Worker) withTask(
	cn *frames.Conn, order *workermsg.TaskOrder, act func(string, *task) workermsg.Reply,
) workermsg.Reply {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.isCurrent(cn, order.Epoch) {
		return workermsg.Reply{Refusal: workermsg.StaleEpoch}
	}
	return act(order.Task, wk.tasks[order.Task])
}

func (wk *Worker) startPrepared(id string, tk *task) workermsg.Reply {
	if tk == nil {
		return workermsg.Reply{Refusal: workermsg.UnknownTask, State: workermsg.NotStarted}
	}
	if tk.state == workermsg.Prepared {
		wk.begin(id, tk)
	}
	return workermsg.Reply{State: tk.state, Started: tk.started}
}

func (wk *Worker) stop(id string, tk *task) workermsg.Reply {
	if tk == nil {
		return wk.fence(id, nil)
	}
	if !tk.state.Ended() {
		wk.finish(id, tk, workermsg.Stopped)
	}
	return workermsg.Reply{State: tk.state, Started: tk.started, Saved: tk.saved}
}

// fence returns the state of a task, and prevents one that never arrived from starting.
func (wk *Worker) fence(id string, tk *task) workermsg.Reply {
	if tk == nil {
		tk = &task{state: workermsg.NotStarted}
		wk.retain(id, tk)
	}
	return workermsg.Reply{State: tk.state, Started: tk.started, Saved: tk.saved}
}

// checkpoint saves the progress of a running task.
func (wk *Worker) checkpoint(id string, tk *task) workermsg.Reply {
	if tk == nil {
		return wk.fence(id, nil)
	}
	if tk.state == workermsg.Running {
		tk.saved = tk.resume + time.Since(tk.startedAt)
	}
	return workermsg.Reply{State: tk.state, Started: tk.started, Saved: tk.saved}
}

// fullPercent is the share of its processors that a task has when it is not throttled.
const fullPercent = 100

// throttle changes the share of its processors that a running task has, which stretches or shortens the time left.
func (wk *Worker) throttle(tk *task, percent int) workermsg.Reply {
	if tk == nil {
		return workermsg.Reply{Refusal: workermsg.UnknownTask, State: workermsg.NotStarted}
	}
	percent = max(1, min(percent, fullPercent))
	if tk.state == workermsg.Running && tk.timer.Stop() {
		remaining := time.Until(tk.endsAt) * time.Duration(tk.percent) / time.Duration(percent)
		tk.percent = percent
		tk.endsAt = time.Now().Add(remaining)
		tk.timer.Reset(remaining)
	}
	return workermsg.Reply{State: tk.state, Started: tk.started}
}
