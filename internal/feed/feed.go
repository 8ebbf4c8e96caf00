// Package feed keeps a node's copy of the operators' configuration up to date and reports how old the copy may be.
//
// Each node watches the configuration's key. A small change arrives with the watch. When a change is large, only a
// few nodes, the readers, read the full configuration from the store; the other nodes learn from the watch that
// there is a change and request it from a reader. A change of D bytes between nodes, in a configuration that the
// store sends as S bytes, is therefore active on all n nodes within
//
//	notice + max((n*W + k*S)/store, S/reader) + decode + (n/k)*D/reader + D/node + retry
//
// where notice is the time until a node learns of the change from its watch, and decode the time to decode the
// configuration; k = max(3, n/16) is the number of readers, or less if fewer links are about as fast as the
// fastest; W is the part that arrives of an answer that the node rejects as too large; store, reader and node are
// the bandwidths of their links. A retry costs 0.5 s if a connection was reset (notice and request again), 0.45 s
// for each reader that does not answer, and 0.5 s more than the wait of a watch if the node's own connection to the
// store does not answer; watches wait 0.6 s if changes must be active within 2 s, and up to 2 s if they may take longer. If
// two readers do not answer, or already have answers for 1.5 s of their links to send, a node reads the full
// configuration itself, which takes S/node more. TestChangeWithinBound checks this bound.
package feed

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routediff"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/wake"
)

// Options configure a Feed.
type Options struct {
	// Key is the store key of the configuration.
	Key    string
	Decode func(item kv.Item) (*routes.Config, error)
	// MaxAge is the age beyond which the copy is not used. The default is that for changes that must be active within
	// 2 s.
	MaxAge time.Duration
	// Activate makes a version the active one, and reports whether it is active now.
	Activate func(cf *routes.Config) bool
	// Node is the name of this node, Link the bandwidth of its link in Mbit/s, 0 if unknown.
	Node string
	Link float64
	// Members returns the registered nodes, as far as this node knows.
	Members func() []joblog.Member
	// Request sends a request to the feed of another node.
	Request func(ctx context.Context, address string, rq Request) (Response, error)
}

// Timeouts and sizes.
const (
	// defaultMaxAge is the default of Options.MaxAge.
	defaultMaxAge = 1800 * time.Millisecond
	// maxWatchWait limits the wait of a watch. It bounds how late a dropped watch is noticed.
	maxWatchWait = 2 * time.Second
	// answerMargin is the part of the copy's maximum age that is left for the answers of a store in normal operation.
	answerMargin = 100 * time.Millisecond
	// expectedLatency is the part of that age allowed for each answer. Watches of a slower store wait less, down to
	// minWatchWait: with answers of 0.4 s a fifth of the jobs were refused because the copy was up to 2 s old,
	// while 1.8 s are allowed.
	expectedLatency = 250 * time.Millisecond
	minWatchWait    = 200 * time.Millisecond
	// probeWait is the wait of the watch after a failed call: the store reports at once that nothing has changed.
	probeWait = time.Millisecond
	// maxDirectBytes is the largest answer that every node accepts from the store. It takes 52 ms on a link of
	// 10 Mbit/s, and 0.5 s for 1,000 nodes on a store's link of 1,000 Mbit/s.
	maxDirectBytes = 64 << 10
	// maxWatchVersions limits what a reader accepts from a watch, which returns the full configuration for each
	// version since the last answer: five versions of 8,300 routes took 7 s on a link of 10 Mbit/s, the last one
	// alone 1.9 s.
	maxWatchVersions = 2
	// firstByte is how long the store may take to begin an answer, beyond the wait: twice the latency of a slow
	// store.
	firstByte = 500 * time.Millisecond
	// maxFirstByte is the upper limit of firstByteTimeout. It also bounds how long a pending call can delay a node
	// after the store has recovered.
	maxFirstByte = 2 * time.Second
	// confirmSlack is added to the age that a copy has in normal operation. Older copies are assumed to be of nodes that
	// get no answer from the store either.
	confirmSlack = 600 * time.Millisecond
)

// firstByteTimeout is how long the store may take to begin an answer. It doubles with each counted timeout from
// the second on, so that a store slower than firstByte can still be read.
var firstByteTimeout = backoff.Backoff{Initial: firstByte, Max: maxFirstByte}

