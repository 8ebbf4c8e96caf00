// Package router finds the node that a request belongs to: the owner that serves
// a lookup, the home of a workspace's jobs. A request makes at most one hop.
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

// maxOwners is the number of owners that one lookup tries.
const maxOwners = 3

// Times of the calls to homes. A call is cut into parts, so that one to a dead
// node turns to its successor.
const (
	homePause = 50 * time.Millisecond
	homeCall  = 4 * time.Second
	homeWait  = 2 * time.Second
)

// Times of looking again while workers move between owners.
const (
	moveTime  = 2 * time.Second
	movePause = 10 * time.Millisecond
)

// CounterHops counts the lookups that another node served.
const CounterHops = "lookups_forwarded"

// Local is what this node does itself.
type Local struct {
	Load   func() (ledger.Load, int)
	Lookup func(context.Context, nodemsg.Lookup) (nodemsg.Answer, error)
	Submit func(context.Context, nodemsg.Submit) (nodemsg.JobView, error)
	Get    func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error)
	Cancel func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error)
}

// Router is this node's router.
type Router struct {
	clock  clockwork.Clock
	member *member.Member
	peer   *peer.Peer
	meter  *meter.Meter
	local  Local

	mu sync.Mutex
	// away are the lookups under way on each other node, and how to give them up.
	away map[string]map[uint64]context.CancelFunc
}

// New returns a router.
func New(
	clock clockwork.Clock, mb *member.Member, pr *peer.Peer, mt *meter.Meter, local Local,
) *Router {
	rt := &Router{
		clock: clock, member: mb, peer: pr, meter: mt, local: local,
		away: map[string]map[uint64]context.CancelFunc{},
	}
	mb.OnUnreachable(rt.giveUp)
	return rt
}

// target is an owner that a lookup may go to.
type target struct {
	name string
	addr string
	hall string
	free int
	size int
}

// Lookup sends a lookup to an owner with a free slot and returns its answer. An
// owner that refuses without having begun is followed by another. While workers
// move between owners there may be none to ask for a moment; then it looks again.
func (rt *Router) Lookup(ctx context.Context, req nodemsg.Lookup) (nodemsg.Answer, error) {
	now := rt.clock.Now()
	deadline := now.Add(req.Budget)
	patience := now.Add(min(req.Budget, moveTime))
	for {
		an, err := rt.round(ctx, req, deadline)
		er := fault.From(err)
		if err == nil || er.Kind != fault.Unavailable || er.Begun {
			return an, err
		}
		if !rt.clock.Now().Before(patience) || ctx.Err() != nil {
			return an, fault.New(fault.Full, "%s; not run", er.Message).After(time.Second)
		}
		rt.clock.Sleep(movePause)
	}
}

// round asks up to three owners.
func (rt *Router) round(
	ctx context.Context, req nodemsg.Lookup, deadline time.Time,
) (nodemsg.Answer, error) {
	tried := map[string]bool{}
	last := error(fault.New(fault.Unavailable, "no worker takes lookups now"))
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
			err = fault.New(fault.Unavailable, "node %s answered another lookup", tg.name).AfterStart()
		}
		if err == nil {
			return an, nil
		}
		last = err
		if fault.From(err).Begun || ctx.Err() != nil {
			break
		}
	}
	return nodemsg.Answer{}, last
}

func (rt *Router) serve(ctx context.Context, tg target, req nodemsg.Lookup) (nodemsg.Answer, error) {
	if tg.addr == "" {
		return rt.local.Lookup(ctx, req)
	}
	rt.meter.Count(CounterHops, 1)
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	rt.sent(tg.name, req.ID, cancel)
	defer rt.back(tg.name, req.ID)
	return peer.Call[nodemsg.Lookup, nodemsg.Answer](call, rt.peer, tg.addr, nodemsg.KindLookup, req)
}

func (rt *Router) sent(name string, id uint64, cancel context.CancelFunc) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.away[name] == nil {
		rt.away[name] = map[uint64]context.CancelFunc{}
	}
	rt.away[name][id] = cancel
}

func (rt *Router) back(name string, id uint64) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	delete(rt.away[name], id)
}

// giveUp ends the wait for a node that has fallen silent. Its lookups may have
// run, so their callers are told that; they are told at once.
func (rt *Router) giveUp(name string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, cancel := range rt.away[name] {
		cancel()
	}
}

