// Package standinworker implements a fake worker of the platform for tests. It speaks the worker protocol over TCP,
// simulates tasks and lookups, and records what started and ended, so that a checker does not depend on what the
// scheduler reports.
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

// maxEndedTasks bounds the number of ended and fenced tasks that are kept.
const maxEndedTasks = 8192

// Worker is a stand-in worker.
type Worker struct {
	opts        Options
	incarnation string
	listener    net.Listener
	server      *fasthttp.Server
	done        chan struct{}

	mu          sync.Mutex
	epoch       uint64
	control     *frames.Conn
	session     uint64
	conns       map[*frames.Conn]bool
	leaseUntil  time.Time
	nonce       uint64
	heartbeats  map[uint64]time.Time
	tasks       map[string]*task
	finished    []string
	lookups     map[string]runningLookup
	used        size.Size
	leaving     bool
	faults      Faults
	lookupCount int
	records     []Record
}

// task is a simulated task.
type task struct {
	state   workermsg.State
	started bool
	size    size.Size
	payload payload
	timer   *time.Timer
	// endsAt is when the task will end, percent the share of its processors that it has, and saved its progress at
	// the last checkpoint.
	startedAt time.Time
	endsAt    time.Time
	percent   int
	saved     time.Duration
	// resume is the progress from which the task resumed.
	resume time.Duration
	// priority and repeatable are reported in the inventory.
	priority   int
	repeatable bool
}

// payload holds the fields of a task's payload that the stand-in reads.
type payload struct {
	// Run is the run time in seconds.
	Run float64 `json:"run"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail"`
	// Mark is copied to the records.
	Mark string `json:"mark"`
}

// runningLookup is a lookup that has not ended yet.
type runningLookup struct {
	size size.Size
	mark string
}

// New starts a worker that listens on opts.Listen.
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
		heartbeats:  map[uint64]time.Time{},
		tasks:       map[string]*task{},
		lookups:     map[string]runningLookup{},
	}
	wk.server = &fasthttp.Server{
		Handler: wk.handle, NoDefaultServerHeader: true,
		KeepHijackedConns: true, // otherwise closing a hijacked connection has no effect
	}
	go func() { _ = wk.server.Serve(ln) }() // returns when the listener is closed
	const checks = 20                       // lease checks per lease TTL
	go wk.runPeriodically(opts.HeartbeatInterval, wk.sendHeartbeat)
	go wk.runPeriodically(opts.LeaseTTL/checks, wk.checkLease)
	return wk, nil
}

// Addr returns the listen address.
func (wk *Worker) Addr() string { return wk.listener.Addr().String() }

// Options returns the worker's options, including defaults.
func (wk *Worker) Options() Options { return wk.opts }

// Close stops the worker as a crash does: all its tasks end without a report.
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
		_ = cn.Close() // the peer notices that the connection is closed
	}
	return errors.Wrap(err, "close worker")
}

// SetFaults replaces the injected faults.
func (wk *Worker) SetFaults(ft Faults) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.faults = ft
}

// Drain starts to drain the worker: it notifies its owner and refuses new tasks and lookups.
func (wk *Worker) Drain() {
	wk.mu.Lock()
	wk.leaving = true
	cn := wk.control
	wk.mu.Unlock()
	if cn != nil {
		wk.send(cn, workermsg.WorkerMessage{Leaving: &workermsg.Leaving{}})
	}
}

// Records returns all records since the worker started.
func (wk *Worker) Records() []Record {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]Record(nil), wk.records...)
}

func (wk *Worker) recordEvent(id, event, mark string) {
	wk.appendRecord(Record{Task: id, Event: event, Mark: mark})
}

// appendRecord completes and stores a record. The caller holds the lock.
func (wk *Worker) appendRecord(rc Record) {
	rc.At, rc.Worker = time.Now(), wk.opts.Name
	rc.Lookup = strings.HasPrefix(rc.Task, lookupPrefix)
	wk.records = append(wk.records, rc)
	if wk.opts.Records == nil {
		return
	}
	if raw, err := json.Marshal(rc); err == nil {
		_, _ = wk.opts.Records.Write(append(raw, '\n')) // best effort: a checker misses records that can't be written
	}
}

func (wk *Worker) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case workermsg.ControlPath:
		wk.upgrade(ctx, wk.serveControl)
	case workermsg.LookupPath:
		wk.upgrade(ctx, wk.serveLookups)
	case "/standin/records":
		jsonhttp.Write(ctx, wk.Records())
	case "/standin/leave":
		wk.Drain()
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
			_ = cn.Close() // over the connection limit, or the worker is closed
			return
		}
		serve(cn)
		wk.removeConn(cn)
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// admit registers a connection unless the connection limit is reached.
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

func (wk *Worker) removeConn(cn *frames.Conn) {
	wk.mu.Lock()
	delete(wk.conns, cn)
	if wk.control == cn {
		wk.control = nil
	}
	wk.mu.Unlock()
	_ = cn.Close() // it may be closed already
}

// send writes a message unless the fault DropSends is set, and reports whether it was written. A failed write closes
// the connection, which its reader notices.
func (wk *Worker) send(cn *frames.Conn, msg workermsg.WorkerMessage) bool {
	wk.mu.Lock()
	drop := wk.faults.DropSends
	wk.mu.Unlock()
	if drop {
		return false
	}
	if err := cn.Send(msg); err != nil {
		_ = cn.Close()
		return false
	}
	return true
}

// runPeriodically calls act once per period until the worker is closed.
func (wk *Worker) runPeriodically(period time.Duration, act func()) {
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

// sendHeartbeat sends a heartbeat to the owner, if one is connected.
func (wk *Worker) sendHeartbeat() {
	wk.mu.Lock()
	cn := wk.control
	nonce := wk.nextNonce()
	usage := wk.usage()
	wk.mu.Unlock()
	if cn != nil {
		wk.send(cn, workermsg.WorkerMessage{Heartbeat: &workermsg.Heartbeat{Nonce: nonce, Usage: usage}})
	}
}

// nextNonce records the time of a new heartbeat and drops heartbeats older than the lease TTL.
func (wk *Worker) nextNonce() uint64 {
	now := time.Now()
	wk.nonce++
	wk.heartbeats[wk.nonce] = now
	for nonce, at := range wk.heartbeats {
		if now.Sub(at) > wk.opts.LeaseTTL {
			delete(wk.heartbeats, nonce)
		}
	}
	return wk.nonce
}

// usage returns the usage of the running tasks; a simulated task uses three quarters of its size.
func (wk *Worker) usage() []workermsg.Usage {
	const numerator, denominator = 3, 4
	var us []workermsg.Usage
	for id, tk := range wk.tasks {
		if tk.state != workermsg.Running {
			continue
		}
		sz := tk.size.Times(numerator)
		us = append(us, workermsg.Usage{Task: id, Size: size.New(sz[0]/denominator, sz[1]/denominator, sz[2]/denominator)})
	}
	return us
}

// checkLease ends all tasks if the lease has expired.
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

// CloseConnections closes all connections, as a broken network link does; the worker continues to run.
func (wk *Worker) CloseConnections() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for cn := range wk.conns {
		_ = cn.Close() // the connection's reader notices
	}
}
