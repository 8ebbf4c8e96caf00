package kv

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Timeouts of a page. Too long a timeout delays the retry after a lost response, too short a timeout fails the page.
// The timeout is therefore short at first and adapts to the time that pages take.
const (
	// initialTimeout is the timeout of the first page. The store answers in 4 ms, or 0.25 s if it is slow.
	initialTimeout = 300 * time.Millisecond
	// maxUnobservedTimeout is the maximum timeout while no page has taken that long. A page of 1 MB, 1.4 MB as
	// transmitted, takes 1.1 s at 10 Mbit/s, and less than twice that with other traffic. A store that was unresponsive
	// delays a scan by at most this time after it has recovered.
	maxUnobservedTimeout = 2 * time.Second
	// maxTimeout is the maximum timeout if pages have taken that long.
	maxTimeout = 4 * time.Second
	// growthFactor is the factor by which the timeout grows, and its ratio to the longest time that a page has taken.
	growthFactor = 2
	// timeoutsBeforeGrowth is the number of attempts with the same timeout before it grows. With 35% of the responses
	// lost, 4% of the pages fail three times; with growth from the first timeout on, 16 pages took 6 s and up to 12 s.
	timeoutsBeforeGrowth = 3
)

// Scanner reads all keys with a prefix, page by page. A failed attempt affects only its page: with 35% of the responses
// lost, only one in a thousand scans of 16 pages would succeed without a failure.
type Scanner struct {
	store  *Store
	clock  clockwork.Clock
	prefix string

	items    []Item
	after    string
	revision uint64
	complete bool
	// startedAt is when the first page that was received was requested.
	startedAt time.Time
	// timeout is the timeout of the next attempt, baseTimeout the one of the first attempt at each later page.
	timeout, baseTimeout time.Duration
	// timeouts counts the timeouts of the current page.
	timeouts int
}

// Scan returns a scanner of the keys with a prefix. It reads nothing before Continue is called.
func (st *Store) Scan(clock clockwork.Clock, prefix string) *Scanner {
	return &Scanner{store: st, clock: clock, prefix: prefix, timeout: initialTimeout, baseTimeout: initialTimeout}
}

// Continue reads until the last page, or until a page fails. The next call continues with that page.
func (sc *Scanner) Continue(ctx context.Context) error {
	for !sc.complete {
		if err := sc.readPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (sc *Scanner) readPage(ctx context.Context) error {
	sent := sc.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, sc.timeout)
	defer cancel()
	page, err := sc.store.Range(callCtx, sc.prefix, sc.after, false)
	if err != nil {
		if errors.Is(callCtx.Err(), context.DeadlineExceeded) {
			sc.increaseTimeout()
		}
		return err
	}
	if page.More && len(page.Items) == 0 {
		return errors.Wrapf(ErrNoAnswer, "page of %q after %q is empty although more keys follow", sc.prefix, sc.after)
	}
	sc.baseTimeout = min(max(sc.baseTimeout, sc.clock.Since(sent)*growthFactor), maxTimeout)
	sc.timeout, sc.timeouts = sc.baseTimeout, 0
	sc.add(page, sent)
	return nil
}

// increaseTimeout is called when a page has timed out.
func (sc *Scanner) increaseTimeout() {
	if sc.timeouts++; sc.timeouts >= timeoutsBeforeGrowth {
		sc.timeout = min(sc.timeout*growthFactor, max(sc.baseTimeout, maxUnobservedTimeout))
	}
}

func (sc *Scanner) add(page Page, sent time.Time) {
	if sc.revision == 0 {
		sc.revision, sc.startedAt = page.Revision, sent
	}
	sc.revision = min(sc.revision, page.Revision)
	sc.items = append(sc.items, page.Items...)
	sc.complete = !page.More
	if !sc.complete {
		sc.after = page.Items[len(page.Items)-1].Key
	}
}

// Items returns the items read so far. They are not a consistent snapshot, because pages are read at different times.
func (sc *Scanner) Items() []Item { return sc.items }

// Revision returns the lowest revision of the pages. A watch from there misses no change, but may repeat some.
func (sc *Scanner) Revision() uint64 { return sc.revision }

// StartedAt returns when the first page was requested. The items may be as old as that.
func (sc *Scanner) StartedAt() time.Time { return sc.startedAt }
