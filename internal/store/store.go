// Package store is the client of the platform's key-value service. It keeps to a
// share of the service's calls, settles replies that were lost, and never says
// that a write failed unless it surely did.
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

// Outcome of one call as the transport saw it.
type Outcome int

// The outcomes. Refused means that the call surely had no effect; Lost, that it
// may have had.
const (
	Answered Outcome = iota
	Conflicted
	Gone
	Refused
	Lost
)

// Transport carries calls to the service. The fields are seams: an adapter sets
// them for a wire format, a test for a fault.
type Transport struct {
	Get   func(context.Context, storemsg.GetRequest) (storemsg.ItemsResponse, Outcome, error)
	Put   func(context.Context, storemsg.PutRequest) (storemsg.PutResponse, Outcome, error)
	Lease func(context.Context, storemsg.LeaseRequest) (storemsg.LeaseResponse, Outcome, error)
	Watch func(context.Context, storemsg.WatchRequest) (storemsg.ItemsResponse, Outcome, error)
}

// Options of a client.
type Options struct {
	// Writes and Reads are the service's calls a second, for all nodes together.
	Writes float64
	Reads  float64
	// Timeout bounds one call.
	Timeout time.Duration
}

// Client is one node's client. It is safe for concurrent use.
type Client struct {
	opts   Options
	clock  clockwork.Clock
	via    Transport
	reads  *budget
	writes *budget

	calls  [2]atomic.Int64
	failed atomic.Int64
	mu     sync.Mutex
	lastOK time.Time
	down   bool
}

// share is the part of the service's rate that the nodes plan to use.
const share = 0.9

// New returns a client that, until told otherwise, takes a seventh of the rates.
func New(clock clockwork.Clock, via Transport, opts Options) *Client {
	const nodes = 7
	cl := &Client{
		opts: opts, clock: clock, via: via,
		reads:  newBudget(clock, opts.Reads*share/nodes),
		writes: newBudget(clock, opts.Writes*share/nodes),
	}
	return cl
}

// SetNodes divides the service's rates by the number of live nodes.
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

// LastOK returns when the service last answered.
func (cl *Client) LastOK() time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.lastOK
}

// Calls returns the reads, the writes and the failed calls so far, and how much
// of the write budget is in use, 0 to 1.
func (cl *Client) Calls() (reads, writes, failed int64, spent float64) {
	return cl.calls[0].Load(), cl.calls[1].Load(), cl.failed.Load(), cl.writes.spent()
}

func (cl *Client) note(oc Outcome) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.down = oc == Lost || oc == Refused
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

// Get reads one key; an absent one has version 0.
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

// List reads all keys with a prefix, and the store's revision at that moment.
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
	call, cancel := context.WithTimeout(ctx, cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.via.Get(call, req)
	cl.note(oc)
	if oc != Answered {
		return res, unavailable("read", err)
	}
	return res, nil
}

func unavailable(what string, err error) *fault.Error {
	const comeBack = time.Second
	return fault.New(fault.Unavailable, "store did not answer a %s: %v", what, err).WithRetryAfter(comeBack)
}

// Write is one compare-and-swap.
type Write struct {
	Key     string
	Value   []byte
	Version uint64
	Delete  bool
	Lease   string
	// Mine reports whether a value found in the store shows that this write took
	// effect, perhaps under later ones. Nil compares the bytes.
	Mine func(value []byte) bool
}

func (wr Write) mine(item storemsg.Item) bool {
	if wr.Delete {
		return item.Version == 0
	}
	if item.Version == 0 {
		return false
	}
	if wr.Mine != nil {
		return wr.Mine(item.Value)
	}
	return bytes.Equal(item.Value, wr.Value)
}

// Put carries a write out. It reports true and the key as written, or false and
// the key as somebody else left it. A lost reply is settled by reading back and
// repeating the same compare-and-swap. An error with Begun set means that the
// write may yet have taken effect.
func (cl *Client) Put(ctx context.Context, class Class, wr Write) (storemsg.Item, bool, error) {
	req := storemsg.PutRequest{
		Key: wr.Key, Value: wr.Value, Version: wr.Version, Delete: wr.Delete, Lease: wr.Lease,
	}
	begun := false
	for try := 0; ; try++ {
		res, oc, err := cl.put(ctx, class, req)
		switch oc {
		case Answered:
			return res.Item, true, nil
		case Conflicted:
			return res.Item, wr.mine(res.Item), nil
		case Gone:
			return res.Item, false, fault.New(fault.Conflict, "lease of key %s has lapsed", wr.Key)
		case Lost:
			begun = true
		}
		more := cl.pause(ctx, try)
		if begun && more {
			item, err := cl.Get(ctx, class, wr.Key)
			if err == nil && (wr.mine(item) || item.Version != wr.Version) {
				return item, wr.mine(item), nil
			}
		}
		if !more {
			er := unavailable("write", err)
			er.MayHaveRun = begun
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
	call, cancel := context.WithTimeout(ctx, cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.via.Put(call, req)
	cl.note(oc)
	return res, oc, err
}

var pauses = backoff.Backoff{Initial: 20 * time.Millisecond, Max: 2 * time.Second}

// Backoff returns the pause before try n, doubled each time up to two seconds,
// with jitter.
func Backoff(n int) time.Duration { return pauses.Jittered(n) }

// pause waits before the next try; it reports false when the context ends first.
func (cl *Client) pause(ctx context.Context, try int) bool {
	return loop.Pause(ctx, cl.clock, Backoff(try))
}

// Grant makes a lease of the store, or renews the one of the id. It reports
// false where that one has lapsed.
func (cl *Client) Grant(ctx context.Context, id string, ttl time.Duration) (string, bool, error) {
	if err := cl.spend(ctx, cl.writes, Ownership); err != nil {
		return "", false, err
	}
	call, cancel := context.WithTimeout(ctx, cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.via.Lease(call, storemsg.LeaseRequest{ID: id, TTL: ttl.Milliseconds()})
	cl.note(oc)
	switch oc {
	case Answered:
		return res.ID, true, nil
	case Gone:
		return "", false, nil
	}
	return "", false, unavailable("lease", err)
}

// Watch waits for changes under the prefix after the revision.
func (cl *Client) Watch(
	ctx context.Context, class Class, prefix string, after uint64, wait time.Duration,
) (storemsg.ItemsResponse, error) {
	if err := cl.spend(ctx, cl.reads, class); err != nil {
		return storemsg.ItemsResponse{}, err
	}
	call, cancel := context.WithTimeout(ctx, wait+cl.opts.Timeout)
	defer cancel()
	res, oc, err := cl.via.Watch(call, storemsg.WatchRequest{
		Prefix: prefix, After: after, Wait: wait.Milliseconds(),
	})
	cl.note(oc)
	if oc != Answered {
		return res, unavailable("watch", err)
	}
	return res, nil
}
