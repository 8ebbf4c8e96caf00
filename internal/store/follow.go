package store

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// watchWait is how long a watch waits for changes.
const watchWait = 20 * time.Second

// FollowOptions specify the keys to follow and the functions that are called with them.
type FollowOptions struct {
	Prefix string
	Class  Class
	// ResyncAfter is the time after which all keys are read again even without a failure; 0 means never.
	ResyncAfter time.Duration
	// OnSnapshot is called with all keys and the store's revision at which they were read.
	OnSnapshot func(items []storemsg.Item, revision uint64)
	// OnChange is called with the keys that have changed since, in order. There may be none.
	OnChange func(items []storemsg.Item)
}

// Follow reads all keys with a prefix and then watches for changes, until the context ends. After a failure, it reads
// all keys again.
func (cl *Client) Follow(ctx context.Context, opts FollowOptions) {
	revision, synced, failures := uint64(0), false, 0
	var lastRead time.Time
	for ctx.Err() == nil {
		var err error
		if !synced || opts.ResyncAfter > 0 && cl.clock.Since(lastRead) > opts.ResyncAfter {
			revision, err = cl.readAll(ctx, opts)
			synced, lastRead = err == nil, cl.clock.Now()
		} else {
			revision, synced, err = cl.watchOnce(ctx, opts, revision)
		}
		if err == nil {
			failures = 0
			continue
		}
		synced = false
		failures++
		loop.Pause(ctx, cl.clock, Backoff(failures))
	}
}

func (cl *Client) readAll(ctx context.Context, opts FollowOptions) (uint64, error) {
	items, revision, err := cl.List(ctx, opts.Class, opts.Prefix)
	if err == nil {
		opts.OnSnapshot(items, revision)
	}
	return revision, err
}

// watchOnce waits once for changes. It reports false if some changes are missing because the store has compacted them.
func (cl *Client) watchOnce(ctx context.Context, opts FollowOptions, after uint64) (uint64, bool, error) {
	res, err := cl.Watch(ctx, opts.Class, opts.Prefix, after, watchWait)
	if err != nil || res.Compacted {
		return after, false, err
	}
	opts.OnChange(res.Items)
	return res.Revision, true, nil
}
