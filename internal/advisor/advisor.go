// Package advisor spreads questions to the advisor over the nodes: it serves the
// calls of one node one after the other, so each node is a queue of its own.
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

// Options of a pool. The fields are seams.
type Options struct {
	Clock clockwork.Clock
	// Node is the name of this node.
	Node string
	// Members returns the nodes that are listed.
	Members func() []joblog.Member
	// Local asks the advisor from this node.
	Local func(ctx context.Context, qn cell.AdviceRequest) (planner.Advice, error)
	// Call asks another node.
	Call func(ctx context.Context, address string, rq peerlink.Request) (peerlink.Reply, error)
}

// Pool chooses the node for each question.
type Pool struct {
	parts Options
	mu    sync.Mutex
	// free is when each node's queue is expected to be empty.
	free map[string]time.Time
}

// New returns a pool whose queues are empty.
func New(pt Options) *Pool {
	return &Pool{parts: pt, free: map[string]time.Time{}}
}

// Times of questions.
const (
	// slack is what an answer may take beyond the expected queue and work.
	slack = 700 * time.Millisecond
	// rest is how long a node that did not answer is left alone.
	rest = time.Second
	// longest is the longest queue that an urgent question is put into, patient that
	// any other is: the longest questions take a second.
	longest = 2500 * time.Millisecond
	patient = 300 * time.Millisecond
	// reserved says which part of the nodes is left to urgent questions: one in three, and
	// mostReserved how many at most: 250 such questions a second of 12 ms each, which the
	// largest site asks, keep three busy.
	reserved     = 3
	mostReserved = 6
)

// Advise asks the advisor from the node that is free soonest.
func (po *Pool) Advise(ctx context.Context, qn cell.AdviceRequest) (planner.Advice, error) {
	mb, wait, ok := po.choose(qn)
	if !ok {
		return planner.Advice{}, fault.New(fault.Full, "the advisor's queues are full")
	}
	call, cancel := context.WithTimeout(ctx, wait+qn.Takes+slack)
	defer cancel()
	if mb.Node == po.parts.Node {
		answer, err := po.parts.Local(call, qn)
		po.note(mb.Node, err)
		return answer, err
	}
	reply, err := po.parts.Call(call, mb.PeerAddr, peerlink.Request{Advise: &qn})
	po.note(mb.Node, err)
	return planner.Advice{Tickets: reply.Tickets, ValidFor: reply.ValidFor}, err
}

// choose takes the node whose queue is shortest, this one among equals. Questions that
// are not urgent leave some nodes to the urgent ones, and wait for their turn rather
// than fill the queues.
func (po *Pool) choose(qn cell.AdviceRequest) (joblog.Member, time.Duration, bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.parts.Clock.Now()
	nodes := po.nodes()
	most := longest
	if !qn.Urgent {
		nodes = nodes[min(len(nodes)/reserved, mostReserved):]
		most = patient
	}
	best, wait := nodes[0], max(po.free[nodes[0].Node].Sub(now), 0)
	for _, mb := range nodes[1:] {
		if queue := max(po.free[mb.Node].Sub(now), 0); queue < wait {
			best, wait = mb, queue
		}
	}
	if wait > most {
		return best, wait, false
	}
	po.free[best.Node] = now.Add(wait + qn.Takes)
	return best, wait, true
}

// nodes returns the nodes that may ask, this one first and the others by name, so that
// the ones left to urgent questions stay the same.
func (po *Pool) nodes() []joblog.Member {
	nodes := []joblog.Member{{Node: po.parts.Node}}
	for _, mb := range po.parts.Members() {
		if mb.Node != po.parts.Node {
			nodes = append(nodes, mb)
		}
	}
	slices.SortFunc(nodes[1:], func(a, b joblog.Member) int { return cmp.Compare(a.Node, b.Node) })
	return nodes
}

func (po *Pool) note(node string, err error) {
	if err == nil {
		return
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	po.free[node] = po.parts.Clock.Now().Add(rest)
}
