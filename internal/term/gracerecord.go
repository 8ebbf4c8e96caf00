package term

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
)

// Only the planner knows whose permission it needs. A node that is elected cannot tell from its own registration, which the
// planner may not have seen. So a planner writes the names down, and uses no permission while the store may have other names
// than it asks. Nobody can change them any more once the next planner is elected, which reads them.

const (
	// recordTimeout bounds an attempt to write or read the record.
	recordTimeout = 400 * time.Millisecond
	// recordDelay is how long after its registration a node is normally in the planner's record.
	recordDelay = 1500 * time.Millisecond
)

// graceRecord is what the planner of a term knows of its record in the store.
type graceRecord struct {
	nodes []joblog.NodeID
	// revision is that of the key, also before the term has written it. written is set once it has.
	revision uint64
	written  bool
	// writing is set while a write is under way, uncertain if the outcome of the last one is not known.
	writing, uncertain bool
	// attemptedAt is when the last write was sent, version the members' version that nodes is of.
	attemptedAt time.Time
	version     int
}

// isCoveredBy reports whether a request to all members is one to all nodes in the record.
func (gr *graceRecord) isCoveredBy(members map[string]joblog.Member) bool {
	if !gr.written || gr.writing || gr.uncertain {
		return false
	}
	present := identities(members)
	for _, id := range gr.nodes {
		if _, ok := slices.BinarySearchFunc(present, id, joblog.NodeID.Compare); !ok {
			return false
		}
	}
	return true
}

func identities(members map[string]joblog.Member) []joblog.NodeID {
	ids := make([]joblog.NodeID, 0, len(members))
	for _, mb := range members {
		ids = append(ids, mb.ID())
	}
	slices.SortFunc(ids, joblog.NodeID.Compare)
	return ids
}

// recordGrace writes the record if the members have changed.
func (er *Elector) recordGrace(ctx context.Context) {
	er.mu.Lock()
	defer er.mu.Unlock()
	rt, now := er.current, er.clock.Now()
	if rt == nil || er.untilRecord(rt, now) > 0 {
		return
	}
	gr := &rt.record
	gr.version = er.membersVersion
	ids := identities(er.members)
	if gr.written && !gr.uncertain && slices.Equal(ids, gr.nodes) {
		return
	}
	gr.writing, gr.attemptedAt = true, now
	rt.graceFrom = time.Time{} // not all nodes in the new record have given that permission
	go er.writeRecord(ctx, rt, gr.revision, joblog.GraceRecord{Term: rt.token, Nodes: ids})
}

// untilRecord returns how long it is until the record may have to be written. The caller holds the lock.
func (er *Elector) untilRecord(rt *runningTerm, now time.Time) time.Duration {
	gr := &rt.record
	upToDate := gr.written && !gr.uncertain && gr.version == er.membersVersion
	if er.opts.RequestGrace == nil || rt.renewalsEnd.IsZero() || gr.writing || rt.requestsGrace || upToDate || er.lease != rt.lease {
		return er.opts.TTL
	}
	interval := graceInterval + time.Duration(len(er.members))*graceIntervalPerNode
	// The record replaces what an earlier planner wrote, which must not have permissions any more.
	return max(gr.attemptedAt.Add(interval).Sub(now), rt.renewalsEnd.Sub(now))
}

// writeRecord writes the record. No earlier attempt can take effect after one that has changed the key.
func (er *Elector) writeRecord(ctx context.Context, rt *runningTerm, revision uint64, rec joblog.GraceRecord) {
	raw, err := joblog.Encode(rec)
	if err != nil {
		er.log.Error(err, "Record of the nodes that are asked could not be encoded.", "token", rt.token)
		return // no permission is used in this term
	}
	call, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	written, items, err := er.store.CommitWithRetry(call, kv.CommitOptions{Clock: er.clock, HedgeDelay: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: rt.token}, {Key: joblog.Grace, Revision: revision}},
		Puts:       []kv.Put{{Key: joblog.Grace, Value: raw}},
	})
	defer er.wake.Notify()
	er.mu.Lock()
	defer er.mu.Unlock()
	gr := &rt.record
	gr.writing = false
	switch {
	case err == nil:
		gr.nodes, gr.revision, gr.written, gr.uncertain = rec.Nodes, written, true, false
	case errors.Is(err, kv.ErrConflict):
		er.applyRecord(rt, items)
	default:
		gr.uncertain = gr.uncertain || !errors.Is(err, kv.ErrRefused)
		er.log.Info("Record of the nodes that are asked could not be written.", "token", rt.token, "reason", err.Error())
	}
}

// applyRecord applies the record that the store has instead of the expected one. The caller holds the lock.
func (er *Elector) applyRecord(rt *runningTerm, items []kv.Item) {
	for _, item := range items {
		if item.Key != joblog.Grace || item.Revision == rt.record.revision {
			continue
		}
		rt.record.revision, rt.record.uncertain = item.Revision, false
		if rec, err := joblog.Decode[joblog.GraceRecord](item.Value); err == nil && rec.Term == rt.token {
			rt.record.nodes, rt.record.written = rec.Nodes, true
		}
		rt.record.version = -1 // compares it with the members again
	}
}

