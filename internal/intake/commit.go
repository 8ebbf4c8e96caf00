package intake

import (
	"context"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/kv"
)

// peerDelay is how long a write may go without an answer before another node is asked to write the batch: two attempts of
// this node have had no answer then, and the store may ignore this node only.
const peerDelay = 3 * hedge

// written is the outcome of an attempt to write a batch.
type written struct {
	// revision is that of the write, 0 if it is not known.
	revision uint64
	err      error
	byPeer   bool
}

// commitAnywhere writes a batch until its outcome is known. The batch takes effect once, whichever node writes it, because
// its key must not exist before.
func (in *Intake) commitAnywhere(ctx context.Context, key string, raw []byte) (uint64, error) {
	outcomes := make(chan written, 2)
	go func() {
		opts := kv.CommitOptions{Clock: in.clock, HedgeDelay: hedge, RefusedTimeout: refusedRetryTime}
		revision, _, err := in.store.CommitWithRetry(ctx, opts, Txn(key, raw))
		outcomes <- written{revision: revision, err: err}
	}()
	pending, unknown := 1, false
	for peers := in.clock.After(peerDelay); ; {
		select {
		case <-peers:
			peers = nil
			if in.opts.WriteThroughPeer == nil {
				continue
			}
			pending++
			go func() {
				revision, err := in.opts.WriteThroughPeer(ctx, key, raw)
				outcomes <- written{revision, err, true}
			}()
		case out := <-outcomes:
			pending--
			switch {
			case out.err == nil || errors.Is(out.err, kv.ErrConflict): // only this batch uses the key
				if out.byPeer {
					in.log.Info("Another node has written the batch.", "key", key)
				}
				return out.revision, nil
			case !errors.Is(out.err, kv.ErrRefused):
				unknown = true
			}
			if pending > 0 {
				continue
			}
			if unknown {
				return 0, kv.ErrNoAnswer
			}
			return 0, kv.ErrRefused
		}
	}
}

// Txn returns the transaction that writes a batch, which has no effect if the key exists.
func Txn(key string, raw []byte) kv.Txn {
	return kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: raw}}}
}
