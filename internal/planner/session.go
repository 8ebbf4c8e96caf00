package planner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/loop"
)

// Timings of holds. A hold is a long-poll request to a worker: it renews the worker's lease and returns a report.
const (
	// holdWait is how long a worker may wait for an end before it answers. Reports must be recent enough to detect
	// tasks that make no progress.
	holdWait = time.Second
	// latencyHoldWait is the same for workers whose tasks have a latency target. Their reports contain the tail latency
	// over the last half second.
	latencyHoldWait = 400 * time.Millisecond
	// holdSlack is the time beyond its wait that a hold may take.
	holdSlack = 700 * time.Millisecond
	// overdueAfter is the time beyond the wait of a hold from which its answer is overdue. It takes a few ms, on a lossy
	// link a retransmission of 200 ms more.
	overdueAfter = 300 * time.Millisecond
	// holdPause is the pause between two holds of a worker, in which ends accumulate.
	holdPause = 30 * time.Millisecond
	// lossyMissLimit is the number of consecutive lost holds from which a worker counts as unreachable while many calls
	// are lost. If one call in twenty is lost, this is wrong once in 8,000 holds.
	lossyMissLimit = 3
	// holdRetryPause is the pause after an unanswered hold, maxHoldRetryPause the longest one if many workers do not
	// answer, and maxHoldRetries how many such holds a second all of them may cost: a call to a worker that is gone fails
	// at once, and needs a new connection.
	holdRetryPause    = 100 * time.Millisecond
	maxHoldRetryPause = 800 * time.Millisecond
	maxHoldRetries    = 2000
	// maxCommitWait is the maximum time without a hold while the journal lacks ends of the last report, which the
	// worker would report again at once.
	maxCommitWait = 800 * time.Millisecond
)

// session is the planner's connection with one incarnation of a worker.
type session struct {
	leader      *leader
	incarnation incarnation.ID
	entry       WorkerEntry
	// token is the fencing token of the session's orders. It rises after an acknowledgement without an answer.
	token uint64
	// startedAt is the start time of the incarnation, 0 if unknown.
	startedAt int64
	// other is an entry of another incarnation, or nil.
	other *WorkerEntry

	// answered is set once the worker has answered this planner.
	answered bool
	// clock is the worker's clock in its latest report, which was received at heard.
	clock time.Duration
	heard time.Duration
	// deadline is the latest deadline sent, on the worker's clock.
	deadline    time.Duration
	ended       bool
	unreachable bool
	// inheritedEnd is when the lease has surely expired that the worker had when it first answered.
	inheritedEnd time.Duration
	// expired is set from the end of the lease until the worker answers again.
	expired bool
	// unanswered is set if a call to the worker since its last report had no answer of this incarnation.
	unanswered bool
	// missed is the number of consecutive unanswered holds.
	missed int
	// overdueAt is when the answer to the pending hold is overdue, 0 if there is no such hold.
	overdueAt time.Duration
	// requesting is set while a report is requested in addition to the pending hold.
	requesting bool
	// acked is the highest end that the worker is known to have forgotten after an acknowledgement.
	acked int
	// ackToken is the token of an acknowledgement that may be under way, 0 if there is none. ackOver is closed once
	// there is none.
	ackToken uint64
	ackOver  chan struct{}
	// lostAcks is the number of consecutive acknowledgements without an answer, repeats that of consecutive reports that
	// only repeated ends.
	lostAcks, repeats int
}

func newSession(ld *leader, en WorkerEntry) *session {
	return &session{leader: ld, incarnation: en.ID, startedAt: en.ID.StartedAt(), entry: en, token: ld.nextToken(en.ID.WorkerID())}
}

// target returns the address of the worker's current entry and its incarnation. The caller does not hold the lock.
func (se *session) target() agent.Target {
	se.leader.mu.Lock()
	defer se.leader.mu.Unlock()
	return agent.Target{Address: se.entry.Address, Incarnation: se.incarnation}
}

// extend returns a deadline at least one lease from now, on the worker's clock, for an order that is sent now. The caller
// holds the lock.
func (se *session) extend(now time.Duration) time.Duration {
	if se.answered && se.leader.term.MayRenewLeases() && se.leader.cell.MayRenew(se.incarnation) {
		se.deadline = max(se.deadline, se.clock+(now-se.heard)+se.leader.lease)
	}
	if se.deadline > 0 {
		se.leader.deadlineSent(now, se.incarnation)
	}
	return se.deadline
}

