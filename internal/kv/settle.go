package kv

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// CommitOptions says how a transaction is repeated until its outcome is known.
type CommitOptions struct {
	Clock clockwork.Clock
	// HedgeDelay is the time without an answer after which the transaction is sent again
	// beside the first; it grows by half each time, so that a slow service is not
	// flooded.
	HedgeDelay time.Duration
	// RefusedTimeout is how long a transaction is repeated that the service does nothing for;
	// 0 means as long as the context lasts.
	RefusedTimeout time.Duration
}

// Limits of repeated transactions.
const (
	// tryTimeout bounds one try: the store answers in 4 ms, when slow in 0.25 s.
	tryTimeout = time.Second
	// maxTries is the number of tries that may be open at once.
	maxTries = 6
	// refusedPause is the pause after a try that was refused.
	refusedPause = 60 * time.Millisecond
)

// outcome is how one try ended.
type outcome struct {
	revision uint64
	items    []Item
	err      error
}

// Settle commits a transaction that its own conditions let take effect at most once,
// and repeats it until the outcome is known: an answer may be lost, and its connection
// with it, while the next try is answered in a few ms. ErrConflict may mean that an
// earlier try took effect; the items tell. ErrLost means that the context ended first.
func (st *Store) Settle(ctx context.Context, sg CommitOptions, txn Txn) (uint64, []Item, error) {
	began := sg.Clock.Now()
	answers := make(chan outcome, maxTries)
	open, lost := 0, false
	try := func() {
		open++
		go func() {
			call, cancel := context.WithTimeout(ctx, tryTimeout)
			defer cancel()
			revision, items, err := st.Commit(call, txn)
			answers <- outcome{revision, items, err}
		}()
	}
	try()
	hedge := sg.HedgeDelay
	next := sg.Clock.After(hedge)
	for {
		select {
		case <-ctx.Done():
			return 0, nil, unsettled(open > 0 || lost)
		case <-next:
			if open < maxTries {
				try()
			}
			hedge += hedge / 2
			next = sg.Clock.After(hedge)
		case out := <-answers:
			open--
			switch {
			case errors.Is(out.err, ErrNoAnswer):
				lost = true
			case !errors.Is(out.err, ErrRefused):
				return out.revision, out.items, out.err
			}
			if open > 0 {
				continue
			}
			if !lost && sg.RefusedTimeout > 0 && sg.Clock.Since(began) > sg.RefusedTimeout {
				return 0, nil, ErrRefused
			}
			next = sg.Clock.After(refusedPause)
		}
	}
}

// unsettled is the error of a transaction that nobody waits for any longer.
func unsettled(perhaps bool) error {
	if perhaps {
		return ErrNoAnswer
	}
	return ErrRefused
}
