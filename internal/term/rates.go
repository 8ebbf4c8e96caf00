package term

import (
	"math/rand/v2"
	"time"
)

// Fractions of the store's read rate that all nodes together may use for calls that every node makes. Without such
// limits the calls grow with the square of the number of nodes, because each change in the list of members wakes
// the watches of all nodes.
const (
	// memberReadShare is for reads of the list of members, renewalShare for renewals of leases.
	memberReadShare = 0.1
	renewalShare    = 0.1
	// firstCandidates is the number of nodes that are notified of each change at once: those that are the first in
	// line to become the planner.
	firstCandidates = 8
)

// sharedInterval returns the time between two calls of a node with which all nodes together use the given fraction
// of the store's read rate, or 0 if the rate is unknown. The caller holds the lock.
func (er *Elector) sharedInterval(part float64) time.Duration {
	if er.opts.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(len(er.members)) / (part * er.opts.ReadRate) * float64(time.Second))
}

// memberReadInterval returns the pause between two reads of the members' keys.
func (er *Elector) memberReadInterval() time.Duration {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.current != nil || er.rank() < firstCandidates {
		return 0
	}
	return er.sharedInterval(memberReadShare)
}

// wantedTTL returns the TTL that the node's lease should have. The first candidates use short leases, so that a
// dead planner is noticed soon. With many other nodes, renewals of short leases would use up the store's rate.
func (er *Elector) wantedTTL() time.Duration {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.rank() < firstCandidates {
		return er.opts.TTL
	}
	return max(er.opts.TTL, min(renewalsPerTTL*er.sharedInterval(renewalShare), maxTTL))
}

// maxTTL limits how long a dead node stays in the list of members.
const maxTTL = 6 * time.Second

// shouldExtendLease reports whether the node should request another lease now because its own is much shorter than
// wanted. Nodes that learn of each other at the same time wait for a random time; otherwise their calls would
// exceed the store's rate.
func (er *Elector) shouldExtendLease() bool {
	const factor = 1.5
	wanted := er.wantedTTL()
	er.mu.Lock()
	defer er.mu.Unlock()
	now := er.clock.Now()
	switch {
	case er.current != nil || float64(wanted) < factor*float64(er.ttl):
		er.extendAt = time.Time{}
		return false
	case er.extendAt.IsZero():
		er.extendAt = now.Add(rand.N(max(2*er.sharedInterval(memberReadShare), 1)))
	}
	return !now.Before(er.extendAt)
}

// renewInterval returns the time between two renewals. A planner with a long lease renews as often as with a short
// one, because LeaseHeld only counts on opts.TTL since the last confirmed renewal. The caller holds the lock.
func (er *Elector) renewInterval() time.Duration {
	if er.current != nil {
		return min(er.ttl, er.opts.TTL) / renewalsPerTTL
	}
	return er.ttl / renewalsPerTTL
}

// rank returns the number of members that precede this node as candidates: those with a larger CPU share and,
// among equals, those with a smaller name. The caller holds the lock.
func (er *Elector) rank() int {
	count := 0
	for _, mb := range er.members {
		stronger := mb.Processors > er.opts.Processors
		if stronger || mb.Processors == er.opts.Processors && mb.Node < er.opts.Node {
			count++
		}
	}
	return count
}
