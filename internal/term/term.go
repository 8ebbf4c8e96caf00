// Package term makes a node a member of its deployment and, where there is no
// planner, elects one. Both rest on one lease of the store.
//
// A term's fencing token is the revision of the leader's key: it rises with each
// election. A planner learns that its term is over from the lease, from the watch,
// or from a worker that has seen a later token.
package term

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/mirror"
)

// Options of a term.
type Options struct {
	Node  string
	Peers string
	Hall  string
	// TTL of the lease: a planner that dies is replaced after that.
	TTL time.Duration
	// Lead is run while this node is the planner; it ends when its context does.
	Lead func(ctx context.Context, reign Reign)
}

// Reign is one node's time as the planner.
type Reign struct {
	// Token is the fencing token.
	Token uint64
	// Number counts the planners of the cell, from 1.
	Number int
	// Proven reports whether the lease surely holds.
	Proven func() bool
	// SinceProof is how long ago the last renewal that was answered was sent.
	SinceProof func() time.Duration
	// Depose ends the reign, for a reason that the log gets.
	Depose func(reason string)
	// Yield does so for another node to plan, where there is one.
	Yield func(reason string)
}

// How renewals are spread over the lease's time.
const (
	// renewals is how many fit into it while they are answered.
	renewals = 3
	// retries is how many fit into it while they are not.
	retries = 8
	// maxRenewing is the most that may be open at once.
	maxRenewing = 6
)

// watchWait is how long a watch of the members may stay without an answer: a watch
// that the network has dropped is noticed after that and a second.
const watchWait = 2 * time.Second

// Term is one node's membership and candidacy.
type Term struct {
	opts   Options
	clock  clockwork.Clock
	log    logr.Logger
	store  *kv.Store
	mirror *mirror.Mirror
	wake   chan struct{}

	mu      sync.Mutex
	members map[string]joblog.Member
	leader  joblog.Election
	// leaderAt is the revision of the leader's key, 0 where there is no leader.
	leaderAt uint64
	loaded   bool
	// highest is the highest number of a reign seen.
	highest int
	lease   uint64
	ttl     time.Duration
	proof   time.Time
	// attempt is when the last renewal was sent, renewing counts those without answer.
	attempt  time.Time
	renewing int
	// nonce tells this node's candidacies from those of its earlier incarnations.
	nonce    string
	listed   bool
	resigned bool
	// abstains is until when the node is no candidate.
	abstains time.Time
	reign    *reign
	// latest is the last reign that began, ended or not.
	latest *reign
}

// reign is the planner's work that runs, with its end.
type reign struct {
	token  uint64
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a node that is no member yet.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Term {
	const base = 36
	tm := &Term{
		opts: opts, clock: clock, log: log.WithName("term"), store: st,
		wake: make(chan struct{}, 1), members: map[string]joblog.Member{},
		nonce: strconv.FormatUint(rand.Uint64(), base),
	}
	tm.mirror = mirror.New(clock, log, st, mirror.Options{
		Prefix: joblog.Members, Wait: watchWait, Changed: tm.changed,
	})
	return tm
}

// Leader returns who the planner is, and false where none is known.
func (tm *Term) Leader() (joblog.Election, bool) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	return tm.leader, tm.leaderAt > 0
}

// Leading reports whether this node is the planner.
func (tm *Term) Leading() bool {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	return tm.reign != nil
}

// Members returns the nodes that are listed.
func (tm *Term) Members() []joblog.Member {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	list := make([]joblog.Member, 0, len(tm.members))
	for _, mb := range tm.members {
		list = append(list, mb)
	}
	return list
}

// Run keeps the membership until the context ends.
func (tm *Term) Run(ctx context.Context) {
	go tm.mirror.Run(ctx)
	for ctx.Err() == nil {
		pause := tm.step(ctx)
		select {
		case <-ctx.Done():
		case <-tm.wake:
		case <-tm.clock.After(pause):
		}
	}
	tm.depose("node ends")
}

// Resign ends a reign in order and takes the node off the members' list.
func (tm *Term) Resign(ctx context.Context) {
	tm.mu.Lock()
	tm.resigned = true
	lease := tm.lease
	tm.mu.Unlock()
	tm.depose("node stops")
	if lease == 0 {
		return
	}
	if err := tm.store.End(ctx, lease); err != nil {
		tm.log.Info("Lease could not be ended; it runs out.", "reason", err.Error())
	}
}

// step does what is due and returns when to look again.
func (tm *Term) step(ctx context.Context) time.Duration {
	tm.mu.Lock()
	resigned, lease := tm.resigned, tm.lease
	tm.mu.Unlock()
	switch {
	case resigned:
		return tm.opts.TTL
	case lease == 0:
		return tm.join(ctx)
	}
	tm.renew(ctx)
	tm.campaign(ctx)
	return tm.untilRenewal()
}

