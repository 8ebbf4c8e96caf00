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
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/vmclock"
)

// Links, in Mbit/s, and sizes.
const (
	smallLink, fastLink, storeLink = 10, 200, 1000
	// window is what comes of an answer that is not taken.
	window = 64 << 10
	// routeBytes is a route as operators write it.
	routeBytes = 205
	// decodePace is how much of a configuration a node reads a second, in bytes.
	decodePace = 10_000_000
	key        = "config"
)

// link is a bandwidth that transfers share. Its times are the bubble's.
type link struct {
	mu   sync.Mutex
	mbps float64
	free time.Time
	sent int
}

// count returns how many bytes the link has sent since the last count.
func (li *link) count() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	sent := li.sent
	li.sent = 0
	return sent
}

// back gives the time back of bytes that do not come, of a transfer that would end at a time.
func (li *link) back(bytes int, end time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	left := min(max(time.Until(end), 0), transfer(bytes, li.mbps))
	li.free = li.free.Add(-left)
	li.sent -= int(left.Seconds() * li.mbps * 1e6 / 8)
}

// pass reserves the time for a number of bytes, and returns when they are through.
func (li *link) pass(bytes int) time.Time {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.sent += bytes
	if now := time.Now(); li.free.Before(now) {
		li.free = now
	}
	li.free = li.free.Add(transfer(bytes, li.mbps))
	return li.free
}

// transfer is how long a number of bytes takes.
func transfer(bytes int, mbps float64) time.Duration {
	return time.Duration(float64(bytes) * 8 / (mbps * 1e6) * float64(time.Second))
}

// node is a feed with its links and faults.
type node struct {
	// suspended is for how long the node's VM was suspended.
	suspended atomic.Int64
	bed       *bed
	member    joblog.Member
	feed      *feed.Feed
	up, down  link

	mu    sync.Mutex
	taken *routes.Config
	// dead nodes answer nobody; cut ones get no answer of the store.
	dead, cut bool
	// reset is closed when the node's connections end.
	reset chan struct{}
}

// bed is a store and nodes.
type bed struct {
	t     *testing.T
	mem   *memkv.Store
	out   link
	nodes []*node

	mu       sync.Mutex
	versions map[uint64]*routes.Config
	version  uint64
	next     int
	// mute has no node answer another one; slow is how much longer the store takes.
	mute bool
	slow time.Duration
}

// newBed starts fast and small nodes with a first version.
func newBed(t *testing.T, fast, small, count int) *bed {
	bd := &bed{t: t, mem: memkv.New(clockwork.NewRealClock()), out: link{mbps: storeLink}, versions: map[uint64]*routes.Config{}}
	bd.write(count, 0)
	for n := range fast + small {
		mbps := float64(smallLink)
		if n < fast {
			mbps = fastLink
		}
		bd.nodes = append(bd.nodes, &node{
			bed: bd, reset: make(chan struct{}), up: link{mbps: mbps}, down: link{mbps: mbps},
			member: joblog.Member{Node: fmt.Sprintf("n%04d", n), PeerAddr: fmt.Sprint(n), Link: mbps},
		})
	}
	for _, nd := range bd.nodes {
		nd.start()
	}
	return bd
}

// write puts a version in the store that has some routes more, and lacks the first few.
func (bd *bed) write(more, fewer int) {
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

// set changes the bed while nodes run.
func (bd *bed) set(change func()) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	change()
}

// faults returns whether nodes answer none, and how much longer the store takes.
func (bd *bed) faults() (mute bool, slow time.Duration) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.mute, bd.slow
}

// find returns the version that a value names, nil where there is none.
func (bd *bed) find(value []byte) *routes.Config {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return bd.versions[binary.BigEndian.Uint64(value)]
}

// size is what the present version takes on the wire of the store.
func (bd *bed) size() int { return len(bd.versions[bd.version].Routes) * routeBytes * 4 / 3 }

