package term

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
)

// A planner renews the leases of workers as long as its own lease has surely not expired. After that another node may be
// the planner, and has to wait for each lease that this one renews. But while the store answers nobody, no other node can
// be elected, and leases that are not renewed end all runs. So a planner goes on for a time with the permission of all
// other nodes. Each of them gives it only while the store does not answer it either, and remembers that it did: if it is
// elected, it waits for what it permitted. A node that the planner would have had to ask, and that gave no permission, has
// nothing to wait for.

const (
	// MaxUnrenewed is how long after the last confirmed renewal of its own lease a planner may renew the leases of workers.
	// A store outage of up to that time ends no work.
	MaxUnrenewed = 4 * time.Second
	// leaseMargin is how long before the end of its own lease, or of a permission, a planner stops renewing leases of workers.
	// The clocks of the store and of the nodes may differ in rate.
	leaseMargin = 100 * time.Millisecond
	// graceTime is how long a permission lasts from when it was requested.
	graceTime = 1500 * time.Millisecond
	// graceInterval is the time between two requests to a node, which grows by graceIntervalPerNode with the number of nodes.
	// It leaves time for a lost request in each graceTime.
	graceInterval        = 250 * time.Millisecond
	graceIntervalPerNode = time.Millisecond
	// graceTimeout bounds a request, maxGraceRequests is the number of concurrent ones.
	graceTimeout     = 250 * time.Millisecond
	maxGraceRequests = 64
	// maxMembersAge is how much older than its last confirmed renewal the planner's copy of the members' keys may be. It has
	// all nodes that registered before that. An idle watch is current as of its beginning, up to two watches ago.
	maxMembersAge = 2*plannerWatchWait + 500*time.Millisecond
)

// Reasons why a node does not permit a planner to renew the leases of workers.
var (
	errLaterTerm    = errors.New("there has been a later planner")
	errStoreAnswers = errors.New("the store answers")
)

// GrantGrace permits the planner of a term to renew the leases of workers for graceTime although the store has not
// confirmed its own lease. It returns why this is not permitted, or nil.
func (er *Elector) GrantGrace(token uint64) error {
	er.mu.Lock()
	defer er.mu.Unlock()
	now := er.clock.Now()
	switch {
	case max(er.leaderRevision, er.latestToken, er.gracelessBefore) > token || er.latest != nil && er.latest.token > token:
		return errLaterTerm
	case er.lease != 0 && now.Sub(er.renewedAt) < er.opts.TTL/2:
		return errStoreAnswers
	}
	er.gracedAt = now
	return nil
}

// mayRenewLeases reports whether the planner of a term may renew the leases of workers now.
func (er *Elector) mayRenewLeases(rt *runningTerm) bool {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.current != rt || er.lease != rt.lease {
		return false
	}
	unrenewed := er.clock.Since(er.renewedAt) + leaseMargin
	return unrenewed <= er.opts.TTL || unrenewed <= MaxUnrenewed && er.clock.Since(rt.graceFrom) <= graceTime-leaseMargin
}

// requestGrace asks all other nodes for permission to renew the leases of workers, if the node is the planner and its own
// lease may soon have expired. Renewals by a slow store come before that.
func (er *Elector) requestGrace(ctx context.Context) {
	er.mu.Lock()
	rt, now := er.current, er.clock.Now()
	if rt == nil || !er.graceDue(rt, now) {
		er.mu.Unlock()
		return
	}
	rt.graceRequestedAt, rt.requestsGrace = now, true
	others := make([]joblog.Member, 0, len(er.members))
	for _, mb := range er.members {
		if mb.Node != er.opts.Node {
			others = append(others, mb)
		}
	}
	er.mu.Unlock()
	go er.sendGraceRequests(ctx, rt, now, others)
}

// graceDue reports whether the planner should ask for permission now. The caller holds the lock.
func (er *Elector) graceDue(rt *runningTerm, now time.Time) bool {
	interval := graceInterval + time.Duration(len(er.members))*graceIntervalPerNode
	unrenewed := now.Sub(er.renewedAt)
	if er.opts.RequestGrace == nil || er.lease != rt.lease || unrenewed < er.opts.TTL*3/4 || unrenewed > MaxUnrenewed ||
		rt.requestsGrace || now.Sub(rt.graceRequestedAt) < interval {
		return false
	}
	if len(er.members) < len(er.memberRevisions) {
		return false // a node whose key cannot be decoded cannot be asked
	}
	if !rt.record.isCoveredBy(er.members) {
		return false
	}
	age, read := er.mirror.Age()
	return read && age <= unrenewed+maxMembersAge // other nodes may have registered since
}

// sendGraceRequests asks nodes for permission, and records it if all of them give it.
func (er *Elector) sendGraceRequests(ctx context.Context, rt *runningTerm, sent time.Time, nodes []joblog.Member) {
	call, cancel := context.WithTimeout(ctx, graceTimeout)
	defer cancel()
	var requests sync.WaitGroup
	slots := make(chan struct{}, maxGraceRequests)
	var once sync.Once
	var refusal error
	for _, mb := range nodes {
		slots <- struct{}{}
		if call.Err() != nil {
			once.Do(func() { refusal = errors.Wrap(call.Err(), "not all nodes were asked") })
			break
		}
		requests.Go(func() {
			defer func() { <-slots }()
			if err := er.opts.RequestGrace(call, mb, rt.token); err != nil {
				once.Do(func() { refusal = errors.Wrap(err, "node "+mb.Node) })
				cancel()
			}
		})
	}
	requests.Wait()
	er.recordOutcome(rt, sent, refusal)
}

// recordOutcome records the outcome of a request for permission.
func (er *Elector) recordOutcome(rt *runningTerm, sent time.Time, refusal error) {
	er.mu.Lock()
	defer er.mu.Unlock()
	rt.requestsGrace = false
	if refusal == nil {
		rt.graceFrom = sent
	}
	if refused := refusal != nil; refused != rt.graceRefused || rt.graceLogged.Before(er.renewedAt) {
		rt.graceRefused, rt.graceLogged = refused, sent
		if refused {
			er.log.Info("Leases of workers are not renewed beyond the planner's own.", "token", rt.token, "reason", refusal.Error())
		} else {
			er.log.Info("All nodes permit renewals of workers' leases.", "token", rt.token, "unrenewed", sent.Sub(er.renewedAt).String())
		}
	}
	er.wake.Notify()
}

// seenElection returns the election with a token if this node has seen it. The caller holds the lock.
func (er *Elector) seenElection(token uint64) (seenElection, bool) {
	for _, el := range er.elections {
		if el.token == token {
			return el, true
		}
	}
	return seenElection{}, false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