// deadlineSent records that an order with a deadline is sent to a worker. The earlier planner may still send some at the
// beginning of the term. The caller holds the lock.
func (ld *leader) deadlineSent(now time.Duration, id incarnation.ID) {
	ld.cell.DeadlineSent(max(now, maxUnrenewed), id)
}

// startDeadline returns the deadline for a start, on the worker's clock. Holds extend the lease. A start does so only if
// little of it is left, as before the first hold: the worker may be lost, and its lease would then expire later. The
// caller holds the lock.
func (se *session) startDeadline(now time.Duration) time.Duration {
	if se.deadline > 0 && se.leaseEnd()-now > se.leader.lease/2 {
		se.leader.deadlineSent(now, se.incarnation)
		return se.deadline
	}
	return se.extend(now)
}

// leaseEnd returns when the worker will surely have ended all its runs. The caller holds the lock.
func (se *session) leaseEnd() time.Duration {
	switch {
	case se.expired:
		return se.heard
	case !se.answered:
		return se.leader.inheritedLeaseEnd(se.incarnation)
	}
	return max(se.heard+time.Duration(float64(se.deadline-se.clock)/(1-maxClockDrift)), se.inheritedEnd)
}

// run sends holds to the worker until its incarnation or the term ends.
func (se *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		release, ok := se.acquireSlot(ctx)
		if !ok {
			return
		}
		hold, slack, ok := se.next()
		if !ok {
			release()
			return
		}
		call, cancel := context.WithTimeout(ctx, hold.Wait+slack)
		sent := se.leader.now()
		se.setOverdueAt(sent + hold.Wait + overdueAfter)
		report, err := se.leader.opts.Agents.Hold(call, se.target(), hold)
		se.setOverdueAt(0)
		cancel()
		release()
		if ctx.Err() != nil {
			return
		}
		se.recordCall(err)
		if se.ackLost(hold, err) || se.tolerated(err) {
			continue
		}
		if err != nil {
			se.failed(hold, err)
			loop.Sleep(ctx, se.leader.clock, se.leader.holdRetryPause())
			continue
		}
		se.apply(sent, hold, report)
		se.awaitCommit(ctx)
	}
}

func (se *session) setOverdueAt(at time.Duration) {
	se.leader.mu.Lock()
	defer se.leader.mu.Unlock()
	se.overdueAt = at
}

// isSilent reports whether the worker owes an answer, although it does not count as unreachable before the timeout of its
// pending hold. The caller holds the lock.
func (se *session) isSilent(now time.Duration) bool {
	return se.unanswered || se.overdueAt > 0 && now > se.overdueAt
}

// acquireSlot waits for a slot of the hold limiter and returns a function that releases it. A worker that has answered
// needs no slot; the answer of another one is overdue after overdueAfter. It returns false if ctx is done first.
func (se *session) acquireSlot(ctx context.Context) (release func(), ok bool) {
	se.leader.mu.Lock()
	answered := se.answered
	se.leader.mu.Unlock()
	if answered {
		return func() {}, true
	}
	releaseSlot, ok := se.leader.holdLimiter.acquire(ctx)
	if !ok {
		return nil, false
	}
	timer := se.leader.clock.AfterFunc(overdueAfter, func() {
		se.leader.mu.Lock()
		defer se.leader.mu.Unlock()
		se.leader.cell.AnswerOverdue(se.incarnation)
	})
	return func() {
		timer.Stop()
		releaseSlot()
	}, true
}

// tolerated reports whether a hold's error is followed only by another hold: while many calls are lost, a single one is
// no sign of its worker.
func (se *session) tolerated(err error) bool {
	if !errors.Is(err, agent.ErrNoAnswer) {
		se.missed = 0
		return false
	}
	se.missed++
	return se.missed < lossyMissLimit && se.leader.lossRate.isHigh()
}

