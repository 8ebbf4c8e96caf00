package store

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// watchWait is how long one watch of the store waits.
const watchWait = 20 * time.Second

// FollowOptions says what to do with the keys under a prefix.
type FollowOptions struct {
	Prefix string
	Class  Class
	// ResyncAfter is the time after which everything is read anew, besides after a
	// failure; zero is never.
	ResyncAfter time.Duration
	// OnSnapshot takes every key and the store's revision at that moment.
	OnSnapshot func(items []storemsg.Item, revision uint64)
	// OnChange takes keys that have changed since, in order; it may be empty.
	OnChange func(items []storemsg.Item)
}

// Follow reads everything under a prefix and then its changes, until the context
// ends. After a failure it reads everything again.
func (cl *Client) Follow(ctx context.Context, fw FollowOptions) {
	revision, synced, fails := uint64(0), false, 0
	var read time.Time
	for ctx.Err() == nil {
		var err error
		if !synced || fw.ResyncAfter > 0 && cl.clock.Since(read) > fw.ResyncAfter {
			revision, err = cl.readAll(ctx, fw)
			synced, read = err == nil, cl.clock.Now()
		} else {
			revision, synced, err = cl.follow(ctx, fw, revision)
		}
		if err == nil {
			fails = 0
			continue
		}
		synced = false
		fails++
		loop.Pause(ctx, cl.clock, Backoff(fails))
	}
}

func (cl *Client) readAll(ctx context.Context, fw FollowOptions) (uint64, error) {
	items, revision, err := cl.List(ctx, fw.Class, fw.Prefix)
	if err == nil {
		fw.OnSnapshot(items, revision)
	}
	return revision, err
}

// follow waits for changes once; it reports false where the store forgot some.
func (cl *Client) follow(ctx context.Context, fw FollowOptions, after uint64) (uint64, bool, error) {
	res, err := cl.Watch(ctx, fw.Class, fw.Prefix, after, watchWait)
	if err != nil || res.Compacted {
		return after, false, err
	}
	fw.OnChange(res.Items)
	return res.Revision, true, nil
}
