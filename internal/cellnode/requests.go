package cellnode

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/evacuation"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/leases"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/term"
)

// Submit accepts a caller's job, whose route and caller were looked up in a view.
func (nd *Node) Submit(ctx context.Context, vw routes.View, cr routes.Caller, jb *work.Job) error {
	jb.Workspace = cr.Workspace
	_, err := nd.serve(ctx, vw, peerlink.Request{Submit: jb, Caller: cr})
	return err
}

// Cancel accepts a caller's request to cancel a job. It has no effect on a job of another workspace.
func (nd *Node) Cancel(ctx context.Context, vw routes.View, cr routes.Caller, id string) error {
	_, err := nd.serve(ctx, vw, peerlink.Request{Cancel: id, Caller: cr})
	return err
}

// State requests the phase of a caller's job from the planner. A job of another workspace counts as unknown.
func (nd *Node) State(ctx context.Context, vw routes.View, cr routes.Caller, id string) (cell.Phase, error) {
	reply, err := nd.serve(ctx, vw, peerlink.Request{State: id, Caller: cr})
	return reply.Phase, err
}

// Pending requests the number of a queue's jobs that have not started from the planner.
func (nd *Node) Pending(ctx context.Context, vw routes.View, cr routes.Caller, queue string) (int, error) {
	reply, err := nd.serve(ctx, vw, peerlink.Request{Pending: queue, Caller: cr})
	return reply.Pending, err
}

// Evacuations requests the evacuated data halls from the planner.
func (nd *Node) Evacuations(ctx context.Context) ([]evacuation.Status, error) {
	reply, err := nd.serve(ctx, nd.View(), peerlink.Request{Evacuations: true})
	return reply.Evacuations, err
}

// serve answers a caller's request, through another node if this one cannot reach the store.
func (nd *Node) serve(ctx context.Context, vw routes.View, rq peerlink.Request) (peerlink.Reply, error) {
	if nd.health.Down() {
		relayed := rq
		relayed.From = nd.adapter.Site.PeerAddr
		if route := vw.Route(rq.Queue()); route != nil {
			relayed.Host, relayed.Prefix = route.Host, route.Prefix
		}
		if reply, ok, err := nd.relay.Do(ctx, relayed); ok {
			metrics.GetOrRegisterCounter("callers.relayed", nd.meters).Inc(1)
			return reply, err
		}
	}
	return nd.serveLocally(ctx, vw, rq)
}

// serveLocally answers a caller's request, which was looked up in a view, without relaying it.
func (nd *Node) serveLocally(ctx context.Context, vw routes.View, rq peerlink.Request) (peerlink.Reply, error) {
	if dependsOnRoute := rq.Submit != nil || rq.Pending != "" || rq.Caller != (routes.Caller{}); dependsOnRoute && vw.Err != nil {
		return peerlink.Reply{}, vw.Err
	}
	if rq.Submit != nil {
		if err := rq.Submit.CheckLimit(); err != nil {
			return peerlink.Reply{}, fault.New(fault.NeverFits, "%v; not run", err)
		}
		if err := nd.admit(rq.Submit); err != nil {
			return peerlink.Reply{}, err
		}
	}
	switch {
	case rq.Submit != nil:
		return peerlink.Reply{}, nd.accept(ctx, rq.Submit)
	case rq.Cancel != "":
		return peerlink.Reply{}, nd.intake.Cancel(ctx, rq.Cancel, rq.Caller.Workspace.Name)
	}
	return nd.requestPlanner(ctx, rq)
}

// plannerTimeout bounds a request to the planner, which answers from memory after waiting at most 150 ms.
const plannerTimeout = 500 * time.Millisecond