// start runs the node's feed until the test ends.
func (nd *node) start() {
	clock, err := vmclock.New(clockwork.NewRealClock(), func() time.Duration { return time.Duration(nd.suspended.Load()) })
	if err != nil {
		nd.bed.t.Fatal(err)
	}
	nd.feed = feed.New(clock, logr.Discard(), nd.store(), feed.Options{
		Key: key, Node: nd.member.Node, Link: nd.member.Link, Members: nd.bed.members, Request: nd.ask,
		Decode: func(item kv.Item) (*routes.Config, error) {
			time.Sleep(time.Duration(len(item.Value)) * time.Second / decodePace)
			known := nd.bed.find(item.Value)
			if known == nil {
				return nil, errors.New("unreadable")
			}
			cf := *known
			return &cf, nil
		},
		Activate: func(cf *routes.Config) bool {
			nd.set(func() { nd.taken = cf })
			return true
		},
	})
	ctx, cancel := context.WithCancel(nd.bed.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		nd.feed.Run(ctx)
	}()
	nd.bed.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (bd *bed) members() []joblog.Member {
	out := make([]joblog.Member, len(bd.nodes))
	for at, nd := range bd.nodes {
		out[at] = nd.member
	}
	return out
}

// store is the store as the node sees it, over its link.
func (nd *node) store() *kv.Store {
	client := nd.bed.mem.Client(nd.member.Node)
	get, watch := client.Get, client.WatchKey
	client.Get = func(ctx context.Context, key string, most int) (kv.Item, uint64, error) {
		item, at, err := get(ctx, key, most)
		return item, at, nd.arrive(ctx, len(item.Value), most, err)
	}
	client.WatchKey = func(ctx context.Context, key string, after uint64, wait time.Duration, most int) (kv.Events, error) {
		events, err := watch(ctx, key, after, wait, most)
		bytes := 0
		for _, item := range events.Items {
			bytes += len(item.Value)
		}
		return events, nd.arrive(ctx, bytes, most, err)
	}
	return client
}

// arrive waits until an answer of the store with a value of some bytes has come.
func (nd *node) arrive(ctx context.Context, bytes, most int, err error) error {
	bytes = bytes * 4 / 3
	switch {
	case err != nil && err != kv.ErrTooLarge:
		return err
	case err == kv.ErrTooLarge:
		bytes = window
	}
	nd.mu.Lock()
	reset, cut := nd.reset, nd.cut
	nd.mu.Unlock()
	_, slow := nd.bed.faults()
	if cut {
		<-ctx.Done()
		return kv.ErrNoAnswer
	}
	if !wait(ctx, reset, time.Now().Add(slow)) {
		return kv.ErrNoAnswer
	}
	if !carry(reset, bytes, &nd.bed.out, &nd.down) {
		return kv.ErrNoAnswer
	}
	return err
}

// ask puts a question to the feed of the node with an address.
func (nd *node) ask(ctx context.Context, address string, qn feed.Request) (feed.Response, error) {
	var at int
	if _, err := fmt.Sscan(address, &at); err != nil {
		return feed.Response{}, err
	}
	other := nd.bed.nodes[at]
	nd.mu.Lock()
	reset := nd.reset
	nd.mu.Unlock()
	other.mu.Lock()
	silent := other.dead
	other.mu.Unlock()
	if mute, _ := nd.bed.faults(); mute {
		silent = true
	}
	if silent {
		wait(ctx, reset, time.Now().Add(time.Hour))
		return feed.Response{}, fault.New(fault.Unavailable, "no answer")
	}
	an, err := other.feed.Serve(ctx, qn)
	if err != nil {
		return an, err
	}
	raw, err := cbor.Marshal(an)
	if err != nil {
		return an, err
	}
	var sent feed.Response
	if err := cbor.Unmarshal(raw, &sent); err != nil {
		return an, err
	}
	if !carry(reset, len(raw), &other.up, &nd.down) {
		return an, fault.New(fault.Unavailable, "reset")
	}
	return sent, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// carry takes bytes over two links, and reports whether they came through.
func carry(reset <-chan struct{}, bytes int, from, to *link) bool {
	sent, came := from.pass(bytes), to.pass(bytes)
	if wait(context.Background(), reset, later(sent, came)) {
		return true
	}
	from.back(bytes, sent)
	to.back(bytes, came)
	return false
}

// wait waits until a time, and reports whether nothing came before.
func wait(ctx context.Context, reset <-chan struct{}, until time.Time) bool {
	select {
	case <-time.After(time.Until(until)):
		return true
	case <-reset:
	case <-ctx.Done():
	}
	return false
}

// cutLinks ends the node's connections.
func (nd *node) cutLinks() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	close(nd.reset)
	nd.reset = make(chan struct{})
}

// has reports whether the newest version is in force on the node, whole.
func (nd *node) has() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.dead || nd.taken != nil && nd.taken.Version == nd.bed.version // which only the test's goroutine writes
}

// set changes a node while it runs.
func (nd *node) set(change func()) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	change()
}

// until waits for the newest version to be in force on every node, and returns how long it took.
func (bd *bed) until(patience time.Duration) time.Duration {
	began := time.Now()
	for _, nd := range bd.nodes {
		for !nd.has() && time.Since(began) < patience {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}
