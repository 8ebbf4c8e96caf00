package cellnode

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/intake"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/peerlink"
)

// A node whose write of a batch gets no answer does not know whether its callers' jobs are accepted, and callers cannot
// repeat such a request. The store may ignore this node only, so another one is asked to write the same batch under the
// same key: whichever write takes effect, the batch is there once.
const (
	// peerWriteTimeout bounds the request to another node, peerCommitTimeout its write: a slow store takes 0.25 s.
	peerWriteTimeout  = 700 * time.Millisecond
	peerCommitTimeout = 500 * time.Millisecond
	// maxPeerWrites is how many nodes are asked one after the other. If a third of the nodes cannot reach the store, all of
	// them fail in one of nine cases.
	maxPeerWrites = 2
)

// writeThroughPeer asks other nodes to write a batch.
func (nd *Node) writeThroughPeer(ctx context.Context, key string, raw []byte) (uint64, error) {
	members := nd.term.Members()
	rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
	asked, result := 0, error(kv.ErrRefused)
	for _, mb := range members {
		if mb.Node == nd.adapter.Site.Node || asked == maxPeerWrites {
			continue
		}
		asked++
		call, cancel := context.WithTimeout(ctx, peerWriteTimeout)
		reply, err := nd.link.Call(call, mb.PeerAddr, peerlink.Request{Write: &joblog.EncodedBatch{Key: key, Raw: raw}})
		cancel()
		switch {
		case err == nil:
			return reply.Revision, nil
		case !fault.Is(err, fault.Unavailable):
			result = kv.ErrNoAnswer // this node may have written it
		}
	}
	return 0, result
}

// writeForPeer writes a batch for another node.
func (nd *Node) writeForPeer(ctx context.Context, bt *joblog.EncodedBatch) (peerlink.Reply, error) {
	switch {
	case !strings.HasPrefix(bt.Key, joblog.Batches):
		return peerlink.Reply{}, fault.New(fault.BadRequest, "key %q is not that of a batch; not written", bt.Key)
	case nd.health.Down():
		return peerlink.Reply{}, fault.New(fault.Unavailable, "the store is unavailable; not written")
	}
	call, cancel := context.WithTimeout(ctx, peerCommitTimeout)
	defer cancel()
	revision, _, err := nd.store.Commit(call, intake.Txn(bt.Key, bt.Raw))
	switch {
	case err == nil:
		return peerlink.Reply{Revision: revision}, nil
	case errors.Is(err, kv.ErrConflict): // only this batch uses the key
		return peerlink.Reply{}, nil
	case errors.Is(err, kv.ErrRefused):
		return peerlink.Reply{}, fault.New(fault.Unavailable, "the store refused the write; not written")
	}
	return peerlink.Reply{}, fault.New(fault.Timeout, "the store did not answer").MarkMayHaveRun()
}