func (nd *Node) askPlanner(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	leader, ok := nd.term.Leader()
	if !ok {
		return peerlink.Reply{}, fault.New(fault.Unavailable, "no planner known").WithRetryAfter(retryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, plannerTimeout)
	defer cancel()
	return nd.link.Call(ctx, leader.PeerAddr, rq)
}

// notifyTimeout bounds the notification of a batch. After that time the planner soon finds the batch in its copy of the
// journal: within 0.5 s even if the store is a hundred times slower than usual.
const notifyTimeout = 300 * time.Millisecond

// onWritten notifies the planner of a batch in the journal. Otherwise, the planner finds it in its copy of the journal
// one response of the store later, which takes 4 ms, or 0.4 s if the store is slow.
func (nd *Node) onWritten(bt joblog.WrittenBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	reply, err := nd.requestPlanner(ctx, peerlink.Request{Batch: &bt, From: nd.adapter.Site.PeerAddr})
	if err != nil {
		nd.log.Info("Planner could not be notified of a batch; it will find it in the journal.", "key", bt.Key, "reason", err.Error())
		return
	}
	if reply.Applied {
		nd.noteApplied(&bt.Batch, reply.Full)
	}
}

// requestPlanner sends a request to the planner, which may be this node.
func (nd *Node) requestPlanner(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	if nd.term.Leading() {
		return nd.servePlannerRequest(ctx, rq)
	}
	return nd.askPlanner(ctx, rq)
}

// handle serves requests of other nodes.
func (nd *Node) handle(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	switch {
	case rq.Relayed:
		rq.Relayed = false
		return nd.handleRelayed(ctx, rq)
	case rq.Config != nil:
		return nd.serveConfig(ctx, *rq.Config)
	case rq.Advise != nil:
		advice, err := nd.advise(ctx, *rq.Advise)
		return peerlink.Reply{Tickets: advice.Tickets, ValidFor: advice.ValidFor}, err
	case rq.Leases != nil:
		report, err := nd.leases(*rq.Leases)
		return peerlink.Reply{Leases: &report}, err
	case rq.Commit != nil:
		return nd.commitForPeer(ctx, rq.Commit)
	case rq.Grace != 0:
		return peerlink.Reply{}, nd.grantGrace(rq.Grace)
	case rq.PermissionsLeft != 0:
		left, err := nd.term.PermissionsLeft(rq.PermissionsLeft)
		if err != nil {
			return peerlink.Reply{}, fault.New(fault.Unavailable, "permissions of renewals are not known: %v", err)
		}
		return peerlink.Reply{PermissionsLeft: &left}, nil
	}
	return nd.servePlannerRequest(ctx, rq)
}

// handleRelayed serves a request that another node relayed for its caller. The other node's configuration may be
// outdated: a job gets this node's queue settings if they are newer, a request is refused if the route was removed or leads
// elsewhere, and a call is refused if its API key was revoked.
func (nd *Node) handleRelayed(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	vw := nd.View()
	if err := refreshCaller(vw, &rq.Caller); err != nil {
		return peerlink.Reply{}, err
	}
	if name := rq.Queue(); name != "" {
		route := vw.Route(name)
		if route == nil || rq.Prefix != "" && (route.Host != rq.Host || route.Prefix != rq.Prefix) {
			return peerlink.Reply{}, fault.New(fault.Unavailable, "no queue %s at %s%s on this node; not run", name, rq.Host, rq.Prefix)
		}
		if rq.Submit != nil {
			rq.Submit.Queue = rq.Submit.Queue.Later(route.Queue)
		}
	}
	if rq.Submit != nil {
		rq.Submit.Workspace = rq.Caller.Workspace
	}
	return nd.serveLocally(ctx, vw, rq)
}

// refreshCaller replaces the caller's data from another node by this node's, unless the other node's configuration is
// newer.
func refreshCaller(vw routes.View, cr *routes.Caller) error {
	if *cr == (routes.Caller{}) || cr.Workspace.Version > vw.Version() {
		return nil
	}
	present, ok := vw.Caller(cr.Key)
	if !ok {
		return fault.New(fault.Unauthorized, "no workspace has this API key; not run")
	}
	*cr = present
	return nil
}

// servePlannerRequest answers requests to the planner if this node is the planner.
func (nd *Node) servePlannerRequest(ctx context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	switch {
	case rq.State != "":
		phase, err := nd.planner.JobPhase(ctx, rq.State, rq.Caller.Workspace.Name)
		return peerlink.Reply{Phase: phase}, err
	case rq.Pending != "":
		count, err := nd.planner.Pending(rq.Pending)
		return peerlink.Reply{Pending: count}, err
	case rq.Batch != nil:
		full, applied, err := nd.planner.AddBatch(*rq.Batch)
		return peerlink.Reply{Full: full, Applied: applied}, err
	case rq.Claim != nil:
		return peerlink.Reply{}, nd.planner.ClaimMemory(*rq.Claim)
	case rq.Evacuations:
		list, err := nd.planner.Evacuations()
		return peerlink.Reply{Evacuations: list}, err
	}
	return peerlink.Reply{}, fault.New(fault.BadRequest, "request contains no operation")
}

// requestLeases asks the node that led a term about the leases of workers that it renewed.
func (nd *Node) requestLeases(ctx context.Context, of term.Previous, rq leases.Request) (leases.Report, error) {
	if of.Node == nd.adapter.Site.Node {
		return nd.leases(rq)
	}
	reply, err := nd.link.Call(ctx, of.PeerAddr, peerlink.Request{Leases: &rq})
	switch {
	case err != nil:
		return leases.Report{}, err
	case reply.Leases == nil:
		return leases.Report{}, fault.New(fault.Unavailable, "node %s did not report its leases", of.Node)
	}
	return *reply.Leases, nil
}

// requestGrace asks another node to permit renewals of workers' leases.
func (nd *Node) requestGrace(ctx context.Context, of joblog.Member, token uint64) error {
	_, err := nd.link.Call(ctx, of.PeerAddr, peerlink.Request{Grace: token})
	return err
}

// requestPermissionsLeft asks another node for how much longer planners before a term can use its permissions.
func (nd *Node) requestPermissionsLeft(ctx context.Context, of joblog.Member, token uint64) (time.Duration, error) {
	reply, err := nd.link.Call(ctx, of.PeerAddr, peerlink.Request{PermissionsLeft: token})
	switch {
	case err != nil:
		return 0, err
	case reply.PermissionsLeft == nil:
		return 0, fault.New(fault.Unavailable, "node %s did not report its permissions", of.Node)
	}
	return *reply.PermissionsLeft, nil
}

// grantGrace answers a request to permit renewals of workers' leases.
func (nd *Node) grantGrace(token uint64) error {
	if err := nd.term.GrantGrace(token); err != nil {
		return fault.New(fault.Unavailable, "renewals of workers' leases are not permitted: %v", err)
	}
	return nil
}

// leases answers a request about leases of workers that this node renewed.
func (nd *Node) leases(rq leases.Request) (leases.Report, error) {
	report, err := nd.planner.Leases(rq)
	report.Node = nd.adapter.Site.Node
	return report, err
}

func (nd *Node) advise(ctx context.Context, rq cell.AdviceRequest) (planner.Advice, error) {
	if nd.adapter.Advise == nil {
		return planner.Advice{}, fault.New(fault.Unavailable, "the deployment has no advisor")
	}
	return nd.adapter.Advise(ctx, rq)
}
