// Package term registers a node as a member of its deployment and elects a planner where there is none. Both
// depend on one lease of the store.
//
// A term's fencing token is the revision of the leader's key, which rises with each election. A planner learns
// that its term is over from the lease, from the watch, or from a worker that has seen a later token.
package term

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/wake"
)

// Options configure an Elector.
type Options struct {
	Node     string
	PeerAddr string
	Hall     string
	// Processors is the number of cores that the node may use, 0 if unknown. Nodes with much less CPU than others do
	// not stand for election as long as a stronger node can take over.
	Processors float64
	// Link is the bandwidth of the node's link in Mbit/s.
	Link float64
	// ReadRate is the store's limit for read calls per second, shared by all nodes; 0 if unknown.
	ReadRate float64
	// TTL is the time to live of the lease: a planner that dies is replaced after that time.
	TTL time.Duration
	// OnBacklog is called with the planner's backlog each time the planner reports it; it may be nil. It must not
	// call the Elector.
	OnBacklog func(backlog joblog.BacklogSize)
	// RequestGrace asks another node to permit the planner of a term to renew the leases of workers (see GrantGrace). It
	// returns nil if the node does. Without it no node does.
	RequestGrace func(ctx context.Context, of joblog.Member, token uint64) error
	// RequestPermissionsLeft asks another node for how much longer planners before a term can use its permissions (see
	// PermissionsLeft). Without it no node is asked.
	RequestPermissionsLeft func(ctx context.Context, of joblog.Member, token uint64) (time.Duration, error)
	// Lead runs while this node is the planner; it must return when its context ends.
	Lead func(ctx context.Context, term Term)
}

// Term is the period during which one node is the planner.
type Term struct {
	// Token is the fencing token.
	Token uint64
	// Number counts the terms of the cell, from 1.
	Number int
	// Previous is the term before.
	Previous Previous
	// LeaseHeld reports whether the term is current and its lease surely has not expired.
	LeaseHeld func() bool
	// SinceRenewal returns the time since the last confirmed renewal of the lease was sent; once the term has ended
	// it returns the maximum duration.
	SinceRenewal func() time.Duration
	// MayRenewLeases reports whether leases of workers may be renewed now.
	MayRenewLeases func() bool
	// RenewalsEnd is the latest time at which earlier planners can have renewed leases of workers, whatever permissions they
	// had. AwaitRenewalsEnd returns an earlier bound once it is known which ones they can have had, or false if the context
	// ends first.
	RenewalsEnd      time.Time
	AwaitRenewalsEnd func(ctx context.Context) (time.Time, bool)
	// StepDown ends the term; the reason is logged.
	StepDown func(reason string)
	// Yield ends the term so that another node can become the planner. It does nothing if there is no other node.
	Yield func(reason string)
}

// Previous identifies the term before another one.
type Previous struct {
	// Token is its fencing token, 0 if there was none.
	Token uint64
	// Node is the node that led it, empty if this node does not know that, and PeerAddr its address.
	Node, PeerAddr string
	// SeenAt is when this node learned of its election.
	SeenAt time.Time
}

// watchWait is how long a watch of the members may stay without an answer. A watch that the network has dropped is
// noticed half a second after that. The planner's watch is answered sooner, since the age of its copy limits for how long
// it may go on without the store (maxMembersAge).
const (
	watchWait        = 2 * time.Second
	plannerWatchWait = time.Second
)

// memberWatchWait returns how long the next watch of the members may stay without an answer.
func (er *Elector) memberWatchWait() time.Duration {
	if er.Leading() {
		return plannerWatchWait
	}
	return watchWait
}

// Elector holds one node's membership and takes part in the election of the planner.
type Elector struct {
	opts   Options
	clock  clockwork.Clock
	log    logr.Logger
	store  *kv.Store
	mirror *mirror.Mirror
	wake   wake.Signal

	mu sync.Mutex
	// startedAt is when Run was called: nothing that another process of this node did is later.
	startedAt time.Time
	members   map[string]joblog.Member
	// membersVersion counts the changes of members.
	membersVersion int
	// memberRevisions has the revisions of all members' keys, also of those that cannot be decoded.
	memberRevisions map[string]uint64
	leader          joblog.Election
	// leaderRevision is the revision of the leader's key, 0 if there is no leader.
	leaderRevision uint64
	loaded         bool
	// vacantSince is when this node last learned that there is no planner.
	vacantSince time.Time
	// highestNumber is the highest term number seen, latestToken the token of the latest term, which is the revision of
	// the number's key.
	highestNumber int
	latestToken   uint64
	// elections are the latest elections seen.
	elections []seenElection
	lease     uint64
	ttl       time.Duration
	renewedAt time.Time
	// grantedAt is when the grant of the lease was answered, registeredAt when the node's key was last written under it.
	grantedAt, registeredAt time.Time
	// gracedAt is when this node last permitted a planner to renew the leases of workers.
	gracedAt time.Time
	// gracelessBefore is the token of a later term whose planner relies on that this node permits nothing to earlier ones.
	gracelessBefore uint64
	// lastSent is when the last renewal was sent, pendingRenewals the number of renewals without an answer.
	lastSent        time.Time
	pendingRenewals int
	// nonce distinguishes this node's candidacies from those under its earlier leases.
	nonce string
	// registered is set while the node's key is in the store, registering while it is being written.
	registered, registering bool
	// retry computes the pauses between attempts to join, registerRetry those between refused attempts to write the
	// node's key; registerAfter is the earliest time at which that is written again, unansweredRegistrations how many
	// attempts in a row got no answer.
	retry, registerRetry    kv.Backoff
	registerAfter           time.Time
	unansweredRegistrations int
	// extendAt is when the node requests a longer lease because there are many nodes; zero if no longer lease is
	// needed.
	extendAt time.Time
	resigned bool
	// abstainUntil is until when the node is not a candidate.
	abstainUntil time.Time
	// lastYield is when this node last yielded to a stronger one.
	lastYield time.Time
	current   *runningTerm
	// latest is the most recent term, whether it has ended or not.
	latest *runningTerm
}

