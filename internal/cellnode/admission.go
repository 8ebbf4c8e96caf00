package cellnode

import (
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
)

// updateBacklog passes the size of the planner's backlog on to admission control.
func (nd *Node) updateBacklog(backlog joblog.BacklogSize) {
	nd.admissionMu.Lock()
	defer nd.admissionMu.Unlock()
	nd.admission.Update(nd.clock.Since(nd.startedAt), backlog.Urgent, backlog.Total)
}

// admit returns an error if the job is refused because of the planner's backlog, or nil.
func (nd *Node) admit(jb *work.Job) error {
	nd.admissionMu.Lock()
	defer nd.admissionMu.Unlock()
	retryAfter, refuse := nd.admission.Refuse(nd.clock.Since(nd.startedAt), jb.Queue.Priority == 0)
	if !refuse {
		return nil
	}
	metrics.GetOrRegisterCounter("callers.refused_for_backlog", nd.meters).Inc(1)
	nd.log.Info("Job refused because of the backlog.", "job", jb.ID, "queue", jb.Queue.Name, "come_back", retryAfter.String())
	return fault.New(fault.Full, "backlog too long to start the job soon; not run").After(retryAfter)
}
