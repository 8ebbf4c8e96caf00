package standinworker

import (
	"encoding/json"
	"slices"
	"time"

	"tackbeam.example/tackbeam/internal/frames"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// serveControl reads an owner's orders until the connection ends.
func (wk *Worker) serveControl(cn *frames.Conn) {
	for {
		var msg workermsg.OwnerMessage
		if err := cn.Receive(&msg); err != nil {
			return
		}
		wk.order(cn, msg)
	}
}

// order carries out one message. Orders on a connection that a newer owner has
// replaced are refused by their epoch or dropped.
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
		wk.Leave()
	case msg.Start != nil:
		wk.reply(cn, msg.Start.Seq, wk.start(cn, msg.Start))
	case msg.StartPrepared != nil:
		wk.reply(cn, msg.StartPrepared.Seq, wk.onTask(cn, msg.StartPrepared, wk.release))
	case msg.Stop != nil:
		wk.reply(cn, msg.Stop.Seq, wk.onTask(cn, msg.Stop, wk.stop))
	case msg.Fence != nil:
		wk.reply(cn, msg.Fence.Seq, wk.onTask(cn, msg.Fence, wk.fence))
	case msg.Checkpoint != nil:
		wk.reply(cn, msg.Checkpoint.Seq, wk.onTask(cn, msg.Checkpoint, wk.checkpoint))
	case msg.Throttle != nil:
		order := &workermsg.TaskOrder{Epoch: msg.Throttle.Epoch, Task: msg.Throttle.Task}
		wk.reply(cn, msg.Throttle.Seq, wk.onTask(cn, order, func(_ string, tk *task) workermsg.Reply {
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
	if at.Epoch < wk.epoch && wk.can(workermsg.Fencing) {
		epoch := wk.epoch
		wk.mu.Unlock()
		wk.send(cn, workermsg.WorkerMessage{Refused: &workermsg.Refused{Epoch: epoch}})
		return
	}
	wk.epoch = at.Epoch
	wk.control = cn
	wk.session++
	if now := time.Now(); wk.can(workermsg.Fencing) || now.After(wk.leaseUntil) {
		wk.leaseUntil = now.Add(wk.opts.Lease)
	}
	hello := wk.hello()
	wk.mu.Unlock()
	wk.send(cn, workermsg.WorkerMessage{Hello: hello})
}

// can reports whether this worker has a capability.
func (wk *Worker) can(cp workermsg.Capability) bool {
	return slices.Contains(wk.opts.Capabilities, cp)
}

func (wk *Worker) hello() *workermsg.Hello {
	he := &workermsg.Hello{
		Worker: wk.opts.Name, Incarnation: wk.incarnation, Epoch: wk.epoch,
		Nonce: wk.nextNonce(), Capacity: wk.opts.Capacity, Slots: wk.opts.Slots,
		Connections: wk.opts.Connections, Lease: wk.opts.Lease,
		Capabilities: wk.opts.Capabilities, Leaving: wk.leaving, Session: wk.session,
	}
	if !wk.can(workermsg.Inventory) {
		return he
	}
	for id, tk := range wk.tasks {
		he.Tasks = append(he.Tasks, workermsg.TaskReport{
			Task: id, State: tk.state, Size: tk.size, Started: tk.begun,
			Priority: tk.priority, Repeatable: tk.repeatable, Saved: tk.saved,
		})
	}
	for id, pt := range wk.lookups {
		he.Lookups = append(he.Lookups, workermsg.TaskReport{Task: id, State: workermsg.Running, Size: pt.size})
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

// renew extends the lease, counted from the beat that the owner answers.
func (wk *Worker) renew(cn *frames.Conn, rn *workermsg.Renew) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	sent, ok := wk.beats[rn.Nonce]
	if !ok || wk.can(workermsg.Fencing) && (wk.control != cn || rn.Epoch != wk.epoch) {
		return
	}
	if until := sent.Add(wk.opts.Lease); until.After(wk.leaseUntil) {
		wk.leaseUntil = until
	}
}

func (wk *Worker) ack(id string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if tk, ok := wk.tasks[id]; ok && tk.state.Ended() && tk.state != workermsg.NotStarted {
		delete(wk.tasks, id)
		// A start that comes again late must still be refused.
		wk.remember(id, &task{state: workermsg.NotStarted, begun: tk.begun})
	}
}

// current reports whether an order on the connection is from the present owner.
func (wk *Worker) current(cn *frames.Conn, epoch uint64) bool {
	if !wk.can(workermsg.Fencing) {
		return true
	}
	return wk.control == cn && epoch == wk.epoch && time.Now().Before(wk.leaseUntil)
}

func (wk *Worker) start(cn *frames.Conn, st *workermsg.Start) workermsg.Reply {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.current(cn, st.Epoch) {
		return workermsg.Reply{Refusal: workermsg.StaleEpoch, State: workermsg.NotStarted}
	}
	if tk, ok := wk.tasks[st.Task]; ok {
		if tk.state == workermsg.NotStarted {
			return workermsg.Reply{Refusal: workermsg.TaskFenced, State: tk.state, Started: tk.begun}
		}
		return workermsg.Reply{State: tk.state, Started: tk.begun}
	}
	beat, ok := wk.beats[st.Nonce]
	if wk.can(workermsg.Fencing) && (!ok || time.Since(beat) > wk.opts.StartWindow) {
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
		_ = json.Unmarshal(st.Payload, &tk.payload) // a payload for somebody else runs with the defaults
	}
	wk.tasks[st.Task] = tk
	wk.occupy(st.Task, st.Size)
	if !st.Prepared {
		wk.begin(st.Task, tk)
	}
	return workermsg.Reply{State: tk.state, Started: tk.begun}
}

// occupy adds to what is committed and records where that is over the worker's size.
func (wk *Worker) occupy(id string, sz [3]int64) {
	wk.used = wk.used.Add(sz)
	if !wk.used.Fits(wk.opts.Capacity) || len(wk.lookups) > wk.opts.Slots {
		wk.record(id, EventOver, "")
	}
}

// defaultRun is how long a task runs whose payload does not say.
const defaultRun = 20 * time.Millisecond

func (wk *Worker) begin(id string, tk *task) {
	tk.state = workermsg.Running
	tk.begun = true
	wk.note(Record{Task: id, Event: EventBegin, Mark: tk.payload.Mark, Resume: tk.resume})
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
	tk.began, tk.percent = time.Now(), wholePercent
	tk.ends = tk.began.Add(run)
	tk.timer = time.AfterFunc(run, func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		if tk.state == workermsg.Running {
			wk.finish(id, tk, end)
		}
	})
}

// finish ends a task, gives its room back and reports it to the owner.
func (wk *Worker) finish(id string, tk *task, end workermsg.State) {
	if tk.timer != nil {
		tk.timer.Stop()
	}
	if tk.begun {
		wk.record(id, EventEnd, tk.payload.Mark)
	}
	wk.used = wk.used.Sub(tk.size)
	tk.state = end
	wk.remember(id, tk)
	if cn := wk.control; cn != nil {
		ended := &workermsg.Ended{Task: id, State: end, Started: tk.begun, Saved: tk.saved}
		go wk.send(cn, workermsg.WorkerMessage{Ended: ended})
	}
}

// remember keeps the fate of a task, within bounds.
func (wk *Worker) remember(id string, tk *task) {
	wk.tasks[id] = tk
	wk.finished = append(wk.finished, id)
	for len(wk.finished) > keptTasks {
		delete(wk.tasks, wk.finished[0])
		wk.finished = wk.finished[1:]
	}
}

// onTask runs an order on one task under the lock, if the owner is the present one.
func (wk *Worker) onTask(
	cn *frames.Conn, order *workermsg.TaskOrder, act func(string, *task) workermsg.Reply,
) workermsg.Reply {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.current(cn, order.Epoch) {
		return workermsg.Reply{Refusal: workermsg.StaleEpoch}
	}
	return act(order.Task, wk.tasks[order.Task])
}

func (wk *Worker) release(id string, tk *task) workermsg.Reply {
	if tk == nil {
		return workermsg.Reply{Refusal: workermsg.UnknownTask, State: workermsg.NotStarted}
	}
	if tk.state == workermsg.Prepared {
		wk.begin(id, tk)
	}
	return workermsg.Reply{State: tk.state, Started: tk.begun}
}

func (wk *Worker) stop(id string, tk *task) workermsg.Reply {
	if tk == nil {
		return wk.fence(id, nil)
	}
	if !tk.state.Ended() {
		wk.finish(id, tk, workermsg.Stopped)
	}
	return workermsg.Reply{State: tk.state, Started: tk.begun, Saved: tk.saved}
}

// fence answers how far a task has come, and makes one that never arrived
// unable to begin.
func (wk *Worker) fence(id string, tk *task) workermsg.Reply {
	if tk == nil {
		tk = &task{state: workermsg.NotStarted}
		wk.remember(id, tk)
	}
	return workermsg.Reply{State: tk.state, Started: tk.begun, Saved: tk.saved}
}

// checkpoint saves the work that a running task has done.
func (wk *Worker) checkpoint(id string, tk *task) workermsg.Reply {
	if tk == nil {
		return wk.fence(id, nil)
	}
	if tk.state == workermsg.Running {
		tk.saved = tk.resume + time.Since(tk.began)
	}
	return workermsg.Reply{State: tk.state, Started: tk.begun, Saved: tk.saved}
}

// wholePercent is the part of its processors that a task has unless throttled.
const wholePercent = 100

// throttle makes what is left of a running task take longer, or as long as before.
func (wk *Worker) throttle(tk *task, percent int) workermsg.Reply {
	if tk == nil {
		return workermsg.Reply{Refusal: workermsg.UnknownTask, State: workermsg.NotStarted}
	}
	percent = max(1, min(percent, wholePercent))
	if tk.state == workermsg.Running && tk.timer.Stop() {
		left := time.Until(tk.ends) * time.Duration(tk.percent) / time.Duration(percent)
		tk.percent = percent
		tk.ends = time.Now().Add(left)
		tk.timer.Reset(left)
	}
	return workermsg.Reply{State: tk.state, Started: tk.begun}
}
