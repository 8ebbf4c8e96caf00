package term

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
)

// Numbers of renewals per TTL of the lease.
const (
	// renewalsPerTTL applies while renewals are answered.
	renewalsPerTTL = 3
	// retriesPerTTL applies while they are not.
	retriesPerTTL = 8
	// maxPendingRenewals is the maximum number of renewals without an answer.
	maxPendingRenewals = 6
)

// retryPause is the pause while the node has no lease.
const retryPause = 100 * time.Millisecond

// grantTimeout limits the wait for a lease; a slow store answers after 0.25 s.
const grantTimeout = 400 * time.Millisecond

// join obtains a lease and registers the node.
func (er *Elector) join(ctx context.Context) time.Duration {
	sent := er.clock.Now()
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	ttl := er.wantedTTL()
	lease, err := er.store.Grant(call, ttl)
	if err != nil {
		return er.retry.Next(err)
	}
	er.mu.Lock()
	er.lease, er.renewedAt, er.grantedAt, er.ttl, er.registered = lease, sent, er.clock.Now(), ttl, false
	er.nonce = newNonce() // a leader's key under an earlier lease is no longer renewed
	er.mu.Unlock()
	er.log.Info("Lease granted.", "lease", lease, "ttl", ttl.String())
	er.register(ctx)
	er.campaign(ctx)
	return er.untilNext()
}

// registration has the timeout of an attempt to write the node's key, and the longest pause after one without an answer.
// Both grow while attempts get no answer: the store may carry them out all the same, and each then costs it an event for
// every node, so that short timeouts multiply the load of a store that is busy with many nodes that join.
var registration = backoff.Backoff{Initial: 150 * time.Millisecond, Max: 2400 * time.Millisecond}

// register writes the node's key.
func (er *Elector) register(ctx context.Context) {
	raw, err := joblog.Encode(joblog.Member{
		Node: er.opts.Node, PeerAddr: er.opts.PeerAddr, Hall: er.opts.Hall, Processors: er.opts.Processors, Link: er.opts.Link,
	})
	if err != nil {
		er.log.Error(err, "Entry of the node could not be encoded.")
		return
	}
	er.mu.Lock()
	lease, unanswered := er.lease, er.unansweredRegistrations
	er.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, registration.Delay(unanswered))
	defer cancel()
	_, _, err = er.store.Commit(call, kv.Txn{Puts: []kv.Put{{Key: joblog.Nodes + er.opts.Node, Value: raw, Lease: lease}}})
	switch er.recordRegistration(lease, err); {
	case errors.Is(err, kv.ErrLeaseExpired):
		er.dropLease(lease, "not found in the store")
	case err != nil:
		er.log.Info("Node could not be registered; trying again.", "reason", err.Error())
	}
}

// recordRegistration records the outcome of an attempt to write the node's key under a lease.
func (er *Elector) recordRegistration(lease uint64, err error) {
	er.mu.Lock()
	defer er.mu.Unlock()
	er.registering = false
	if lease != er.lease {
		return // the node has joined again
	}
	switch {
	case err == nil:
		er.registered, er.registeredAt, er.unansweredRegistrations = true, er.clock.Now(), 0
		er.registerRetry.Reset()
	case errors.Is(err, kv.ErrNoAnswer):
		er.registerAfter = er.clock.Now().Add(registration.Jittered(er.unansweredRegistrations))
		er.unansweredRegistrations++
	default:
		er.registerAfter = er.clock.Now().Add(er.registerRetry.Next(err))
	}
}

// renew sends a renewal of the lease when one is due. It does not wait for the answer: if one is lost, renewals
// sent after it still arrive in time.
func (er *Elector) renew(ctx context.Context) {
	er.mu.Lock()
	lease, due := er.lease, er.nextRenewal()
	sent := er.clock.Now()
	register := !er.registered && !er.registering && !sent.Before(er.registerAfter)
	er.registering = er.registering || register
	send := !sent.Before(due) && er.pendingRenewals < maxPendingRenewals
	if send {
		er.pendingRenewals++
		er.lastSent = sent
	}
	er.mu.Unlock()
	if register {
		go er.register(ctx)
	}
	if send {
		go er.sendRenewal(ctx, lease, sent)
	}
}

// sendRenewal sends one renewal and records its outcome.
func (er *Elector) sendRenewal(ctx context.Context, lease uint64, sent time.Time) {
	call, cancel := context.WithTimeout(ctx, er.opts.TTL)
	defer cancel()
	err := er.store.Renew(call, lease)
	er.mu.Lock()
	er.pendingRenewals--
	if err == nil && er.lease == lease && sent.After(er.renewedAt) {
		er.renewedAt = sent
	}
	er.mu.Unlock()
	if errors.Is(err, kv.ErrLeaseExpired) {
		er.dropLease(lease, "expired")
	}
	er.wake.Notify()
}

// nextRenewal returns when the next renewal is due: one renewal interval after the last confirmed one was sent,
// but no sooner than one retry interval after the last attempt. The caller holds the lock.
func (er *Elector) nextRenewal() time.Time {
	due := er.renewedAt.Add(er.renewInterval())
	if again := er.lastSent.Add(er.ttl / retriesPerTTL); again.After(due) {
		return again
	}
	return due
}

// dropLease clears the given lease and ends the term that depends on it. It does nothing if that is no longer the
// node's current lease.
func (er *Elector) dropLease(lease uint64, reason string) {
	er.mu.Lock()
	if er.lease != lease {
		er.mu.Unlock()
		return
	}
	er.lease = 0
	rt := er.current
	er.mu.Unlock()
	er.log.Info("Lease lost.", "reason", reason)
	er.mirror.Refresh() // the leader's key may be gone as well, and the watch may be dead
	if rt != nil {
		er.endTerm(rt, "lease lost: "+reason)
	}
}

// untilNext returns the time until the next renewal is due, or until a deferred candidacy or the planner's record may be sent.
func (er *Elector) untilNext() time.Duration {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.lease == 0 {
		return retryPause
	}
	wait := max(er.nextRenewal().Sub(er.clock.Now()), time.Millisecond)
	if deferral := er.deferral(); deferral > 0 {
		wait = min(wait, deferral)
	}
	if rt := er.current; rt != nil {
		wait = min(wait, max(er.untilRecord(rt, er.clock.Now()), time.Millisecond))
	}
	return wait
}
