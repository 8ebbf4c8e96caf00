// Package worker is the owner's client of one worker: it takes and renews the worker's lease, sends orders, and sends
// lookups.
//
// A call that fails before it was sent returns an error without MayHaveRun. After a later failure MayHaveRun is set,
// and only the worker's inventory shows whether the call was executed.
package worker

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/frames"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// orderTimeout limits the wait for the reply to an order.
const orderTimeout = 3 * time.Second

// Events contains the callbacks of a link. For each connection they are called one at a time, and they must not wait
// for the link.
type Events struct {
	// Ended reports the end of a task.
	Ended func(workermsg.Ended)
	// Answered reports the answer to a lookup, even a late one.
	Answered func(workermsg.Answer)
	// Heartbeat reports a heartbeat that was answered.
	Heartbeat func(workermsg.Heartbeat)
	// Leaving reports that the worker accepts no new work.
	Leaving func()
	// Lost reports, once, that the link has ended.
	Lost func(error)
}

type Options struct {
	Name  string
	Addr  string
	Owner string
	Epoch uint64
	// Dial opens one connection. This package's Dial uses WebSocket.
	Dial func(ctx context.Context, addr, path string) (*frames.Conn, error)
}

// Link is the connection of one owner to one worker.
type Link struct {
	opts    Options
	clock   clockwork.Clock
	events  Events
	control *frames.Conn
	lookups *frames.Conn
	hello   workermsg.Hello

	seq             atomic.Uint64
	mu              sync.Mutex
	nonce           uint64
	lastHeartbeatAt time.Time
	pending         map[uint64]chan workermsg.Reply
	lost            bool
	done            chan struct{}
}

// New connects to a worker and takes its lease. A worker that has seen a higher epoch refuses; the error then has the
// kind Conflict.
func New(ctx context.Context, clock clockwork.Clock, opts Options, ev Events) (*Link, error) {
	control, err := opts.Dial(ctx, opts.Addr, workermsg.ControlPath)
	if err != nil {
		return nil, err
	}
	ln := &Link{
		opts: opts, clock: clock, events: ev, control: control,
		pending: map[uint64]chan workermsg.Reply{}, done: make(chan struct{}),
	}
	stop := context.AfterFunc(ctx, func() { _ = control.Close() })
	err = ln.attach()
	stop()
	if err == nil {
		ln.lookups, err = opts.Dial(ctx, opts.Addr, workermsg.LookupPath)
	}
	if err != nil {
		_ = control.Close() // the first error is the one to report
		return nil, err
	}
	go ln.readControl()
	go ln.readLookups()
	return ln, nil
}

func (ln *Link) attach() error {
	at := workermsg.Attach{Owner: ln.opts.Owner, Epoch: ln.opts.Epoch}
	if err := ln.control.Send(workermsg.OwnerMessage{Attach: &at}); err != nil {
		return err
	}
	var msg workermsg.WorkerMessage
	if err := ln.control.Receive(&msg); err != nil {
		return err
	}
	switch {
	case msg.Refused != nil:
		return fault.New(fault.Conflict, "worker %s has an owner with epoch %d, which is above this owner's epoch %d",
			ln.opts.Name, msg.Refused.Epoch, ln.opts.Epoch)
	case msg.Hello == nil:
		return errors.Errorf("worker %s did not answer the attach request with a hello", ln.opts.Name)
	case msg.Hello.Worker != ln.opts.Name:
		return fault.New(fault.Conflict, "found worker %s at the address of worker %s", msg.Hello.Worker, ln.opts.Name)
	}
	ln.hello = *msg.Hello
	ln.nonce = msg.Hello.Nonce
	ln.lastHeartbeatAt = ln.clock.Now()
	return nil
}

// Hello returns the worker's hello message from when the link was established.
func (ln *Link) Hello() workermsg.Hello { return ln.hello }

// Epoch returns the epoch with which the lease was taken.
func (ln *Link) Epoch() uint64 { return ln.opts.Epoch }

// HasCapability reports whether the worker has a capability.
func (ln *Link) HasCapability(cp workermsg.Capability) bool {
	for _, has := range ln.hello.Capabilities {
		if has == cp {
			return true
		}
	}
	return false
}

