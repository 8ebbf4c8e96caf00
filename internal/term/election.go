package term

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
)

// campaignHedge is how long a candidacy may be without an answer before it is sent
// again: the store answers in 4 ms.
const campaignHedge = 60 * time.Millisecond

// campaign takes the leader's key where nobody has it, or where this node had it on an
// earlier lease: nobody plans by that, and its addresses are this process's now.
func (tm *Elector) campaign(ctx context.Context) {
	tm.mu.Lock()
	held := tm.leaderAt // on the earlier lease, 0 where nobody has it
	vacant := tm.loaded && (held == 0 || tm.inherits()) && tm.lease != 0 && !tm.resigned &&
		!tm.abstaining() && tm.deferral() <= 0
	el := joblog.Election{Node: tm.opts.Node, PeerAddr: tm.opts.PeerAddr, Number: tm.highest + 1, Nonce: tm.nonce}
	lease := tm.lease
	tm.mu.Unlock()
	if !vacant {
		return
	}
	raw, err := joblog.Encode(el)
	if err != nil {
		tm.log.Error(err, "Node cannot be a candidate.")
		return
	}
	call, cancel := context.WithTimeout(ctx, tm.opts.TTL/2)
	defer cancel()
	revision, items, err := tm.store.CommitWithRetry(call, kv.CommitOptions{Clock: tm.clock, HedgeDelay: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: held}},
		Puts: []kv.Put{
			{Key: joblog.Leader, Value: raw, Lease: lease},
			{Key: joblog.TermNumber, Value: []byte(strconv.Itoa(el.Number))},
		},
	})
	switch {
	case err == nil:
		tm.changed([]kv.Item{{Key: joblog.Leader, Value: raw, Revision: revision}}, false)
	case errors.Is(err, kv.ErrConflict):
		tm.changed(items, false)
	case errors.Is(err, kv.ErrLeaseExpired):
		tm.dropLease(lease, "not found in the store")
	default:
		tm.log.Info("Election is open; the watch will tell.", "reason", err.Error())
	}
}

// inherits reports whether the leader's key is this node's from an earlier lease. The
// caller holds the lock.
func (tm *Elector) inherits() bool {
	return tm.leader.Node == tm.opts.Node && tm.leader.Nonce != tm.nonce
}

// How a node with little of a processor leaves the planner's place to stronger ones.
const (
	// muchStronger is by what factor another node's share of a processor must be larger.
	muchStronger = 1.5
	// deferFor is how long the place is left to it: it hears of the vacancy as soon as
	// this node does, and a candidacy takes a few ms.
	deferFor = 300 * time.Millisecond
	// giveWayEvery is the least time between two times that a planner gives way: the
	// nodes of a rolling restart come back within it.
	giveWayEvery = 10 * time.Second
)

// deferral returns how long to leave the planner's place to a stronger node. The caller
// holds the lock.
func (tm *Elector) deferral() time.Duration {
	if tm.leaderAt > 0 || !tm.loaded || tm.stronger() == "" {
		return 0
	}
	return tm.vacated.Add(deferFor).Sub(tm.clock.Now())
}

// stronger returns the name of a node with much more of a processor, or "". The caller
// holds the lock.
func (tm *Elector) stronger() string {
	for _, mb := range tm.members {
		if mb.Processors > muchStronger*tm.opts.Processors {
			return mb.Node
		}
	}
	return ""
}

// giveWay has a node that plans, because no stronger one was listed, give its place up
// when one is. It does so rarely: one that is listed may still be unable to plan.
func (tm *Elector) giveWay() {
	tm.mu.Lock()
	name := tm.stronger()
	now := tm.clock.Now()
	if tm.reign == nil || name == "" || !tm.gaveWay.IsZero() && now.Sub(tm.gaveWay) < giveWayEvery {
		tm.mu.Unlock()
		return
	}
	tm.gaveWay = now
	tm.mu.Unlock()
	tm.yield("node "+name+" has more of a processor", 0)
}

// changed takes in changes of the members' keys.
func (tm *Elector) changed(items []kv.Item, reset bool) {
	tm.mu.Lock()
	for _, item := range items {
		tm.take(item)
	}
	if reset && !tm.loaded {
		tm.loaded, tm.vacated = true, tm.clock.Now()
	}
	tm.mu.Unlock()
	tm.follow()
	tm.giveWay()
	tm.wake.Give()
}

