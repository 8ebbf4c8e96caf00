package feed_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/bubbleclock"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/vmclock"
)

// Bandwidths of links in Mbit/s, and sizes in bytes.
const (
	smallLink, fastLink, storeLink = 10, 200, 1000
	// window is the part that arrives of an answer that the node rejects as too large.
	window = 64 << 10
	// routeBytes is the size of a route in the operators' configuration.
	routeBytes = 205
	// decodeRate is how many bytes of a configuration a node decodes per second.
	decodeRate = 10_000_000
	key        = "config"
)

// link is a bandwidth that is shared by transfers, in the time of the synctest bubble.
type link struct {
	mu   sync.Mutex
	mbps float64
	free time.Time
	sent int
}

// count returns how many bytes the link has sent since the last call.
func (li *link) count() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	sent := li.sent
	li.sent = 0
	return sent
}

// refund releases the reserved time of an aborted transfer that would have ended at the given time.
func (li *link) refund(bytes int, end time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	left := min(max(time.Until(end), 0), transferTime(bytes, li.mbps))
	li.free = li.free.Add(-left)
	li.sent -= int(left.Seconds() * li.mbps * 1e6 / 8)
}

// reserve reserves the link for a number of bytes, and returns when they have been sent.
func (li *link) reserve(bytes int) time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.sent += bytes
	if now := time.Now(); li.free.Before(now) {
		li.free = now
	}
	li.free = li.free.Add(transferTime(bytes, li.mbps))
	return li.free
}

// transferTime returns how long a number of bytes takes.
func transferTime(bytes int, mbps float64) time.Duration {
	return time.Duration(float64(bytes) * 8 / (mbps * 1e6) * float64(time.Second))
}

// node is a feed with its links and faults.
type node struct {
	// suspended is how long the node's VM was suspended.
	suspended atomic.Int64
	testbed   *testbed
	member    joblog.Member
	feed      *feed.Feed
	up, down  link

	mu     sync.Mutex
	active *routes.Config
	// Nodes that are silent answer no other node; for nodes that are cut off, the store does not answer.
	silent, cutOff bool
	// reset is closed when the node's connections are reset.
	reset chan struct{}
}

// testbed is a store and its nodes.
type testbed struct {
	t     *testing.T
	mem   *memkv.Store
	out   link
	nodes []*node

	mu       sync.Mutex
	versions map[uint64]*routes.Config
	version  uint64
	next     int
	// With peersSilent no node answers another; storeDelay is added to each answer of the store.
	peersSilent bool
	storeDelay  time.Duration
}

// newTestbed starts nodes with fast and with small links and a first version.
func newTestbed(t *testing.T, fast, small, count int) *testbed {
	bd := &testbed{t: t, mem: memkv.New(bubbleclock.New()), out: link{mbps: storeLink}, versions: map[uint64]*routes.Config{}}
	bd.write(count, 0)
	for n := range fast + small {
		mbps := float64(smallLink)
		if n < fast {
			mbps = fastLink
		}
		bd.nodes = append(bd.nodes, &node{
			testbed: bd, reset: make(chan struct{}), up: link{mbps: mbps}, down: link{mbps: mbps},
			member: joblog.Member{Node: fmt.Sprintf("n%04d", n), PeerAddr: fmt.Sprint(n), Link: mbps},
		})
	}
	for _, nd := range bd.nodes {
		nd.start()
	}
	return bd
}

// write writes a version to the store that has some more routes and lacks the first few.
func (bd *testbed) write(more, fewer int) {
	bd.mu.Lock()
	bd.version++
	cf := &routes.Config{Version: bd.version}
	if old := bd.versions[bd.version-1]; old != nil {
		cf.Routes = append(cf.Routes, old.Routes[fewer:]...)
	}
	for range more {
		name := fmt.Sprintf("r-%07d", bd.next)
		cf.Routes = append(cf.Routes, routes.Route{Host: "host01.example", Prefix: "/" + name + "/", Queue: work.Queue{
			Name: name, Service: "huvo11a", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second,
		}})
		bd.next++
	}
	bd.versions[bd.version] = cf
	value := make([]byte, 8+len(cf.Routes)*routeBytes)
	binary.BigEndian.PutUint64(value, bd.version)
	bd.mu.Unlock()
	bd.mem.Set(key, value)
}

// set changes the testbed while nodes run.
func (bd *testbed) set(change func()) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	change()
}

// faults returns whether nodes do not answer each other, and the delay of the store.
func (bd *testbed) faults() (peersSilent bool, storeDelay time.Duration) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.peersSilent, bd.storeDelay
}

// find returns the version that a value identifies, or nil.
func (bd *testbed) find(value []byte) *routes.Config {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.versions[binary.BigEndian.Uint64(value)]
}

// size returns the size of the present version as the store sends it.
func (bd *testbed) size() int { return len(bd.versions[bd.version].Routes) * routeBytes * 4 / 3 }