// next returns the next hold and the time beyond its wait that it may take, or false if the incarnation is over.
func (se *session) next() (hold agent.Hold, slack time.Duration, ok bool) {
	ld := se.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se.ended {
		return agent.Hold{}, 0, false
	}
	ld.stats.holds++
	se.fenceLostAck()
	_, waits := ld.cell.AckedEnd(se.incarnation)
	hold, slack = agent.Hold{Token: se.token, Acked: se.ackedEnd()}, holdSlack
	switch {
	case !se.answered:
	case se.unreachable:
		// A hold to an unreachable worker does not extend the lease: a lease that is extended without an answer would
		// never surely expire.
	case se.missed > 0 || se.ackToken != 0:
		hold.Deadline = se.deadline // not extended, in case the worker is lost, but the call before may have been lost
		ld.deadlineSent(ld.now(), se.incarnation)
	default:
		hold.Deadline = se.extend(ld.now())
	}
	if se.mayRestart() {
		if hold.Acked > se.acked {
			return hold, se.beginAck(), true
		}
		hold.Acked = 0 // the worker has forgotten these ends
	}
	if se.answered && !waits && !se.unreachable && se.ackToken == 0 {
		hold.Wait = holdWait
		if ld.cell.HasLatencyTarget(se.incarnation) {
			hold.Wait = latencyHoldWait
		}
		if ld.lossRate.isHigh() {
			hold.Wait = min(hold.Wait, ld.lossRate.holdWait(len(ld.sessions)))
			slack = max(lossyHoldSlack, ld.replyTimeout.next())
		}
	}
	return hold, slack, true
}

// apply applies the report that answers a hold.
func (se *session) apply(sent time.Duration, hold agent.Hold, report agent.Report) {
	ld := se.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.now()
	if se.ended || !se.accepts(report) {
		return
	}
	if se.unreachable {
		ld.log.Info("Worker answers again.", "worker", se.incarnation)
	}
	se.setUnreachable(false)
	se.unanswered, se.expired = false, false
	se.ackAnswered(hold)
	if report.Clock > se.clock {
		se.clock, se.heard = report.Clock, now
	}
	first := !se.answered
	if first {
		se.inheritedEnd = min(se.leaseEnd(), now+ld.leaseBound()) // the worker rejects an earlier planner's renewals now
		if se.mayRestart() {
			// An order for an earlier incarnation, with a deadline by its clock, may have been carried out just before.
			se.inheritedEnd = max(se.inheritedEnd, now+ld.longestLease())
		}
		se.answered = true
		se.resolveEarlier(now)
	}
	ends := se.applyReport(now, sent, report)
	se.countRepeats(len(ends), len(report.Ends))
	for _, en := range ends {
		ld.log.Info("Run has ended.", "task", en.Task.String(), "run", en.Number, "worker", se.incarnation, "result", en.Result, "seq", en.Seq)
		ld.metrics.count("planner.ends." + string(en.Result))
	}
	if _, awaited := ld.unresolved[se.incarnation]; awaited && !ld.cell.LacksEnds(se.incarnation) {
		delete(ld.unresolved, se.incarnation)
		ld.checkRecovery(now)
	}
	ld.schedulePlan()
}

// applyReport applies a report to the cell, and returns the ends that were not reported before. The caller holds the lock.
func (se *session) applyReport(now, sent time.Duration, report agent.Report) []cell.End {
	ld := se.leader
	if report.MoreEnds {
		se.logPartial(report)
		return ld.cell.PartialReport(now, se.incarnation, sent, report.Runs, report.Ends)
	}
	return ld.cell.Report(now, se.incarnation, sent, report.Runs, report.Ends)
}

// logPartial logs a report that may lack ends, with how many of the runs that the worker may have are in neither list. The
// caller holds the lock.
func (se *session) logPartial(report agent.Report) {
	ld := se.leader
	listed := make(map[work.Task]int, len(report.Runs)+len(report.Ends))
	for _, rn := range report.Runs {
		listed[rn.Task] = max(listed[rn.Task], rn.Number)
	}
	for _, en := range report.Ends {
		listed[en.Task] = max(listed[en.Task], en.Number)
	}
	omitted := 0
	for _, rn := range ld.cell.HeldRuns(se.incarnation) {
		if listed[rn.Task] < rn.Number {
			omitted++
		}
	}
	ld.metrics.count("planner.reports_partial")
	ld.log.Info("Report may lack ends.", "worker", se.incarnation, "ends", len(report.Ends), "runs", len(report.Runs), "omitted", omitted,
		"recovered", ld.cell.Recovered())
}

