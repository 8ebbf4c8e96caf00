// Package feed keeps a node's copy of the operators' configuration up to date, and says how
// old it may be.
//
// Each node watches the configuration's key. A change that is small comes with the watch. A large
// one is read whole by a few nodes only, the readers; the others learn from the watch that there
// is one, and ask a reader for what changed. So a change of D bytes between nodes in a
// configuration that the store sends as S bytes is in force on all of n nodes within
//
//	notice + max((n*W + k*S)/store, S/reader) + decode + (n/k)*D/reader + D/node + retry
//
// where k = max(3, n/16) is the number of readers, or fewer where not so many links are about as
// fast as the fastest; W is what comes of an answer that is not taken; store, reader and node are
// the bandwidths of their links. A retry costs 0.5 s where a connection was reset (notice and
// question again), 0.45 s for each reader that is silent, and 1.1 s where the own connection to the
// store is. Where two readers do not answer, or have answers for 1.5 s of their links already, a
// node reads whole itself: S/node more. TestBound has the figures.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/routediff"
	"tackbeam.example/tackbeam/internal/routes"
)

// Options of a feed. The functions are seams.
type Options struct {
	// Key is where the store has the configuration.
	Key    string
	Decode func(item kv.Item) (*routes.Config, error)
	// Activate puts a version in force, and reports whether it is now.
	Activate func(cf *routes.Config) bool
	// Node is the name of this node, Link the bandwidth of its link in Mbit/s; 0 where that is not
	// known.
	Node string
	Link float64
	// Members returns the nodes that are listed, as far as this node knows.
	Members func() []joblog.Member
	// Request puts a question to the feed of another node.
	Request func(ctx context.Context, address string, qn Request) (Response, error)
}

// Times and sizes.
const (
	// watchWait is how long a watch may stay without an answer. The copy's age counts from the
	// sending of the last call that was answered, so it grows to twice that and two answers of
	// 0.25 s, the slow store's; with watches of 1 s a fifth of the answers 404 were 503 in calm times.
	watchWait = 600 * time.Millisecond
	// slowAnswer is what an answer may take of that sum. A slower store gets shorter waits, down to
	// leastWait: with answers of 0.4 s a fifth of the jobs were refused because of a copy of up to
	// 2 s where 1.8 s are allowed.
	slowAnswer = 250 * time.Millisecond
	leastWait  = 200 * time.Millisecond
	// lookWait is the wait of the watch after a call that failed: the store tells at once that
	// nothing has changed.
	lookWait = time.Millisecond
	// mostBytes is the largest answer that every node takes from the store: 52 ms on a link of
	// 10 Mbit/s, and 0.5 s of a store with 1,000 Mbit/s for 1,000 nodes.
	mostBytes = 64 << 10
	// mostVersions bounds what a reader takes from a watch, which has each version since the last
	// answer whole: five of 8,300 routes took 7 s on a link of 10 Mbit/s, the last one 1.9 s.
	mostVersions = 2
	// firstByte is when an answer of the store has to begin, beyond its wait: twice what a slow
	// store takes.
	firstByte = 500 * time.Millisecond
	// maxFirstByte is the upper limit of firstByteTimeout. It also bounds how long a pending call
	// can delay a node after the store has recovered.
	maxFirstByte = 2 * time.Second
	// maxVouchedAge is the age of a copy above which the other nodes are assumed to get no answer
	// from the store either.
	maxVouchedAge = 2 * vouchAfter
)

// firstByteTimeout is how long the store may take to begin an answer. It doubles with each
// counted timeout from the second on, so that a store slower than firstByte can still be read.
var firstByteTimeout = backoff.Backoff{Initial: firstByte, Max: maxFirstByte}

// Feed is one node's copy.
type Feed struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	store *kv.Store

	mu sync.Mutex
	// copy is the latest version that the node has, nil before the first.
	copy *routes.Config
	// at is the revision of the store up to which no later version is known of, asOf when the
	// store was asked that said so.
	at   uint64
	asOf time.Time
	// placed is set while a watch can go on from at.
	placed bool
	// behind is since when the copy has been known to lack a change, or, where the place was
	// lost, to lack one perhaps; zero where it is not.
	behind time.Time
	unsure bool
	// changes lead to the copy, the last one to its revision.
	changes []*routediff.Diff
	// later is closed with the next version.
	later chan struct{}
	// sending is until when the answers that other nodes got fill the link.
	sending time.Time

	// down is set while the store does not answer.
	down bool
	// cancel gives the present call, or the pause after it, up.
	cancel context.CancelFunc

	// The rest belongs to Run.
	// answer is how long the last answer of a watch took beyond its wait, size what the last
	// value that the store sent took, in bytes.
	answer time.Duration
	size   int
	// timeouts is how many calls to the store have timed out since the last success, counted only
	// while there is no copy, or it is behind or older than maxVouchedAge. timedOut is set if the
	// last call to the store timed out.
	timeouts int
	timedOut bool
	// vouched is when another node was last asked how old its copy is.
	vouched time.Time
	// retry gives the pauses between tries.
	retry kv.Backoff
	// Of the present change: readLast is set where the last try was to read whole, asked is how
	// many readers were left for the next one, failed how many in turn did not answer or were busy.
	readLast      bool
	asked, failed int
}

// New returns a feed that Run keeps up to date.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Feed {
	return &Feed{
		opts: opts, clock: clock, log: log.WithName("feed"), store: st, later: make(chan struct{}),
	}
}