// choose returns this node while it has a free slot; otherwise the better of two
// other owners, those of the same hall first; otherwise whoever has workers.
func (rt *Router) choose(tried map[string]bool) (target, bool) {
	own := rt.member.Node()
	load, waiting := rt.local.Load()
	self := target{name: own.Name, hall: own.Hall, free: load.FreeSlots - waiting, size: load.Workers}
	if !tried[own.Name] && self.free > 0 {
		return self, true
	}
	var near, far, all []target
	if !tried[own.Name] && self.size > 0 {
		all = append(all, self)
	}
	for _, tg := range rt.others(tried) {
		all = append(all, tg)
		switch {
		case tg.free <= 0:
		case tg.hall == own.Hall:
			near = append(near, tg)
		default:
			far = append(far, tg)
		}
	}
	for _, list := range [][]target{near, far, all} {
		if len(list) > 0 {
			return better(list), true
		}
	}
	return target{}, false
}

// others returns the other nodes that own racks. One that has just got its first
// may not have told of them yet.
func (rt *Router) others(tried map[string]bool) []target {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	var list []target
	owners := rt.member.Map().Owners()
	for _, vw := range rt.member.Peers() {
		room := vw.Summary()
		if tried[vw.Node().Name] || !vw.Reachable() || !owners[vw.Node().Name] {
			continue
		}
		list = append(list, target{
			name: vw.Node().Name, addr: vw.Node().Peer, hall: vw.Node().Hall,
			free: room.FreeSlots - vw.Heartbeat().Waiting - len(rt.away[vw.Node().Name]), size: room.Workers,
		})
	}
	return list
}

// better returns the one of two random targets with more free slots a worker.
func better(list []target) target {
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if b.free*a.size > a.free*b.size {
		return b
	}
	return a
}

// Submit sends a job to the home of its workspace. While the home moves, or
// cannot be reached, it asks again until the context ends; a request that may
// have arrived is only repeated under an idempotency key.
func (rt *Router) Submit(ctx context.Context, req nodemsg.Submit) (nodemsg.JobView, error) {
	again := func(er *fault.Error) bool { return !er.Begun || req.Key != "" }
	return atHome(ctx, rt, ids.Partition(req.Workspace), nodemsg.KindSubmit, req, rt.local.Submit, again)
}

// Get returns a job from its home, after waiting for its end as long as asked.
func (rt *Router) Get(ctx context.Context, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
	return rt.await(ctx, qu, nodemsg.KindJobGet, rt.local.Get)
}

// await asks in parts until the job is done, the wait is over, or there is an error.
func (rt *Router) await(
	ctx context.Context, qu nodemsg.JobQuery, kd nodemsg.Kind,
	local func(context.Context, nodemsg.JobQuery) (nodemsg.JobView, error),
) (nodemsg.JobView, error) {
	until := rt.clock.Now().Add(qu.Wait)
	for {
		qu.Wait = min(homeWait, until.Sub(rt.clock.Now()))
		vw, err := rt.query(ctx, qu, kd, local)
		if err != nil || vw.Answer != "" || !rt.clock.Now().Before(until) || ctx.Err() != nil {
			return vw, err
		}
	}
}

// Cancel ends a job at its home.
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
	return atHome(ctx, rt, part, kd, qu, local, func(*fault.Error) bool { return true })
}

// atHome asks the home of a partition, and again while that is of use.
func atHome[Req any](
	ctx context.Context, rt *Router, part int, kd nodemsg.Kind, req Req,
	local func(context.Context, Req) (nodemsg.JobView, error),
	again func(*fault.Error) bool,
) (nodemsg.JobView, error) {
	for {
		vw, err := rt.askHome(ctx, part, func(addr string) (nodemsg.JobView, error) {
			if addr == "" {
				return local(ctx, req)
			}
			call, cancel := context.WithTimeout(ctx, homeCall)
			defer cancel()
			return peer.Call[Req, nodemsg.JobView](call, rt.peer, addr, kd, req)
		})
		if err == nil {
			return vw, nil
		}
		er := fault.From(err)
		if er.Kind != fault.Unavailable || !again(er) {
			return vw, err
		}
		select {
		case <-ctx.Done():
			return vw, err
		case <-rt.clock.After(homePause):
		}
	}
}

func (rt *Router) askHome(
	ctx context.Context, part int, ask func(addr string) (nodemsg.JobView, error),
) (nodemsg.JobView, error) {
	mp := rt.member.Map()
	name := mp.Homes[part].Node
	if name == rt.member.Node().Name {
		return ask("")
	}
	nd, ok := mp.Nodes[name]
	if !ok || ctx.Err() != nil {
		return nodemsg.JobView{}, fault.New(fault.Unavailable, "the workspace has no home yet")
	}
	return ask(nd.Peer)
}
