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

// campaignHedge is how long a candidacy may go without an answer before it is sent again; the store normally
// answers within 4 ms.
const campaignHedge = 60 * time.Millisecond

// campaign takes the leader's key if nobody holds it, or if this node holds it under an earlier lease: no planner
// runs under such a key, and its address leads to this process now.
func (er *Elector) campaign(ctx context.Context) {
	er.mu.Lock()
	held := er.leaderRevision // revision of the key under the earlier lease, 0 if nobody holds it
	vacant := er.loaded && (held == 0 || er.keyFromOldLease()) && er.lease != 0 && !er.resigned &&
		!er.abstaining() && er.deferral() <= 0
	el := joblog.Election{
		Node: er.opts.Node, PeerAddr: er.opts.PeerAddr, Number: er.highestNumber + 1, Nonce: er.nonce, Previous: er.latestToken,
		Grace: true, Recorded: true,
	}
	lease := er.lease
	er.mu.Unlock()
	if !vacant {
		return
	}
	raw, err := joblog.Encode(el)
	if err != nil {
		er.log.Error(err, "Candidacy could not be encoded.")
		return
	}
	call, cancel := context.WithTimeout(ctx, er.opts.TTL/2)
	defer cancel()
	revision, items, err := er.store.CommitWithRetry(call, kv.CommitOptions{Clock: er.clock, HedgeDelay: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: held}, {Key: joblog.TermNumber, Revision: el.Previous}},
		Puts: []kv.Put{
			{Key: joblog.Leader, Value: raw, Lease: lease},
			{Key: joblog.TermNumber, Value: []byte(strconv.Itoa(el.Number))},
		},
	})
	switch {
	case err == nil:
		er.onChange([]kv.Item{{Key: joblog.Leader, Value: raw, Revision: revision}}, false)
	case errors.Is(err, kv.ErrConflict):
		er.onChange(items, false)
	case errors.Is(err, kv.ErrLeaseExpired):
		er.dropLease(lease, "not found in the store")
	default:
		er.log.Info("Outcome of the election is unknown; waiting for the watch.", "reason", err.Error())
	}
}

// keyFromOldLease reports whether this node holds the leader's key from an earlier lease. The caller holds the
// lock.
func (er *Elector) keyFromOldLease() bool {
	return er.leader.Node == er.opts.Node && er.leader.Nonce != er.nonce
}

// A node with little CPU defers to stronger nodes.
const (
	// strongerFactor is how many times larger the CPU share of another node must be for this node to defer to it.
	strongerFactor = 1.5
	// deferTime is how long this node defers. The stronger node learns of the vacancy at the same time as this one,
	// and a candidacy takes a few ms.
	deferTime = 300 * time.Millisecond
	// yieldInterval is the minimum time between two terms that this node yields to a stronger one; the nodes of a
	// rolling restart are back within it.
	yieldInterval = 10 * time.Second
)

// deferral returns how much longer this node defers to a stronger one, or to one that has been registered for longer. The
// caller holds the lock.
func (er *Elector) deferral() time.Duration {
	if er.leaderRevision > 0 || !er.loaded || er.stronger() == "" && !er.defersAsNew() {
		return 0
	}
	return er.vacantSince.Add(deferTime).Sub(er.clock.Now())
}

// stronger returns the name of a node with much more CPU, or "". The caller holds the lock.
func (er *Elector) stronger() string {
	for _, mb := range er.members {
		if mb.Processors > strongerFactor*er.opts.Processors {
			return mb.Node
		}
	}
	return ""
}

// defersAsNew reports whether this node has registered so recently that it would have to assume the worst of earlier
// planners, while another one may know better. The caller holds the lock.
func (er *Elector) defersAsNew() bool {
	if er.isRecorded(er.clock.Now()) {
		return false
	}
	own, registered := er.memberRevisions[joblog.Nodes+er.opts.Node]
	for key, mb := range er.members {
		older := !registered || er.memberRevisions[key] < own
		// The last planner's node is gone, or leaves the election to others.
		candidate := mb.Node != er.opts.Node && mb.Node != er.leader.Node
		if older && candidate && strongerFactor*mb.Processors >= er.opts.Processors {
			return true
		}
	}
	return false
}