// Feed is one node's copy of the configuration.
type Feed struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	store *kv.Store

	mu sync.Mutex
	// config is the latest version that the node has, nil before the first.
	config *routes.Config
	// checkedRevision is the store revision up to which no later version is known, confirmedAt when the call that
	// confirmed this was sent.
	checkedRevision uint64
	confirmedAt     time.Time
	// watchable is set while a watch can continue from checkedRevision.
	watchable bool
	// behindSince is since when the copy has been known to lack a change or, with maybeBehind, may lack one because
	// the watch could not continue; zero if the copy is current.
	behindSince time.Time
	maybeBehind bool
	// changes are the latest diffs; the last one leads to the copy's revision.
	changes []*routediff.Diff
	// nextVersion is closed when the next version arrives.
	nextVersion chan struct{}
	// linkBusyUntil is until when answers to other nodes occupy the link.
	linkBusyUntil time.Time

	// announced are the versions that the node has heard of and lacks, in order. heard receives when one is added.
	announced []announced
	heard     wake.Signal

	// storeDown is set while the store does not answer.
	storeDown bool
	// cancel cancels the present call, or the pause after it.
	cancel context.CancelFunc

	// The fields below are used by Run only.
	//
	// watchLatency is how long the last answer of a watch took beyond its wait, valueSize the encoded size in bytes
	// of the last value that the store sent.
	watchLatency time.Duration
	valueSize    int
	// timeouts is how many calls to the store have timed out since the last success, counted only while there is no
	// copy, or it is behind or older than maxConfirmedAge(). timedOut is set if the last call to the store timed out.
	timeouts int
	timedOut bool
	// lastPeerCheck is when other nodes were last asked how old their copies are.
	lastPeerCheck time.Time
	// retry computes the pauses between attempts.
	retry kv.Backoff
	// State of the present change: lastWasFull is set if the last attempt was to read the full configuration,
	// readersSkipped is how many readers were skipped in favour of the next one, failures how many in a row did not
	// answer or were busy.
	lastWasFull              bool
	readersSkipped, failures int
}

// New returns a feed; Run keeps its copy up to date.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Feed {
	opts.MaxAge = cmp.Or(opts.MaxAge, defaultMaxAge)
	return &Feed{
		opts: opts, clock: clock, log: log.WithName("feed"), store: st, nextVersion: make(chan struct{}), heard: wake.New(),
	}
}

// Age returns how old the copy may be: the time since the sending of the last call, by this node or by a node that
// it asked, that confirmed that there was no later version. It returns false before the first.
func (fd *Feed) Age() (time.Duration, bool) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return fd.clock.Since(fd.confirmedAt), !fd.confirmedAt.IsZero()
}

// Behind reports whether a later version is known to exist, or may exist.
func (fd *Feed) Behind() bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	return !fd.behindSince.IsZero()
}

// Run keeps the copy up to date until the context ends.
func (fd *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithCancel(ctx)
		fd.setCancel(cancel)
		if err := fd.step(call); err != nil && ctx.Err() == nil {
			fd.handleFailure(call, err)
		}
		cancel()
	}
}

// Refresh cancels the present call, whose connection may be dead, so that the next one is sent. It is called when
// the store is known to answer again.
func (fd *Feed) Refresh() {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.cancel != nil && fd.storeDown && fd.behindSince.IsZero() { // otherwise it may be delivering a version
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
	watchable, behindSince := fd.watchable, fd.behindSince
	fd.mu.Unlock()
	switch {
	case !behindSince.IsZero():
		return fd.catchUp(ctx, behindSince)
	case !watchable:
		return fd.read(ctx, fd.maxReadSize())
	}
	return fd.watch(ctx)
}

// handleFailure logs why the copy is not updated, and waits before the next attempt.
func (fd *Feed) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // by Refresh
	}
	if fd.setDown(true) {
		fd.log.Info("Configuration could not be checked; the copy may become stale.", "reason", err.Error())
	}
	if !fd.Behind() {
		fd.checkPeers(ctx)
	}
	if age, loaded := fd.Age(); fd.timedOut && (!loaded || age > fd.maxConfirmedAge() || fd.Behind()) {
		fd.timeouts++
	}
	fd.timedOut = false
	fd.pause(ctx, fd.retry.Next(err))
}

