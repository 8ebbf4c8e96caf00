// Package memkv is a stand-in of the platform's key-value service in memory: with
// revisions, leases, watches, conditional transactions, and faults that a test sets.
package memkv

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/kv"
)

// Store is the service. Each client sees it through a Store of package kv.
type Store struct {
	clock clockwork.Clock

	mu       sync.Mutex
	items    map[string]entry
	history  []kv.Item
	forgot   uint64
	revision uint64
	leases   map[uint64]lease
	next     uint64
	changed  chan struct{}
	fault    func(client, call string) Fault
	limit    func(client, call string) Fault
}

type entry struct {
	kv.Item
	lease uint64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Fault is what happens to a call.
type Fault int

// The faults. Lost calls are carried out and not answered; Silent ones are neither.
const (
	None Fault = iota
	Refused
	// Limited: the call is refused as one too many for the store's rate.
	Limited
	Lost
	Silent
)

// New returns an empty service.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock: clock, items: map[string]entry{}, leases: map[uint64]lease{},
		changed: make(chan struct{}), fault: func(string, string) Fault { return None },
		limit: func(string, string) Fault { return None },
	}
}

// SetFault sets what happens to each call of a client from now on.
func (st *Store) SetFault(fault func(client, call string) Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.fault = fault
	st.signal()
}

// SetLimit sets the rate limiter, which is consulted once per call after the fault function. Unlike a fault, it is not
// applied again when a change wakes a blocked watch.
func (st *Store) SetLimit(limit func(client, call string) Fault) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.limit = limit
}

// Forget drops the history of changes.
func (st *Store) Forget() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.history = nil
	st.forgot = st.revision
	st.signal()
}

// Set writes a key as an operator or a worker does.
func (st *Store) Set(key string, value []byte) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.apply(kv.Txn{Puts: []kv.Put{{Key: key, Value: value}}})
}

// Remove removes a key.
func (st *Store) Remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(kv.Txn{Deletes: []string{key}})
}

// Keys returns the keys with a prefix, sorted.
func (st *Store) Keys(prefix string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
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

// Revoke ends all leases at once, as an outage may.
func (st *Store) Revoke() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for id := range st.leases {
		st.endLease(id)
	}
}

// apply carries a transaction out under one revision.
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
	st.signal()
	return st.revision
}

func (st *Store) remove(key string) {
	if _, ok := st.items[key]; ok {
		delete(st.items, key)
		st.history = append(st.history, kv.Item{Key: key, Revision: st.revision, Deleted: true})
	}
}

func (st *Store) signal() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *Store) expireNow() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
}

// expire ends the leases whose time is over.
func (st *Store) expire() {
	for id, ls := range st.leases {
		if st.clock.Now().After(ls.until) {
			st.endLease(id)
		}
	}
}

func (st *Store) endLease(id uint64) {
	if _, ok := st.leases[id]; !ok {
		return // keys without a lease have the id 0
	}
	delete(st.leases, id)
	st.revision++
	for key, en := range st.items {
		if en.lease == id {
			st.remove(key)
		}
	}
	st.signal()
}
