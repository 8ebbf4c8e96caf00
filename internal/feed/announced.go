package feed

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/joblog"
)

// A node may hear of a version from others before its own copy has it: from the versions in their messages, and from
// the jobs in the journal. What it does for them can show callers the effect of that version, so that it must not
// answer its own callers by an older one afterwards. It gets the version from the node that it heard of it from or from a
// reader, unless the store sends it first.

const (
	// announcedDelay is how long a node waits for the store to send a version that it has heard of before it asks other
	// nodes. Most changes arrive from the store within a few milliseconds of each other on all nodes.
	announcedDelay = 100 * time.Millisecond
	// maxAnnounced is how many versions that the copy lacks are told apart by when the node heard of them.
	maxAnnounced = 16
)

// announced is a version that the copy lacked when the node heard of it.
type announced struct {
	version uint64
	at      time.Time
	// address is that of a node that has the version; empty if it is not known.
	address string
}

// Learn records that a version is in use on another node, or that a job in the journal has its settings. The address is that
// of a node that has it; empty if it is not known.
func (fd *Feed) Learn(version uint64, address string) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	last := len(fd.announced) - 1
	switch {
	case fd.config == nil || version <= fd.config.Version:
		return
	case last >= 0 && version <= fd.announced[last].version:
		if fd.announced[last].version == version && fd.announced[last].address == "" {
			fd.announced[last].address = address
		}
		return
	case len(fd.announced) == maxAnnounced:
		fd.announced[last].version, fd.announced[last].address = version, address // counts from the earlier time
	default:
		fd.announced = append(fd.announced, announced{version, fd.clock.Now(), address})
	}
	fd.log.V(1).Info("Later configuration is in use.", "version", version, "own", fd.config.Version, "node", address)
	fd.heard.Notify()
}

// Missing returns the latest version that the node has heard of and lacks, and since when it has known of one that it lacks, or
// false if it lacks none.
func (fd *Feed) Missing() (version uint64, since time.Duration, missing bool) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if len(fd.announced) == 0 {
		return 0, 0, false
	}
	return fd.announced[len(fd.announced)-1].version, fd.clock.Since(fd.announced[0].at), true
}

// dropAnnounced drops the versions that the copy no longer lacks: it has them, or a call that was sent after the node heard
// of them has confirmed that there is no later version than the copy's. The caller holds the lock.
func (fd *Feed) dropAnnounced() {
	done := 0
	for done < len(fd.announced) && (fd.announced[done].version <= fd.config.Version || fd.announced[done].at.Before(fd.confirmedAt)) {
		done++
	}
	fd.announced = fd.announced[done:]
}

// dropInstalled drops the versions that the copy has, once it is active.
func (fd *Feed) dropInstalled() {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.dropAnnounced()
}

// announcedDue returns a channel that receives when other nodes are to be asked for a version that the node has heard of, or nil if
// it lacks none.
func (fd *Feed) announcedDue() <-chan time.Time {
	_, since, missing := fd.Missing()
	if !missing {
		return nil
	}
	return fd.clock.After(max(announcedDelay-since, 0))
}

// announcedRetry returns a channel that receives when they are to be asked again, or nil.
func (fd *Feed) announcedRetry() <-chan time.Time {
	if _, _, missing := fd.Missing(); !missing {
		return nil
	}
	return fd.clock.After(announcedDelay)
}

// requestAnnounced asks the node that a version is known from, or otherwise a reader, for what the copy lacks.
func (fd *Feed) requestAnnounced(ctx context.Context) {
	if _, _, missing := fd.Missing(); !missing {
		return
	}
	if !fd.Behind() {
		fd.markBehind(fd.revision(), false)
	}
	if address := fd.takeAnnouncer(); address != "" {
		if _, err := fd.requestFrom(ctx, joblog.Member{Node: address, PeerAddr: address}, 0); err == nil {
			return
		}
	}
	fd.askNodes(ctx)
}

// takeAnnouncer returns the address of a node that has a version that the copy lacks, and forgets it; empty if none is known.
func (fd *Feed) takeAnnouncer() (address string) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	for at := len(fd.announced) - 1; at >= 0 && address == ""; at-- {
		address, fd.announced[at].address = fd.announced[at].address, ""
	}
	return address
}

// pause waits before the next attempt. Meanwhile other nodes are asked for versions that the node has heard of.
func (fd *Feed) pause(ctx context.Context, wait time.Duration) {
	over, announced := fd.clock.After(wait), fd.announcedDue()
	for {
		select {
		case <-over:
			return
		case <-fd.heard:
			announced = fd.announcedDue()
		case <-announced:
			fd.requestAnnounced(ctx)
			announced = fd.announcedRetry()
		case <-ctx.Done():
			return
		}
	}
}