// retryPause is the pause after a call of the store that failed.
const retryPause = 100 * time.Millisecond

// grantTimeout bounds the wait for a lease; a slow store answers in 0.25 s.
const grantTimeout = 400 * time.Millisecond

// join gets a lease and lists the node.
func (tm *Term) join(ctx context.Context) time.Duration {
	sent := tm.clock.Now()
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	lease, err := tm.store.Grant(call, tm.opts.TTL)
	if err != nil {
		return retryPause
	}
	tm.mu.Lock()
	tm.lease, tm.proof, tm.ttl, tm.listed = lease, sent, tm.opts.TTL, false
	tm.mu.Unlock()
	tm.log.Info("Lease granted.", "lease", lease)
	tm.list(ctx)
	tm.campaign(ctx)
	return tm.untilRenewal()
}

// listTimeout bounds the writing of the node's key; it is tried again at each step.
const listTimeout = 150 * time.Millisecond

// list writes the node's key.
func (tm *Term) list(ctx context.Context) {
	raw, err := joblog.Encode(joblog.Member{Node: tm.opts.Node, Peers: tm.opts.Peers, Hall: tm.opts.Hall})
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
	if errors.Is(err, kv.ErrLeaseGone) {
		tm.dropLease("store does not know it")
		return
	}
	if err != nil {
		tm.log.Info("Node could not be listed yet.", "reason", err.Error())
		return
	}
	tm.mu.Lock()
	tm.listed = true
	tm.mu.Unlock()
}

// renew sends a renewal of the lease when one is due. It does not wait: an answer may
// be lost, and others sent after it still come in time.
func (tm *Term) renew(ctx context.Context) {
	tm.mu.Lock()
	lease, due, listed := tm.lease, tm.nextRenewal(), tm.listed
	sent := tm.clock.Now()
	send := !sent.Before(due) && tm.renewing < maxRenewing
	if send {
		tm.renewing++
		tm.attempt = sent
	}
	tm.mu.Unlock()
	if !listed {
		tm.list(ctx)
	}
	if send {
		go tm.keep(ctx, lease, sent)
	}
}

// keep sends one renewal and takes its outcome in.
func (tm *Term) keep(ctx context.Context, lease uint64, sent time.Time) {
	call, cancel := context.WithTimeout(ctx, tm.opts.TTL)
	defer cancel()
	err := tm.store.Keep(call, lease)
	tm.mu.Lock()
	tm.renewing--
	same := tm.lease == lease
	if err == nil && same && sent.After(tm.proof) {
		tm.proof = sent
	}
	tm.mu.Unlock()
	if errors.Is(err, kv.ErrLeaseGone) && same {
		tm.dropLease("it ran out")
	}
	tm.kick()
}

// nextRenewal is when the next renewal is to be sent: a third of the lease's time
// after the last that was answered, and soon after one that was not. The caller holds
// the lock.
func (tm *Term) nextRenewal() time.Time {
	due := tm.proof.Add(tm.ttl / renewals)
	if again := tm.attempt.Add(tm.ttl / retries); again.After(due) {
		return again
	}
	return due
}

// dropLease forgets a lease that is over, and the reign that rested on it.
func (tm *Term) dropLease(reason string) {
	tm.mu.Lock()
	tm.lease = 0
	tm.mu.Unlock()
	tm.log.Info("Lease is over.", "reason", reason)
	tm.mirror.Refresh() // the leader's key may be gone as well, and the watch may be dead
	tm.depose("lease is over: " + reason)
}

// untilRenewal returns the time until the next renewal is due.
func (tm *Term) untilRenewal() time.Duration {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.lease == 0 {
		return retryPause
	}
	return max(tm.nextRenewal().Sub(tm.clock.Now()), time.Millisecond)
}

// campaignHedge is how long a candidacy may be without an answer before it is sent
// again: the store answers in 4 ms.
const campaignHedge = 60 * time.Millisecond

// campaign takes the leader's key where nobody has it.
func (tm *Term) campaign(ctx context.Context) {
	tm.mu.Lock()
	vacant := tm.loaded && tm.leaderAt == 0 && tm.lease != 0 && !tm.resigned && !tm.clock.Now().Before(tm.abstains)
	el := joblog.Election{Node: tm.opts.Node, Peers: tm.opts.Peers, Number: tm.highest + 1, Nonce: tm.nonce}
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
	revision, items, err := tm.store.Settle(call, kv.Settling{Clock: tm.clock, Hedge: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader}},
		Puts: []kv.Put{
			{Key: joblog.Leader, Value: raw, Lease: lease},
			{Key: joblog.Reigns, Value: []byte(strconv.Itoa(el.Number))},
		},
	})
	switch {
	case err == nil:
		tm.changed([]kv.Item{{Key: joblog.Leader, Value: raw, Revision: revision}}, false)
	case errors.Is(err, kv.ErrConflict):
		tm.changed(items, false)
	case errors.Is(err, kv.ErrLeaseGone):
		tm.dropLease("store does not know it")
	default:
		tm.log.Info("Election is open; the watch will tell.", "reason", err.Error())
	}
}

