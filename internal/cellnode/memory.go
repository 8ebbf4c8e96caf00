package cellnode

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/memwindow"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
)

// accept writes a job to the journal if the planner has the memory for it.
func (nd *Node) accept(ctx context.Context, jb *work.Job) error {
	if err := nd.admitMemory(ctx, jb); err != nil {
		return err
	}
	err := nd.intake.Submit(ctx, jb)
	nd.memoryMu.Lock()
	defer nd.memoryMu.Unlock()
	nd.memory.Settle(nd.clock.Since(nd.startedAt), jb.ID, err == nil, fault.Is(err, fault.Timeout))
	return err
}

// admitMemory returns an error if the job is refused because of the memory that it would take, or nil.
func (nd *Node) admitMemory(ctx context.Context, jb *work.Job) error {
	limit := nd.adapter.Site.JobMemory()
	cm := memquota.Claim{Job: jb.ID, Class: memquota.ClassOf(jb), Bytes: jb.Footprint()}
	if memquota.NeverFits(limit, cm.Bytes) {
		return fault.New(fault.NeverFits, "job %s would take %d kB of a planner's memory, more than one may; split it; not run", jb.ID, cm.Bytes>>10)
	}
	window := memquota.Window(limit, len(nd.term.Members()))
	nd.memoryMu.Lock()
	decision, retryAfter := nd.memory.Decide(nd.clock.Since(nd.startedAt), cm, window)
	nd.memoryMu.Unlock()
	var err error
	switch decision {
	case memwindow.Accept:
		return nil
	case memwindow.Ask:
		err = nd.claimMemory(ctx, cm)
	case memwindow.Refuse:
		err = fault.New(fault.Full, "jobs that were accepted take the memory for further ones; not run").WithRetryAfter(retryAfter)
	}
	if err != nil {
		metrics.GetOrRegisterCounter("callers.refused_for_memory", nd.meters).Inc(1)
		nd.log.Info("Job refused because of the planner's memory.", "job", jb.ID, "queue", jb.Queue.Name, "workspace", jb.Workspace.Name,
			"needs", cm.Bytes, "window", window, "reason", err.Error(), "come_back", fault.From(err).RetryAfter.String())
	}
	return err
}

// claimMemory asks the planner to reserve memory for a job.
func (nd *Node) claimMemory(ctx context.Context, cm memquota.Claim) error {
	asked := nd.clock.Since(nd.startedAt)
	_, err := nd.requestPlanner(ctx, peerlink.Request{Claim: &cm})
	if fault.Is(err, fault.BadRequest) {
		err = nil // a planner of an earlier version, which has no limit
	}
	nd.memoryMu.Lock()
	defer nd.memoryMu.Unlock()
	switch {
	case err == nil:
		nd.memory.PlannerAnswered(asked)
		nd.memory.SetFree(cm.Class)
		return nil
	case fault.Is(err, fault.Full):
		nd.memory.PlannerAnswered(asked)
		if cm.Bytes <= memquota.SmallJob { // its class is full
			nd.memory.SetFull(cm.Class, nd.clock.Since(nd.startedAt)+fault.From(err).RetryAfter)
		}
		return err
	}
	return fault.New(fault.Unavailable, "the planner cannot be asked for memory: %v; not run", err).WithRetryAfter(retryAfter)
}

// noteApplied records that the planner knows of a batch, and for which classes of jobs it has no more memory.
func (nd *Node) noteApplied(bt *joblog.Batch, full []memquota.Class) {
	ids := make([]string, len(bt.Jobs))
	for at := range bt.Jobs {
		ids[at] = bt.Jobs[at].ID
	}
	nd.memoryMu.Lock()
	defer nd.memoryMu.Unlock()
	nd.memory.Known(ids...)
	for _, cls := range full {
		nd.memory.SetFull(cls, nd.clock.Since(nd.startedAt)+time.Second)
	}
}
