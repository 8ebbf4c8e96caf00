package feed

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/routediff"
)

// Request asks another node's feed for the changes that the requester's copy lacks.
type Request struct {
	// Have is the revision of the requester's copy, 0 if it has none.
	Have uint64 `cbor:"1,keyasint,omitempty"`
	// MaxWait is how long the response may be delayed until there is a later version.
	MaxWait time.Duration `cbor:"2,keyasint,omitempty"`
}

// Response is the state of another node's feed.
type Response struct {
	// Changes lead from the requester's revision to the responder's copy, in order.
	Changes []*routediff.Diff `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the copy. Up to At there was no later one, as confirmed Age ago.
	Revision uint64        `cbor:"2,keyasint"`
	At       uint64        `cbor:"3,keyasint"`
	Age      time.Duration `cbor:"4,keyasint"`
	// Reader is set if the responder is a reader that reaches the store, so that it has a later version soon.
	Reader bool `cbor:"5,keyasint,omitempty"`
}

// Limits of the responses to other nodes.
const (
	// maxLinkBacklog is how far ahead a reader's link may be reserved: 15 requesters take 1.2 s for 1,400 routes at
	// 10 Mbit/s. With 5,000 routes, 36 nodes without a copy took 5 s to get them from three such readers, though
	// the store could send each of them the full configuration in 1.1 s.
	maxLinkBacklog = 1500 * time.Millisecond
	// routeBytes is the size of a large route in a response. Routes take 55 to 72 bytes.
	routeBytes = 72
)

// Serve answers a request of another node.
func (fd *Feed) Serve(ctx context.Context, rq Request) (Response, error) {
	fd.awaitNewer(ctx, rq)
	isReader := fd.isReader()
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.config == nil {
		return Response{}, fault.New(fault.Unavailable, "this node has no configuration yet")
	}
	rs := Response{Revision: fd.config.Revision, At: fd.checkedRevision, Age: fd.clock.Since(fd.confirmedAt)}
	rs.Reader = isReader && !fd.storeDown
	if rq.Have < fd.config.Revision {
		rs.Changes = fd.changesSince(rq.Have)
	}
	if !fd.admit(rs.Changes) {
		return Response{}, fault.New(fault.Full, "link is busy sending the configuration to other nodes").WithRetryAfter(maxLinkBacklog)
	}
	return rs, nil
}

// admit reports whether the link has capacity for a response, and reserves it. The caller holds the lock.
func (fd *Feed) admit(changes []*routediff.Diff) bool {
	size := 0
	for _, df := range changes {
		size += df.Size()
	}
	if size == 0 || fd.opts.Link == 0 {
		return true
	}
	now := fd.clock.Now()
	if fd.linkBusyUntil.Before(now) {
		fd.linkBusyUntil = now
	}
	if fd.linkBusyUntil.Sub(now) > maxLinkBacklog {
		return false
	}
	const bits, mega = 8, 1e6
	fd.linkBusyUntil = fd.linkBusyUntil.Add(time.Duration(float64(size*routeBytes*bits) / (fd.opts.Link * mega) * float64(time.Second)))
	return true
}

// awaitNewer waits for a version later than the requester's, for as long as the request allows.
func (fd *Feed) awaitNewer(ctx context.Context, rq Request) {
	expired := fd.clock.After(min(rq.MaxWait, readerWait))
	for {
		fd.mu.Lock()
		nextVersion, available := fd.nextVersion, fd.config != nil && fd.config.Revision > rq.Have
		fd.mu.Unlock()
		if available {
			return
		}
		select {
		case <-nextVersion:
		case <-expired:
			return
		case <-ctx.Done():
			return
		}
	}
}