// changed takes in changes of the members' keys.
func (tm *Term) changed(items []kv.Item, reset bool) {
	tm.mu.Lock()
	for _, item := range items {
		tm.take(item)
	}
	tm.loaded = tm.loaded || reset
	tm.mu.Unlock()
	tm.follow()
	tm.kick()
}

func (tm *Term) kick() {
	select {
	case tm.wake <- struct{}{}:
	default:
	}
}

func (tm *Term) take(item kv.Item) {
	switch {
	case item.Key == joblog.Reigns:
		if number, err := strconv.Atoi(string(item.Value)); err == nil {
			tm.highest = max(tm.highest, number)
		}
	case item.Key == joblog.Leader:
		tm.takeLeader(item)
	case item.Gone:
		delete(tm.members, item.Key)
		tm.listed = tm.listed && item.Key != joblog.Nodes+tm.opts.Node
	default:
		var mb joblog.Member
		if err := joblog.Decode(item.Value, &mb); err != nil {
			tm.log.Error(err, "A member's key cannot be read.", "key", item.Key)
			return
		}
		tm.members[item.Key] = mb
	}
}

func (tm *Term) takeLeader(item kv.Item) {
	if item.Gone || item.Revision == 0 {
		if item.Revision == 0 || item.Revision >= tm.leaderAt {
			tm.leaderAt = 0
		}
		return
	}
	if item.Revision < tm.leaderAt {
		return // an older answer came late
	}
	var el joblog.Election
	if err := joblog.Decode(item.Value, &el); err != nil {
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
func (tm *Term) follow() {
	tm.mu.Lock()
	mine := tm.leaderAt > 0 && tm.leader.Nonce == tm.nonce && tm.lease != 0 && !tm.resigned &&
		!tm.clock.Now().Before(tm.abstains)
	reigns := tm.reign != nil && mine && tm.reign.token == tm.leaderAt
	tm.mu.Unlock()
	if reigns {
		return
	}
	tm.depose("another planner was elected, or none")
	if mine {
		tm.begin()
	}
}

func (tm *Term) begin() {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	if tm.reign != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	rg := &reign{token: tm.leaderAt, cancel: cancel, done: make(chan struct{})}
	before := tm.latest
	tm.reign, tm.latest = rg, rg
	tm.log.Info("This node plans.", "token", rg.token, "reign", tm.leader.Number)
	arg := Reign{
		Token: rg.token, Number: tm.leader.Number, SinceProof: tm.sinceProof,
		Proven: func() bool { return tm.sinceProof() < tm.opts.TTL },
		Depose: func(reason string) { go tm.depose(reason) },
		Yield:  func(reason string) { go tm.yield(reason) },
	}
	go func() {
		defer close(rg.done)
		if before != nil {
			<-before.done
		}
		tm.opts.Lead(ctx, arg)
	}()
}

func (tm *Term) sinceProof() time.Duration {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	return tm.clock.Since(tm.proof)
}

// depose ends the reign and waits until its work has ended.
func (tm *Term) depose(reason string) {
	tm.mu.Lock()
	rg := tm.reign
	tm.reign = nil
	tm.mu.Unlock()
	if rg == nil {
		return
	}
	tm.log.Info("This node plans no longer.", "token", rg.token, "reason", reason)
	rg.cancel()
	<-rg.done
}

// abstain is how long a node is no candidate after it gave the planner's place up.
const abstain = 10 * time.Second

// yield gives the planner's place up for another node, where there is one.
func (tm *Term) yield(reason string) {
	tm.mu.Lock()
	token, alone := tm.leaderAt, len(tm.members) < 2
	mine := tm.reign != nil && tm.reign.token == token
	if mine && !alone {
		tm.abstains = tm.clock.Now().Add(abstain)
	}
	tm.mu.Unlock()
	if !mine || alone {
		return
	}
	tm.depose(reason)
	ctx, cancel := context.WithTimeout(context.Background(), tm.opts.TTL)
	defer cancel()
	_, _, err := tm.store.Settle(ctx, kv.Settling{Clock: tm.clock, Hedge: campaignHedge}, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: token}},
		Removes:    []string{joblog.Leader},
	})
	if err != nil {
		tm.log.Info("The leader's key could not be removed.", "reason", err.Error())
	}
}
