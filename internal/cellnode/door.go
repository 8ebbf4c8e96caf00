package cellnode

import (
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
)

// noteBacklog takes in how far the planner is behind.
func (nd *Node) noteBacklog(behind joblog.BacklogSize) {
	nd.doorMu.Lock()
	defer nd.doorMu.Unlock()
	nd.door.Update(nd.clock.Since(nd.began), behind.Urgent, behind.Total)
}

// admits returns the answer to a job that is refused, or nil for one that is taken.
func (nd *Node) admits(jb *work.Job) error {
	nd.doorMu.Lock()
	defer nd.doorMu.Unlock()
	comeBack, refuse := nd.door.Refuse(nd.clock.Since(nd.began), jb.Queue.Priority == 0)
	if !refuse {
		return nil
	}
	metrics.GetOrRegisterCounter("callers.refused_for_backlog", nd.meters).Inc(1)
	nd.log.Info("Job is refused: too much waits.", "job", jb.ID, "queue", jb.Queue.Name, "come_back", comeBack.String())
	return fault.New(fault.Full, "more waits than can be started soon; not run").WithRetryAfter(comeBack)
}