func (tm *Elector) take(item kv.Item) {
	switch {
	case item.Key == joblog.TermNumber:
		if number, err := strconv.Atoi(string(item.Value)); err == nil {
			tm.highest = max(tm.highest, number)
		}
	case item.Key == joblog.Leader:
		tm.takeLeader(item)
	case item.Key == joblog.Backlog:
		tm.takeBacklog(item)
	case item.Deleted:
		delete(tm.members, item.Key)
		tm.listed = tm.listed && item.Key != joblog.Nodes+tm.opts.Node
	default:
		mb, err := joblog.Decode[joblog.Member](item.Value)
		if err != nil {
			tm.log.Error(err, "A member's key cannot be read.", "key", item.Key)
			return
		}
		tm.members[item.Key] = mb
	}
}

// takeBacklog takes in how far the planner is behind; where its key is gone, it is not.
func (tm *Elector) takeBacklog(item kv.Item) {
	if tm.opts.OnBacklog == nil {
		return
	}
	if item.Deleted {
		tm.opts.OnBacklog(joblog.BacklogSize{})
		return
	}
	behind, err := joblog.Decode[joblog.BacklogSize](item.Value)
	if err != nil {
		tm.log.Error(err, "The backlog's key cannot be read.")
		return
	}
	tm.opts.OnBacklog(behind)
}

func (tm *Elector) takeLeader(item kv.Item) {
	if item.Deleted || item.Revision == 0 {
		if tm.leaderAt > 0 && (item.Revision == 0 || item.Revision >= tm.leaderAt) {
			tm.leaderAt, tm.vacated = 0, tm.clock.Now()
		}
		return
	}
	if item.Revision < tm.leaderAt {
		return // an older answer came late
	}
	el, err := joblog.Decode[joblog.Election](item.Value)
	if err != nil {
		tm.log.Error(err, "The leader's key cannot be read.")
		return
	}
	if item.Revision > tm.leaderAt {
		tm.log.Info("Planner is known.", "planner", el.Node, "token", item.Revision, "reign", el.Number)
	}
	tm.leader, tm.leaderAt = el, item.Revision
	tm.highest = max(tm.highest, el.Number)
}

// follow begins or ends this node's reign as the leader's key says.
func (tm *Elector) follow() {
	tm.mu.Lock()
	rg := tm.reign
	reigns := rg != nil && rg.token == tm.leaderAt && tm.holdsKey() && !tm.resigned
	tm.mu.Unlock()
	if reigns {
		return
	}
	if rg != nil {
		tm.deposeReign(rg, "no longer the elected planner")
	}
	tm.begin()
}

// mayBegin reports whether a reign may begin under the leader's key. A node that abstains
// begins none, but goes on with one that it has: it was alone when that began. The caller
// holds the lock.
func (tm *Elector) mayBegin() bool {
	return tm.reign == nil && tm.holdsKey() && !tm.resigned && !tm.spent() && !tm.abstaining()
}

// holdsKey reports whether the leader's key is this node's, on its present lease. The
// caller holds the lock.
func (tm *Elector) holdsKey() bool {
	return tm.leaderAt > 0 && tm.leader.Nonce == tm.nonce && tm.lease != 0
}

// spent reports whether a reign under the leader's key has begun. There is one for each
// token: a second would find the records' keys written and take them for its own. The
// caller holds the lock.
func (tm *Elector) spent() bool { return tm.latest != nil && tm.latest.token == tm.leaderAt }

// vacantMost is for how long a node leaves the planner's place to others that do not take it: where all
// of them abstain, nobody would plan. Others take it within deferFor and the time of a candidacy.
const vacantMost = 2 * time.Second

// abstaining reports whether the node leaves the planner's place to others, where there
// are any that take it. The caller holds the lock.
func (tm *Elector) abstaining() bool {
	now := tm.clock.Now()
	return now.Before(tm.abstains) && len(tm.members) > 1 && now.Sub(tm.vacated) < vacantMost
}

// idle returns the token of a leader's key that is this node's though it does not plan by
// it and will not, or 0. While the last reign ends it may write yet, for half of the
// lease's time at most. The caller holds the lock.
func (tm *Elector) idle() uint64 {
	if !tm.holdsKey() || tm.reign != nil || !tm.spent() && !tm.abstaining() {
		return 0
	}
	if tm.latest != nil && !tm.latest.over() && tm.clock.Since(tm.latest.deposed) < tm.opts.TTL/2 {
		return 0
	}
	return tm.leaderAt
}