// readGraceRecord reads what the planners before have recorded.
func (er *Elector) readGraceRecord(ctx context.Context, rt *runningTerm) {
	for {
		call, cancel := context.WithTimeout(ctx, recordTimeout)
		item, _, err := er.store.Get(call, joblog.Grace, 0)
		cancel()
		if err == nil {
			er.applyInheritedRecord(ctx, rt, item)
			return
		}
		if !loop.Sleep(ctx, er.clock, retryPause) {
			return
		}
	}
}

func decodeRecord(item kv.Item) (rec joblog.GraceRecord, err error) {
	if item.Revision > 0 {
		rec, err = joblog.Decode[joblog.GraceRecord](item.Value)
	}
	return rec, err
}

func (er *Elector) applyInheritedRecord(ctx context.Context, rt *runningTerm, item kv.Item) {
	rec, err := decodeRecord(item)
	er.mu.Lock()
	end, known := er.worstRenewalsEnd(rt), true
	if err == nil {
		end, known = er.knownRenewalsEnd(rt, rec)
	} else {
		er.log.Error(err, "Record of the nodes that were asked cannot be decoded.")
	}
	er.mu.Unlock()
	if !known {
		end = er.askForRenewalsEnd(ctx, rt, rec, end)
	}
	er.mu.Lock()
	defer er.mu.Unlock()
	rt.record.revision, rt.renewalsEnd = item.Revision, end
	er.log.Info("Renewals of earlier planners are bounded.", "token", rt.token, "until", rt.renewalsEnd.Sub(rt.beganAt).String(),
		"after", er.clock.Since(rt.beganAt).String(), "recorded", rec.Term, "asked", slices.Contains(rec.Nodes, er.identity()))
	close(rt.renewalsKnown)
	er.wake.Notify()
}

func (er *Elector) awaitRenewalsEnd(ctx context.Context, rt *runningTerm) (time.Time, bool) {
	select {
	case <-ctx.Done():
		return time.Time{}, false
	case <-rt.renewalsKnown:
		return rt.renewalsEnd, true
	}
}

func (er *Elector) identity() joblog.NodeID {
	return joblog.NodeID{Node: er.opts.Node, PeerAddr: er.opts.PeerAddr}
}

// knownRenewalsEnd returns the latest time at which a planner before a term can have renewed leases of workers, given the
// record that was in the store when the term began. It returns false if a node in the record may know of an earlier time. The
// caller holds the lock.
func (er *Elector) knownRenewalsEnd(rt *runningTerm, rec joblog.GraceRecord) (end time.Time, known bool) {
	switch recorded, used := er.recordHolds(rt, rec); {
	case !recorded:
		return er.worstRenewalsEnd(rt), true
	case !used:
		return er.aloneUntil(rt), true
	case slices.Contains(rec.Nodes, er.identity()):
		return latest(er.aloneUntil(rt), er.permissionsEnd()), true
	}
	return er.worstRenewalsEnd(rt), false
}

// permissionsEnd returns until when planners can use permissions of this node. What another process of it permitted, that
// permitted before this one began to listen at its address. The caller holds the lock.
func (er *Elector) permissionsEnd() time.Time {
	return latest(er.gracedAt, er.startedAt).Add(graceTime)
}

// aloneUntil returns until when planners before a term can have renewed leases without permission. If the key of the planner
// before expired, its lease was last renewed at least opts.TTL ago. If that planner removed it, it renews nothing any more.
// If the key was lost with all leases, so was this node's lease, and the present one was granted later.
func (er *Elector) aloneUntil(rt *runningTerm) time.Time {
	return latest(rt.beganAt, rt.grantedAt.Add(er.opts.TTL))
}

// worstRenewalsEnd returns until when planners before a term can have renewed leases if they had every permission. The last
// renewal of their own leases is bounded as for aloneUntil.
func (er *Elector) worstRenewalsEnd(rt *runningTerm) time.Time {
	lastRenewal := latest(rt.beganAt.Add(-er.opts.TTL), rt.grantedAt)
	return latest(rt.beganAt, lastRenewal.Add(MaxUnrenewed))
}

// recordHolds reports whether all permissions that may be in use are of planners that record whom they ask, and whether any
// may be in use. The planner that wrote the record did so after those before it had none left.
func (er *Elector) recordHolds(rt *runningTerm, rec joblog.GraceRecord) (recorded, used bool) {
	for token := rt.previous; token != rec.Term; {
		el, seen := er.seenElection(token)
		if !seen || !el.Recorded {
			return false, true
		}
		if rt.beganAt.Sub(el.at) > MaxUnrenewed {
			return true, false // those before that one have none any more
		}
		token = el.Previous
	}
	return true, rec.Term != 0
}

// isRecorded reports whether this node has been registered for so long that the planner has normally recorded it. The
// caller holds the lock.
func (er *Elector) isRecorded(now time.Time) bool {
	return er.registered && now.Sub(er.registeredAt) >= recordDelay
}