// maxReadSize returns the largest answer that this node accepts if it has no version yet or its watch cannot
// continue; 0 means no limit.
func (fd *Feed) maxReadSize() int {
	if fd.isReader() {
		return 0
	}
	return maxDirectBytes
}

// maxWatchSize returns the largest answer that this node accepts from a watch.
func (fd *Feed) maxWatchSize() int {
	if fd.isReader() {
		return max(maxDirectBytes, maxWatchVersions*fd.valueSize)
	}
	return maxDirectBytes
}

// watchWait returns how long a watch may stay without an answer. The copy's age counts from the sending of the last
// answered call, so that it grows to twice this time, and by firstByte if one watch is dropped.
func (fd *Feed) watchWait() time.Duration {
	return min(max((fd.opts.MaxAge-firstByte-answerMargin)/2, minWatchWait), maxWatchWait)
}

// maxConfirmedAge returns the age of a copy above which the other nodes are assumed to get no answer from the store
// either.
func (fd *Feed) maxConfirmedAge() time.Duration { return 2*fd.watchWait() + confirmSlack }

// watch waits once for a change.
func (fd *Feed) watch(ctx context.Context) error {
	fd.mu.Lock()
	after, storeDown := fd.checkedRevision, fd.storeDown
	fd.mu.Unlock()
	wait := max(fd.watchWait()-max(fd.watchLatency-expectedLatency, 0), minWatchWait)
	if storeDown {
		wait = probeWait
	}
	call, cancel := context.WithTimeout(ctx, wait+firstByteTimeout.Delay(fd.timeouts-1))
	defer cancel()
	maxSize := fd.maxWatchSize()
	had, sent := fd.revision(), fd.clock.Now()
	var events kv.Events
	err := fd.callStore(ctx, wait, func() (err error) {
		events, err = fd.store.WatchKey(call, fd.opts.Key, after, wait, maxSize)
		return err
	})
	fd.recordCall(call, "watch", sent, err)
	switch {
	case errors.Is(err, kv.ErrTooLarge):
		fd.markBehind(had, false)
		return nil
	case errors.Is(err, kv.ErrCompacted):
		fd.log.Info("Store no longer has the history for the watch; reading again.", "after", after)
		fd.resetWatch()
		return nil
	case err != nil:
		return err
	}
	if len(events.Items) == 0 {
		fd.watchLatency = max(fd.clock.Since(sent)-wait, 0)
	}
	for _, item := range events.Items {
		fd.applyItem(item, "watch")
	}
	fd.confirm(sent, events.Revision)
	return nil
}

// read reads the key, unless the answer takes more than maxSize bytes.
func (fd *Feed) read(ctx context.Context, maxSize int) error {
	call, cancel := context.WithTimeout(ctx, firstByteTimeout.Delay(fd.timeouts-1))
	defer cancel()
	had, sent := fd.revision(), fd.clock.Now()
	var item kv.Item
	var at uint64
	err := fd.callStore(ctx, 0, func() (err error) {
		item, at, err = fd.store.Get(call, fd.opts.Key, maxSize)
		return err
	})
	fd.recordCall(call, "read", sent, err)
	switch {
	case errors.Is(err, kv.ErrTooLarge):
		fd.markBehind(had, true)
		return nil
	case err != nil:
		return err
	}
	fd.applyItem(item, "read")
	fd.confirm(sent, at)
	return nil
}

func (fd *Feed) resetWatch() {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.watchable = false
}

// confirm records that there was no version later than the copy's up to a revision, according to the answer to a
// call sent at the given time.
func (fd *Feed) confirm(sent time.Time, at uint64) {
	fd.mu.Lock()
	fd.checkedRevision = max(fd.checkedRevision, at)
	fd.watchable, fd.behindSince = true, time.Time{}
	if sent.After(fd.confirmedAt) {
		fd.confirmedAt = sent
	}
	fd.dropAnnounced()
	fd.mu.Unlock()
	fd.retry.Reset()
	if fd.setDown(false) {
		fd.log.Info("Configuration is up to date again.")
	}
}

// setDown records whether the store answers, and reports whether that has changed.
func (fd *Feed) setDown(storeDown bool) bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	changed := fd.storeDown != storeDown
	fd.storeDown = storeDown
	return changed
}
