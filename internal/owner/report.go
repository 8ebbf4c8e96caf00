package owner

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Times of the reports of ended tasks to homes.
const (
	reportTimeout       = 2 * time.Second
	reportRetryInterval = 5 * time.Second
)

// reportEnd reports the end of a task to the job's home. If the home acknowledges it, the worker may forget the task;
// otherwise the home acknowledges it later, or the end is reported again.
func (ow *Owner) reportEnd(en workermsg.Ended) {
	job, _, _, ok := ids.TaskJob(en.Task)
	part, valid := ids.JobPartition(job)
	if !ok || !valid {
		ow.ack(en.Task) // not a task of a job
		return
	}
	mp := ow.Member.Map()
	nd, known := mp.Nodes[mp.Homes[part].Node]
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ow.ctx, reportTimeout)
	defer cancel()
	reply, err := peer.Call[nodemsg.TaskEnded, nodemsg.TaskEndedReply](ctx, ow.Peer, nd.Peer, nodemsg.KindTaskEnded,
		nodemsg.TaskEnded{Task: en.Task, State: en.State, Started: en.Started, Saved: en.Saved})
	if err == nil && reply.Acked {
		ow.ack(en.Task)
	}
}

// reportAll reports all unacknowledged ends immediately, since homes may have moved.
func (ow *Owner) reportAll() { ow.reportDue(0) }

// reportDue reports the unacknowledged ends whose last report is at least age ago.
func (ow *Owner) reportDue(age time.Duration) {
	now := ow.Clock.Now()
	var due []workermsg.Ended
	ow.mu.Lock()
	for _, tk := range ow.tasks {
		if tk.ended != nil && now.Sub(tk.reportedAt) >= age {
			tk.reportedAt = now
			due = append(due, *tk.ended)
		}
	}
	ow.mu.Unlock()
	for _, en := range due {
		ow.reportEnd(en)
	}
}