// yieldToStronger ends this node's term if a stronger node has joined since it began. It does so at most once per
// yieldInterval because a registered node may still be unable to plan.
func (er *Elector) yieldToStronger() {
	er.mu.Lock()
	name := er.stronger()
	now := er.clock.Now()
	if er.current == nil || name == "" || !er.lastYield.IsZero() && now.Sub(er.lastYield) < yieldInterval {
		er.mu.Unlock()
		return
	}
	er.lastYield = now
	er.mu.Unlock()
	er.yield("node "+name+" has more CPU", 0)
}

// onChange applies changes of the members' keys.
func (er *Elector) onChange(items []kv.Item, reset bool) {
	er.mu.Lock()
	for _, item := range items {
		er.applyItem(item)
	}
	if reset && !er.loaded {
		er.loaded, er.vacantSince = true, er.clock.Now()
	}
	er.mu.Unlock()
	er.syncTerm()
	er.yieldToStronger()
	er.wake.Notify()
}

func (er *Elector) applyItem(item kv.Item) {
	switch {
	case item.Key == joblog.TermNumber:
		er.applyNumber(item)
	case item.Key == joblog.Leader:
		er.applyLeader(item)
	case item.Key == joblog.Backlog:
		er.applyBacklog(item)
	case item.Deleted:
		delete(er.members, item.Key)
		delete(er.memberRevisions, item.Key)
		er.membersVersion++
		er.registered = er.registered && item.Key != joblog.Nodes+er.opts.Node
	default:
		er.memberRevisions[item.Key] = item.Revision
		mb, err := joblog.Decode[joblog.Member](item.Value)
		if err != nil {
			er.log.Error(err, "Key of a member could not be decoded.", "key", item.Key)
			return
		}
		er.members[item.Key] = mb
		er.membersVersion++
	}
}

// applyNumber applies the key of the term number. An outdated revision makes the next candidacy fail, whose answer has the
// present one.
func (er *Elector) applyNumber(item kv.Item) {
	if item.Deleted {
		er.latestToken = 0
		return
	}
	er.latestToken = item.Revision
	if number, err := strconv.Atoi(string(item.Value)); err == nil {
		er.highestNumber = max(er.highestNumber, number)
	}
}

// applyBacklog reports the planner's backlog; it is zero if the key is gone.
func (er *Elector) applyBacklog(item kv.Item) {
	if er.opts.OnBacklog == nil {
		return
	}
	if item.Deleted {
		er.opts.OnBacklog(joblog.BacklogSize{})
		return
	}
	backlog, err := joblog.Decode[joblog.BacklogSize](item.Value)
	if err != nil {
		er.log.Error(err, "Key of the backlog could not be decoded.")
		return
	}
	er.opts.OnBacklog(backlog)
}

func (er *Elector) applyLeader(item kv.Item) {
	if item.Deleted || item.Revision == 0 {
		if er.leaderRevision > 0 && (item.Revision == 0 || item.Revision >= er.leaderRevision) {
			er.leaderRevision, er.vacantSince = 0, er.clock.Now()
		}
		return
	}
	if item.Revision < er.leaderRevision {
		return // out-of-date answer
	}
	el, err := joblog.Decode[joblog.Election](item.Value)
	if err != nil {
		er.log.Error(err, "Key of the leader could not be decoded.")
		return
	}
	if item.Revision > er.leaderRevision {
		er.addElection(el, item.Revision)
		er.log.Info("Planner elected.", "planner", el.Node, "token", item.Revision, "reign", el.Number)
	}
	er.leader, er.leaderRevision = el, item.Revision
	er.highestNumber = max(er.highestNumber, el.Number)
}

// maxElections is how many elections a node remembers: a term needs the one before, which other nodes may have led for
// moments only.
const maxElections = 4

