package feed

import (
	"context"
	"time"
)

// When a node reads whole itself.
const (
	// patience is how long a node leaves the whole to readers that answer but lack it too: they
	// take 0.2 s, or 1.1 s on a link of 10 Mbit/s. patiencePerNode is what their reading from one
	// store takes more, 0.7 ms a node at 1.4 MB: 1,000 nodes that lost patience together after 1.2 s
	// had a change after 4.2 s instead of 1.9 s.
	patience        = 1200 * time.Millisecond
	patiencePerNode = time.Millisecond
	// failedReaders is how many readers in turn that do not answer, or are busy, make a node read
	// whole itself.
	failedReaders = 2
)

// catchUp makes the next try to get what the copy lacks: by turns from the store and from
// another node where the whole is this node's to read, and else from another node.
func (fd *Feed) catchUp(ctx context.Context, behind time.Time) error {
	if fd.ownRead(behind) && !fd.readLast {
		fd.readLast = true
		return fd.read(ctx, 0)
	}
	fd.readLast = false
	return fd.ask(ctx)
}

// ownRead reports whether the whole is this node's to read.
func (fd *Feed) ownRead(behind time.Time) bool {
	long := patience + time.Duration(len(fd.opts.Members()))*patiencePerNode
	return fd.reads() || fd.failed >= failedReaders || fd.clock.Since(behind) > long
}

// fallBehind notes that there is a version that the copy lacks, or may be.
func (fd *Feed) fallBehind(unsure bool) {
	fd.asked, fd.failed, fd.readLast = 0, 0, false
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.behind, fd.unsure = fd.clock.Now(), unsure
}
