// Package relay passes callers' requests on to other nodes while this node is cut off
// from the store: its callers stay on their connections, and others reach the store.
package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
)

// Limits of a relayed request.
const (
	// tries is the number of nodes that are asked: where a third of them is cut off, two
	// fail in one of nine cases, and a request that nobody can serve is soon refused.
	tries = 2
	// timeout bounds one try: a node that reaches the store answers in 20 ms, one that
	// does not in 0.8 s at most.
	timeout = time.Second
)

// Relay chooses the nodes to pass requests on to. The fields are seams.
type Relay struct {
	// Node is the name of this node.
	Node string
	// Members returns the nodes that are listed, as far as this node knows.
	Members func() []joblog.Member
	// Call asks another node.
	Call func(ctx context.Context, address string, rq peerlink.Request) (peerlink.Reply, error)
}

// Do passes a request on. It returns false where no node has answered it and it surely
// was not carried out. A request without an answer is not sent to another node: it may have
// been.
func (re *Relay) Do(ctx context.Context, rq peerlink.Request) (peerlink.Reply, bool, error) {
	rq.Relayed = true
	members := re.Members()
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	left := tries
	for _, mb := range members {
		if mb.Node == re.Node || left == 0 {
			continue
		}
		left--
		reply, err := re.try(ctx, mb, rq)
		if !unable(err) {
			return reply, true, err
		}
	}
	return peerlink.Reply{}, false, nil
}

func (re *Relay) try(ctx context.Context, mb joblog.Member, rq peerlink.Request) (peerlink.Reply, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return re.Call(call, mb.PeerAddr, rq)
}

// unable reports whether a node surely has not carried a request out, for a reason that another
// node may not have.
func unable(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Draining) || fault.Is(err, fault.Stale)
}
