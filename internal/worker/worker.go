// Package worker is the owner's side of one worker: it takes and renews the
// worker's lease, gives orders, and sends lookups.
//
// A call that fails before it was sent says so; one that fails afterwards is
// marked as begun, and only the worker's inventory can settle it.
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

// orderTimeout bounds the wait for the reply to an order.
const orderTimeout = 3 * time.Second

// Events are what a link tells its owner. They are called one at a time for
// each connection and must not wait for the link.
type Events struct {
	// Ended reports the end of a task.
	Ended func(workermsg.Ended)
	// Answered reports the answer to a lookup, however late.
	Answered func(workermsg.Answer)
	// Beat reports a heartbeat that was answered.
	Beat func(workermsg.Beat)
	// Leaving reports that the worker takes nothing new.
	Leaving func()
	// Lost reports, once, that the link has ended.
	Lost func(error)
}

// Options of a link.
type Options struct {
	Name  string
	Addr  string
	Owner string
	Epoch uint64
	// Dial opens one connection; Dial of this package speaks WebSocket.
	Dial func(ctx context.Context, addr, path string) (*frames.Conn, error)
}

// Link is one owner's attachment to one worker.
type Link struct {
	opts    Options
	clock   clockwork.Clock
	events  Events
	control *frames.Conn
	lookups *frames.Conn
	hello   workermsg.Hello

	seq     atomic.Uint64
	mu      sync.Mutex
	nonce   uint64
	beatAt  time.Time
	pending map[uint64]chan workermsg.Reply
	lost    bool
	done    chan struct{}
}

// New connects to a worker and takes its lease. A worker that has seen a higher
// epoch refuses, with an error of kind Conflict.
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
	if err := ln.control.Send(workermsg.To{Attach: &at}); err != nil {
		return err
	}
	var msg workermsg.From
	if err := ln.control.Receive(&msg); err != nil {
		return err
	}
	switch {
	case msg.Refused != nil:
		return fault.New(fault.Conflict, "worker %s has an owner of epoch %d, ours is %d",
			ln.opts.Name, msg.Refused.Epoch, ln.opts.Epoch)
	case msg.Hello == nil:
		return errors.Errorf("worker %s did not greet", ln.opts.Name)
	case msg.Hello.Worker != ln.opts.Name:
		return fault.New(fault.Conflict, "worker %s is at the address of worker %s", msg.Hello.Worker, ln.opts.Name)
	}
	ln.hello = *msg.Hello
	ln.nonce = msg.Hello.Nonce
	ln.beatAt = ln.clock.Now()
	return nil
}

// Hello returns what the worker said when the link was made.
func (ln *Link) Hello() workermsg.Hello { return ln.hello }

// Epoch returns the epoch that the lease was taken with.
func (ln *Link) Epoch() uint64 { return ln.opts.Epoch }

// Can reports whether the worker has a capability.
func (ln *Link) Can(cp workermsg.Capability) bool {
	for _, has := range ln.hello.Capabilities {
		if has == cp {
			return true
		}
	}
	return false
}

// BeatAt returns when the last heartbeat came that was answered. The worker's
// lease ends no later than its length after that moment.
func (ln *Link) BeatAt() time.Time {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.beatAt
}

// Traffic returns the bytes on the control connection so far.
func (ln *Link) Traffic() (sent, received int64) { return ln.control.Traffic() }

func (ln *Link) readControl() {
	for {
		var msg workermsg.From
		if err := ln.control.Receive(&msg); err != nil {
			ln.end(err)
			return
		}
		ln.onControl(msg)
	}
}

func (ln *Link) onControl(msg workermsg.From) {
	switch {
	case msg.Beat != nil:
		ln.renew(*msg.Beat)
	case msg.Reply != nil:
		ln.settle(*msg.Reply)
	case msg.Ended != nil:
		ln.events.Ended(*msg.Ended)
	case msg.Leaving != nil:
		ln.events.Leaving()
	}
}

// renew answers a heartbeat. An owner whose lease of this epoch has run out on
// its own clock was paused, and gives up instead.
func (ln *Link) renew(bt workermsg.Beat) {
	if ln.Lapsed() {
		ln.end(errors.New("lease ran out while the owner or the worker was paused"))
		return
	}
	ln.mu.Lock()
	ln.nonce = bt.Nonce
	ln.beatAt = ln.clock.Now()
	ln.mu.Unlock()
	rn := workermsg.Renew{Epoch: ln.opts.Epoch, Nonce: bt.Nonce}
	if err := ln.control.Send(workermsg.To{Renew: &rn}); err != nil {
		ln.end(err)
		return
	}
	ln.events.Beat(bt)
}

// Lapsed reports whether the worker's lease may have run out, by this owner's
// own clock. It is asked right before anything is sent that needs the lease.
func (ln *Link) Lapsed() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.clock.Since(ln.beatAt) > ln.hello.Lease
}

