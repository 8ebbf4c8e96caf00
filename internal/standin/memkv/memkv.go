// Package memkv implements an in-memory fake of the platform's key-value service with revisions, leases, watches,
// conditional transactions and injected faults.
package memkv

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/kv"
)

// Store is the service. Client returns a kv.Store for each client.
type Store struct {
	clock clockwork.Clock

	mu          sync.Mutex
	items       map[string]entry
	history     []kv.Item
	compactedAt uint64
	revision    uint64
	leases      map[uint64]lease
	lastLease   uint64
	changed     chan struct{}
	fault       func(client, call string) Fault
	limit       func(client, call string) Fault
}

type entry struct {
	kv.Item
	lease uint64
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Fault is a fault injected into a call.
type Fault int

// The faults. With ResponseLost, a call is executed but not answered; with RequestLost, it is neither executed nor
// answered. With Delayed, a write is executed after DelayedBy and not answered; a read gets no answer.
const (
	None Fault = iota
	Refused
	// RateLimited calls are refused because they exceed the store's rate limit.
	RateLimited
	ResponseLost
	RequestLost
	Delayed
)

// DelayedBy is the delay of calls with the fault Delayed.
const DelayedBy = 2 * time.Second

// New returns an empty service.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock: clock, items: map[string]entry{}, leases: map[uint64]lease{},
		changed: make(chan struct{}), fault: func(string, string) Fault { return None },
		limit: func(string, string) Fault { return None },
	}
}

// SetFault sets the function that decides on the fault of each call.
func (st *Store) SetFault(fault func(client, call string) Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fault = fault
	st.notifyWatchers()
}

// SetLimit sets the rate limiter, which is consulted once per call after the fault function. Unlike a fault, it is not
// applied again when a change wakes a blocked watch.
func (st *Store) SetLimit(limit func(client, call string) Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.limit = limit
}

// Compact drops the history of changes.
func (st *Store) Compact() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history = nil
	st.compactedAt = st.revision
	st.notifyWatchers()
}

// Set writes a key unconditionally, as operators and workers do.
func (st *Store) Set(key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.apply(kv.Txn{Puts: []kv.Put{{Key: key, Value: value}}})
}

// Delete deletes a key.
func (st *Store) Delete(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(kv.Txn{Deletes: []string{key}})
}

// Item returns the item of a key, whatever faults are injected.
func (st *Store) Item(key string) (kv.Item, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	en, ok := st.items[key]
	return en.Item, ok
}

// Keys returns the keys with a prefix, sorted.
func (st *Store) Keys(prefix string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	return st.keys(prefix)
}

func (st *Store) keys(prefix string) []string {
	var keys []string
	for key := range st.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// RevokeLeases revokes all leases, as may happen in an outage.
func (st *Store) RevokeLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id := range st.leases {
		st.revokeLease(id)
	}
}

// ExtendLeases extends all leases, as in an outage in which they wait.
func (st *Store) ExtendLeases(by time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id, ls := range st.leases {
		ls.expiresAt = ls.expiresAt.Add(by)
		st.leases[id] = ls
	}
}

// apply executes a transaction; all its changes get the same revision.
func (st *Store) apply(txn kv.Txn) uint64 {
	st.revision++
	for _, pt := range txn.Puts {
		item := kv.Item{Key: pt.Key, Value: slices.Clone(pt.Value), Revision: st.revision}
		st.items[pt.Key] = entry{item, pt.Lease}
		st.history = append(st.history, item)
	}
	for _, key := range txn.Deletes {
		st.remove(key)
	}
	st.notifyWatchers()
	return st.revision
}

func (st *Store) remove(key string) {
	if _, ok := st.items[key]; ok {
		delete(st.items, key)
		st.history = append(st.history, kv.Item{Key: key, Revision: st.revision, Deleted: true})
	}
}

func (st *Store) notifyWatchers() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) lockAndExpireLeases() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
}

// expireLeases revokes the leases that have expired.
func (st *Store) expireLeases() {
	for id, ls := range st.leases {
		if st.clock.Now().After(ls.expiresAt) {
			st.revokeLease(id)
		}
	}
}

func (st *Store) revokeLease(id uint64) {
	if _, ok := st.leases[id]; !ok {
		return // lease 0 stands for keys without a lease
	}
	delete(st.leases, id)
	st.revision++
	for key, en := range st.items {
		if en.lease == id {
			st.remove(key)
		}
	}
	st.notifyWatchers()
}
