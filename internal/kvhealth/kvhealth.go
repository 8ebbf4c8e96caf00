// Package kvhealth watches how the store answers this node, and counts its calls.
package kvhealth

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/timing"
)

// downAfter is how long calls must fail before the store counts as away: a single
// lost answer, or one of 0.25 s, is no outage.
const downAfter = 600 * time.Millisecond

// Health knows whether the store answers.
type Health struct {
	clock  clockwork.Clock
	log    logr.Logger
	meters metrics.Registry

	mu sync.Mutex
	// answered is when the latest call was sent that was answered.
	answered time.Time
	// failing is when the first call was sent that failed after that.
	failing time.Time
	down    bool
	// back is called when the store answers again.
	back func()
}

// New returns a health that has seen nothing.
func New(clock clockwork.Clock, log logr.Logger, meters metrics.Registry) *Health {
	return &Health{clock: clock, log: log.WithName("store"), meters: meters}
}

// Down reports whether the store has not answered this node for a while.
func (he *Health) Down() bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	return !he.failing.IsZero() && he.clock.Since(he.failing) > downAfter
}

// OnRecovery has a function called when the store answers again after it was away.
func (he *Health) OnRecovery(act func()) {
	he.mu.Lock()
	defer he.mu.Unlock()
	he.back = act
}

// note takes in the outcome of a call that was sent at a time.
func (he *Health) note(name string, sent time.Time, err error) {
	timing.Observe(he.meters, "store."+name, he.clock.Since(sent))
	failed := errors.Is(err, kv.ErrRefused) || errors.Is(err, kv.ErrNoAnswer)
	he.mu.Lock()
	defer he.mu.Unlock()
	if !failed {
		if he.down {
			he.log.Info("Store answers again.", "away", he.clock.Since(he.failing).String())
			if he.back != nil {
				go he.back()
			}
		}
		he.failing, he.down = time.Time{}, false
		if sent.After(he.answered) {
			he.answered = sent
		}
		return
	}
	if sent.Before(he.answered) {
		return // sent before the store came back
	}
	metrics.GetOrRegisterCounter("store."+name+".failed", he.meters).Inc(1)
	if he.failing.IsZero() {
		he.failing = sent
	}
	if !he.down && he.clock.Since(he.failing) > downAfter {
		he.down = true
		he.log.Info("Store is away.", "call", name, "reason", err.Error())
	}
}

// Wrap returns the store with each call noted.
func (he *Health) Wrap(st *kv.Store) *kv.Store {
	return &kv.Store{
		Range: func(ctx context.Context, prefix, after string, stale bool) (kv.Page, error) {
			sent := he.clock.Now()
			page, err := st.Range(ctx, prefix, after, stale)
			he.noteUnlessEnded(ctx, "range", sent, err)
			return page, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Events, error) {
			sent := he.clock.Now()
			events, err := st.Watch(ctx, prefix, after, wait)
			he.noteUnlessEnded(ctx, "watch", sent, err)
			return events, err
		},
		Get: func(ctx context.Context, key string, most int) (kv.Item, uint64, error) {
			sent := he.clock.Now()
			item, at, err := st.Get(ctx, key, most)
			he.noteUnlessEnded(ctx, "get", sent, err)
			return item, at, err
		},
		WatchKey: func(ctx context.Context, key string, after uint64, wait time.Duration, most int) (kv.Events, error) {
			sent := he.clock.Now()
			events, err := st.WatchKey(ctx, key, after, wait, most)
			he.noteUnlessEnded(ctx, "watchkey", sent, err)
			return events, err
		},
		Commit: func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
			sent := he.clock.Now()
			revision, items, err := st.Commit(ctx, txn)
			he.noteUnlessEnded(ctx, "commit", sent, err)
			return revision, items, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			sent := he.clock.Now()
			lease, err := st.Grant(ctx, ttl)
			he.noteUnlessEnded(ctx, "grant", sent, err)
			return lease, err
		},
		Renew: func(ctx context.Context, lease uint64) error {
			sent := he.clock.Now()
			err := st.Renew(ctx, lease)
			he.noteUnlessEnded(ctx, "keep", sent, err)
			return err
		},
		Revoke: func(ctx context.Context, lease uint64) error {
			sent := he.clock.Now()
			err := st.Revoke(ctx, lease)
			he.noteUnlessEnded(ctx, "end", sent, err)
			return err
		},
	}
}

// noteUnlessEnded notes an outcome, but for calls that the caller gave up.
func (he *Health) noteUnlessEnded(ctx context.Context, name string, sent time.Time, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	he.note(name, sent, err)
}
