package planner

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
)

// How a planner that is behind says so.
const (
	// backlogEvery is how often: nodes believe it for three times as long.
	backlogEvery = time.Second
	// backlogLeast is the urgent backlog from which it does, backlogLeastAll that of all work: somewhat
	// less than nodes refuse jobs from. All nodes watch the key, so that each write costs the store an
	// answer to each of them.
	backlogLeast    = 700 * time.Millisecond
	backlogLeastAll = 3 * time.Second
)

// tellBacklog writes how far the planner is behind to the store, where all nodes see it. The caller
// holds the lock.
func (ld *lead) tellBacklog(now time.Duration) {
	if now-ld.saidBacklog < backlogEvery || !ld.reign.LeaseHeld() {
		return
	}
	urgent, all := ld.cell.Backlog(now)
	ld.measures.gauge("planner.backlog_ms", int(all.Milliseconds()))
	behind := urgent >= backlogLeast || all >= backlogLeastAll
	if !behind && !ld.behind {
		return
	}
	ld.saidBacklog, ld.behind = now, behind
	ld.log.Info("Planner is behind.", "urgent", urgent.String(), "all", all.String())
	ld.spawn(func() { ld.writeBacklog(joblog.BacklogSize{Urgent: urgent, Total: all}) })
}

func (ld *lead) writeBacklog(behind joblog.BacklogSize) {
	raw, err := joblog.Encode(behind)
	if err != nil {
		ld.log.Error(err, "Backlog cannot be written.")
		return
	}
	ctx, cancel := context.WithTimeout(ld.ctx, backlogEvery)
	defer cancel()
	settling := kv.CommitOptions{Clock: ld.clock, HedgeDelay: backlogEvery, RefusedTimeout: time.Millisecond}
	if _, _, err := ld.parts.Store.CommitWithRetry(ctx, settling, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.reign.Token}},
		Puts:       []kv.Put{{Key: joblog.Backlog, Value: raw}},
	}); err != nil {
		ld.log.Info("Backlog was not written; nodes take jobs as before.", "reason", err.Error())
	}
}
