package member

import (
	"context"
	"strings"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// leaseLoop renews this node's lease of the store three times per TTL.
func (mb *Member) leaseLoop(ctx context.Context) {
	const renewals = 3
	loop.Every(ctx, mb.clock, mb.opts.LeaseTTL/renewals, func() {
		call, cancel := context.WithTimeout(ctx, mb.opts.LeaseTTL/renewals)
		defer cancel()
		if err := mb.renewLease(call); err != nil {
			mb.log.V(1).Info("Lease could not be renewed.", "cause", err.Error())
		}
	})
}

// renewLease renews the lease; if it has expired, it creates a new one and the live key bound to it.
func (mb *Member) renewLease(ctx context.Context) error {
	mb.mu.Lock()
	id := mb.lease
	key := livePrefix + mb.node.JournalName()
	mb.mu.Unlock()
	if id != "" {
		_, ok, err := mb.store.Grant(ctx, id, mb.opts.LeaseTTL)
		if err != nil || ok {
			return err
		}
	}
	id, _, err := mb.store.Grant(ctx, "", mb.opts.LeaseTTL)
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

// watchMap follows the cluster map.
func (mb *Member) watchMap(ctx context.Context) {
	apply := func(items []storemsg.Item) {
		for _, item := range items {
			mb.applyItem(item)
		}
	}
	mb.store.Follow(ctx, store.FollowOptions{
		Prefix: clustermap.Key, Class: store.Ownership,
		OnSnapshot: func(items []storemsg.Item, _ uint64) { apply(items) }, OnChange: apply,
	})
}

// watchLive follows the live keys of the nodes.
func (mb *Member) watchLive(ctx context.Context) {
	mb.store.Follow(ctx, store.FollowOptions{
		Prefix: livePrefix, Class: store.Ownership, OnSnapshot: mb.resetLive, OnChange: mb.updateLive,
	})
}

func (mb *Member) readMap(ctx context.Context) error {
	item, err := mb.store.Get(ctx, store.Ownership, clustermap.Key)
	if err == nil && item.Version > 0 {
		mb.applyItem(item)
	}
	return err
}

func (mb *Member) applyItem(item storemsg.Item) {
	if item.Key != clustermap.Key || item.Deleted {
		return
	}
	mp, err := decode(item.Value)
	if err != nil {
		mb.log.Error(err, "Cluster map in the store could not be decoded.")
		return
	}
	mb.apply(mp, item.Version)
}

func (mb *Member) resetLive(items []storemsg.Item, _ uint64) {
	mb.mu.Lock()
	mb.live = map[string]bool{}
	mb.mu.Unlock()
	mb.updateLive(items)
}

func (mb *Member) updateLive(items []storemsg.Item) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, livePrefix)
		if item.Deleted {
			delete(mb.live, name)
			continue
		}
		mb.live[name] = true
	}
	mb.liveUpdatedAt = mb.clock.Now()
}