// failed handles a hold's error.
func (se *session) failed(hold agent.Hold, err error) {
	ld := se.leader
	if se.handleFenced(hold.Token, err) {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se.ended {
		return // another session may be with the same incarnation
	}
	now := ld.now()
	if errors.Is(err, agent.ErrOtherIncarnation) {
		se.incarnationOver(now)
		ld.schedulePlan()
		return
	}
	ld.metrics.count("planner.holds_failed")
	se.markUnreachable(now, err.Error())
	se.expireIfDue(now)
}

// holdRetryPause returns the pause after an unanswered hold.
func (ld *leader) holdRetryPause() time.Duration {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return min(max(holdRetryPause, time.Duration(ld.unreachableSessions)*time.Second/maxHoldRetries), maxHoldRetryPause)
}

// setUnreachable records whether the worker does not answer. A hold that was pending when the session ended may fail later. The
// caller holds the lock.
func (se *session) setUnreachable(unreachable bool) {
	if se.ended || unreachable == se.unreachable {
		return
	}
	se.unreachable = unreachable
	if unreachable {
		se.leader.unreachableSessions++
	} else {
		se.leader.unreachableSessions--
	}
}

// markUnreachable records that the worker does not answer. The caller holds the lock.
func (se *session) markUnreachable(now time.Duration, reason string) {
	ld := se.leader
	if !se.unreachable {
		ld.log.Info("Worker does not answer.", "worker", se.incarnation, "reason", reason)
	}
	se.setUnreachable(true)
	ld.cell.Unreachable(now, se.incarnation, se.leaseEnd())
}

// expireIfDue applies the end of the lease of a worker that does not answer, once it is over. The caller holds the lock.
func (se *session) expireIfDue(now time.Duration) {
	ld := se.leader
	if now <= se.leaseEnd() {
		return
	}
	if se.other != nil {
		ld.cell.Deregister(se.incarnation) // its entry is of another incarnation
	}
	if !se.expired && ld.cell.MayHoldRuns(se.incarnation) {
		ld.log.Info("Worker's lease has expired.", "worker", se.incarnation, "silent_for", (now - se.heard).String(),
			"after", now.String(), "bound", se.leaseEnd().String(), "answered", se.answered, "runs", len(ld.cell.HeldRuns(se.incarnation)))
	}
	ld.resolveLost(se.incarnation)
	se.lose(func() { ld.cell.LeaseExpired(now, se.incarnation) })
	se.answered, se.expired = false, true
	se.heard = now
	if known, _ := ld.cell.Listed(se.incarnation); !known {
		se.end()
		se.startOther()
	}
	ld.checkRecovery(now)
	ld.schedulePlan()
}

// incarnationOver ends the session of an incarnation that is over without a report of the next one. The caller holds the
// lock.
func (se *session) incarnationOver(now time.Duration) {
	se.close(now, func() { se.leader.cell.Replaced(now, se.incarnation) })
}

// close ends the session because the incarnation is over. The caller holds the lock.
func (se *session) close(now time.Duration, update func()) {
	ld := se.leader
	if se.ended {
		return
	}
	ld.log.Info("Worker's incarnation is over.", "worker", se.incarnation)
	ld.resolveLost(se.incarnation)
	se.lose(update)
	se.end()
	se.startOther()
	ld.checkRecovery(now)
}

// lose applies the loss of the worker, and logs the runs that are lost with it. The caller holds the lock.
func (se *session) lose(update func()) {
	ld := se.leader
	held := ld.cell.HeldRuns(se.incarnation)
	update()
	if len(held) == 0 {
		return
	}
	ld.metrics.count("planner.workers_lost_with_runs")
	for _, rn := range held {
		crashes, blamed := ld.cell.CrashCounts(rn.Task)
		ld.log.Info("Run was lost with its worker.", "task", rn.Task.String(), "run", rn.Number, "worker", se.incarnation,
			"crashes", crashes, "blamed", blamed)
	}
}

// end ends the session. The caller holds the lock.
func (se *session) end() {
	se.setUnreachable(false)
	se.ended = true
	se.endAck()
	delete(se.leader.sessions, se.incarnation)
	delete(se.leader.current, se.incarnation.WorkerID())
}
