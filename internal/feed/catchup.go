package feed

import (
	"context"
	"time"
)

// Conditions under which a node that is not a reader reads the full configuration itself.
const (
	// fullReadDelay is how long a node waits for readers that answer but do not have the change yet either: they
	// take 0.2 s, or 1.1 s on a link of 10 Mbit/s. fullReadDelayPerNode covers the additional time that the
	// readers need to read from one store, 0.7 ms per node at 1.4 MB. When 1,000 nodes gave up at the same time
	// after 1.2 s, a change took 4.2 s instead of 1.9 s.
	fullReadDelay        = 1200 * time.Millisecond
	fullReadDelayPerNode = time.Millisecond
	// maxFailures is the number of readers in a row without an answer, or busy, after which a node reads the full
	// configuration itself.
	maxFailures = 2
)

// catchUp makes the next attempt to get what the copy lacks: alternately from the store and from another node if
// this node should read the full configuration, otherwise from another node.
func (fd *Feed) catchUp(ctx context.Context, behindSince time.Time) error {
	if fd.shouldReadFull(behindSince) && !fd.lastWasFull {
		fd.lastWasFull = true
		return fd.read(ctx, 0)
	}
	fd.lastWasFull = false
	return fd.requestChanges(ctx)
}

// shouldReadFull reports whether this node should read the full configuration from the store.
func (fd *Feed) shouldReadFull(behindSince time.Time) bool {
	delay := fullReadDelay + time.Duration(len(fd.opts.Members()))*fullReadDelayPerNode
	return fd.isReader() || fd.failures >= maxFailures || fd.clock.Since(behindSince) > delay
}

// markBehind records that, according to a call that began with the given revision of the copy, there is, or may be, a
// version that the copy lacks.
func (fd *Feed) markBehind(had uint64, maybeBehind bool) {
	if fd.revision() > had {
		return // another node has sent a version since, which may be this one
	}
	fd.readersSkipped, fd.failures, fd.lastWasFull = 0, 0, false
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.behindSince, fd.maybeBehind = fd.clock.Now(), maybeBehind
}