// Age returns how old the copy may be: the time since the sending of the last call, of this node or
// of the one that it asked, by whose answer there was no later version. It reports false before
// the first.
func (fd *Feed) Age() (time.Duration, bool) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return fd.clock.Since(fd.asOf), !fd.asOf.IsZero()
}

// Behind reports whether a later version is known to be there, or may well be.
func (fd *Feed) Behind() bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return !fd.behind.IsZero()
}

// Run keeps the copy until the context ends.
func (fd *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		fd.setCancel(cancel)
		if err := fd.step(call); err != nil && ctx.Err() == nil {
			fd.lost(call, err)
		}
		cancel()
	}
}

// Refresh gives the present call up, which may be dead, for the next one: the store is known to
// answer again.
func (fd *Feed) Refresh() {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.cancel != nil && fd.down && fd.behind.IsZero() { // else it may be bringing a version
		fd.cancel()
	}
}

func (fd *Feed) setCancel(cancel context.CancelFunc) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.cancel = cancel
}

// step makes the call that is due.
func (fd *Feed) step(ctx context.Context) error {
	fd.mu.Lock()
	placed, behind := fd.placed, fd.behind
	fd.mu.Unlock()
	switch {
	case !behind.IsZero():
		return fd.catchUp(ctx, behind)
	case !placed:
		return fd.read(ctx, fd.most())
	}
	return fd.watch(ctx)
}

// lost notes why the copy stands still, and waits before the next try.
func (fd *Feed) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // by Refresh
	}
	if fd.setDown(true) {
		fd.log.Info("No answer about the configuration; the copy grows old.", "reason", err.Error())
	}
	if !fd.Behind() {
		fd.vouch(ctx)
	}
	if age, loaded := fd.Age(); fd.timedOut && (!loaded || age > maxVouchedAge || fd.Behind()) {
		fd.timeouts++
	}
	fd.timedOut = false
	loop.Pause(ctx, fd.clock, fd.retry.Next(err))
}

// most is the largest answer that this node takes where it has no version yet, or lost its place; 0
// is any.
func (fd *Feed) most() int {
	if fd.reads() {
		return 0
	}
	return mostBytes
}

// mostOfWatch is the largest answer that this node takes from a watch.
func (fd *Feed) mostOfWatch() int {
	if fd.reads() {
		return max(mostBytes, mostVersions*fd.size)
	}
	return mostBytes
}

// watch waits once for a change.
func (fd *Feed) watch(ctx context.Context) error {
	fd.mu.Lock()
	after, down := fd.at, fd.down
	fd.mu.Unlock()
	wait := max(watchWait-max(fd.answer-slowAnswer, 0), leastWait)
	if down {
		wait = lookWait
	}
	call, cancel := context.WithTimeout(ctx, wait+firstByteTimeout.Delay(fd.timeouts-1))
	defer cancel()
	sent := fd.clock.Now()
	events, err := fd.store.WatchKey(call, fd.opts.Key, after, wait, fd.mostOfWatch())
	fd.recordCall(call, "watch", sent, err)
	switch {
	case errors.Is(err, kv.ErrTooLarge):
		fd.fallBehind(false)
		return nil
	case errors.Is(err, kv.ErrCompacted):
		fd.log.Info("Watch lost history; reading anew.", "after", after)
		fd.losePlace()
		return nil
	case err != nil:
		return err
	}
	if len(events.Items) == 0 {
		fd.answer = max(fd.clock.Since(sent)-wait, 0)
	}
	for _, item := range events.Items {
		fd.take(item)
	}
	fd.current(sent, events.Revision)
	return nil
}

// read reads the key, unless its value takes more than most bytes.
func (fd *Feed) read(ctx context.Context, most int) error {
	call, cancel := context.WithTimeout(ctx, firstByteTimeout.Delay(fd.timeouts-1))
	defer cancel()
	sent := fd.clock.Now()
	item, at, err := fd.store.Get(call, fd.opts.Key, most)
	fd.recordCall(call, "read", sent, err)
	switch {
	case errors.Is(err, kv.ErrTooLarge):
		fd.fallBehind(true)
		return nil
	case err != nil:
		return err
	}
	fd.take(item)
	fd.current(sent, at)
	return nil
}

// recordCall records whether a call to the store timed out, resets the timeout count after an
// answer, and logs a call that had none.
func (fd *Feed) recordCall(call context.Context, name string, sent time.Time, err error) {
	if err == nil || errors.Is(err, kv.ErrTooLarge) || errors.Is(err, kv.ErrCompacted) {
		fd.timeouts, fd.timedOut = 0, false
		return
	}
	fd.timedOut = errors.Is(call.Err(), context.DeadlineExceeded)
	fd.log.V(1).Info("Call to the store failed.", "call", name, "duration", fd.clock.Since(sent).String(),
		"timeouts", fd.timeouts, "reason", err.Error())
}

func (fd *Feed) losePlace() {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.placed = false
}

// current notes that there was no version later than the copy's up to a revision, by the answer to
// a call that was sent at a time.
func (fd *Feed) current(sent time.Time, at uint64) {
	fd.mu.Lock()
	fd.at = max(fd.at, at)
	fd.placed, fd.behind = true, time.Time{}
	if sent.After(fd.asOf) {
		fd.asOf = sent
	}
	fd.mu.Unlock()
	fd.retry.Reset()
	if fd.setDown(false) {
		fd.log.Info("The configuration is known again.")
	}
}

// setDown notes whether the store answers, and reports whether that is new.
func (fd *Feed) setDown(down bool) bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	changed := fd.down != down
	fd.down = down
	return changed
}
