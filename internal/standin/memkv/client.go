package memkv

import (
	"context"
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"tackbeam.example/tackbeam/internal/kv"
)

// Client returns a client of the service. The name identifies it to the fault and limit functions.
func (st *Store) Client(name string) *kv.Store {
	cl := &client{st, name}
	return &kv.Store{
		Range: cl.scan, Watch: cl.watch, Get: cl.get, WatchKey: cl.watchKey,
		Commit: cl.commit, Grant: cl.grant, Renew: cl.renew, Revoke: cl.revoke,
	}
}

type client struct {
	store *Store
	name  string
}

// latency is the duration of each call without faults.
const latency = 4 * time.Millisecond

// call executes a call subject to the injected faults.
func (cl *client) call(ctx context.Context, name string, act func()) error {
	return cl.attempt(ctx, name, act, true)
}

// attempt runs one attempt of a call. Faults apply to every attempt, the limit only to the first one.
func (cl *client) attempt(ctx context.Context, name string, act func(), first bool) error {
	st := cl.store
	st.clock.Sleep(latency)
	st.mu.Lock()
	st.expireLeases()
	fault := st.fault(cl.name, name)
	if first && fault == None {
		fault = st.limit(cl.name, name)
	}
	if fault == None || fault == ResponseLost {
		act()
	}
	if fault == Delayed && name != "range" && name != "watch" {
		st.clock.AfterFunc(DelayedBy, func() {
			st.mu.Lock()
			defer st.mu.Unlock()
			st.expireLeases()
			act() // the caller no longer waits for the results
		})
	}
	st.mu.Unlock()
	switch fault {
	case Refused:
		return kv.ErrRefused
	case RateLimited:
		return kv.ErrRateLimited
	case ResponseLost, RequestLost, Delayed:
		st.waitUnanswered(ctx, name)
		return kv.ErrNoAnswer
	}
	return nil
}

// defaultTimeout is how long a call without a deadline waits for its answer.
const defaultTimeout = 10 * time.Second

// waitUnanswered blocks as long as a call without an answer does. Reads and watches return as soon as their context
// ends. Other calls wait until their deadline even if the context is cancelled, as calls over HTTP do.
func (st *Store) waitUnanswered(ctx context.Context, name string) {
	if name == "range" || name == "watch" {
		<-ctx.Done()
		return
	}
	wait := defaultTimeout
	if deadline, ok := ctx.Deadline(); ok {
		wait = deadline.Sub(st.clock.Now())
	}
	st.clock.Sleep(wait)
}

func (cl *client) scan(ctx context.Context, prefix, after string, _ bool) (kv.Page, error) {
	const maxItems = 500
	var page kv.Page
	err := cl.call(ctx, "range", func() {
		page.Revision = cl.store.revision
		for _, key := range cl.store.keys(prefix) {
			if key <= after {
				continue
			}
			if len(page.Items) == maxItems {
				page.More = true
				return
			}
			page.Items = append(page.Items, cl.store.items[key].Item)
		}
	})
	return page, err
}

func (cl *client) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Events, error) {
	st := cl.store
	timeout := st.clock.After(wait)
	for first := true; ; first = false {
		var events kv.Events
		var compacted bool
		var changed chan struct{}
		err := cl.attempt(ctx, "watch", func() {
			compacted = after < st.compactedAt
			events.Revision = st.revision
			for _, item := range st.history {
				if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
					events.Items = append(events.Items, item)
				}
			}
			changed = st.changed
		}, first)
		switch {
		case err != nil:
			return kv.Events{}, err
		case ctx.Err() != nil:
			return kv.Events{}, kv.ErrNoAnswer
		case compacted:
			return kv.Events{}, kv.ErrCompacted
		case len(events.Items) > 0:
			return events, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return events, nil
		case <-ctx.Done():
			return kv.Events{}, kv.ErrNoAnswer
		}
	}
}

// get reads a key; the fault and limit functions see a call "range".
func (cl *client) get(ctx context.Context, key string, maxBytes int) (kv.Item, uint64, error) {
	pg, err := cl.scan(ctx, key, "", false)
	for _, item := range pg.Items {
		if err == nil && item.Key == key {
			return item, pg.Revision, tooLarge(maxBytes, item)
		}
	}
	return kv.Item{Key: key}, pg.Revision, err
}

// watchKey waits for changes of a key; the fault and limit functions see a call "watch".
func (cl *client) watchKey(ctx context.Context, key string, after uint64, wait time.Duration, maxBytes int) (kv.Events, error) {
	ev, err := cl.watch(ctx, key, after, wait)
	if err != nil {
		return kv.Events{}, err
	}
	ev.Items = slices.DeleteFunc(ev.Items, func(it kv.Item) bool { return it.Key != key })
	if err := tooLarge(maxBytes, ev.Items...); err != nil {
		return kv.Events{}, err
	}
	return ev, nil
}

// tooLarge returns an error if the items take more than maxBytes on the wire; 0 means no limit.
func tooLarge(maxBytes int, items ...kv.Item) error {
	size := 0
	for _, item := range items {
		size += base64.StdEncoding.EncodedLen(len(item.Value))
	}
	if maxBytes > 0 && size > maxBytes {
		return kv.ErrTooLarge
	}
	return nil
}

func (cl *client) commit(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
	st := cl.store
	var revision uint64
	var items []kv.Item
	var outcome error
	err := cl.call(ctx, "commit", func() {
		for _, cd := range txn.Conditions {
			item := st.items[cd.Key].Item
			item.Key = cd.Key
			items = append(items, item)
			if item.Revision != cd.Revision {
				outcome = kv.ErrConflict
			}
		}
		for _, pt := range txn.Puts {
			if _, ok := st.leases[pt.Lease]; pt.Lease != 0 && !ok {
				outcome = kv.ErrLeaseExpired
			}
		}
		if outcome == nil {
			revision = st.apply(txn)
		}
	})
	if err != nil {
		return 0, nil, err
	}
	return revision, items, outcome
}

func (cl *client) grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	st := cl.store
	var id uint64
	err := cl.call(ctx, "grant", func() {
		st.lastLease++
		id = st.lastLease
		st.leases[id] = lease{ttl, st.clock.Now().Add(ttl)}
		st.clock.AfterFunc(ttl+latency, st.lockAndExpireLeases)
	})
	if err != nil {
		return 0, err // not the variable id: a delayed call may still write it
	}
	return id, nil
}

func (cl *client) renew(ctx context.Context, id uint64) error {
	st := cl.store
	known := false
	err := cl.call(ctx, "keep", func() {
		var ls lease
		if ls, known = st.leases[id]; known {
			ls.expiresAt = st.clock.Now().Add(ls.ttl)
			st.leases[id] = ls
			st.clock.AfterFunc(ls.ttl+latency, st.lockAndExpireLeases)
		}
	})
	if err == nil && !known {
		return kv.ErrLeaseExpired
	}
	return err
}

func (cl *client) revoke(ctx context.Context, id uint64) error {
	return cl.call(ctx, "end", func() { cl.store.revokeLease(id) })
}
