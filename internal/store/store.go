// Package store is the client of the platform's key-value store. It limits the node's calls to a share of the store's
// rate limit, determines the outcome of writes whose response was lost, and reports a write as failed only if it
// certainly had no effect.
package store

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/backoff"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// Outcome is the outcome of a call as seen by the transport.
type Outcome int

// The outcomes. Refused means that the call certainly had no effect, NoAnswer that it may have had one.
const (
	Answered Outcome = iota
	Conflicted
	Gone
	Refused
	NoAnswer
)

// Transport makes calls to the store. Adapters set its fields for a protocol, tests replace them to inject faults.
type Transport struct {
	Get   func(context.Context, storemsg.GetRequest) (storemsg.ItemsResponse, Outcome, error)
	Put   func(context.Context, storemsg.PutRequest) (storemsg.PutResponse, Outcome, error)
	Lease func(context.Context, storemsg.LeaseRequest) (storemsg.LeaseResponse, Outcome, error)
	Watch func(context.Context, storemsg.WatchRequest) (storemsg.ItemsResponse, Outcome, error)
}

// Options configure a client.
type Options struct {
	// Writes and Reads are the store's rate limits in calls per second, for all nodes together.
	Writes float64
	Reads  float64
	// Timeout bounds a single call.
	Timeout time.Duration
}

// Client is the store's client of one node. It is safe for concurrent use.
type Client struct {
	opts      Options
	clock     clockwork.Clock
	transport Transport
	reads     *budget
	writes    *budget

	calls  [2]atomic.Int64
	failed atomic.Int64
	mu     sync.Mutex
	lastOK time.Time
	down   bool
}

// share is the fraction of the store's rate limits that the nodes use.
const share = 0.9

// New returns a client that assumes seven nodes until SetNodes is called.
func New(clock clockwork.Clock, transport Transport, opts Options) *Client {
	const nodes = 7
	cl := &Client{
		opts: opts, clock: clock, transport: transport,
		reads:  newBudget(clock, opts.Reads*share/nodes),
		writes: newBudget(clock, opts.Writes*share/nodes),
	}
	return cl
}

// SetNodes divides the store's rate limits by the number of live nodes.
func (cl *Client) SetNodes(n int) {
	n = max(n, 1)
	cl.reads.set(cl.opts.Reads * share / float64(n))
	cl.writes.set(cl.opts.Writes * share / float64(n))
}

// Down reports whether the last call failed.
func (cl *Client) Down() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.down
}

// LastOK returns when the store last answered.
func (cl *Client) LastOK() time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.lastOK
}

// Calls returns the number of reads, writes and failed calls so far, and the fraction of the write budget that is in
// use, from 0 to 1.
func (cl *Client) Calls() (reads, writes, failed int64, spent float64) {
	return cl.calls[0].Load(), cl.calls[1].Load(), cl.failed.Load(), cl.writes.spent()
}

func (cl *Client) record(oc Outcome) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.down = oc == NoAnswer || oc == Refused
	if cl.down {
		cl.failed.Add(1)
		return
	}
	cl.lastOK = cl.clock.Now()
}

func (cl *Client) spend(ctx context.Context, bg *budget, class Class) error {
	if err := bg.wait(ctx, class); err != nil {
		return err
	}
	kind := 0
	if bg == cl.writes {
		kind = 1
	}
	cl.calls[kind].Add(1)
	return nil
}

// Get reads one key. A missing key has version 0.
func (cl *Client) Get(ctx context.Context, class Class, key string) (storemsg.Item, error) {
	res, err := cl.get(ctx, class, storemsg.GetRequest{Key: key})
	if err != nil {
		return storemsg.Item{}, err
	}
	if len(res.Items) == 0 {
		return storemsg.Item{Key: key}, nil
	}
	return res.Items[0], nil
}

// List reads all keys with a prefix and returns them with the store's revision.
func (cl *Client) List(ctx context.Context, class Class, prefix string) ([]storemsg.Item, uint64, error) {
	res, err := cl.get(ctx, class, storemsg.GetRequest{Prefix: prefix})
	return res.Items, res.Revision, err
}

