package cellnode

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/fairshare"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
)

// updateBacklog passes a report of the planner on to admission control.
func (nd *Node) updateBacklog(backlog joblog.BacklogSize) {
	nd.admissionMu.Lock()
	defer nd.admissionMu.Unlock()
	now := nd.clock.Since(nd.startedAt)
	nd.admission.Update(now, backlog.Urgent, backlog.Total)
	if !nd.adapter.Site.Features.Has(feature.RoomAdmission) {
		return
	}
	var shares []fairshare.Share
	for _, sh := range backlog.Shares {
		shares = append(shares, fairshare.Share{
			Key: fairshare.Key{Service: sh.Service, Workspace: sh.Workspace}, Admitted: sh.Admitted, Wait: sh.Wait, Drain: sh.Drain,
		})
	}
	nd.admission.UpdateShares(now, shares)
	nd.admission.UpdatePlanner(backlog.Term, backlog.StartRate)
}

// admit returns an error if the job is refused because it would have to wait for too long, or nil.
func (nd *Node) admit(jb *work.Job) error {
	// Reports arrive under the elector's lock, so it must not be asked under admissionMu.
	var ps plannerState
	byCapacity := nd.adapter.Site.Features.Has(feature.RoomAdmission)
	if byCapacity {
		ps = nd.plannerState()
	}
	nd.admissionMu.Lock()
	defer nd.admissionMu.Unlock()
	now := nd.clock.Since(nd.startedAt)
	retryAfter, refuse := nd.admission.Refuse(now, jb.Queue.Priority == 0)
	if refuse {
		metrics.GetOrRegisterCounter("callers.refused_for_backlog", nd.meters).Inc(1)
		nd.log.Info("Job refused because of the backlog.", "job", jb.ID, "queue", jb.Queue.Name, "come_back", retryAfter.String())
		return fault.New(fault.Full, "backlog too long to start the job soon; not run").WithRetryAfter(retryAfter)
	}
	if !byCapacity {
		return nil
	}
	return nd.admitByCapacity(now, ps, jb)
}

// plannerState is what the node knows of the planner and the other nodes.
type plannerState struct {
	// token is that of the planner's term, 0 if none is known, and age the time since the node learned of its election.
	token uint64
	age   time.Duration
	nodes int
}

func (nd *Node) plannerState() plannerState {
	token, electedAt := nd.term.Planner()
	return plannerState{token: token, age: nd.clock.Since(electedAt), nodes: len(nd.term.Members())}
}

// admitByCapacity returns an error if the job cannot be in time, or if too much was accepted without a planner. The
// caller holds admissionMu.
func (nd *Node) admitByCapacity(now time.Duration, ps plannerState, jb *work.Job) error {
	if retryAfter, refuse := nd.admission.RefuseForRoom(now, ps.token, jb, rand.Float64); refuse {
		metrics.GetOrRegisterCounter("callers.refused_for_room", nd.meters).Inc(1)
		return fault.New(fault.Full, "capacity for the workspace's urgent jobs is in use, the job cannot be in time; not run").WithRetryAfter(retryAfter)
	}
	retryAfter, refuse := nd.admission.RefuseUnplanned(ps.token, ps.age, ps.nodes, jb, rand.Float64)
	nd.logUnplanned(refuse, ps.nodes)
	if !refuse {
		return nil
	}
	metrics.GetOrRegisterCounter("callers.refused_without_planner", nd.meters).Inc(1)
	return fault.New(fault.Full, "no planner has reported yet, and as much as it can start soon is accepted; not run").WithRetryAfter(retryAfter)
}

// logUnplanned logs when the node begins to refuse jobs because there is no planner, and when there is one again. The
// caller holds admissionMu.
func (nd *Node) logUnplanned(refused bool, nodes int) {
	switch {
	case refused && !nd.refusesUnplanned:
		nd.refusesUnplanned = true
		nd.log.Info("Jobs are refused until a planner has reported.", "nodes", nodes)
	case nd.refusesUnplanned && !nd.admission.Unplanned():
		nd.refusesUnplanned = false
		nd.log.Info("Jobs are no longer refused for lack of a planner.")
	}
}
