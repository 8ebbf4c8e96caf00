package kv

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// The time that a page may take. Too long a time costs a wait for an answer that was lost,
// too short a time the page, so it begins short and follows what pages take.
const (
	// firstPage is the time at first: the store answers in 4 ms, when slow in 0.25 s.
	firstPage = 300 * time.Millisecond
	// unseenPage is the most while no page was seen to need it: 1 MB, 1.4 MB on the wire,
	// takes 1.1 s at 10 Mbit/s, and less than twice that beside others. A silent store
	// holds a reader up for no longer after its return.
	unseenPage = 2 * time.Second
	// longestPage is the most where pages took that long.
	longestPage = 4 * time.Second
	// growth is by what a page's time grows, and by what it is over the longest that a
	// page took.
	growth = 2
	// alike is how many tries get the same time before it grows: at 35% of answers lost,
	// 4% of the pages fail three times, and growth from the first on made 16 of them take
	// 6 s and up to 12 s.
	alike = 3
)

// Scanner is a read of every key with a prefix, in pages. A try that failed loses its page
// only: of 16 pages at 35% of answers lost, one in a thousand reads would pass whole.
type Scanner struct {
	store  *Store
	clock  clockwork.Clock
	prefix string

	items []Item
	after string
	at    uint64
	whole bool
	// began is when the first page that came was asked for.
	began time.Time
	// limit is the time of the next page, usual what later ones begin with.
	limit, usual time.Duration
	// late counts the tries of the present page that did not come in time.
	late int
}

// Read returns a reading of the keys with a prefix that On carries out.
func (st *Store) Read(clock clockwork.Clock, prefix string) *Scanner {
	return &Scanner{store: st, clock: clock, prefix: prefix, limit: firstPage, usual: firstPage}
}

// On reads on until the end, or until a page fails; the next call asks for that page
// again.
func (rd *Scanner) On(ctx context.Context) error {
	for !rd.whole {
		if err := rd.page(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (rd *Scanner) page(ctx context.Context) error {
	sent := rd.clock.Now()
	call, cancel := context.WithTimeout(ctx, rd.limit)
	defer cancel()
	page, err := rd.store.Range(call, rd.prefix, rd.after, false)
	if err != nil {
		if errors.Is(call.Err(), context.DeadlineExceeded) {
			rd.lengthen()
		}
		return err
	}
	rd.usual = min(max(rd.usual, rd.clock.Since(sent)*growth), longestPage)
	rd.limit, rd.late = rd.usual, 0
	rd.take(page, sent)
	return nil
}

// lengthen gives a page more time that did not come in what it had.
func (rd *Scanner) lengthen() {
	if rd.late++; rd.late >= alike {
		rd.limit = min(rd.limit*growth, max(rd.usual, unseenPage))
	}
}

func (rd *Scanner) take(page Page, sent time.Time) {
	if rd.at == 0 {
		rd.at, rd.began = page.Revision, sent
	}
	rd.at = min(rd.at, page.Revision)
	rd.items = append(rd.items, page.Items...)
	rd.whole = !page.More || len(page.Items) == 0
	if !rd.whole {
		rd.after = page.Items[len(page.Items)-1].Key
	}
}

// Items returns what was read, each page as it was when it was read: together they are no
// snapshot.
func (rd *Scanner) Items() []Item { return rd.items }

// At returns the lowest revision of the pages: a watch from there misses no change of any
// of them, and brings some again.
func (rd *Scanner) At() uint64 { return rd.at }

// Began returns when the first page was asked for; what was read may be as old.
func (rd *Scanner) Began() time.Time { return rd.began }
