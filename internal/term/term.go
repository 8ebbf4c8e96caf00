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

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/wake"
)

// Options of a term.
type Options struct {
	Node     string
	PeerAddr string
	Hall     string
	// Processors is the node's share of a core; nodes with much less than others leave
	// the planner's place to them.
	Processors float64
	// Link is the bandwidth of the node's link in Mbit/s.
	Link float64
	// ReadRate is the store's rate of reading calls for all nodes, a second; 0 where it is not known.
	ReadRate float64
	// TTL of the lease: a planner that dies is replaced after that.
	TTL time.Duration
	// OnBacklog is called with how far the planner is behind, each time it says so;
	// nil where nobody wants to know. It must not call back.
	OnBacklog func(behind joblog.BacklogSize)
	// Lead is run while this node is the planner; it ends when its context does.
	Lead func(ctx context.Context, reign Term)
}

// Term is one node's time as the planner.
type Term struct {
	// Token is the fencing token.
	Token uint64
	// Number counts the planners of the cell, from 1.
	Number int
	// LeaseHeld reports whether the reign goes on and its lease surely holds.
	LeaseHeld func() bool
	// SinceRenewal is how long ago the last renewal that was answered was sent; after the
	// reign's end it is longer than any time.
	SinceRenewal func() time.Duration
	// StepDown ends the reign, for a reason that the log gets.
	StepDown func(reason string)
	// Yield does so for another node to plan, where there is one.
	Yield func(reason string)
}

// watchWait is how long a watch of the members may stay without an answer: a watch
// that the network has dropped is noticed after that and a second.
const watchWait = 2 * time.Second

// Elector is one node's membership and candidacy.
type Elector struct {
	opts   Options
	clock  clockwork.Clock
	log    logr.Logger
	store  *kv.Store
	mirror *mirror.Mirror
	wake   wake.Signal

	mu      sync.Mutex
	members map[string]joblog.Member
	leader  joblog.Election
	// leaderAt is the revision of the leader's key, 0 where there is no leader.
	leaderAt uint64
	loaded   bool
	// vacated is when the planner's place was last seen to become free.
	vacated time.Time
	// highest is the highest number of a reign seen.
	highest int
	lease   uint64
	ttl     time.Duration
	proof   time.Time
	// attempt is when the last renewal was sent, renewing counts those without answer.
	attempt  time.Time
	renewing int
	// nonce tells this node's candidacies from those on its earlier leases.
	nonce  string
	listed bool
	// retry gives the pauses between tries to join, relist is when the node's key may be written again.
	retry  kv.Backoff
	relist time.Time
	// crowded is when the node asks for a longer lease, since it learned of many others; zero before that.
	crowded  time.Time
	resigned bool
	// abstains is until when the node is no candidate.
	abstains time.Time
	// gaveWay is when it last gave the planner's place up to a stronger node.
	gaveWay time.Time
	reign   *reign
	// latest is the last reign that began, ended or not.
	latest *reign
}

// reign is the planner's work that runs, with its end.
type reign struct {
	token uint64
	// lease is the one that the leader's key is on.
	lease  uint64
	cancel context.CancelFunc
	done   chan struct{}
	// deposed is when the reign was told to end.
	deposed time.Time
}

// over reports whether the work has ended.
func (rg *reign) over() bool {
	select {
	case <-rg.done:
		return true
	default:
		return false
	}
}

// New returns a node that is no member yet.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Elector {
	tm := &Elector{
		opts: opts, clock: clock, log: log.WithName("term"), store: st,
		wake: wake.New(), members: map[string]joblog.Member{}, nonce: newNonce(),
	}
	tm.mirror = mirror.New(clock, log, st, mirror.Options{
		Prefix: joblog.Members, Wait: watchWait, PauseFunc: tm.pace, OnChange: tm.changed,
	})
	return tm
}

func newNonce() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

// Leader returns who the planner is, and false where none is known.
func (tm *Elector) Leader() (joblog.Election, bool) {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	return tm.leader, tm.leaderAt > 0
}

// Leading reports whether this node is the planner.
func (tm *Elector) Leading() bool {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	return tm.reign != nil
}

// Members returns the nodes that are listed.
func (tm *Elector) Members() []joblog.Member {
	tm.mu.Lock()
	defer tm.mu.Unlock()
	list := make([]joblog.Member, 0, len(tm.members))
	for _, mb := range tm.members {
		list = append(list, mb)
	}
	return list
}

// Run keeps the membership until the context ends.
func (tm *Elector) Run(ctx context.Context) {
	go tm.mirror.Run(ctx)
	for ctx.Err() == nil {
		pause := tm.step(ctx)
		select {
		case <-ctx.Done():
		case <-tm.wake:
		case <-tm.clock.After(pause):
		}
	}
	tm.stop(context.WithoutCancel(ctx), "node ends")
}

// Resign ends a reign in order and takes the node off the members' list.
func (tm *Elector) Resign(ctx context.Context) {
	tm.mu.Lock()
	tm.resigned = true
	lease := tm.lease
	tm.mu.Unlock()
	tm.stop(ctx, "node stops")
	if lease == 0 {
		return
	}
	if err := tm.store.Revoke(ctx, lease); err != nil {
		tm.log.Info("Lease could not be ended; it runs out.", "reason", err.Error())
	}
}

// step does what is due and returns when to look again.
func (tm *Elector) step(ctx context.Context) time.Duration {
	tm.mu.Lock()
	resigned, lease := tm.resigned, tm.lease
	tm.mu.Unlock()
	switch {
	case resigned:
		return tm.opts.TTL
	case lease == 0:
		return tm.join(ctx)
	}
	if tm.lengthens() {
		return tm.join(ctx) // the present lease runs out
	}
	tm.renew(ctx)
	tm.layDown(ctx)
	tm.campaign(ctx)
	return tm.untilNext()
}
