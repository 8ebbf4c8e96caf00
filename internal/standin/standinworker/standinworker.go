// Package standinworker is a small stand-in for a worker of the platform. It
// speaks the worker's protocol over TCP, runs pretended tasks and lookups, and
// writes down what really began and ended, so that a checker need not believe
// the scheduler.
package standinworker

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/frames"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/standin/jsonhttp"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// keptTasks bounds the memory of ended and fenced tasks.
const keptTasks = 8192

// Worker is one stand-in worker.
type Worker struct {
	opts        Options
	incarnation string
	listener    net.Listener
	server      *fasthttp.Server
	done        chan struct{}

	mu         sync.Mutex
	epoch      uint64
	control    *frames.Conn
	session    uint64
	conns      map[*frames.Conn]bool
	leaseUntil time.Time
	nonce      uint64
	beats      map[uint64]time.Time
	tasks      map[string]*task
	finished   []string
	lookups    map[string]pretended
	used       size.Size
	leaving    bool
	faults     Faults
	answered   int
	records    []Record
}

// task is one pretended task.
type task struct {
	state   workermsg.State
	begun   bool
	size    size.Size
	payload payload
	timer   *time.Timer
	// ends is when the task will end, and percent the part of its processors that
	// it has; saved is the work done at its last checkpoint.
	began   time.Time
	ends    time.Time
	percent int
	saved   time.Duration
	// resume is the work that the task did not have to do again.
	resume time.Duration
	// priority and repeatable are given back in the inventory.
	priority   int
	repeatable bool
}

// payload is what the stand-in reads of a task's payload.
type payload struct {
	// Run is how long the task runs, in seconds.
	Run float64 `json:"run"`
	// Fail makes the task end as failed.
	Fail bool `json:"fail"`
	// Mark is written into the records.
	Mark string `json:"mark"`
}

// pretended is one lookup under way.
type pretended struct {
	size size.Size
	mark string
}

// New starts a worker on its listen address.
func New(opts Options) (*Worker, error) {
	opts = opts.withDefaults()
	ln, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for worker %s", opts.Name)
	}
	wk := &Worker{
		opts:        opts,
		incarnation: ids.Random(6),
		listener:    ln,
		done:        make(chan struct{}),
		conns:       map[*frames.Conn]bool{},
		beats:       map[uint64]time.Time{},
		tasks:       map[string]*task{},
		lookups:     map[string]pretended{},
	}
	wk.server = &fasthttp.Server{
		Handler: wk.handle, NoDefaultServerHeader: true,
		KeepHijackedConns: true, // otherwise closing one has no effect
	}
	go func() { _ = wk.server.Serve(ln) }() // ends with the listener
	const checks = 20                       // looks at a lease in its length
	go wk.every(opts.Beat, wk.beat)
	go wk.every(opts.Lease/checks, wk.checkLease)
	return wk, nil
}

// Addr returns the address the worker listens on.
func (wk *Worker) Addr() string { return wk.listener.Addr().String() }

// Options returns what the worker was made with, defaults filled in.
func (wk *Worker) Options() Options { return wk.opts }

// Close ends the worker as a crash does: all its tasks end with it.
func (wk *Worker) Close() error {
	wk.mu.Lock()
	select {
	case <-wk.done:
		wk.mu.Unlock()
		return nil
	default:
	}
	close(wk.done)
	wk.control = nil // a crash reports nothing
	conns := make([]*frames.Conn, 0, len(wk.conns))
	for cn := range wk.conns {
		conns = append(conns, cn)
	}
	for id, tk := range wk.tasks {
		if !tk.state.Ended() {
			wk.finish(id, tk, workermsg.Stopped)
		}
	}
	wk.mu.Unlock()
	err := wk.listener.Close()
	for _, cn := range conns {
		_ = cn.Close() // the peer sees the end of the connection
	}
	return errors.Wrap(err, "close worker")
}

// SetFaults changes how the worker misbehaves from now on.
func (wk *Worker) SetFaults(ft Faults) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.faults = ft
}

// Leave makes the worker drain: it says so and refuses whatever is new.
func (wk *Worker) Leave() {
	wk.mu.Lock()
	wk.leaving = true
	cn := wk.control
	wk.mu.Unlock()
	if cn != nil {
		wk.send(cn, workermsg.WorkerMessage{Leaving: &workermsg.Leaving{}})
	}
}

// Records returns what began and ended on the worker so far.
func (wk *Worker) Records() []Record {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]Record(nil), wk.records...)
}