func (cl *Client) get(
	ctx context.Context, class Class, req storemsg.GetRequest,
) (storemsg.ItemsResponse, error) {
	if err := cl.spend(ctx, cl.reads, class); err != nil {
		return storemsg.ItemsResponse{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.transport.Get(callCtx, req)
	cl.record(oc)
	if oc != Answered {
		return res, unavailable("read", err)
	}
	return res, nil
}

func unavailable(what string, err error) *fault.Error {
	const retryAfter = time.Second
	return fault.New(fault.Unavailable, "store did not answer a %s: %v", what, err).After(retryAfter)
}

// Write is a compare-and-swap of one key.
type Write struct {
	Key     string
	Value   []byte
	Version uint64
	Delete  bool
	Lease   string
	// IsApplied reports whether a value found in the store shows that this write took effect, perhaps followed by later
	// ones. If it is nil, the values are compared.
	IsApplied func(value []byte) bool
}

func (wr Write) isApplied(item storemsg.Item) bool {
	if wr.Delete {
		return item.Version == 0
	}
	if item.Version == 0 {
		return false
	}
	if wr.IsApplied != nil {
		return wr.IsApplied(item.Value)
	}
	return bytes.Equal(item.Value, wr.Value)
}

// Put executes a write. It returns true and the written key, or false and the current key if another write was first.
// If the response is lost, it reads the key and repeats the same compare-and-swap until the outcome is known. An error
// with Begun set means that the write may have taken effect, or may still do so.
func (cl *Client) Put(ctx context.Context, class Class, wr Write) (storemsg.Item, bool, error) {
	req := storemsg.PutRequest{
		Key: wr.Key, Value: wr.Value, Version: wr.Version, Delete: wr.Delete, Lease: wr.Lease,
	}
	mayHaveApplied := false
	for attempt := 0; ; attempt++ {
		res, oc, err := cl.put(ctx, class, req)
		switch oc {
		case Answered:
			return res.Item, true, nil
		case Conflicted:
			return res.Item, wr.isApplied(res.Item), nil
		case Gone:
			return res.Item, false, fault.New(fault.Conflict, "lease of key %s has expired", wr.Key)
		case NoAnswer:
			mayHaveApplied = true
		}
		retry := cl.pause(ctx, attempt)
		if mayHaveApplied && retry {
			item, err := cl.Get(ctx, class, wr.Key)
			if err == nil && (wr.isApplied(item) || item.Version != wr.Version) {
				return item, wr.isApplied(item), nil
			}
		}
		if !retry {
			er := unavailable("write", err)
			er.Begun = mayHaveApplied
			return storemsg.Item{}, false, er
		}
	}
}

func (cl *Client) put(
	ctx context.Context, class Class, req storemsg.PutRequest,
) (storemsg.PutResponse, Outcome, error) {
	if err := cl.spend(ctx, cl.writes, class); err != nil {
		return storemsg.PutResponse{}, Refused, err
	}
	callCtx, cancel := context.WithTimeout(ctx, cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.transport.Put(callCtx, req)
	cl.record(oc)
	return res, oc, err
}

var retryPauses = backoff.Backoff{Initial: 20 * time.Millisecond, Max: 2 * time.Second}

// Backoff returns the pause before retry n. It doubles each time, up to two seconds, and is jittered.
func Backoff(n int) time.Duration { return retryPauses.Jittered(n) }

// pause waits before the next attempt. It reports false if the context ends first.
func (cl *Client) pause(ctx context.Context, attempt int) bool {
	return loop.Pause(ctx, cl.clock, Backoff(attempt))
}

// Grant creates a lease, or renews the one with the given ID. It reports false if that lease has expired.
func (cl *Client) Grant(ctx context.Context, id string, ttl time.Duration) (string, bool, error) {
	if err := cl.spend(ctx, cl.writes, Ownership); err != nil {
		return "", false, err
	}
	callCtx, cancel := context.WithTimeout(ctx, cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.transport.Lease(callCtx, storemsg.LeaseRequest{ID: id, TTL: ttl.Milliseconds()})
	cl.record(oc)
	switch oc {
	case Answered:
		return res.ID, true, nil
	case Gone:
		return "", false, nil
	}
	return "", false, unavailable("lease", err)
}

// Watch waits for changes after a revision to keys with a prefix.
func (cl *Client) Watch(
	ctx context.Context, class Class, prefix string, after uint64, wait time.Duration,
) (storemsg.ItemsResponse, error) {
	if err := cl.spend(ctx, cl.reads, class); err != nil {
		return storemsg.ItemsResponse{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.transport.Watch(callCtx, storemsg.WatchRequest{
		Prefix: prefix, After: after, Wait: wait.Milliseconds(),
	})
	cl.record(oc)
	if oc != Answered {
		return res, unavailable("watch", err)
	}
	return res, nil
}