func (ln *Link) settle(rp workermsg.Reply) {
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
		var msg workermsg.From
		if err := ln.lookups.Receive(&msg); err != nil {
			ln.end(err)
			return
		}
		if msg.Answer != nil {
			ln.events.Answered(*msg.Answer)
		}
	}
}

// end closes the link once and tells the owner.
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

// Close ends the link without giving the lease back.
func (ln *Link) Close() { ln.end(errors.New("link was closed")) }

// Detach gives the lease back and ends the link.
func (ln *Link) Detach() {
	_ = ln.control.Send(workermsg.To{Detach: &workermsg.Detach{Epoch: ln.opts.Epoch}}) // a lost one only delays
	ln.Close()
}

// Start begins a task or, prepared, makes it ready to begin.
func (ln *Link) Start(ctx context.Context, st workermsg.Start) (workermsg.Reply, error) {
	if ln.Lapsed() {
		return workermsg.Reply{}, fault.New(fault.Unavailable, "the lease of worker %s may have run out", ln.opts.Name)
	}
	return ln.ask(ctx, func(seq uint64) workermsg.To {
		st.Seq, st.Epoch = seq, ln.opts.Epoch
		ln.mu.Lock()
		st.Nonce = ln.nonce
		ln.mu.Unlock()
		return workermsg.To{Start: &st}
	})
}

// Verb is an order about one task.
type Verb func(*workermsg.TaskOrder) workermsg.To

// The orders about one task.
var (
	Go         Verb = func(to *workermsg.TaskOrder) workermsg.To { return workermsg.To{Go: to} }
	Stop       Verb = func(to *workermsg.TaskOrder) workermsg.To { return workermsg.To{Stop: to} }
	Fence      Verb = func(to *workermsg.TaskOrder) workermsg.To { return workermsg.To{Fence: to} }
	Checkpoint Verb = func(to *workermsg.TaskOrder) workermsg.To { return workermsg.To{Checkpoint: to} }
)

// Order gives an order about a task and waits for the reply.
func (ln *Link) Order(ctx context.Context, vb Verb, task string) (workermsg.Reply, error) {
	return ln.ask(ctx, func(seq uint64) workermsg.To {
		return vb(&workermsg.TaskOrder{Seq: seq, Epoch: ln.opts.Epoch, Task: task})
	})
}

// Throttle slows a task to a percentage of its processors.
func (ln *Link) Throttle(ctx context.Context, task string, percent int) (workermsg.Reply, error) {
	return ln.ask(ctx, func(seq uint64) workermsg.To {
		return workermsg.To{Throttle: &workermsg.Throttle{
			Seq: seq, Epoch: ln.opts.Epoch, Task: task, Percent: percent,
		}}
	})
}

// Leave tells the worker to drain.
func (ln *Link) Leave() error {
	return ln.control.Send(workermsg.To{Leave: &workermsg.LeaveOrder{Epoch: ln.opts.Epoch}})
}

// Ack lets the worker forget an ended task.
func (ln *Link) Ack(task string) error {
	return ln.control.Send(workermsg.To{Ack: &workermsg.Ack{Task: task}})
}

// ask sends an order and waits for its reply.
func (ln *Link) ask(ctx context.Context, build func(seq uint64) workermsg.To) (workermsg.Reply, error) {
	seq := ln.seq.Add(1)
	wait := make(chan workermsg.Reply, 1)
	ln.mu.Lock()
	if ln.lost {
		ln.mu.Unlock()
		return workermsg.Reply{}, fault.New(fault.Unavailable, "worker %s is not attached", ln.opts.Name)
	}
	ln.pending[seq] = wait
	ln.mu.Unlock()
	defer ln.abandon(seq)
	if err := ln.control.Send(build(seq)); err != nil {
		ln.end(err)
		return workermsg.Reply{}, ln.unknown(err)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	select {
	case rp := <-wait:
		return rp, nil
	case <-ln.done:
		return workermsg.Reply{}, ln.unknown(errors.New("link was lost"))
	case <-ctx.Done():
		return workermsg.Reply{}, ln.unknown(ctx.Err())
	}
}

func (ln *Link) abandon(seq uint64) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.pending, seq)
}

func (ln *Link) unknown(cause error) error {
	return fault.New(fault.Unavailable, "worker %s did not reply: %v", ln.opts.Name, cause).MarkMayHaveRun()
}

// Lookup sends a lookup; the answer comes as an event. An error with Begun set
// means that the lookup may have been sent.
func (ln *Link) Lookup(lk workermsg.Lookup) error {
	ln.mu.Lock()
	lost := ln.lost
	ln.mu.Unlock()
	if lost || ln.Lapsed() {
		return fault.New(fault.Unavailable, "worker %s is not attached", ln.opts.Name)
	}
	lk.Epoch, lk.Session = ln.opts.Epoch, ln.hello.Session
	if err := ln.lookups.Send(workermsg.To{Lookup: &lk}); err != nil {
		ln.end(err)
		return ln.unknown(err)
	}
	return nil
}