// start runs the node's feed until the test ends.
func (nd *node) start() {
	clock, err := vmclock.New(bubbleclock.New(), func() time.Duration { return time.Duration(nd.suspended.Load()) })
	if err != nil {
		nd.testbed.t.Fatal(err)
	}
	nd.feed = feed.New(clock, logr.Discard(), nd.store(), feed.Options{
		Key: key, Node: nd.member.Node, Link: nd.member.Link, Members: nd.testbed.members, Request: nd.request,
		Decode: func(item kv.Item) (*routes.Config, error) {
			time.Sleep(time.Duration(len(item.Value)) * time.Second / decodeRate)
			known := nd.testbed.find(item.Value)
			if known == nil {
				return nil, errors.New("unknown version")
			}
			cf := *known
			return &cf, nil
		},
		Activate: func(cf *routes.Config) bool {
			nd.set(func() { nd.active = cf })
			return true
		},
	})
	ctx, cancel := context.WithCancel(nd.testbed.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		nd.feed.Run(ctx)
	}()
	nd.testbed.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (bd *testbed) members() []joblog.Member {
	out := make([]joblog.Member, len(bd.nodes))
	for at, nd := range bd.nodes {
		out[at] = nd.member
	}
	return out
}

// store returns the node's client of the store, whose answers arrive over the node's link.
func (nd *node) store() *kv.Store {
	client := nd.testbed.mem.Client(nd.member.Node)
	get, watch := client.Get, client.WatchKey
	client.Get = func(ctx context.Context, key string, maxSize int) (kv.Item, uint64, error) {
		item, at, err := get(ctx, key, maxSize)
		return item, at, nd.arrive(ctx, len(item.Value), maxSize, err)
	}
	client.WatchKey = func(ctx context.Context, key string, after uint64, wait time.Duration, maxSize int) (kv.Events, error) {
		events, err := watch(ctx, key, after, wait, maxSize)
		bytes := 0
		for _, item := range events.Items {
			bytes += len(item.Value)
		}
		return events, nd.arrive(ctx, bytes, maxSize, err)
	}
	return client
}

// arrive waits until an answer of the store with a value of the given size has arrived.
func (nd *node) arrive(ctx context.Context, bytes, maxSize int, err error) error {
	bytes = bytes * 4 / 3
	switch {
	case err != nil && err != kv.ErrTooLarge:
		return err
	case err == kv.ErrTooLarge:
		bytes = window
	}
	nd.mu.Lock()
	reset, cutOff := nd.reset, nd.cutOff
	nd.mu.Unlock()
	_, storeDelay := nd.testbed.faults()
	if cutOff {
		<-ctx.Done()
		return kv.ErrNoAnswer
	}
	if !wait(ctx, reset, time.Now().Add(storeDelay)) {
		return kv.ErrNoAnswer
	}
	if !transfer(reset, bytes, &nd.testbed.out, &nd.down) {
		return kv.ErrNoAnswer
	}
	return err
}

// request sends a request to the feed of the node with the given address.
func (nd *node) request(ctx context.Context, address string, rq feed.Request) (feed.Response, error) {
	var at int
	if _, err := fmt.Sscan(address, &at); err != nil {
		return feed.Response{}, err
	}
	other := nd.testbed.nodes[at]
	nd.mu.Lock()
	reset := nd.reset
	nd.mu.Unlock()
	other.mu.Lock()
	silent := other.silent
	other.mu.Unlock()
	if peersSilent, _ := nd.testbed.faults(); peersSilent {
		silent = true
	}
	if silent {
		wait(ctx, reset, time.Now().Add(time.Hour))
		return feed.Response{}, fault.New(fault.Unavailable, "no answer")
	}
	rs, err := other.feed.Serve(ctx, rq)
	if err != nil {
		return rs, err
	}
	raw, err := cbor.Marshal(rs)
	if err != nil {
		return rs, err
	}
	var sent feed.Response
	if err := cbor.Unmarshal(raw, &sent); err != nil {
		return rs, err
	}
	if !transfer(reset, len(raw), &other.up, &nd.down) {
		return rs, fault.New(fault.Unavailable, "reset")
	}
	return sent, nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transfer sends bytes over two links, and reports whether they arrived.
func transfer(reset <-chan struct{}, bytes int, from, to *link) bool {
	sent, arrived := from.reserve(bytes), to.reserve(bytes)
	if wait(context.Background(), reset, latest(sent, arrived)) {
		return true
	}
	from.refund(bytes, sent)
	to.refund(bytes, arrived)
	return false
}

// wait waits until the given time, and reports whether neither a reset nor the context ended it before.
func wait(ctx context.Context, reset <-chan struct{}, end time.Time) bool {
	select {
	case <-bubbleclock.New().After(time.Until(end)):
		return true
	case <-reset:
	case <-ctx.Done():
	}
	return false
}

// resetConnections resets the node's connections.
func (nd *node) resetConnections() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	close(nd.reset)
	nd.reset = make(chan struct{})
}

// upToDate reports whether the newest version is active on the node, or the node is silent.
func (nd *node) upToDate() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.silent || nd.active != nil && nd.active.Version == nd.testbed.version // only the test's goroutine writes it
}

// set changes a node while it runs.
func (nd *node) set(change func()) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	change()
}

// awaitActive waits until the newest version is active on every node, and returns how long that took.
func (bd *testbed) awaitActive(timeout time.Duration) time.Duration {
	began := time.Now()
	for _, nd := range bd.nodes {
		for !nd.upToDate() && time.Since(began) < timeout {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}