// addElection remembers an election. The caller holds the lock.
func (er *Elector) addElection(el joblog.Election, token uint64) {
	if count := len(er.elections); count > 0 && er.elections[count-1].token >= token {
		return
	}
	er.elections = append(er.elections, seenElection{el, token, er.clock.Now()})
	er.elections = er.elections[max(len(er.elections)-maxElections, 0):]
}

// previous returns the term before the one of an election. The caller holds the lock.
func (er *Elector) previous(el joblog.Election) Previous {
	if one, seen := er.seenElection(el.Previous); seen {
		return Previous{Token: one.token, Node: one.Node, PeerAddr: one.PeerAddr, SeenAt: one.at}
	}
	return Previous{Token: el.Previous}
}

// syncTerm begins or ends this node's term according to the leader's key.
func (er *Elector) syncTerm() {
	er.mu.Lock()
	rt := er.current
	leads := rt != nil && rt.token == er.leaderRevision && er.holdsKey() && !er.resigned
	er.mu.Unlock()
	if leads {
		return
	}
	if rt != nil {
		er.endTerm(rt, "no longer the elected planner")
	}
	er.beginTerm()
}

// mayBeginTerm reports whether a term may begin under the leader's key. A node that abstains does not begin one,
// but continues the term that it has, which began while it was the only node. The caller holds the lock.
func (er *Elector) mayBeginTerm() bool {
	return er.current == nil && er.holdsKey() && !er.resigned && !er.tokenUsed() && !er.abstaining()
}

// holdsKey reports whether this node holds the leader's key under its present lease. The caller holds the lock.
func (er *Elector) holdsKey() bool {
	return er.leaderRevision > 0 && er.leader.Nonce == er.nonce && er.lease != 0
}

// tokenUsed reports whether a term has begun under the leader's key. Each token is used for one term only: a
// second term would find the keys of its records already written and take the records of the first for its own.
// The caller holds the lock.
func (er *Elector) tokenUsed() bool { return er.latest != nil && er.latest.token == er.leaderRevision }

// maxVacancy is how long an abstaining node waits for others to take over: if all of them abstain, there would be
// no planner. A node that does not abstain takes over within deferTime and the time of a candidacy.
const maxVacancy = 2 * time.Second

// abstaining reports whether the node leaves the election to others, as long as there are any that take over. The
// caller holds the lock.
func (er *Elector) abstaining() bool {
	now := er.clock.Now()
	return now.Before(er.abstainUntil) && len(er.members) > 1 && now.Sub(er.vacantSince) < maxVacancy
}

// unusedKey returns the token of a leader's key that this node holds without being the planner and will not use,
// or 0. The key is kept while Lead of the last term may still write, for at most half of the lease's TTL. The
// caller holds the lock.
func (er *Elector) unusedKey() uint64 {
	if !er.holdsKey() || er.current != nil || !er.tokenUsed() && !er.abstaining() {
		return 0
	}
	if er.latest != nil && !er.latest.finished() && er.clock.Since(er.latest.endedAt) < er.opts.TTL/2 {
		return 0
	}
	return er.leaderRevision
}

// releaseKey removes the leader's key if this node holds it and is not the planner. Each step checks this,
// whatever ended the term: the key exists as long as the lease is renewed, and without a planner no other event
// triggers the check. If the key cannot be removed, the lease is left to expire, so that another node can take
// over after one and a half times its TTL.
func (er *Elector) releaseKey(ctx context.Context) {
	er.mu.Lock()
	token, lease := er.unusedKey(), er.lease
	er.mu.Unlock()
	if token == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, er.opts.TTL/2)
	defer cancel()
	revision, items, err := er.store.CommitWithRetry(call, kv.CommitOptions{Clock: er.clock, HedgeDelay: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: token}},
		Deletes:    []string{joblog.Leader},
	})
	switch {
	case err == nil:
		er.onChange([]kv.Item{{Key: joblog.Leader, Revision: revision, Deleted: true}}, false)
	case errors.Is(err, kv.ErrConflict):
		er.onChange(items, false)
	case ctx.Err() == nil:
		er.dropLease(lease, "the leader's key could not be removed: "+err.Error())
	}
}

