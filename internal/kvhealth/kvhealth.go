// Package kvhealth monitors whether the store answers this node, and counts its calls.
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

// downAfter is how long calls must fail before the store counts as unavailable. A single lost response, or one that
// takes 0.25 s, is no outage.
const downAfter = 600 * time.Millisecond

// Health tracks whether the store answers.
type Health struct {
	clock  clockwork.Clock
	log    logr.Logger
	meters metrics.Registry

	mu sync.Mutex
	// lastAnswered is when the latest call that was answered was sent.
	lastAnswered time.Time
	// failingSince is when the first call that failed after that was sent.
	failingSince time.Time
	down         bool
	// outageLength and outageEnd describe the latest outage that is over.
	outageLength time.Duration
	outageEnd    time.Time
	// onRecovery is called when the store answers again.
	onRecovery func()
}

// New returns a Health that assumes the store to be available.
func New(clock clockwork.Clock, log logr.Logger, meters metrics.Registry) *Health {
	return &Health{clock: clock, log: log.WithName("store"), meters: meters}
}

// Down reports whether the store has failed to answer this node for longer than downAfter.
func (he *Health) Down() bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	return !he.failingSince.IsZero() && he.clock.Since(he.failingSince) > downAfter
}

// LastOutage returns how long the latest outage that is over lasted, and when the store answered again. The length is 0 if
// there was none.
func (he *Health) LastOutage() (length time.Duration, end time.Time) {
	he.mu.Lock()
	defer he.mu.Unlock()
	return he.outageLength, he.outageEnd
}

// OnRecovery sets a function that is called when the store answers again after an outage.
func (he *Health) OnRecovery(fn func()) {
	he.mu.Lock()
	defer he.mu.Unlock()
	he.onRecovery = fn
}

// record processes the result of a call that was sent at a time.
func (he *Health) record(name string, sent time.Time, err error) {
	timing.Observe(he.meters, "store."+name, he.clock.Since(sent))
	failed := errors.Is(err, kv.ErrRefused) || errors.Is(err, kv.ErrNoAnswer)
	he.mu.Lock()
	defer he.mu.Unlock()
	if !failed {
		if he.down {
			he.outageEnd = he.clock.Now()
			he.outageLength = he.outageEnd.Sub(he.failingSince)
			he.log.Info("Store answers again.", "away", he.outageLength.String())
			if he.onRecovery != nil {
				go he.onRecovery()
			}
		}
		he.failingSince, he.down = time.Time{}, false
		if sent.After(he.lastAnswered) {
			he.lastAnswered = sent
		}
		return
	}
	if sent.Before(he.lastAnswered) {
		return // sent before the store recovered
	}
	metrics.GetOrRegisterCounter("store."+name+".failed", he.meters).Inc(1)
	if he.failingSince.IsZero() {
		he.failingSince = sent
	}
	if !he.down && he.clock.Since(he.failingSince) > downAfter {
		he.down = true
		he.log.Info("Store is unavailable.", "call", name, "reason", err.Error())
	}
}

// Wrap returns a store that records the result of each call to st.
func (he *Health) Wrap(st *kv.Store) *kv.Store {
	return &kv.Store{
		Range: func(ctx context.Context, prefix, after string, stale bool) (kv.Page, error) {
			sent := he.clock.Now()
			page, err := st.Range(ctx, prefix, after, stale)
			he.recordUnlessCanceled(ctx, "range", sent, err)
			return page, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Events, error) {
			sent := he.clock.Now()
			events, err := st.Watch(ctx, prefix, after, wait)
			he.recordUnlessCanceled(ctx, "watch", sent, err)
			return events, err
		},
		Get: func(ctx context.Context, key string, maxSize int) (kv.Item, uint64, error) {
			sent := he.clock.Now()
			item, at, err := st.Get(ctx, key, maxSize)
			he.recordUnlessCanceled(ctx, "get", sent, err)
			return item, at, err
		},
		WatchKey: func(ctx context.Context, key string, after uint64, wait time.Duration, maxSize int) (kv.Events, error) {
			sent := he.clock.Now()
			events, err := st.WatchKey(ctx, key, after, wait, maxSize)
			he.recordUnlessCanceled(ctx, "watchkey", sent, err)
			return events, err
		},
		Commit: func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
			sent := he.clock.Now()
			revision, items, err := st.Commit(ctx, txn)
			he.recordUnlessCanceled(ctx, "commit", sent, err)
			return revision, items, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			sent := he.clock.Now()
			lease, err := st.Grant(ctx, ttl)
			he.recordUnlessCanceled(ctx, "grant", sent, err)
			return lease, err
		},
		Renew: func(ctx context.Context, lease uint64) error {
			sent := he.clock.Now()
			err := st.Renew(ctx, lease)
			he.recordUnlessCanceled(ctx, "keep", sent, err)
			return err
		},
		Revoke: func(ctx context.Context, lease uint64) error {
			sent := he.clock.Now()
			err := st.Revoke(ctx, lease)
			he.recordUnlessCanceled(ctx, "end", sent, err)
			return err
		},
	}
}

// recordUnlessCanceled records the result of a call unless its caller canceled it.
func (he *Health) recordUnlessCanceled(ctx context.Context, name string, sent time.Time, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	he.record(name, sent, err)
}