// LastHeartbeatAt returns when the last answered heartbeat was received. The worker's lease ends no later than its
// length after that time.
func (ln *Link) LastHeartbeatAt() time.Time {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.lastHeartbeatAt
}

// Traffic returns the number of bytes sent and received on the control connection.
func (ln *Link) Traffic() (sent, received int64) { return ln.control.Traffic() }

func (ln *Link) readControl() {
	for {
		var msg workermsg.WorkerMessage
		if err := ln.control.Receive(&msg); err != nil {
			ln.end(err)
			return
		}
		ln.onControl(msg)
	}
}

func (ln *Link) onControl(msg workermsg.WorkerMessage) {
	switch {
	case msg.Heartbeat != nil:
		ln.renew(*msg.Heartbeat)
	case msg.Reply != nil:
		ln.deliverReply(*msg.Reply)
	case msg.Ended != nil:
		ln.events.Ended(*msg.Ended)
	case msg.Leaving != nil:
		ln.events.Leaving()
	}
}

// renew answers a heartbeat. If the lease of this epoch has expired by the owner's own clock, the owner or the worker
// was paused, and the link is ended instead.
func (ln *Link) renew(hb workermsg.Heartbeat) {
	if ln.LeaseExpired() {
		ln.end(errors.New("lease expired while the owner or the worker was paused"))
		return
	}
	ln.mu.Lock()
	ln.nonce = hb.Nonce
	ln.lastHeartbeatAt = ln.clock.Now()
	ln.mu.Unlock()
	rn := workermsg.Renew{Epoch: ln.opts.Epoch, Nonce: hb.Nonce}
	if err := ln.control.Send(workermsg.OwnerMessage{Renew: &rn}); err != nil {
		ln.end(err)
		return
	}
	ln.events.Heartbeat(hb)
}

// LeaseExpired reports whether the worker's lease may have expired, by this owner's own clock. It is checked
// immediately before sending anything that needs the lease.
func (ln *Link) LeaseExpired() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.clock.Since(ln.lastHeartbeatAt) > ln.hello.Lease
}

func (ln *Link) deliverReply(rp workermsg.Reply) {
	ln.mu.Lock()
	wait, ok := ln.pending[rp.Seq]
	delete(ln.pending, rp.Seq)
	ln.mu.Unlock()
	if ok {
		wait <- rp
	}
}

func (ln *Link) readLookups() {
	for {
		var msg workermsg.WorkerMessage
		if err := ln.lookups.Receive(&msg); err != nil {
			ln.end(err)
			return
		}
		if msg.Answer != nil {
			ln.events.Answered(*msg.Answer)
		}
	}
}

// end closes the link once and notifies the owner.
func (ln *Link) end(cause error) {
	ln.mu.Lock()
	if ln.lost {
		ln.mu.Unlock()
		return
	}
	ln.lost = true
	close(ln.done)
	ln.mu.Unlock()
	_ = ln.control.Close()
	if ln.lookups != nil {
		_ = ln.lookups.Close()
	}
	ln.events.Lost(cause)
}

// Close ends the link without returning the lease.
func (ln *Link) Close() { ln.end(errors.New("link was closed")) }

// Detach returns the lease and ends the link.
func (ln *Link) Detach() {
	_ = ln.control.Send(workermsg.OwnerMessage{Detach: &workermsg.Detach{Epoch: ln.opts.Epoch}}) // if it is lost, the lease only ends later
	ln.Close()
}

// Start starts a task or, if st.Prepared is set, prepares it to be started.
func (ln *Link) Start(ctx context.Context, st workermsg.Start) (workermsg.Reply, error) {
	if ln.LeaseExpired() {
		return workermsg.Reply{}, fault.New(fault.Unavailable, "the lease of worker %s may have expired", ln.opts.Name)
	}
	return ln.call(ctx, func(seq uint64) workermsg.OwnerMessage {
		st.Seq, st.Epoch = seq, ln.opts.Epoch
		ln.mu.Lock()
		st.Nonce = ln.nonce
		ln.mu.Unlock()
		return workermsg.OwnerMessage{Start: &st}
	})
}

