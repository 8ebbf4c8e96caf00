// Package mirror maintains a copy of the keys with a prefix of the store. It reads all of them once and then
// follows a watch.
package mirror

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
)

// Options configure a Mirror.
type Options struct {
	Prefix string
	// Wait is how long one watch may stay without an answer. WaitFunc, if set, is called for it each time instead.
	Wait     time.Duration
	WaitFunc func() time.Duration
	// Pause follows each answer of a watch, so that changes are batched. PauseFunc, if set, is called for the pause
	// each time instead.
	Pause     time.Duration
	PauseFunc func() time.Duration
	// OnChange is called with the keys that changed since the last call, in the order of their changes. Removed keys
	// have Deleted set. The argument full is set if all keys were read; the removed ones then come last.
	OnChange func(items []kv.Item, full bool)
}

// Mirror is a copy of the keys with one prefix.
type Mirror struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	store *kv.Store

	mu sync.Mutex
	// keys holds the revision of each key.
	keys map[string]uint64
	// syncedAt is when the last answered call that brought the copy up to date was sent.
	syncedAt time.Time
	loaded   bool
	down     bool
	// behind is set while there may be more changes than the last answer contained. Only Run uses it.
	behind bool
	// retry computes the pauses between attempts. Only Run uses it.
	retry kv.Backoff
	// cancel cancels the present call.
	cancel context.CancelFunc
	// reading is the unfinished read of all keys, or nil.
	reading *kv.Scanner
}

// New returns an empty mirror; Run fills it.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Mirror {
	return &Mirror{opts: opts, clock: clock, log: log.WithName("mirror").WithValues("prefix", opts.Prefix), store: st, keys: map[string]uint64{}}
}

// Age returns how old the copy may be: the time since the sending of the last call whose answer brought it up to
// date. It returns false before the first read.
func (mr *Mirror) Age() (time.Duration, bool) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	return mr.clock.Since(mr.syncedAt), mr.loaded
}

// Run keeps the copy up to date until the context ends.
func (mr *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		at, err := mr.read(ctx)
		for err == nil {
			at, err = mr.watch(ctx, at)
		}
		mr.handleFailure(ctx, err)
	}
}

// handleFailure logs why the copy is not updated, and waits before the next attempt.
func (mr *Mirror) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, kv.ErrCompacted) {
		mr.log.Info("Store no longer has the history for the watch; reading all keys.")
		return
	}
	if !mr.down {
		mr.down = true
		mr.log.Info("Store does not answer; the copy may become stale.", "reason", err.Error())
	}
	loop.Sleep(ctx, mr.clock, mr.retry.Next(err))
}

func (mr *Mirror) markSynced(sent time.Time) {
	mr.mu.Lock()
	mr.syncedAt = sent
	mr.loaded = true
	mr.mu.Unlock()
	mr.retry.Reset()
	if mr.down {
		mr.down = false
		mr.log.Info("Store answers again.")
	}
}

// read reads all keys and reports those that were changed or removed. After a failed page the next attempt
// continues with that page.
func (mr *Mirror) read(ctx context.Context) (uint64, error) {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	mr.setCancel(cancel)
	if mr.reading == nil {
		mr.reading = mr.store.Scan(mr.clock, mr.opts.Prefix)
	}
	if err := mr.reading.Continue(call); err != nil {
		return 0, err
	}
	items, revision, startedAt := mr.reading.Items(), mr.reading.Revision(), mr.reading.StartedAt()
	mr.reading = nil
	gone := make(map[string]bool, len(mr.keys))
	for key := range mr.keys {
		gone[key] = true
	}
	var changed []kv.Item
	for _, item := range items {
		delete(gone, item.Key)
		if item.Revision > mr.keys[item.Key] {
			mr.keys[item.Key] = item.Revision
			changed = append(changed, item)
		}
	}
	slices.SortFunc(changed, func(a, b kv.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for key := range gone {
		delete(mr.keys, key)
		changed = append(changed, kv.Item{Key: key, Deleted: true})
	}
	mr.opts.OnChange(changed, true)
	mr.behind = false
	mr.markSynced(startedAt)
	return revision, nil
}

// watchGrace is how long a watch may take beyond its wait before it counts as dropped: twice the latency of a slow
// store. A dropped watch of 2 s is then noticed after 2.5 s, before a node that lost its connections is considered
// connected again after 3 s; a grace of 1 s was too long for that.
const watchGrace = 500 * time.Millisecond

// Refresh cancels the present call, whose connection may be dead, and reads all keys, or the pages not yet read.
// Changes of keys in pages already read arrive with the watch.
func (mr *Mirror) Refresh() {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	if mr.cancel != nil {
		mr.cancel()
	}
}

func (mr *Mirror) setCancel(cancel context.CancelFunc) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	mr.cancel = cancel
}

// truncatedEvents is the number of events from which an answer may have been truncated: the store ends a page at
// about 500 keys. 3,000 workers write their entries 2,000 times a second, which is more than one such answer per
// pause of 0.25 s. Without an immediate next watch the copy fell further and further behind while reporting that
// it was fresh.
const truncatedEvents = 300

// pause returns the time between two watches.
func (mr *Mirror) pause() time.Duration {
	if mr.opts.PauseFunc != nil {
		return mr.opts.PauseFunc()
	}
	return mr.opts.Pause
}

// wait returns how long a watch may stay without an answer.
func (mr *Mirror) wait() time.Duration {
	if mr.opts.WaitFunc != nil {
		return mr.opts.WaitFunc()
	}
	return mr.opts.Wait
}

// watch waits once for changes and reports them. An answer that may have been truncated is followed by the next
// watch without a pause.
func (mr *Mirror) watch(ctx context.Context, after uint64) (uint64, error) {
	if pause := mr.pause(); pause > 0 && !mr.behind && !loop.Sleep(ctx, mr.clock, pause) {
		return 0, ctx.Err()
	}
	wait := mr.wait()
	call, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	mr.setCancel(cancel)
	sent := mr.clock.Now()
	events, err := mr.store.Watch(call, mr.opts.Prefix, after, wait)
	if err != nil {
		return 0, err
	}
	var changed []kv.Item
	for _, item := range events.Items {
		if item.Revision <= mr.keys[item.Key] {
			continue // the pages of the first read are not a snapshot
		}
		if item.Deleted {
			delete(mr.keys, item.Key)
		} else {
			mr.keys[item.Key] = item.Revision
		}
		changed = append(changed, item)
	}
	if len(changed) > 0 {
		mr.opts.OnChange(changed, false)
	}
	if mr.behind = len(events.Items) >= truncatedEvents; !mr.behind {
		mr.markSynced(sent)
	}
	return max(events.Revision, after), nil
}