// runningTerm is the state of a term for which Lead was started.
type runningTerm struct {
	token uint64
	// lease is the lease that the leader's key is bound to.
	lease  uint64
	cancel context.CancelFunc
	done   chan struct{}
	// endedAt is when the term was ended; Lead may still be running.
	endedAt time.Time
	// graceFrom is when the last permission of all nodes was requested, graceRequestedAt when the last request was sent,
	// whatever its outcome. requestsGrace is set while one is under way.
	graceFrom, graceRequestedAt time.Time
	requestsGrace               bool
	// beganAt is when the term began, grantedAt when its lease was granted, previous the token of the term before.
	beganAt, grantedAt time.Time
	previous           uint64
	// renewalsEnd is the latest time at which earlier planners can have renewed leases of workers. It is set before
	// renewalsKnown is closed.
	renewalsEnd   time.Time
	renewalsKnown chan struct{}
	record        graceRecord
	// graceRefused is the outcome that was last logged, graceLogged when that was.
	graceRefused bool
	graceLogged  time.Time
}

// seenElection is an election with the time at which this node learned of it.
type seenElection struct {
	joblog.Election
	token uint64
	at    time.Time
}

// finished reports whether Lead has returned.
func (rt *runningTerm) finished() bool {
	select {
	case <-rt.done:
		return true
	default:
		return false
	}
}

// New returns an elector whose node is not a member yet; Run registers it.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Elector {
	er := &Elector{
		opts: opts, clock: clock, log: log.WithName("term"), store: st,
		wake: wake.New(), members: map[string]joblog.Member{}, memberRevisions: map[string]uint64{}, nonce: newNonce(),
	}
	er.mirror = mirror.New(clock, log, st, mirror.Options{
		Prefix: joblog.Members, WaitFunc: er.memberWatchWait, PauseFunc: er.memberReadInterval, OnChange: er.onChange,
	})
	return er
}

func newNonce() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

// Leader returns the current planner, or false if none is known.
func (er *Elector) Leader() (joblog.Election, bool) {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.leader, er.leaderRevision > 0
}

// Planner returns the token of the current planner's term and when this node learned of its election. The token is 0 if
// no planner is known.
func (er *Elector) Planner() (token uint64, electedAt time.Time) {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.leaderRevision == 0 {
		return 0, time.Time{}
	}
	for _, el := range er.elections {
		if el.token == er.leaderRevision {
			electedAt = el.at
		}
	}
	return er.leaderRevision, electedAt
}

// Leading reports whether this node is the planner.
func (er *Elector) Leading() bool {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.current != nil
}

// Members returns the registered nodes.
func (er *Elector) Members() []joblog.Member {
	er.mu.Lock()
	defer er.mu.Unlock()
	list := make([]joblog.Member, 0, len(er.members))
	for _, mb := range er.members {
		list = append(list, mb)
	}
	return list
}

// Run maintains the membership until the context ends.
func (er *Elector) Run(ctx context.Context) {
	er.mu.Lock()
	er.startedAt = er.clock.Now()
	er.mu.Unlock()
	go er.mirror.Run(ctx)
	for ctx.Err() == nil {
		pause := er.step(ctx)
		select {
		case <-ctx.Done():
		case <-er.wake:
		case <-er.clock.After(pause):
		}
	}
	er.stop(context.WithoutCancel(ctx), "process exits")
}

// Resign ends this node's term, if any, and removes the node from the list of members.
func (er *Elector) Resign(ctx context.Context) {
	er.mu.Lock()
	er.resigned = true
	lease := er.lease
	er.mu.Unlock()
	er.stop(ctx, "node shuts down")
	if lease == 0 {
		return
	}
	if err := er.store.Revoke(ctx, lease); err != nil {
		er.log.Info("Lease could not be revoked and will expire.", "reason", err.Error())
	}
}

// step performs the actions that are due and returns the time until the next step.
func (er *Elector) step(ctx context.Context) time.Duration {
	er.mu.Lock()
	resigned, lease := er.resigned, er.lease
	er.mu.Unlock()
	switch {
	case resigned:
		return er.opts.TTL
	case lease == 0:
		return er.join(ctx)
	}
	if er.shouldExtendLease() {
		return er.join(ctx) // the present lease expires on its own
	}
	er.renew(ctx)
	er.recordGrace(ctx)
	er.requestGrace(ctx)
	er.releaseKey(ctx)
	er.campaign(ctx)
	return er.untilNext()
}
