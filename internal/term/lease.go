package term

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
)

// How renewals are spread over the lease's time.
const (
	// renewals is how many fit into it while they are answered.
	renewals = 3
	// retries is how many fit into it while they are not.
	retries = 8
	// maxRenewing is the most that may be open at once.
	maxRenewing = 6
)

// retryPause is the pause after a call of the store that failed.
const retryPause = 100 * time.Millisecond

// grantTimeout bounds the wait for a lease; a slow store answers in 0.25 s.
const grantTimeout = 400 * time.Millisecond

// join gets a lease and lists the node.
func (tm *Elector) join(ctx context.Context) time.Duration {
	sent := tm.clock.Now()
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	ttl := tm.wantedTTL()
	lease, err := tm.store.Grant(call, ttl)
	if err != nil {
		return tm.retry.Next(err)
	}
	tm.mu.Lock()
	tm.lease, tm.proof, tm.ttl, tm.listed = lease, sent, ttl, false
	tm.nonce = newNonce() // a leader's key on an earlier lease is not renewed any more
	tm.mu.Unlock()
	tm.log.Info("Lease granted.", "lease", lease, "ttl", ttl.String())
	tm.list(ctx)
	tm.campaign(ctx)
	return tm.untilNext()
}

// listTimeout bounds the writing of the node's key; it is tried again at each step.
const listTimeout = 150 * time.Millisecond

// list writes the node's key.
func (tm *Elector) list(ctx context.Context) {
	raw, err := joblog.Encode(joblog.Member{
		Node: tm.opts.Node, PeerAddr: tm.opts.PeerAddr, Hall: tm.opts.Hall, Processors: tm.opts.Processors, Link: tm.opts.Link,
	})
	if err != nil {
		tm.log.Error(err, "Node could not be listed.")
		return
	}
	tm.mu.Lock()
	lease := tm.lease
	tm.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_, _, err = tm.store.Commit(call, kv.Txn{Puts: []kv.Put{{Key: joblog.Nodes + tm.opts.Node, Value: raw, Lease: lease}}})
	tm.relist = tm.clock.Now().Add(tm.retry.Next(err))
	if errors.Is(err, kv.ErrLeaseExpired) {
		tm.dropLease(lease, "not found in the store")
		return
	}
	if err != nil {
		tm.log.Info("Node could not be listed yet.", "reason", err.Error())
		return
	}
	tm.retry.Reset()
	tm.mu.Lock()
	tm.listed = true
	tm.mu.Unlock()
}

// renew sends a renewal of the lease when one is due. It does not wait: an answer may
// be lost, and others sent after it still come in time.
func (tm *Elector) renew(ctx context.Context) {
	tm.mu.Lock()
	lease, due, listed := tm.lease, tm.nextRenewal(), tm.listed
	sent := tm.clock.Now()
	send := !sent.Before(due) && tm.renewing < maxRenewing
	if send {
		tm.renewing++
		tm.attempt = sent
	}
	tm.mu.Unlock()
	if !listed && !sent.Before(tm.relist) {
		tm.list(ctx)
	}
	if send {
		go tm.keep(ctx, lease, sent)
	}
}

// keep sends one renewal and takes its outcome in.
func (tm *Elector) keep(ctx context.Context, lease uint64, sent time.Time) {
	call, cancel := context.WithTimeout(ctx, tm.opts.TTL)
	defer cancel()
	err := tm.store.Renew(call, lease)
	tm.mu.Lock()
	tm.renewing--
	if err == nil && tm.lease == lease && sent.After(tm.proof) {
		tm.proof = sent
	}
	tm.mu.Unlock()
	if errors.Is(err, kv.ErrLeaseExpired) {
		tm.dropLease(lease, "expired")
	}
	tm.wake.Give()
}

// nextRenewal is when the next renewal is to be sent: some time after the last that was answered, and soon after
// one that was not. The caller holds the lock.
func (tm *Elector) nextRenewal() time.Time {
	due := tm.proof.Add(tm.renewEvery())
	if again := tm.attempt.Add(tm.ttl / retries); again.After(due) {
		return again
	}
	return due
}

// dropLease clears the given lease and ends the reign that depends on it. It does nothing
// if that is no longer the node's current lease.
func (tm *Elector) dropLease(lease uint64, reason string) {
	tm.mu.Lock()
	if tm.lease != lease {
		tm.mu.Unlock()
		return
	}
	tm.lease = 0
	rg := tm.reign
	tm.mu.Unlock()
	tm.log.Info("Lease is over.", "reason", reason)
	tm.mirror.Refresh() // the leader's key may be gone as well, and the watch may be dead
	if rg != nil {
		tm.deposeReign(rg, "lease is over: "+reason)
	}
}

// untilNext returns the time until the next renewal is due, or a candidacy that was left
// to a stronger node.
func (tm *Elector) untilNext() time.Duration {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.lease == 0 {
		return retryPause
	}
	wait := max(tm.nextRenewal().Sub(tm.clock.Now()), time.Millisecond)
	if deferral := tm.deferral(); deferral > 0 {
		return min(wait, deferral)
	}
	return wait
}
