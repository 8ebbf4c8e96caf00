package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/feature"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
)

// Reporting of the planner's backlog.
const (
	// backlogInterval is the interval between reports. Nodes discard a report after three times as long.
	backlogInterval = time.Second
	// minUrgentBacklog is the backlog of urgent work from which the planner reports, minTotalBacklog that of all work.
	// They are below the thresholds at which nodes refuse jobs. All nodes watch the key, so each write costs the store
	// one event per node.
	minUrgentBacklog = 700 * time.Millisecond
	minTotalBacklog  = 3 * time.Second
)

// reportBacklog writes the planner's backlog to the store, where all nodes see it. The caller holds the lock.
func (ld *leader) reportBacklog(now time.Duration) {
	if ld.opts.Site.Features.Has(feature.RoomAdmission) {
		ld.reportAdmission(now)
		return
	}
	if now-ld.backlogReported < backlogInterval || !ld.term.LeaseHeld() {
		return
	}
	urgent, all := ld.cell.Backlog(now)
	ld.metrics.gauge("planner.backlog_ms", int(all.Milliseconds()))
	behind := urgent >= minUrgentBacklog || all >= minTotalBacklog
	if !behind && !ld.behind {
		return
	}
	ld.backlogReported, ld.behind = now, behind
	ld.log.Info("Planner has a backlog.", "urgent", urgent.String(), "all", all.String())
	ld.spawn(func() { ld.writeBacklog(joblog.BacklogSize{Urgent: urgent, Total: all}) })
}

// writeBacklog reports whether the backlog was written.
func (ld *leader) writeBacklog(size joblog.BacklogSize) bool {
	raw, err := joblog.Encode(size)
	if err != nil {
		ld.log.Error(err, "Backlog could not be encoded.")
		return false
	}
	ctx, cancel := context.WithTimeout(ld.ctx, backlogInterval)
	defer cancel()
	commitOpts := kv.CommitOptions{Clock: ld.clock, HedgeDelay: backlogInterval, RefusedTimeout: time.Millisecond}
	if _, _, err := ld.opts.Store.CommitWithRetry(ctx, commitOpts, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.term.Token}},
		Puts:       []kv.Put{{Key: joblog.Backlog, Value: raw}},
	}); err != nil {
		ld.log.Info("Backlog was not written to the store; nodes accept jobs as before.", "reason", err.Error())
		return false
	}
	return true
}
