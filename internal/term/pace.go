package term

import (
	"math/rand/v2"
	"time"
)

// Parts of the store's rate of reading calls that the nodes together use for calls which each of them makes.
// Without such bounds the calls grow with the square of the nodes: each entry in the list of members wakes the
// watches of all.
const (
	// listShare is for looks at the list of members, renewalShare for renewals of leases.
	listShare    = 0.1
	renewalShare = 0.1
	// firstToHear is how many nodes hear of each change at once: those that are the first to take the planner's
	// place when it becomes free.
	firstToHear = 8
)

// share returns the time between two calls of each node by which all of them together use a part of the store's
// rate, 0 where that is not known. The caller holds the lock.
func (tm *Elector) share(part float64) time.Duration {
	if tm.opts.ReadRate <= 0 {
		return 0
	}
	return time.Duration(float64(len(tm.members)) / (part * tm.opts.ReadRate) * float64(time.Second))
}

// pace is the pause between two looks at the members' keys.
func (tm *Elector) pace() time.Duration {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.stand() < firstToHear {
		return 0
	}
	return tm.share(listShare)
}

// wantedTTL is how long the node's lease should last. The nodes that are the first to plan keep short ones, so
// that a dead planner is noticed soon; of many others the renewals would use the store's rate up.
func (tm *Elector) wantedTTL() time.Duration {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.stand() < firstToHear {
		return tm.opts.TTL
	}
	return max(tm.opts.TTL, min(renewals*tm.share(renewalShare), mostTTL))
}

// mostTTL bounds for how long a dead node stays in the list of members.
const mostTTL = 6 * time.Second

// lengthens reports whether the node asks for another lease now, since the one that it has is much shorter than
// it should be. Nodes that learn of each other together wait for a random time, or their calls would be over the
// store's rate.
func (tm *Elector) lengthens() bool {
	const much = 1.5
	wanted := tm.wantedTTL()
	tm.mu.Lock()
	defer tm.mu.Unlock()
	now := tm.clock.Now()
	switch {
	case tm.reign != nil || float64(wanted) < much*float64(tm.ttl):
		tm.crowded = time.Time{}
		return false
	case tm.crowded.IsZero():
		tm.crowded = now.Add(rand.N(max(2*tm.share(listShare), 1)))
	}
	return !now.Before(tm.crowded)
}

// renewEvery is the time between two renewals. A planner has to prove its lease as often as if that was short. The
// caller holds the lock.
func (tm *Elector) renewEvery() time.Duration {
	if tm.reign != nil {
		return min(tm.ttl, tm.opts.TTL) / renewals
	}
	return tm.ttl / renewals
}

// stand is how many other members come before this node as planners: those with more of a processor, and of
// equal ones those that come first by name. The caller holds the lock.
func (tm *Elector) stand() int {
	count := 0
	for _, mb := range tm.members {
		stronger := mb.Processors > tm.opts.Processors
		if stronger || mb.Processors == tm.opts.Processors && mb.Node < tm.opts.Node {
			count++
		}
	}
	return count
}
