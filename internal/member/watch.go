package member

import (
	"context"
	"strings"
	"time"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// leaseLoop renews this node's lease of the store, three times in its length.
func (mb *Member) leaseLoop(ctx context.Context) {
	const renewals = 3
	tick := mb.clock.NewTicker(mb.opts.Lease / renewals)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			call, cancel := context.WithTimeout(ctx, mb.opts.Lease/renewals)
			if err := mb.renew(call); err != nil {
				mb.log.V(1).Info("Lease was not renewed.", "cause", err.Error())
			}
			cancel()
		}
	}
}

// renew renews the lease; where it has lapsed, it makes a new one and the live
// key bound to it.
func (mb *Member) renew(ctx context.Context) error {
	mb.mu.Lock()
	id := mb.lease
	key := livePrefix + mb.node.Log()
	mb.mu.Unlock()
	if id != "" {
		_, ok, err := mb.store.Grant(ctx, id, mb.opts.Lease)
		if err != nil || ok {
			return err
		}
	}
	id, _, err := mb.store.Grant(ctx, "", mb.opts.Lease)
	if err != nil {
		return err
	}
	item, err := mb.store.Get(ctx, store.Ownership, key)
	if err != nil {
		return err
	}
	_, _, err = mb.store.Put(ctx, store.Ownership, store.Write{
		Key: key, Value: []byte(id), Version: item.Version, Lease: id,
	})
	if err != nil {
		return err
	}
	mb.mu.Lock()
	mb.lease = id
	mb.mu.Unlock()
	return nil
}

// watchLoop follows a prefix: it reads everything, then waits for changes, and
// reads everything again after a failure.
func (mb *Member) watchLoop(
	ctx context.Context, prefix string,
	read func(context.Context) (uint64, error), apply func(storemsg.Item),
) {
	after, synced, fails := uint64(0), false, 0
	for ctx.Err() == nil {
		var err error
		if !synced {
			after, err = read(ctx)
		} else {
			var res storemsg.ItemsResponse
			res, err = mb.store.Watch(ctx, prefix, after, watchWait)
			if err == nil && !res.Compacted {
				for _, item := range res.Items {
					apply(item)
				}
				after = res.Revision
				mb.fresh(prefix)
			}
			if res.Compacted {
				synced = false
				continue
			}
		}
		if err == nil {
			synced, fails = true, 0
			continue
		}
		synced = false
		fails++
		mb.sleep(ctx, store.Backoff(fails))
	}
}

func (mb *Member) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-mb.clock.After(pause):
	}
}

func (mb *Member) fresh(prefix string) {
	if prefix != livePrefix {
		return
	}
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.liveAt = mb.clock.Now()
}

func (mb *Member) readMap(ctx context.Context) (uint64, error) {
	items, revision, err := mb.store.List(ctx, store.Ownership, clustermap.Key)
	if err != nil {
		return 0, err
	}
	for _, item := range items {
		mb.applyItem(item)
	}
	return revision, nil
}

func (mb *Member) applyItem(item storemsg.Item) {
	if item.Key != clustermap.Key || item.Deleted {
		return
	}
	mp, err := decode(item.Value)
	if err != nil {
		mb.log.Error(err, "Map in the store cannot be read.")
		return
	}
	mb.apply(mp, item.Version)
}

// readLive reads which nodes' records stand.
func (mb *Member) readLive(ctx context.Context) (uint64, error) {
	items, revision, err := mb.store.List(ctx, store.Ownership, livePrefix)
	if err != nil {
		return 0, err
	}
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.live = map[string]bool{}
	for _, item := range items {
		mb.live[strings.TrimPrefix(item.Key, livePrefix)] = true
	}
	mb.liveAt = mb.clock.Now()
	return revision, nil
}

func (mb *Member) applyLive(item storemsg.Item) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	name := strings.TrimPrefix(item.Key, livePrefix)
	if item.Deleted {
		delete(mb.live, name)
		return
	}
	mb.live[name] = true
}