// beginTerm begins a term if this node holds the leader's key and its lease.
func (er *Elector) beginTerm() {
	er.mu.Lock()
	defer er.mu.Unlock()
	if !er.mayBeginTerm() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	rt := &runningTerm{
		token: er.leaderRevision, lease: er.lease, cancel: cancel, done: make(chan struct{}),
		beganAt: er.clock.Now(), grantedAt: er.grantedAt, previous: er.leader.Previous, renewalsKnown: make(chan struct{}),
	}
	previous := er.latest
	er.current, er.latest = rt, rt
	er.log.Info("This node became the planner.", "token", rt.token, "reign", er.leader.Number)
	arg := Term{
		Token: rt.token, Number: er.leader.Number, Previous: er.previous(er.leader),
		SinceRenewal:   func() time.Duration { return er.sinceRenewal(rt) },
		MayRenewLeases: func() bool { return er.mayRenewLeases(rt) }, RenewalsEnd: er.worstRenewalsEnd(rt),
		AwaitRenewalsEnd: func(ctx context.Context) (time.Time, bool) { return er.awaitRenewalsEnd(ctx, rt) },
		LeaseHeld:        func() bool { return er.sinceRenewal(rt) < er.opts.TTL },
		StepDown:         er.stepDown,
		Yield:            func(reason string) { er.yield(reason, abstainTime) },
	}
	go er.readGraceRecord(ctx, rt)
	go func() {
		defer er.wake.Notify() // this node may still hold the leader's key
		defer close(rt.done)
		if previous != nil {
			<-previous.done
		}
		er.opts.Lead(ctx, arg)
	}()
}

// neverRenewed is returned by sinceRenewal for a term that has ended.
const neverRenewed time.Duration = math.MaxInt64

// sinceRenewal returns the time since the last confirmed renewal of the lease of a term was sent. A term that has
// ended has none, even if the node holds a lease.
func (er *Elector) sinceRenewal(rt *runningTerm) time.Duration {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.current != rt || er.lease != rt.lease {
		return neverRenewed
	}
	return er.clock.Since(er.renewedAt)
}

// stepDown ends the current term. It does not wait for Lead to return, because the callers must go on to follow
// the members' keys and to renew the lease. The next term waits for Lead instead.
func (er *Elector) stepDown(reason string) {
	er.mu.Lock()
	rt := er.current
	er.mu.Unlock()
	if rt != nil {
		er.endTerm(rt, reason)
	}
}

// endTerm ends rt if it is still the current term; otherwise it does nothing.
func (er *Elector) endTerm(rt *runningTerm, reason string) {
	er.mu.Lock()
	current := er.current == rt
	if current {
		er.current = nil
		rt.endedAt = er.clock.Now()
	}
	er.mu.Unlock()
	if !current {
		return
	}
	er.log.Info("This node is no longer the planner.", "token", rt.token, "reason", reason)
	rt.cancel()
	er.wake.Notify()
}

// stop ends the term and waits until Lead has returned, since it may still write its last records.
func (er *Elector) stop(ctx context.Context, reason string) {
	er.stepDown(reason)
	er.mu.Lock()
	rt := er.latest
	er.mu.Unlock()
	if rt == nil {
		return
	}
	select {
	case <-rt.done:
	case <-ctx.Done():
	}
}

// abstainTime is how long a node that was too slow to plan is not a candidate.
const abstainTime = 10 * time.Second

// yield ends the current term in favour of another node, if there is one. This node is not a candidate for a time;
// the next step removes the leader's key.
func (er *Elector) yield(reason string, abstainTime time.Duration) {
	er.mu.Lock()
	token, alone := er.leaderRevision, len(er.members) < 2
	rt := er.current
	isPlanner := rt != nil && rt.token == token
	if isPlanner && !alone {
		er.abstainUntil = er.clock.Now().Add(abstainTime)
	}
	er.mu.Unlock()
	if !isPlanner || alone {
		return
	}
	er.endTerm(rt, reason)
}
