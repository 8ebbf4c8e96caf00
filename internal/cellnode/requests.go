package cellnode

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/routes"
)

// Submit accepts a caller's job.
func (nd *Node) Submit(ctx context.Context, cr routes.Caller, jb *work.Job) error {
	jb.Workspace = cr.Workspace
	_, err := nd.serve(ctx, peerlink.Request{Submit: jb, Caller: cr})
	return err
}

// Cancel accepts a caller's cancel. It has no effect on a job of another workspace.
func (nd *Node) Cancel(ctx context.Context, cr routes.Caller, id string) error {
	_, err := nd.serve(ctx, peerlink.Request{Cancel: id, Caller: cr})
	return err
}

// State asks the planner for the phase of a caller's job. One of another workspace is not known.
func (nd *Node) State(ctx context.Context, cr routes.Caller, id string) (cell.Phase, error) {
	reply, err := nd.serve(ctx, peerlink.Request{State: id, Caller: cr})
	return reply.Phase, err
}

// Pending asks the planner how many jobs of a queue have not begun.
func (nd *Node) Pending(ctx context.Context, cr routes.Caller, queue string) (int, error) {
	reply, err := nd.serve(ctx, peerlink.Request{Pending: queue, Caller: cr})
	return reply.Pending, err
}

// serve answers a caller's request, through another node while this one is cut off from
// the store.
func (nd *Node) serve(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	if nd.health.Down() {
		if reply, ok, err := nd.relay.Do(ctx, rq); ok {
			metrics.GetOrRegisterCounter("callers.relayed", nd.meters).Inc(1)
			return reply, err
		}
	}
	return nd.answer(ctx, rq)
}

// answer answers a caller's request by what this node can do.
func (nd *Node) answer(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	if rq.Submit != nil || rq.Pending != "" || rq.Caller != (routes.Caller{}) { // the others are about a job, whatever its route is
		if err := nd.knows(); err != nil {
			return peerlink.Reply{}, err
		}
	}
	if rq.Submit != nil {
		if err := rq.Submit.CheckLimit(); err != nil {
			return peerlink.Reply{}, fault.New(fault.NeverFits, "%v; not run", err)
		}
		if err := nd.admits(rq.Submit); err != nil {
			return peerlink.Reply{}, err
		}
	}
	switch {
	case rq.Submit != nil:
		return peerlink.Reply{}, nd.intake.Submit(ctx, rq.Submit)
	case rq.Cancel != "":
		return peerlink.Reply{}, nd.intake.Cancel(ctx, rq.Cancel, rq.Caller.Workspace.Name)
	case nd.term.Leading():
		return nd.fromPlanner(ctx, rq)
	}
	return nd.ask(ctx, rq)
}

// askTimeout bounds a question to the planner: it answers from memory, after a wait of 150 ms at most.
const askTimeout = 500 * time.Millisecond

func (nd *Node) ask(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	el, ok := nd.term.Leader()
	if !ok {
		return peerlink.Reply{}, fault.New(fault.Unavailable, "no planner is known").WithRetryAfter(comeBack)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return nd.link.Call(ctx, el.PeerAddr, rq)
}

// tellTimeout bounds the telling of a batch: later the planner's copy of the journal shows it,
// within half a second where the store answers a hundred times as slowly as it should.
const tellTimeout = 300 * time.Millisecond

// written tells the planner of a batch that the journal has. Its copy of the journal shows
// the batch an answer of the store later, which takes 4 ms, or 0.4 s from a slow store.
func (nd *Node) written(wr joblog.WrittenBatch) {
	err := nd.tell(wr)
	if err != nil {
		nd.log.Info("Planner was not told of a batch; it sees it in the journal.", "key", wr.Key, "reason", err.Error())
	}
}

func (nd *Node) tell(wr joblog.WrittenBatch) error {
	if nd.term.Leading() {
		return nd.planner.AddBatch(wr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_, err := nd.ask(ctx, peerlink.Request{Written: &wr})
	return err
}

// handle answers other nodes.
func (nd *Node) handle(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	switch {
	case rq.Relayed:
		rq.Relayed = false
		return nd.handleRelayed(ctx, rq)
	case rq.Config != nil:
		return nd.tellConfig(ctx, *rq.Config)
	case rq.Advise != nil:
		answer, err := nd.advise(ctx, *rq.Advise)
		return peerlink.Reply{Tickets: answer.Tickets, Valid: answer.ValidFor}, err
	}
	return nd.fromPlanner(ctx, rq)
}

// handleRelayed answers a request of another node's caller. The other node's
// configuration may be old, so a job gets the queue's settings of this one if they are later, and
// a count is refused where the route is gone, a call where no workspace has the API key any more.
func (nd *Node) handleRelayed(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	if err := nd.recheck(&rq.Caller); err != nil {
		return peerlink.Reply{}, err
	}
	name := rq.Pending
	if rq.Submit != nil {
		name = rq.Submit.Queue.Name
	}
	qu, ok := nd.table.Queue(name)
	if name != "" && !ok {
		return peerlink.Reply{}, fault.New(fault.Unavailable, "no queue %s here; not run", name)
	}
	if rq.Submit != nil {
		rq.Submit.Queue = rq.Submit.Queue.Later(qu)
		rq.Submit.Workspace = rq.Caller.Workspace
	}
	return nd.answer(ctx, rq)
}

// recheck replaces what another node knows of a caller by what this one does, unless the other one's
// configuration is the later.
func (nd *Node) recheck(cr *routes.Caller) error {
	if *cr == (routes.Caller{}) || cr.Workspace.Version > nd.inForce().Version {
		return nil
	}
	present, ok := nd.table.Caller(cr.Key)
	if !ok {
		return fault.New(fault.Unauthorized, "no workspace has this API key; not run")
	}
	*cr = present
	return nil
}

// fromPlanner answers questions for the planner, where this node is it.
func (nd *Node) fromPlanner(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	switch {
	case rq.State != "":
		phase, err := nd.planner.JobPhase(ctx, rq.State, rq.Caller.Workspace.Name)
		return peerlink.Reply{Phase: phase}, err
	case rq.Pending != "":
		count, err := nd.planner.Pending(rq.Pending)
		return peerlink.Reply{Pending: count}, err
	case rq.Written != nil:
		return peerlink.Reply{}, nd.planner.AddBatch(*rq.Written)
	}
	return peerlink.Reply{}, fault.New(fault.BadRequest, "request asks for nothing")
}

func (nd *Node) advise(ctx context.Context, qn cell.AdviceRequest) (planner.Advice, error) {
	if nd.adapter.Advise == nil {
		return planner.Advice{}, fault.New(fault.Unavailable, "the deployment has no advisor")
	}
	return nd.adapter.Advise(ctx, qn)
}
