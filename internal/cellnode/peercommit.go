package cellnode

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/peerlink"
)

// The store may ignore one node while it serves the others. Such a node does not know whether its callers' jobs are accepted,
// and callers cannot repeat such a request; a planner cannot show jobs as ended. So writes of the journal without an answer
// are sent through another node as well. Their conditions make them take effect once, whichever node sends them.

// peerCommitTimeout bounds the write of a node for another one: a slow store takes 0.25 s.
const peerCommitTimeout = 500 * time.Millisecond

// commitThroughPeer sends a write of the journal through another node, chosen at random.
func (nd *Node) commitThroughPeer(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
	members := nd.term.Members()
	others := members[:0]
	for _, mb := range members {
		if mb.Node != nd.adapter.Site.Node {
			others = append(others, mb)
		}
	}
	if len(others) == 0 {
		return 0, nil, kv.ErrRefused
	}
	reply, err := nd.link.Call(ctx, others[rand.IntN(len(others))].PeerAddr, peerlink.Request{Commit: &txn})
	switch {
	case fault.Is(err, fault.Unavailable):
		return 0, nil, kv.ErrRefused
	case err != nil || reply.Committed == nil:
		return 0, nil, kv.ErrNoAnswer // the other node may have written it
	case reply.Committed.Conflict:
		return 0, reply.Committed.Items, kv.ErrConflict
	}
	nd.log.Info("Another node has written to the journal.", "key", txn.Puts[0].Key)
	return reply.Committed.Revision, nil, nil
}

// commitForPeer sends a write of the journal to the store for another node.
func (nd *Node) commitForPeer(ctx context.Context, txn *kv.Txn) (peerlink.Reply, error) {
	switch {
	case !isJournalWrite(txn):
		return peerlink.Reply{}, fault.New(fault.BadRequest, "the write is not one of the journal; not written")
	case nd.health.Down():
		return peerlink.Reply{}, fault.New(fault.Unavailable, "the store is unavailable; not written")
	}
	call, cancel := context.WithTimeout(ctx, peerCommitTimeout)
	defer cancel()
	revision, items, err := nd.store.Commit(call, *txn)
	switch {
	case err == nil:
		return peerlink.Reply{Committed: &peerlink.Committed{Revision: revision}}, nil
	case errors.Is(err, kv.ErrConflict):
		return peerlink.Reply{Committed: &peerlink.Committed{Conflict: true, Items: items}}, nil
	case errors.Is(err, kv.ErrRefused):
		return peerlink.Reply{}, fault.New(fault.Unavailable, "the store refused the write; not written")
	}
	return peerlink.Reply{}, fault.New(fault.Timeout, "the store did not answer").MarkMayHaveRun()
}

// isJournalWrite reports whether a transaction adds one key to the journal, on the condition that it does not exist.
func isJournalWrite(txn *kv.Txn) bool {
	if len(txn.Puts) != 1 || len(txn.Deletes) > 0 || txn.Puts[0].Lease != 0 {
		return false
	}
	key, absent := txn.Puts[0].Key, false
	for _, cn := range txn.Conditions {
		absent = absent || cn.Key == key && cn.Revision == 0
	}
	return absent && (strings.HasPrefix(key, joblog.Batches) || strings.HasPrefix(key, joblog.Records))
}
