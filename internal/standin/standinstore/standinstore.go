// Package standinstore implements a fake of the platform's key-value service with compare-and-swap, leases, watches,
// rate limits and injected faults.
package standinstore

import (
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/standin/jsonhttp"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// Options configure the stand-in.
type Options struct {
	Listen string
	// WriteRate and ReadRate limit the calls per second.
	WriteRate float64
	ReadRate  float64
}

// Rate limits of the platform's service, in calls per second.
const (
	DefaultWriteRate = 100
	DefaultReadRate  = 2000
)

// maxEvents bounds the history of changes from which a watch can resume.
const maxEvents = 8192

// Faults are injected into the store's behavior.
type Faults struct {
	// Down answers every call with status 503 and does not execute it.
	Down bool `json:"down"`
	// Hang accepts calls but neither executes nor answers them.
	Hang bool `json:"hang"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// DropResponseEvery executes every n-th write but closes its connection instead of answering.
	DropResponseEvery int `json:"lose_every"`
}

// Counts holds counters of the calls, and the current revision.
type Counts struct {
	Reads            int64 `json:"reads"`
	Writes           int64 `json:"writes"`
	RateLimited      int64 `json:"refused"`
	ResponsesDropped int64 `json:"lost"`
	Revision         int64 `json:"revision"`
	Bytes            int64 `json:"bytes"`
}

// Store is a stand-in key-value service.
type Store struct {
	listener net.Listener
	server   *fasthttp.Server
	reads    *rate.Limiter
	writes   *rate.Limiter
	done     chan struct{}

	mu       sync.Mutex
	revision uint64
	items    map[string]*entry
	events   []storemsg.Item
	leases   map[string]*lease
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

type entry struct {
	value   []byte
	version uint64
	lease   string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New starts a store that listens on opts.Listen.
func New(opts Options) (*Store, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.WriteRate == 0 {
		opts.WriteRate = DefaultWriteRate
	}
	if opts.ReadRate == 0 {
		opts.ReadRate = DefaultReadRate
	}
	ln, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for store")
	}
	st := &Store{
		listener: ln,
		reads:    rate.NewLimiter(rate.Limit(opts.ReadRate), int(opts.ReadRate)),
		writes:   rate.NewLimiter(rate.Limit(opts.WriteRate), int(opts.WriteRate)),
		done:     make(chan struct{}),
		items:    map[string]*entry{},
		leases:   map[string]*lease{},
		changed:  make(chan struct{}),
	}
	st.server = &fasthttp.Server{
		Handler:               st.handle,
		MaxRequestBodySize:    2 * storemsg.MaxValue,
		NoDefaultServerHeader: true,
	}
	go func() { _ = st.server.Serve(ln) }() // returns when the listener is closed
	go st.expireLoop()
	return st, nil
}

// Addr returns the listen address.
func (st *Store) Addr() string { return st.listener.Addr().String() }

// Close stops the store.
func (st *Store) Close() error {
	st.mu.Lock()
	select {
	case <-st.done:
	default:
		close(st.done)
	}
	st.mu.Unlock()
	return errors.Wrap(st.listener.Close(), "close store")
}

// SetFaults replaces the injected faults.
func (st *Store) SetFaults(ft Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.faults = ft
}

// Counts returns the current counters.
func (st *Store) Counts() Counts {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.counts.Revision = int64(st.revision)
	return st.counts
}

func (st *Store) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/standin/") {
		st.handleStandin(ctx, path)
		return
	}
	if !st.applyFaults(ctx) {
		return
	}
	switch path {
	case storemsg.GetPath:
		serve(ctx, st.reads, st, st.get)
	case storemsg.PutPath:
		serve(ctx, st.writes, st, st.put)
	case storemsg.LeasePath:
		serve(ctx, st.writes, st, st.lease)
	case storemsg.WatchPath:
		serve(ctx, st.reads, st, st.watch)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (st *Store) handleStandin(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/standin/faults":
		var ft Faults
		if !jsonhttp.Read(ctx, &ft) {
			return
		}
		st.SetFaults(ft)
	case "/standin/counts":
		jsonhttp.Write(ctx, st.Counts())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// applyFaults applies the faults that precede the execution of a call, and reports whether to execute it.
func (st *Store) applyFaults(ctx *fasthttp.RequestCtx) bool {
	st.mu.Lock()
	ft := st.faults
	st.mu.Unlock()
	if ft.Slow > 0 {
		time.Sleep(ft.Slow)
	}
	if ft.Hang {
		<-st.done
		return false
	}
	if ft.Down {
		ctx.Error("store is down", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

// serve decodes a request, applies the rate limit, executes it and writes the response.
func serve[Req, Res any](
	ctx *fasthttp.RequestCtx, limit *rate.Limiter, st *Store, act func(Req) (Res, int),
) {
	write := limit == st.writes
	if !limit.Allow() {
		st.count(func(ct *Counts) { ct.RateLimited++ })
		ctx.Error("rate limit exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	var req Req
	if !jsonhttp.Read(ctx, &req) {
		return
	}
	st.count(func(ct *Counts) {
		ct.Bytes += int64(len(ctx.PostBody()))
		if write {
			ct.Writes++
		} else {
			ct.Reads++
		}
	})
	res, status := act(req)
	if write && st.dropsResponse() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	jsonhttp.Write(ctx, res)
	ctx.SetStatusCode(status)
}

func (st *Store) count(add func(*Counts)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	add(&st.counts)
}

// dropsResponse reports whether the response to the current write is dropped.
func (st *Store) dropsResponse() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.faults.DropResponseEvery == 0 || st.counts.Writes%int64(st.faults.DropResponseEvery) != 0 {
		return false
	}
	st.counts.ResponsesDropped++
	return true
}

func (st *Store) get(req storemsg.GetRequest) (storemsg.ItemsResponse, int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	res := storemsg.ItemsResponse{Revision: st.revision}
	for key, en := range st.items {
		if key == req.Key || req.Prefix != "" && strings.HasPrefix(key, req.Prefix) {
			res.Items = append(res.Items, storemsg.Item{Key: key, Value: en.value, Version: en.version})
		}
	}
	sort.Slice(res.Items, func(i, j int) bool { return res.Items[i].Key < res.Items[j].Key })
	return res, fasthttp.StatusOK
}

func (st *Store) put(req storemsg.PutRequest) (storemsg.PutResponse, int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if req.Key == "" || len(req.Value) > storemsg.MaxValue {
		return storemsg.PutResponse{}, fasthttp.StatusRequestEntityTooLarge
	}
	current, found := st.items[req.Key]
	var version uint64
	item := storemsg.Item{Key: req.Key}
	if found {
		version = current.version
		item.Value, item.Version = current.value, current.version
	}
	if version != req.Version {
		return storemsg.PutResponse{Item: item}, fasthttp.StatusConflict
	}
	if _, ok := st.leases[req.Lease]; req.Lease != "" && !ok {
		return storemsg.PutResponse{Item: item}, fasthttp.StatusGone
	}
	if req.Delete {
		return storemsg.PutResponse{OK: true, Item: st.remove(req.Key)}, fasthttp.StatusOK
	}
	st.revision++
	st.items[req.Key] = &entry{value: req.Value, version: st.revision, lease: req.Lease}
	item = storemsg.Item{Key: req.Key, Value: req.Value, Version: st.revision}
	st.emit(item)
	return storemsg.PutResponse{OK: true, Item: item}, fasthttp.StatusOK
}

func (st *Store) remove(key string) storemsg.Item {
	st.revision++
	delete(st.items, key)
	item := storemsg.Item{Key: key, Version: st.revision, Deleted: true}
	st.emit(item)
	return item
}

func (st *Store) emit(item storemsg.Item) {
	st.events = append(st.events, item)
	if len(st.events) > maxEvents {
		st.events = append([]storemsg.Item(nil), st.events[len(st.events)-maxEvents/2:]...)
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) lease(req storemsg.LeaseRequest) (storemsg.LeaseResponse, int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	ttl := time.Duration(req.TTL) * time.Millisecond
	if ttl <= 0 {
		return storemsg.LeaseResponse{}, fasthttp.StatusBadRequest
	}
	if req.ID == "" {
		req.ID = ids.Random(8)
		st.leases[req.ID] = &lease{ttl: ttl}
	}
	ls, ok := st.leases[req.ID]
	if !ok {
		return storemsg.LeaseResponse{}, fasthttp.StatusGone
	}
	ls.expires = time.Now().Add(ls.ttl)
	return storemsg.LeaseResponse{ID: req.ID, TTL: ls.ttl.Milliseconds()}, fasthttp.StatusOK
}

// expireLoop removes expired leases and their keys periodically.
func (st *Store) expireLoop() {
	const period = 50 * time.Millisecond
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-st.done:
			return
		case <-tick.C:
			st.expire(time.Now())
		}
	}
}

func (st *Store) expire(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, ls := range st.leases {
		if now.Before(ls.expires) {
			continue
		}
		delete(st.leases, id)
		for key, en := range st.items {
			if en.lease == id {
				st.remove(key)
			}
		}
	}
}

func (st *Store) watch(req storemsg.WatchRequest) (storemsg.ItemsResponse, int) {
	deadline := time.NewTimer(time.Duration(req.Wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		res, changed := st.eventsSince(req)
		if len(res.Items) > 0 || res.Compacted {
			return res, fasthttp.StatusOK
		}
		select {
		case <-changed:
		case <-deadline.C:
			return res, fasthttp.StatusOK
		case <-st.done:
			return res, fasthttp.StatusServiceUnavailable
		}
	}
}

func (st *Store) eventsSince(req storemsg.WatchRequest) (storemsg.ItemsResponse, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	res := storemsg.ItemsResponse{Revision: st.revision}
	if len(st.events) > 0 && st.events[0].Version > req.After+1 {
		res.Compacted = true
		return res, st.changed
	}
	for _, item := range st.events {
		if item.Version > req.After && strings.HasPrefix(item.Key, req.Prefix) {
			res.Items = append(res.Items, item)
		}
	}
	return res, st.changed
}
