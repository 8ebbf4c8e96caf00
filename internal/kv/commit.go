package kv

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// CommitOptions determine how a transaction is repeated until its outcome is known.
type CommitOptions struct {
	Clock clockwork.Clock
	// HedgeDelay is how long to wait for a response before the transaction is sent again in parallel. It grows by half
	// each time, so as not to overload a slow store.
	HedgeDelay time.Duration
	// Peer, if set, sends the transaction through another node. It is called after each PeerDelay without an outcome: the
	// store may ignore or refuse this node only. It returns the same errors as Store.Commit.
	Peer      func(ctx context.Context, txn Txn) (uint64, []Item, error)
	PeerDelay time.Duration
	// RefusedTimeout is how long to retry while the store refuses the transaction; 0 means until the context ends.
	RefusedTimeout time.Duration
}

const (
	// attemptTimeout bounds one attempt. The store answers in 4 ms, or 0.25 s if it is slow.
	attemptTimeout = time.Second
	// maxAttempts is the maximum number of concurrent attempts.
	maxAttempts = 6
	// refusedPause is the pause after a refused attempt.
	refusedPause = 60 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome struct {
	revision uint64
	items    []Item
	err      error
}

// CommitWithRetry commits a transaction and repeats it until its outcome is known. The transaction's conditions must
// make sure that it takes effect at most once. A response may be lost together with its connection, while the next
// attempt is answered within a few ms. ErrConflict may mean that an earlier attempt took effect, which the returned
// items show. ErrNoAnswer means that the context ended first.
func (st *Store) CommitWithRetry(ctx context.Context, opts CommitOptions, txn Txn) (uint64, []Item, error) {
	startedAt := opts.Clock.Now()
	outcomes := make(chan outcome, maxAttempts)
	pending, noAnswer := 0, false
	attempt := func(commit func(ctx context.Context, txn Txn) (uint64, []Item, error)) {
		pending++
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			revision, items, err := commit(callCtx, txn)
			outcomes <- outcome{revision, items, err}
		}()
	}
	attempt(st.Commit)
	hedge := opts.HedgeDelay
	next := opts.Clock.After(hedge)
	var peer <-chan time.Time
	if opts.Peer != nil {
		peer = opts.Clock.After(opts.PeerDelay)
	}
	for {
		select {
		case <-ctx.Done():
			return 0, nil, abandonedError(pending > 0 || noAnswer)
		case <-peer:
			if pending < maxAttempts {
				attempt(opts.Peer)
			}
			peer = opts.Clock.After(opts.PeerDelay)
		case <-next:
			if pending < maxAttempts {
				attempt(st.Commit)
			}
			hedge += hedge / 2
			next = opts.Clock.After(hedge)
		case out := <-outcomes:
			pending--
			switch {
			case errors.Is(out.err, ErrNoAnswer):
				noAnswer = true
			case !errors.Is(out.err, ErrRefused):
				return out.revision, out.items, out.err
			}
			if pending > 0 {
				continue
			}
			if !noAnswer && opts.RefusedTimeout > 0 && opts.Clock.Since(startedAt) > opts.RefusedTimeout {
				return 0, nil, ErrRefused
			}
			next = opts.Clock.After(refusedPause)
		}
	}
}

// abandonedError returns the error of a transaction that is no longer retried.
func abandonedError(mayHaveCommitted bool) error {
	if mayHaveCommitted {
		return ErrNoAnswer
	}
	return ErrRefused
}
