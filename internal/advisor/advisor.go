// Package advisor distributes requests to the advisor among the nodes. The advisor serves the calls of one node one at
// a time, so that each node has a queue of its own.
package advisor

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
)

// Options are the dependencies of a pool. Tests replace them.
type Options struct {
	Clock clockwork.Clock
	// Node is the name of this node.
	Node string
	// Members returns the registered nodes.
	Members func() []joblog.Member
	// Local sends a request to the advisor from this node.
	Local func(ctx context.Context, rq cell.AdviceRequest) (planner.Advice, error)
	// Call sends a request to another node.
	Call func(ctx context.Context, address string, rq peerlink.Request) (peerlink.Reply, error)
}

// Pool chooses the node that sends each request.
type Pool struct {
	opts Options
	mu   sync.Mutex
	// freeAt maps each node to the time at which its queue is expected to be empty.
	freeAt map[string]time.Time
}

// New returns a pool with empty queues.
func New(opts Options) *Pool {
	return &Pool{opts: opts, freeAt: map[string]time.Time{}}
}

const (
	// slack is how long a response may take beyond the expected wait and processing time.
	slack = 700 * time.Millisecond
	// failurePause is how long a node is not used after a failed request.
	failurePause = time.Second
	// maxUrgentWait is the longest expected wait at which an urgent request is still queued, maxDeferrableWait the same
	// for other requests. The longest requests take a second.
	maxUrgentWait     = 2500 * time.Millisecond
	maxDeferrableWait = 300 * time.Millisecond
	// reservedDivisor is the reciprocal of the fraction of nodes that is reserved for urgent requests, maxReserved the
	// maximum number of reserved nodes. The largest deployment sends 250 urgent requests a second of 12 ms each, which
	// occupy three nodes.
	reservedDivisor = 3
	maxReserved     = 6
)

// Advise sends a request to the advisor from the node with the shortest queue.
func (po *Pool) Advise(ctx context.Context, rq cell.AdviceRequest) (planner.Advice, error) {
	mb, wait, ok := po.choose(rq)
	if !ok {
		return planner.Advice{}, fault.New(fault.Full, "the advisor's queues are full")
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+rq.Takes+slack)
	defer cancel()
	if mb.Node == po.opts.Node {
		advice, err := po.opts.Local(callCtx, rq)
		po.recordResult(mb.Node, err)
		return advice, err
	}
	reply, err := po.opts.Call(callCtx, mb.PeerAddr, peerlink.Request{Advise: &rq})
	po.recordResult(mb.Node, err)
	return planner.Advice{Tickets: reply.Tickets, ValidFor: reply.ValidFor}, err
}

// choose returns the node with the shortest queue, this node in case of a tie, and the expected wait. Requests that are
// not urgent do not use the reserved nodes and are rejected early rather than fill the queues.
func (po *Pool) choose(rq cell.AdviceRequest) (joblog.Member, time.Duration, bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.opts.Clock.Now()
	nodes := po.nodes()
	maxWait := maxUrgentWait
	if !rq.Urgent {
		nodes = nodes[min(len(nodes)/reservedDivisor, maxReserved):]
		maxWait = maxDeferrableWait
	}
	best, wait := nodes[0], max(po.freeAt[nodes[0].Node].Sub(now), 0)
	for _, mb := range nodes[1:] {
		if queue := max(po.freeAt[mb.Node].Sub(now), 0); queue < wait {
			best, wait = mb, queue
		}
	}
	if wait > maxWait {
		return best, wait, false
	}
	po.freeAt[best.Node] = now.Add(wait + rq.Takes)
	return best, wait, true
}

// nodes returns this node, followed by the others ordered by name, so that the reserved nodes stay the same.
func (po *Pool) nodes() []joblog.Member {
	nodes := []joblog.Member{{Node: po.opts.Node}}
	for _, mb := range po.opts.Members() {
		if mb.Node != po.opts.Node {
			nodes = append(nodes, mb)
		}
	}
	slices.SortFunc(nodes[1:], func(a, b joblog.Member) int { return cmp.Compare(a.Node, b.Node) })
	return nodes
}

func (po *Pool) recordResult(node string, err error) {
	if err == nil {
		return
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	po.freeAt[node] = po.opts.Clock.Now().Add(failurePause)
}
