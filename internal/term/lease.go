package term

import (
	"context"
	"time"

	"github.com/pkg/errors"

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
	er.lease, er.renewedAt, er.ttl, er.registered = lease, sent, ttl, false
	er.nonce = newNonce() // a leader's key under an earlier lease is no longer renewed
	er.mu.Unlock()
	er.log.Info("Lease granted.", "lease", lease, "ttl", ttl.String())
	er.register(ctx)
	er.campaign(ctx)
	return er.untilNext()
}

// registerTimeout limits the write of the node's key, which is tried again at each step.
const registerTimeout = 150 * time.Millisecond

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
	lease := er.lease
	er.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, _, err = er.store.Commit(call, kv.Txn{Puts: []kv.Put{{Key: joblog.Nodes + er.opts.Node, Value: raw, Lease: lease}}})
	er.registerAfter = er.clock.Now().Add(er.retry.Next(err))
	if errors.Is(err, kv.ErrLeaseExpired) {
		er.dropLease(lease, "not found in the store")
		return
	}
	if err != nil {
		er.log.Info("Node could not be registered; trying again.", "reason", err.Error())
		return
	}
	er.retry.Reset()
	er.mu.Lock()
	er.registered = true
	er.mu.Unlock()
}

// renew sends a renewal of the lease when one is due. It does not wait for the answer: if one is lost, renewals
// sent after it still arrive in time.
func (er *Elector) renew(ctx context.Context) {
	er.mu.Lock()
	lease, due, registered := er.lease, er.nextRenewal(), er.registered
	sent := er.clock.Now()
	send := !sent.Before(due) && er.pendingRenewals < maxPendingRenewals
	if send {
		er.pendingRenewals++
		er.lastSent = sent
	}
	er.mu.Unlock()
	if !registered && !sent.Before(er.registerAfter) {
		er.register(ctx)
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
	er.wake.Give()
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

// untilNext returns the time until the next renewal is due, or until a deferred candidacy may be sent.
func (er *Elector) untilNext() time.Duration {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.lease == 0 {
		return retryPause
	}
	wait := max(er.nextRenewal().Sub(er.clock.Now()), time.Millisecond)
	if deferral := er.deferral(); deferral > 0 {
		return min(wait, deferral)
	}
	return wait
}