// layDown removes the leader's key where this node holds it and does not plan. Each step
// looks, whatever ended the reign: as long as the lease is renewed the key stays, and
// without a planner nothing else brings a change. If the key cannot be removed, the lease
// is left to run out, so that the place is free after one and a half times its time.
func (tm *Elector) layDown(ctx context.Context) {
	tm.mu.Lock()
	token, lease := tm.idle(), tm.lease
	tm.mu.Unlock()
	if token == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, tm.opts.TTL/2)
	defer cancel()
	revision, items, err := tm.store.CommitWithRetry(call, kv.CommitOptions{Clock: tm.clock, HedgeDelay: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: token}},
		Deletes:    []string{joblog.Leader},
	})
	switch {
	case err == nil:
		tm.changed([]kv.Item{{Key: joblog.Leader, Revision: revision, Deleted: true}}, false)
	case errors.Is(err, kv.ErrConflict):
		tm.changed(items, false)
	case ctx.Err() == nil:
		tm.dropLease(lease, "the leader's key could not be removed: "+err.Error())
	}
}

// begin begins a reign, where the key and the lease still say so.
func (tm *Elector) begin() {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if !tm.mayBegin() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	rg := &reign{token: tm.leaderAt, lease: tm.lease, cancel: cancel, done: make(chan struct{})}
	before := tm.latest
	tm.reign, tm.latest = rg, rg
	tm.log.Info("This node plans.", "token", rg.token, "reign", tm.leader.Number)
	arg := Term{
		Token: rg.token, Number: tm.leader.Number,
		SinceRenewal: func() time.Duration { return tm.sinceProof(rg) },
		LeaseHeld:    func() bool { return tm.sinceProof(rg) < tm.opts.TTL },
		StepDown:     tm.depose,
		Yield:        func(reason string) { tm.yield(reason, abstain) },
	}
	go func() {
		defer tm.wake.Give() // the leader's key may be this node's still
		defer close(rg.done)
		if before != nil {
			<-before.done
		}
		tm.opts.Lead(ctx, arg)
	}()
}

// unprovable is the age of the proof of a reign that has ended.
const unprovable time.Duration = math.MaxInt64

// sinceProof returns how long ago the last renewal that was answered was sent, of the lease
// that a reign rests on. A reign that was deposed has no proof, whatever lease the node has.
func (tm *Elector) sinceProof(rg *reign) time.Duration {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.reign != rg || tm.lease != rg.lease {
		return unprovable
	}
	return tm.clock.Since(tm.proof)
}

// depose ends the reign. It does not wait for its work: whoever follows the members' keys
// or renews the lease must go on, and the next reign waits for the end by itself.
func (tm *Elector) depose(reason string) {
	tm.mu.Lock()
	rg := tm.reign
	tm.mu.Unlock()
	if rg != nil {
		tm.deposeReign(rg, reason)
	}
}

// deposeReign ends rg if it is still the current reign; otherwise it does nothing.
func (tm *Elector) deposeReign(rg *reign, reason string) {
	tm.mu.Lock()
	current := tm.reign == rg
	if current {
		tm.reign = nil
		rg.deposed = tm.clock.Now()
	}
	tm.mu.Unlock()
	if !current {
		return
	}
	tm.log.Info("This node plans no longer.", "token", rg.token, "reason", reason)
	rg.cancel()
	tm.wake.Give()
}

// stop ends the reign and waits until its work has ended, which may write its last
// records yet.
func (tm *Elector) stop(ctx context.Context, reason string) {
	tm.depose(reason)
	tm.mu.Lock()
	rg := tm.latest
	tm.mu.Unlock()
	if rg == nil {
		return
	}
	select {
	case <-rg.done:
	case <-ctx.Done():
	}
}

// abstain is how long a node that was too slow to plan is no candidate.
const abstain = 10 * time.Second

// yield gives the planner's place up for another node, where there is one. This node is
// no candidate for a time; the next step lays the leader's key down.
func (tm *Elector) yield(reason string, abstain time.Duration) {
	tm.mu.Lock()
	token, alone := tm.leaderAt, len(tm.members) < 2
	rg := tm.reign
	mine := rg != nil && rg.token == token
	if mine && !alone {
		tm.abstains = tm.clock.Now().Add(abstain)
	}
	tm.mu.Unlock()
	if !mine || alone {
		return
	}
	tm.deposeReign(rg, reason)
}
