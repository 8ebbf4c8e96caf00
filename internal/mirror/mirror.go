// Package mirror keeps a copy of the keys with a prefix of the store, by a read of
// them all and a watch from there on.
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

// Options of a mirror.
type Options struct {
	Prefix string
	// Wait is how long one watch may stay without an answer.
	Wait time.Duration
	// Pause follows each answer of a watch, so that changes gather. Pace, where it is set, returns it anew
	// each time.
	Pause     time.Duration
	PauseFunc func() time.Duration
	// OnChange is called with the keys that changed since the last call, in the order of
	// their changes, and then, with Gone set, those that were removed. Whole says that all keys were read.
	OnChange func(items []kv.Item, whole bool)
}

// Mirror is one copy.
type Mirror struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	store *kv.Store

	mu sync.Mutex
	// keys holds the revision of each key.
	keys map[string]uint64
	// asked is when the last call that was answered was sent.
	asked  time.Time
	loaded bool
	down   bool
	// behind is set while more changes may wait than the last answer had. Only Run uses it.
	behind bool
	// retry gives the pauses between tries. Only Run uses it.
	retry kv.Backoff
	// cancel gives the present call up.
	cancel context.CancelFunc
	// reading is the read of all keys that has begun, nil where none has.
	reading *kv.Scanner
}

// New returns a mirror that Run fills.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Mirror {
	return &Mirror{opts: opts, clock: clock, log: log.WithName("mirror").WithValues("prefix", opts.Prefix), store: st, keys: map[string]uint64{}}
}

// Age returns how old the copy may be: the time since the sending of the last call
// whose answer was taken in. It reports false before the first read.
func (mr *Mirror) Age() (time.Duration, bool) {
	mr.mu.Lock()
	defer mr.mu.Unlock()
	return mr.clock.Since(mr.asked), mr.loaded
}

// Run keeps the copy until the context ends.
func (mr *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		at, err := mr.read(ctx)
		for err == nil {
			at, err = mr.watch(ctx, at)
		}
		mr.lost(ctx, err)
	}
}

// lost notes why the copy stands still, and waits before the next try.
func (mr *Mirror) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, kv.ErrCompacted) {
		mr.log.Info("Watch lost history; reading all keys.")
		return
	}
	if !mr.down {
		mr.down = true
		mr.log.Info("Store does not answer; the copy grows old.", "reason", err.Error())
	}
	loop.Pause(ctx, mr.clock, mr.retry.Next(err))
}

func (mr *Mirror) answered(sent time.Time) {
	mr.mu.Lock()
	mr.asked = sent
	mr.loaded = true
	mr.mu.Unlock()
	mr.retry.Reset()
	if mr.down {
		mr.down = false
		mr.log.Info("Store answers again.")
	}
}

// read reads all keys and tells of those that changed or went. After a page that failed
// it goes on with that page.
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
	reading := mr.reading
	mr.reading = nil
	gone := make(map[string]bool, len(mr.keys))
	for key := range mr.keys {
		gone[key] = true
	}
	var fresh []kv.Item
	for _, item := range reading.Items() {
		delete(gone, item.Key)
		if item.Revision > mr.keys[item.Key] {
			mr.keys[item.Key] = item.Revision
			fresh = append(fresh, item)
		}
	}
	slices.SortFunc(fresh, func(a, b kv.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for key := range gone {
		delete(mr.keys, key)
		fresh = append(fresh, kv.Item{Key: key, Deleted: true})
	}
	mr.opts.OnChange(fresh, true)
	mr.behind = false
	mr.answered(reading.StartedAt())
	return reading.Revision(), nil
}

// watchSlack is what a watch may take beyond its wait before it counts as dropped: twice
// what a slow store takes. A silent watch of 2 s is then noticed after 2.5 s, before a node
// that lost its connections counts as in touch again, after 3 s; with a second it was not.
const watchSlack = 500 * time.Millisecond

// Refresh gives the present call up, which may be dead, and reads all keys, or the rest of
// them; what changed in those that were read the watch tells.
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

// manyEvents is from how many events on an answer may have been cut: the store ends a page at about
// 500 keys. 3,000 workers write their entries 2,000 times a second, which is more than one such
// answer in each pause of 0.25 s: the copy fell behind for good, and called itself fresh.
const manyEvents = 300

// pause is the time between two watches.
func (mr *Mirror) pause() time.Duration {
	if mr.opts.PauseFunc != nil {
		return mr.opts.PauseFunc()
	}
	return mr.opts.Pause
}

// watch waits once for changes and tells of them. After an answer that may have been cut it asks
// again at once.
func (mr *Mirror) watch(ctx context.Context, after uint64) (uint64, error) {
	if pause := mr.pause(); pause > 0 && !mr.behind && !loop.Pause(ctx, mr.clock, pause) {
		return 0, ctx.Err()
	}
	call, cancel := context.WithTimeout(ctx, mr.opts.Wait+watchSlack)
	defer cancel()
	mr.setCancel(cancel)
	sent := mr.clock.Now()
	events, err := mr.store.Watch(call, mr.opts.Prefix, after, mr.opts.Wait)
	if err != nil {
		return 0, err
	}
	var fresh []kv.Item
	for _, item := range events.Items {
		if item.Revision <= mr.keys[item.Key] {
			continue // pages of the first read are no snapshot
		}
		if item.Deleted {
			delete(mr.keys, item.Key)
		} else {
			mr.keys[item.Key] = item.Revision
		}
		fresh = append(fresh, item)
	}
	if len(fresh) > 0 {
		mr.opts.OnChange(fresh, false)
	}
	if mr.behind = len(events.Items) >= manyEvents; !mr.behind {
		mr.answered(sent)
	}
	return max(events.Revision, after), nil
}
