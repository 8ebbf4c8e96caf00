// Package router finds the node that serves a request: the owner for a lookup, the home for a workspace's jobs. A
// request is forwarded at most once.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/member"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// maxOwners is the maximum number of owners that one lookup is sent to in one round.
const maxOwners = 3

// Times of the calls to homes. A long call is divided into several, so that after a call to a failed node the next one
// reaches its successor.
const (
	homeRetryPause  = 50 * time.Millisecond
	homeCallTimeout = 4 * time.Second
	maxHomeWait     = 2 * time.Second
)

// Times of retries while workers move between owners.
const (
	moveTimeout   = 2 * time.Second
	movePollPause = 10 * time.Millisecond
)

// CounterForwarded counts the lookups that were sent to another node.
const CounterForwarded = "lookups_forwarded"

// Local contains the functions of this node's own owner and home.
type Local struct {
	Load   func() (ledger.Load, int)
	Lookup func(context.Context, nodemsg.Lookup) (nodemsg.Answer, error)
	Submit func(context.Context, nodemsg.Submit) (nodemsg.JobView, error)
	Get    func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error)
	Cancel func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error)
}

// Router sends each request to the owner or home that serves it.
type Router struct {
	clock  clockwork.Clock
	member *member.Member
	peer   *peer.Peer
	meter  *meter.Meter
	local  Local

	mu sync.Mutex
	// remoteLookups contains the functions that cancel the lookups in progress on each other node.
	remoteLookups map[string]map[uint64]context.CancelFunc
}

func New(
	clock clockwork.Clock, mb *member.Member, pr *peer.Peer, mt *meter.Meter, local Local,
) *Router {
	rt := &Router{
		clock: clock, member: mb, peer: pr, meter: mt, local: local,
		remoteLookups: map[string]map[uint64]context.CancelFunc{},
	}
	mb.OnUnreachable(rt.cancelLookups)
	return rt
}

// target is an owner that a lookup may be sent to.
type target struct {
	name      string
	addr      string
	hall      string
	freeSlots int
	workers   int
}

// Lookup sends a lookup to an owner with a free slot and returns its answer. If an owner refuses without having started
// it, another one is tried. While workers move between owners there may temporarily be no owner; then it retries.
func (rt *Router) Lookup(ctx context.Context, req nodemsg.Lookup) (nodemsg.Answer, error) {
	now := rt.clock.Now()
	deadline := now.Add(req.Budget)
	giveUpAt := now.Add(min(req.Budget, moveTimeout))
	for {
		an, err := rt.tryOwners(ctx, req, deadline)
		er := fault.From(err)
		if err == nil || er.Kind != fault.Unavailable || er.MayHaveRun {
			return an, err
		}
		if !rt.clock.Now().Before(giveUpAt) || ctx.Err() != nil {
			return an, fault.New(fault.Full, "%s; not run", er.Message).WithRetryAfter(time.Second)
		}
		rt.clock.Sleep(movePollPause)
	}
}

// tryOwners sends the lookup to up to three owners.
func (rt *Router) tryOwners(
	ctx context.Context, req nodemsg.Lookup, deadline time.Time,
) (nodemsg.Answer, error) {
	tried := map[string]bool{}
	last := error(fault.New(fault.Unavailable, "no worker accepts lookups now"))
	for range maxOwners {
		tg, ok := rt.choose(tried)
		if !ok {
			break
		}
		tried[tg.name] = true
		req.Budget = deadline.Sub(rt.clock.Now())
		if req.Budget <= 0 {
			break
		}
		an, err := rt.serve(ctx, tg, req)
		if err == nil && an.ID != req.ID {
			err = fault.New(fault.Unavailable, "node %s answered a different lookup", tg.name).MarkMayHaveRun()
		}
		if err == nil {
			return an, nil
		}
		last = err
		if fault.From(err).MayHaveRun || ctx.Err() != nil {
			break
		}
	}
	return nodemsg.Answer{}, last
}

func (rt *Router) serve(ctx context.Context, tg target, req nodemsg.Lookup) (nodemsg.Answer, error) {
	if tg.addr == "" {
		return rt.local.Lookup(ctx, req)
	}
	rt.meter.Count(CounterForwarded, 1)
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	rt.addRemote(tg.name, req.ID, cancel)
	defer rt.removeRemote(tg.name, req.ID)
	return peer.Call[nodemsg.Lookup, nodemsg.Answer](call, rt.peer, tg.addr, nodemsg.KindLookup, req)
}

func (rt *Router) addRemote(name string, id uint64, cancel context.CancelFunc) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.remoteLookups[name] == nil {
		rt.remoteLookups[name] = map[uint64]context.CancelFunc{}
	}
	rt.remoteLookups[name][id] = cancel
}

func (rt *Router) removeRemote(name string, id uint64) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	delete(rt.remoteLookups[name], id)
}

// cancelLookups ends the wait for a node that has become unreachable. Its lookups may have run; their callers
// immediately get an error that says so.
func (rt *Router) cancelLookups(name string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, cancel := range rt.remoteLookups[name] {
		cancel()
	}
}