// Verb builds the message for an order about one task.
type Verb func(*workermsg.TaskOrder) workermsg.OwnerMessage

// Orders about one task.
var (
	StartPrepared Verb = func(to *workermsg.TaskOrder) workermsg.OwnerMessage { return workermsg.OwnerMessage{StartPrepared: to} }
	Stop          Verb = func(to *workermsg.TaskOrder) workermsg.OwnerMessage { return workermsg.OwnerMessage{Stop: to} }
	Fence         Verb = func(to *workermsg.TaskOrder) workermsg.OwnerMessage { return workermsg.OwnerMessage{Fence: to} }
	Checkpoint    Verb = func(to *workermsg.TaskOrder) workermsg.OwnerMessage { return workermsg.OwnerMessage{Checkpoint: to} }
)

// Order sends an order about a task and waits for the reply.
func (ln *Link) Order(ctx context.Context, vb Verb, task string) (workermsg.Reply, error) {
	return ln.call(ctx, func(seq uint64) workermsg.OwnerMessage {
		return vb(&workermsg.TaskOrder{Seq: seq, Epoch: ln.opts.Epoch, Task: task})
	})
}

// Throttle limits a task to a percentage of its processors.
func (ln *Link) Throttle(ctx context.Context, task string, percent int) (workermsg.Reply, error) {
	return ln.call(ctx, func(seq uint64) workermsg.OwnerMessage {
		return workermsg.OwnerMessage{Throttle: &workermsg.Throttle{
			Seq: seq, Epoch: ln.opts.Epoch, Task: task, Percent: percent,
		}}
	})
}

// Drain tells the worker to refuse new work. Running tasks continue.
func (ln *Link) Drain() error {
	return ln.control.Send(workermsg.OwnerMessage{Drain: &workermsg.DrainOrder{Epoch: ln.opts.Epoch}})
}

// Ack lets the worker forget an ended task.
func (ln *Link) Ack(task string) error {
	return ln.control.Send(workermsg.OwnerMessage{Ack: &workermsg.Ack{Task: task}})
}

// call sends an order and waits for its reply.
func (ln *Link) call(ctx context.Context, build func(seq uint64) workermsg.OwnerMessage) (workermsg.Reply, error) {
	seq := ln.seq.Add(1)
	wait := make(chan workermsg.Reply, 1)
	ln.mu.Lock()
	if ln.lost {
		ln.mu.Unlock()
		return workermsg.Reply{}, fault.New(fault.Unavailable, "worker %s is not attached", ln.opts.Name)
	}
	ln.pending[seq] = wait
	ln.mu.Unlock()
	defer ln.dropPending(seq)
	if err := ln.control.Send(build(seq)); err != nil {
		ln.end(err)
		return workermsg.Reply{}, ln.noReplyError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	select {
	case rp := <-wait:
		return rp, nil
	case <-ln.done:
		return workermsg.Reply{}, ln.noReplyError(errors.New("link was lost"))
	case <-ctx.Done():
		return workermsg.Reply{}, ln.noReplyError(ctx.Err())
	}
}

func (ln *Link) dropPending(seq uint64) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.pending, seq)
}

func (ln *Link) noReplyError(cause error) error {
	return fault.New(fault.Unavailable, "worker %s did not reply: %v", ln.opts.Name, cause).AfterStart()
}

// Lookup sends a lookup; the answer is reported as an event. If MayHaveRun of the error is set, the lookup may have
// been sent.
func (ln *Link) Lookup(lk workermsg.Lookup) error {
	ln.mu.Lock()
	lost := ln.lost
	ln.mu.Unlock()
	if lost || ln.LeaseExpired() {
		return fault.New(fault.Unavailable, "worker %s is not attached", ln.opts.Name)
	}
	lk.Epoch, lk.Session = ln.opts.Epoch, ln.hello.Session
	if err := ln.lookups.Send(workermsg.OwnerMessage{Lookup: &lk}); err != nil {
		ln.end(err)
		return ln.noReplyError(err)
	}
	return nil
}
