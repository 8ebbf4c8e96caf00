package owner

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Times of the delivery of ends to homes.
const (
	tellTimeout = 2 * time.Second
	tellAgain   = 5 * time.Second
)

// tell reports an end to the job's home. A home that has kept it for good lets
// the worker forget it; otherwise the home says so later, or is told again.
func (ow *Owner) tell(en workermsg.Ended) {
	job, _, _, ok := ids.ParseTask(en.Task)
	part, valid := ids.JobPartition(job)
	if !ok || !valid {
		ow.ack(en.Task) // nobody's task
		return
	}
	mp := ow.Member.Map()
	nd, known := mp.Nodes[mp.Homes[part].Node]
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ow.ctx, tellTimeout)
	defer cancel()
	noted, err := peer.Call[nodemsg.TaskEnded, nodemsg.Noted](ctx, ow.Peer, nd.Peer, nodemsg.KindTaskEnded,
		nodemsg.TaskEnded{Task: en.Task, State: en.State, Begun: en.Begun, Saved: en.Saved})
	if err == nil && noted.Settled {
		ow.ack(en.Task)
	}
}

// redeliver tells all unsettled ends at once, since homes may have moved.
func (ow *Owner) redeliver() { ow.tellDue(0) }

// tellDue tells homes of the unsettled ends that were last told an age ago.
func (ow *Owner) tellDue(age time.Duration) {
	now := ow.Clock.Now()
	var due []workermsg.Ended
	ow.mu.Lock()
	for _, tk := range ow.tasks {
		if tk.ended != nil && now.Sub(tk.told) >= age {
			tk.told = now
			due = append(due, *tk.ended)
		}
	}
	ow.mu.Unlock()
	for _, en := range due {
		ow.tell(en)
	}
}