// choose returns this node while it has a free slot; otherwise the less loaded of two other owners, preferring those in
// the same hall; if none has a free slot, the less loaded of any two owners.
func (rt *Router) choose(tried map[string]bool) (target, bool) {
	own := rt.member.Node()
	load, waiting := rt.local.Load()
	self := target{name: own.Name, hall: own.Hall, freeSlots: load.FreeSlots - waiting, workers: load.Workers}
	if !tried[own.Name] && self.freeSlots > 0 {
		return self, true
	}
	var sameHall, otherHalls, all []target
	if !tried[own.Name] && self.workers > 0 {
		all = append(all, self)
	}
	for _, tg := range rt.others(tried) {
		all = append(all, tg)
		switch {
		case tg.freeSlots <= 0:
		case tg.hall == own.Hall:
			sameHall = append(sameHall, tg)
		default:
			otherHalls = append(otherHalls, tg)
		}
	}
	for _, list := range [][]target{sameHall, otherHalls, all} {
		if len(list) > 0 {
			return lessLoaded(list), true
		}
	}
	return target{}, false
}

// others returns the other nodes that own racks. The summary of a node that has just got its first rack may still lack
// its workers.
func (rt *Router) others(tried map[string]bool) []target {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	var list []target
	owners := rt.member.Map().Owners()
	for _, vw := range rt.member.Peers() {
		summary := vw.Summary()
		if tried[vw.Node().Name] || !vw.Reachable() || !owners[vw.Node().Name] {
			continue
		}
		list = append(list, target{
			name: vw.Node().Name, addr: vw.Node().Peer, hall: vw.Node().Hall,
			freeSlots: summary.FreeSlots - vw.Heartbeat().Waiting - len(rt.remoteLookups[vw.Node().Name]), workers: summary.Workers,
		})
	}
	return list
}

// lessLoaded returns the one of two random targets with more free slots per worker.
func lessLoaded(list []target) target {
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if b.freeSlots*a.workers > a.freeSlots*b.workers {
		return b
	}
	return a
}

// Submit sends a job to the home of its workspace. While the home is moving or unreachable, it retries until the
// context ends. A request that may have arrived is only repeated with an idempotency key.
func (rt *Router) Submit(ctx context.Context, req nodemsg.Submit) (nodemsg.JobView, error) {
	retryable := func(er *fault.Error) bool { return !er.MayHaveRun || req.Key != "" }
	return callHome(ctx, rt, ids.Partition(req.Workspace), nodemsg.KindSubmit, req, rt.local.Submit, retryable)
}

// Get returns a job from its home. It waits for the job's end for at most qu.Wait.
func (rt *Router) Get(ctx context.Context, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
	return rt.await(ctx, qu, nodemsg.KindJobGet, rt.local.Get)
}

// await sends several calls until the job is done, the wait is over, or there is an error.
func (rt *Router) await(
	ctx context.Context, qu nodemsg.JobQuery, kd nodemsg.Kind,
	local func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error),
) (nodemsg.JobView, error) {
	until := rt.clock.Now().Add(qu.Wait)
	for {
		qu.Wait = min(maxHomeWait, until.Sub(rt.clock.Now()))
		vw, err := rt.query(ctx, qu, kd, local)
		if err != nil || vw.Answer != "" || !rt.clock.Now().Before(until) || ctx.Err() != nil {
			return vw, err
		}
	}
}

// Cancel cancels a job at its home.
func (rt *Router) Cancel(ctx context.Context, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
	return rt.await(ctx, qu, nodemsg.KindJobCancel, rt.local.Cancel)
}

func (rt *Router) query(
	ctx context.Context, qu nodemsg.JobQuery, kd nodemsg.Kind,
	local func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error),
) (nodemsg.JobView, error) {
	part, ok := ids.JobPartition(qu.Job)
	if !ok {
		return nodemsg.JobView{}, fault.New(fault.NotFound, "%q is not a job id", qu.Job)
	}
	return callHome(ctx, rt, part, kd, qu, local, func(*fault.Error) bool { return true })
}

// callHome calls the home of a partition, and retries while the home is unavailable and the error is retryable.
func callHome[Req any](
	ctx context.Context, rt *Router, part int, kd nodemsg.Kind, req Req,
	local func(context.Context, Req) (nodemsg.JobView, error),
	retryable func(*fault.Error) bool,
) (nodemsg.JobView, error) {
	for {
		vw, err := rt.callCurrentHome(ctx, part, func(addr string) (nodemsg.JobView, error) {
			if addr == "" {
				return local(ctx, req)
			}
			call, cancel := context.WithTimeout(ctx, homeCallTimeout)
			defer cancel()
			return peer.Call[Req, nodemsg.JobView](call, rt.peer, addr, kd, req)
		})
		if err == nil {
			return vw, nil
		}
		er := fault.From(err)
		if er.Kind != fault.Unavailable || !retryable(er) {
			return vw, err
		}
		select {
		case <-ctx.Done():
			return vw, err
		case <-rt.clock.After(homeRetryPause):
		}
	}
}

func (rt *Router) callCurrentHome(
	ctx context.Context, part int, call func(addr string) (nodemsg.JobView, error),
) (nodemsg.JobView, error) {
	mp := rt.member.Map()
	name := mp.Homes[part].Node
	if name == rt.member.Node().Name {
		return call("")
	}
	nd, ok := mp.Nodes[name]
	if !ok || ctx.Err() != nil {
		return nodemsg.JobView{}, fault.New(fault.Unavailable, "the workspace has no home yet")
	}
	return call(nd.Peer)
}