func (wk *Worker) record(id, event, mark string) {
	wk.note(Record{Task: id, Event: event, Mark: mark})
}

// note completes a record and keeps it. The caller holds the lock.
func (wk *Worker) note(rc Record) {
	rc.At, rc.Worker = time.Now(), wk.opts.Name
	rc.Lookup = strings.HasPrefix(rc.Task, lookupPrefix)
	wk.records = append(wk.records, rc)
	if wk.opts.Records == nil {
		return
	}
	if raw, err := json.Marshal(rc); err == nil {
		_, _ = wk.opts.Records.Write(append(raw, '\n')) // a checker misses what cannot be written
	}
}

// handle serves the worker's paths.
func (wk *Worker) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case workermsg.ControlPath:
		wk.upgrade(ctx, wk.serveControl)
	case workermsg.LookupPath:
		wk.upgrade(ctx, wk.serveLookups)
	case "/standin/records":
		jsonhttp.Write(ctx, wk.Records())
	case "/standin/leave":
		wk.Leave()
	case "/standin/faults":
		var ft Faults
		if !jsonhttp.Read(ctx, &ft) {
			return
		}
		wk.SetFaults(ft)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (wk *Worker) upgrade(ctx *fasthttp.RequestCtx, serve func(*frames.Conn)) {
	up := websocket.FastHTTPUpgrader{}
	err := up.Upgrade(ctx, func(ws *websocket.Conn) {
		cn := frames.New(ws)
		if !wk.admit(cn) {
			_ = cn.Close() // over the limit of connections
			return
		}
		serve(cn)
		wk.drop(cn)
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// admit counts a connection against the worker's limit.
func (wk *Worker) admit(cn *frames.Conn) bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	select {
	case <-wk.done:
		return false
	default:
	}
	if len(wk.conns) >= wk.opts.Connections {
		return false
	}
	wk.conns[cn] = true
	return true
}

func (wk *Worker) drop(cn *frames.Conn) {
	wk.mu.Lock()
	delete(wk.conns, cn)
	if wk.control == cn {
		wk.control = nil
	}
	wk.mu.Unlock()
	_ = cn.Close() // already ended
}

// send writes to a connection unless the worker is muted, and reports whether it
// did. A failed write ends the connection, and its reader notices.
func (wk *Worker) send(cn *frames.Conn, msg workermsg.WorkerMessage) bool {
	wk.mu.Lock()
	mute := wk.faults.Mute
	wk.mu.Unlock()
	if mute {
		return false
	}
	if err := cn.Send(msg); err != nil {
		_ = cn.Close()
		return false
	}
	return true
}

// every calls act each period until the worker is closed.
func (wk *Worker) every(period time.Duration, act func()) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-wk.done:
			return
		case <-tick.C:
			act()
		}
	}
}

// beat sends a heartbeat to the owner.
func (wk *Worker) beat() {
	wk.mu.Lock()
	cn := wk.control
	nonce := wk.nextNonce()
	usage := wk.usage()
	wk.mu.Unlock()
	if cn != nil {
		wk.send(cn, workermsg.WorkerMessage{Heartbeat: &workermsg.Heartbeat{Nonce: nonce, Usage: usage}})
	}
}

// nextNonce notes the moment of a new beat and forgets those beyond the lease.
func (wk *Worker) nextNonce() uint64 {
	now := time.Now()
	wk.nonce++
	wk.beats[wk.nonce] = now
	for nonce, at := range wk.beats {
		if now.Sub(at) > wk.opts.Lease {
			delete(wk.beats, nonce)
		}
	}
	return wk.nonce
}

// usage reports tasks that run; a pretended task uses three quarters of its size.
func (wk *Worker) usage() []workermsg.Usage {
	const used, whole = 3, 4
	var us []workermsg.Usage
	for id, tk := range wk.tasks {
		if tk.state != workermsg.Running {
			continue
		}
		sz := tk.size.Times(used)
		us = append(us, workermsg.Usage{Task: id, Size: size.New(sz[0]/whole, sz[1]/whole, sz[2]/whole)})
	}
	return us
}

// checkLease ends all tasks when the lease has run out.
func (wk *Worker) checkLease() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.epoch == 0 || time.Now().Before(wk.leaseUntil) {
		return
	}
	for id, tk := range wk.tasks {
		if !tk.state.Ended() {
			wk.finish(id, tk, workermsg.LeaseExpired)
		}
	}
}

// Cut ends all connections, as a broken link does; the worker goes on.
func (wk *Worker) Cut() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for cn := range wk.conns {
		_ = cn.Close() // its reader notices
	}
}
