// Package kv is the key-value service of the platform as the product uses it:
// values with revisions, leases, watches, and commits under conditions.
package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Item is one key with its value. An absent key has revision 0.
type Item struct {
	Key   string
	Value []byte
	// Revision of the last change, counted over all keys.
	Revision uint64
	// Deleted is set in events of keys that were removed.
	Deleted bool
}

// Page is a part of the keys with a prefix.
type Page struct {
	Items []Item
	// More is true where keys follow after the last one.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
}

// Events are changes, in their order. The next watch goes on from At.
type Events struct {
	Items    []Item
	Revision uint64
}

// Condition demands that a key's last change has a revision; 0 demands its absence.
type Condition struct {
	Key      string
	Revision uint64
}

// Put sets a key. With a lease the key ends with it.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// Txn is carried out whole, or not at all where a condition does not hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// MaxEntries is the most conditions, puts and removes of one transaction.
const MaxEntries = 32

// Store carries the calls. The fields are seams: an adapter sets them for a wire
// format, a test for a fault. Each returns an error of one of the kinds below. The context's
// deadline is when the answer to a read or a watch has to begin; it is then taken whole, however
// long that takes, as long as it keeps coming.
type Store struct {
	// Range reads keys with a prefix after a key. A stale read is cheap and may be
	// seconds old.
	Range func(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits for changes of keys with a prefix after a revision.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error)
	// Get reads one key, and returns the store's revision too. An absent key has revision 0. An
	// answer of more than most bytes is not taken and ErrTooLarge returned, but 0 takes any.
	Get func(ctx context.Context, key string, most int) (Item, uint64, error)
	// WatchKey waits for changes of one key after a revision. Its answer is taken as that of Get.
	WatchKey func(ctx context.Context, key string, after uint64, wait time.Duration, most int) (Events, error)
	// Commit carries a transaction out and returns its revision. With a conflict it
	// returns the keys of the conditions as they are.
	Commit func(ctx context.Context, txn Txn) (uint64, []Item, error)
	// Grant makes a lease.
	Grant func(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew renews a lease.
	Renew func(ctx context.Context, lease uint64) error
	// Revoke ends a lease with its keys.
	Revoke func(ctx context.Context, lease uint64) error
}

// The kinds of errors.
var (
	// ErrConflict means that a condition did not hold; nothing was done.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrLeaseExpired means that the lease is over; nothing was done.
	ErrLeaseExpired = errors.New("the lease is over")
	// ErrCompacted means that the changes since the revision are forgotten.
	ErrCompacted = errors.New("the history since that revision is gone")
	// ErrTooLarge means that the answer is there but larger than the caller takes.
	ErrTooLarge = errors.New("the answer is larger than asked for")
	// ErrRefused means that the service did nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrRateLimited is an ErrRefused: the calls of all nodes together are over the service's rate.
	ErrRateLimited = fmt.Errorf("%w: over its rate", ErrRefused)
	// ErrNoAnswer means that the call may have been carried out, or may be yet.
	ErrNoAnswer = errors.New("the store did not answer")
)
