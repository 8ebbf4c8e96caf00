package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
)

// Timeouts and limits of requests to other nodes.
const (
	// readerWait is how long a request waits at a reader that does not have the change yet, before the next reader
	// is asked.
	readerWait = 150 * time.Millisecond
	// nodeFirstByte is how long a node may take to begin its response, beyond the wait: it responds from memory,
	// and the next node must be asked in time.
	nodeFirstByte = 300 * time.Millisecond
	// peerCheckCount is how many nodes are asked in turn for a younger copy, maxPeerChecks how many if one of them
	// reaches the store: a quarter of the copies are as old as peerCheckAge(), and the next check is 0.6 s later.
	// peerCheckInterval is the minimum time from the end of a check until the next one.
	peerCheckCount    = 3
	maxPeerChecks     = 10
	peerCheckInterval = 300 * time.Millisecond
	// peerCheckTimeout bounds a check, since the next call to the store waits for it: it leaves time for three nodes
	// that do not answer.
	peerCheckTimeout = peerCheckCount * nodeFirstByte
)

var (
	// errNoPeer means that there is no other node to ask.
	errNoPeer = errors.New("no other node is known")
	// errNotNewer means that the node that was asked has no later version than this one.
	errNotNewer = errors.New("the other node has no later version")
)

// requestChanges asks a reader for the changes that the copy lacks. The nodes are spread evenly over the readers;
// each stays with a reader that is about to have the change, and otherwise proceeds to the next one.
func (fd *Feed) requestChanges(ctx context.Context) error {
	members, rank := fd.rank()
	sources := fd.otherNodes(members[:readerCount(members)])
	if len(sources) == 0 {
		return errNoPeer
	}
	source := sources[(max(rank, 0)+fd.readersSkipped)%len(sources)]
	rs, err := fd.requestFrom(ctx, source, fd.requestWait())
	if !rs.Reader {
		fd.readersSkipped++
	}
	if err != nil && !errors.Is(err, errNotNewer) {
		fd.failures++
		return err
	}
	fd.failures = 0
	return err
}

// requestWait returns how long a reader may delay its response: not at all if it can report at once whether there
// is a later version.
func (fd *Feed) requestWait() time.Duration {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.maybeBehind && fd.config != nil {
		return 0
	}
	return readerWait
}

// peerCheckAge returns the age of the copy from which other nodes are asked for theirs if the store does not answer. Three
// quarters of the copies are younger in normal operation.
func (fd *Feed) peerCheckAge() time.Duration { return fd.watchWait() * 3 / 2 }

// checkPeers asks other nodes for the age of their copies if this node's copy is old because the store does not
// answer.
func (fd *Feed) checkPeers(ctx context.Context) {
	sources := fd.otherNodes(fd.opts.Members())
	if !fd.olderThan(fd.peerCheckAge()) || fd.clock.Since(fd.lastPeerCheck) < peerCheckInterval {
		return
	}
	defer func() { fd.lastPeerCheck = fd.clock.Now() }()
	ctx, cancel := context.WithTimeout(ctx, peerCheckTimeout)
	defer cancel()
	rand.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
	storeReached := false
	for at, source := range sources[:min(maxPeerChecks, len(sources))] {
		if at >= peerCheckCount && !storeReached {
			return // the store probably answers no node
		}
		rs, err := fd.requestFrom(ctx, source, 0)
		if err != nil {
			fd.log.V(1).Info("Another node did not report the age of its configuration.", "reason", err.Error())
		}
		if !fd.olderThan(fd.peerCheckAge()) || ctx.Err() != nil {
			return
		}
		storeReached = storeReached || rs.Revision > 0 && rs.Age < fd.maxConfirmedAge()
	}
}

// olderThan reports whether there is a copy that is older than the given age.
func (fd *Feed) olderThan(age time.Duration) bool {
	now, loaded := fd.Age()
	return loaded && now > age
}

// otherNodes returns the members without this node.
func (fd *Feed) otherNodes(members []joblog.Member) []joblog.Member {
	return slices.DeleteFunc(slices.Clone(members), func(mb joblog.Member) bool { return mb.Node == fd.opts.Node })
}

// requestFrom sends a request to one node and applies the response.
func (fd *Feed) requestFrom(ctx context.Context, mb joblog.Member, wait time.Duration) (Response, error) {
	rq := Request{Have: fd.revision(), MaxWait: wait}
	call, cancel := context.WithTimeout(ctx, wait+nodeFirstByte)
	defer cancel()
	sent := fd.clock.Now()
	rs, err := fd.opts.Request(call, mb.PeerAddr, rq)
	if err != nil {
		return rs, err
	}
	if err := fd.applyDiffs(rs.Changes, mb.Node); err != nil {
		return rs, err
	}
	if !fd.adoptState(rs, rq.Have, sent.Add(-rs.Age)) && wait == 0 {
		return rs, errNotNewer
	}
	return rs, nil
}

// revision returns the revision of the copy, 0 if there is none.
func (fd *Feed) revision() uint64 {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.config == nil {
		return 0
	}
	return fd.config.Revision
}

// adoptState adopts what another node knows about the version that both have: up to which revision there was no
// later one, and when that was confirmed. It reports whether the copy lacks no change that this node knows of.
func (fd *Feed) adoptState(rs Response, had uint64, confirmedAt time.Time) bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.config == nil || fd.config.Revision != rs.Revision {
		return fd.behindSince.IsZero() // the other node's copy is older
	}
	if confirmedAt.After(fd.confirmedAt) {
		fd.confirmedAt = confirmedAt
	}
	fd.dropAnnounced()
	if rs.Revision > had || fd.maybeBehind && rs.At > fd.checkedRevision {
		fd.watchable, fd.behindSince = true, time.Time{}
	}
	if fd.behindSince.IsZero() {
		fd.checkedRevision = max(fd.checkedRevision, rs.At)
	}
	return fd.behindSince.IsZero()
}
