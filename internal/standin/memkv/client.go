package memkv

import (
	"context"
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"tackbeam.example/tackbeam/internal/kv"
)

// Client returns the service as one client sees it.
func (st *Store) Client(name string) *kv.Store {
	cl := &client{st, name}
	return &kv.Store{
		Range: cl.scan, Watch: cl.watch, Get: cl.get, WatchKey: cl.watchKey,
		Commit: cl.commit, Grant: cl.grant, Renew: cl.keep, Revoke: cl.end,
	}
}

type client struct {
	store *Store
	name  string
}

// latency of each call.
const latency = 4 * time.Millisecond

// call carries an act out as the faults say.
func (cl *client) call(ctx context.Context, name string, act func()) error {
	return cl.attempt(ctx, name, act, true)
}

// attempt runs one attempt of a call. Faults apply to every attempt, the limit only to the first one.
func (cl *client) attempt(ctx context.Context, name string, act func(), first bool) error {
	st := cl.store
	st.clock.Sleep(latency)
	st.mu.Lock()
	st.expire()
	fault := st.fault(cl.name, name)
	if first && fault == None {
		fault = st.limit(cl.name, name)
	}
	if fault == None || fault == Lost {
		act()
	}
	st.mu.Unlock()
	switch fault {
	case Refused:
		return kv.ErrRefused
	case Limited:
		return kv.ErrRateLimited
	case Lost, Silent:
		st.unanswered(ctx, name)
		return kv.ErrNoAnswer
	}
	return nil
}

// holdOn is how long a call without a deadline waits for its answer.
const holdOn = 10 * time.Second

// unanswered returns when a call without an answer does: reads and watches as soon as
// their context ends; the others hold on to their connection until their deadline, as
// calls over HTTP do, whatever becomes of their caller.
func (st *Store) unanswered(ctx context.Context, name string) {
	if name == "range" || name == "watch" {
		<-ctx.Done()
		return
	}
	wait := holdOn
	if deadline, ok := ctx.Deadline(); ok {
		wait = deadline.Sub(st.clock.Now())
	}
	st.clock.Sleep(wait)
}

func (cl *client) scan(ctx context.Context, prefix, after string, _ bool) (kv.Page, error) {
	const most = 500
	var page kv.Page
	err := cl.call(ctx, "range", func() {
		page.Revision = cl.store.revision
		for _, key := range cl.store.keys(prefix) {
			if key <= after {
				continue
			}
			if len(page.Items) == most {
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
	over := st.clock.After(wait)
	for first := true; ; first = false {
		var events kv.Events
		var gone bool
		var changed chan struct{}
		err := cl.attempt(ctx, "watch", func() {
			gone = after < st.forgot
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
		case gone:
			return kv.Events{}, kv.ErrCompacted
		case len(events.Items) > 0:
			return events, nil
		}
		select {
		case <-changed:
		case <-over:
			return events, nil
		case <-ctx.Done():
			return kv.Events{}, kv.ErrNoAnswer
		}
	}
}

// get reads a key; faults know it as a range.
func (cl *client) get(ctx context.Context, key string, most int) (kv.Item, uint64, error) {
	pg, err := cl.scan(ctx, key, "", false)
	for _, item := range pg.Items {
		if err == nil && item.Key == key {
			return item, pg.Revision, tooLarge(most, item)
		}
	}
	return kv.Item{Key: key}, pg.Revision, err
}

// watchKey waits for changes of a key; faults know it as a watch.
func (cl *client) watchKey(ctx context.Context, key string, after uint64, wait time.Duration, most int) (kv.Events, error) {
	ev, err := cl.watch(ctx, key, after, wait)
	if err != nil {
		return kv.Events{}, err
	}
	ev.Items = slices.DeleteFunc(ev.Items, func(it kv.Item) bool { return it.Key != key })
	if err := tooLarge(most, ev.Items...); err != nil {
		return kv.Events{}, err
	}
	return ev, nil
}

// tooLarge returns an error where items take more bytes on the wire than most, if that is set.
func tooLarge(most int, items ...kv.Item) error {
	size := 0
	for _, item := range items {
		size += base64.StdEncoding.EncodedLen(len(item.Value))
	}
	if most > 0 && size > most {
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
		st.next++
		id = st.next
		st.leases[id] = lease{ttl, st.clock.Now().Add(ttl)}
		st.clock.AfterFunc(ttl+latency, st.expireNow)
	})
	return id, err
}

func (cl *client) keep(ctx context.Context, id uint64) error {
	st := cl.store
	known := false
	err := cl.call(ctx, "keep", func() {
		var ls lease
		if ls, known = st.leases[id]; known {
			ls.until = st.clock.Now().Add(ls.ttl)
			st.leases[id] = ls
			st.clock.AfterFunc(ls.ttl+latency, st.expireNow)
		}
	})
	if err == nil && !known {
		return kv.ErrLeaseExpired
	}
	return err
}

func (cl *client) end(ctx context.Context, id uint64) error {
	return cl.call(ctx, "end", func() { cl.store.endLease(id) })
}
