package planner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"
	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/loop"
)

// Timeouts of orders.
const (
	// stopTimeout is how long a worker may take to answer a stop or a change of pace. It answers within a few ms, on a
	// lossy link within a retransmission of 200 ms.
	stopTimeout = 400 * time.Millisecond
	// stopReportDelay is the time, in addition to the duration of a stop, after which a report is requested to confirm
	// that the run has ended.
	stopReportDelay = 120 * time.Millisecond
)

// stopBackoff is the pause before an unanswered stop is sent again. A crashed worker answers none until another one is
// in its place.
var stopBackoff = backoff.Backoff{Initial: 50 * time.Millisecond, Max: 800 * time.Millisecond}

// sendStart sends one start and records its outcome.
func (ld *leader) sendStart(sr cell.Start) {
	ld.awaitAck(sr.Worker)
	se, token, deadline, ok := ld.prepareStart(sr)
	if !ok || !ld.canPlan() {
		ld.update(func(now time.Duration) {
			ld.stats.end(now-sr.DecidedAt, cell.RefusedLate)
			ld.cell.Refused(now, sr, cell.RefusedLate)
		})
		ld.log.Info("Start was not sent.", "task", sr.Task.String(), "run", sr.Run, "worker", sr.Worker)
		return
	}
	sent := ld.clock.Now()
	tries := 0
	refusal, err := ld.replyTimeout.retry(func() bool { return ld.canPlan() && ld.mayRepeat(sr) }, func(wait time.Duration) (cell.Refusal, error) {
		tries++
		call, cancel := context.WithTimeout(context.WithoutCancel(ld.ctx), wait)
		defer cancel()
		began, leastClock := ld.clock.Now(), se.minClock()
		answer, err := ld.opts.Agents.Start(call, se.target(), token, deadline, sr)
		ld.replyTimeout.record(ld.clock.Since(began))
		se.recordCall(err)
		se.recordClock(leastClock, answer.Clock)
		return answer.Refusal, err
	})
	took := ld.clock.Since(sent)
	ld.metrics.start(took, refusal, err)
	ld.update(func(now time.Duration) {
		ld.stats.end(now-sr.DecidedAt, refusal)
		if tries > 1 {
			ld.cell.StartDelayed(now, sr)
		}
		switch {
		case err == nil && refusal == "":
			ld.cell.Started(now, sr)
		case err == nil:
			ld.cell.Refused(now, sr, refusal)
		case tries == 1 && (errors.Is(err, agent.ErrOtherIncarnation) || errors.Is(err, agent.ErrFenced)):
			// Another incarnation answered the only attempt, so the run never began, and the end of the previous
			// incarnation must not be attributed to it.
			ld.cell.Refused(now, sr, cell.RefusedLate)
		default:
			ld.cell.StartUnconfirmed(now, sr)
		}
	})
	ld.log.Info("Sent start.", "task", sr.Task.String(), "run", sr.Run, "worker", sr.Worker,
		"took", took.String(), "tries", tries, "refusal", refusal, "error", errorText(err),
		"version", sr.Version)
	ld.handleOrderError(se, token, err)
}

// canPlan reports whether tasks may be started now.
func (ld *leader) canPlan() bool {
	return ld.ctx.Err() == nil && ld.term.LeaseHeld() && ld.listFresh() && ld.evacuations.fresh()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// mayRepeat reports whether a start may be sent to its worker again, and records that it is. A planner that is behind
// sends starts seconds after their decision, but a worker may be given tasks only for 2 s after it has announced that it
// leaves.
func (ld *leader) mayRepeat(sr cell.Start) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.cell.StartValid(sr) {
		return false
	}
	ld.deadlineSent(ld.now(), sr.Worker)
	ld.cell.StartDelayed(ld.now(), sr) // a report may list the run before this attempt is answered
	return true
}

// prepareStart returns the session of a start's worker, its token and the deadline of the worker's lease.
func (ld *leader) prepareStart(sr cell.Start) (se *session, token uint64, deadline time.Duration, ok bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	se, ok = ld.sessions[sr.Worker]
	if !ok || !se.answered || se.ackToken != 0 || !ld.cell.StartValid(sr) {
		return nil, 0, 0, false
	}
	return se, se.token, se.startDeadline(ld.now()), true
}

// update applies the outcome of an order to the cell, and schedules a planning pass.
func (ld *leader) update(act func(now time.Duration)) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	act(ld.now())
	ld.schedulePlan()
}

// handleOrderError handles consequences of an order's error that concern the session or the term.
func (ld *leader) handleOrderError(se *session, token uint64, err error) {
	if !se.handleFenced(token, err) && errors.Is(err, agent.ErrOtherIncarnation) {
		ld.update(func(now time.Duration) { se.incarnationOver(now) })
	}
}

// send sends an order other than a start to a worker, and handles its error. sent is false if the worker has no session,
// or if the term is over.
func (ld *leader) send(id incarnation.ID, order func(ctx context.Context, to agent.Target, token uint64) error) (sent bool, err error) {
	ld.mu.Lock()
	se, ok := ld.sessions[id]
	var token uint64
	if ok {
		token = se.token
	}
	ld.mu.Unlock()
	if !ok || ld.ctx.Err() != nil {
		return false, nil
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ld.ctx), stopTimeout)
	defer cancel()
	err = order(call, se.target(), token)
	ld.handleOrderError(se, token, err)
	return true, err
}

// sendStop sends one stop. If the stop is not confirmed, the cell orders it again; also if the worker has no session because
// it is not listed, since it may be listed again while the run goes on.
func (ld *leader) sendStop(sp cell.Stop) {
	sent, err := ld.send(sp.Worker, func(ctx context.Context, to agent.Target, token uint64) error {
		return ld.opts.Agents.Stop(ctx, to, token, sp)
	})
	switch {
	case sent:
		ld.metrics.count("planner.stops")
		ld.log.Info("Sent stop.", "task", sp.Task.String(), "run", sp.Run, "worker", sp.Worker, "reason", sp.Reason, "error", errorText(err))
	case sp.Attempts == 0 && ld.ctx.Err() == nil:
		ld.metrics.count("planner.stops_waiting")
		ld.log.Info("Stop waits until its worker is listed.", "task", sp.Task.String(), "run", sp.Run, "worker", sp.Worker, "reason", sp.Reason)
	}
	if sent && err == nil {
		ld.update(func(now time.Duration) {
			if ld.cell.Stopped(now, sp) {
				// A run that never began has no end to report.
				ld.clock.AfterFunc(ld.opts.Site.Bounds.StopTimeout+stopReportDelay, func() { ld.requestReport(sp.Worker) })
			}
		})
		return
	}
	if loop.Sleep(ld.ctx, ld.clock, stopBackoff.Delay(sp.Attempts)) {
		ld.update(func(time.Duration) { ld.cell.StopUnconfirmed(sp) })
	}
}

// sendPace sends one change of a run's pace.
func (ld *leader) sendPace(pc cell.Pace) {
	sent, err := ld.send(pc.Worker, func(ctx context.Context, to agent.Target, token uint64) error {
		return ld.opts.Agents.Pace(ctx, to, token, pc)
	})
	if !sent {
		ld.update(func(time.Duration) { ld.cell.PaceUnconfirmed(pc) })
		return
	}
	ld.log.Info("Sent change of pace.", "task", pc.Task.String(), "run", pc.Run, "worker", pc.Worker, "percent", pc.Percent, "error", errorText(err))
	if err != nil {
		ld.update(func(time.Duration) { ld.cell.PaceUnconfirmed(pc) })
	}
}

// requestAdvice sends one advice request.
func (ld *leader) requestAdvice(qn cell.AdviceRequest) {
	sent := ld.clock.Now()
	answer, err := ld.opts.Advise(ld.ctx, qn)
	took := ld.clock.Since(sent)
	ld.metrics.observe("planner.advice", took)
	busy := fault.Is(err, fault.Full)
	ld.update(func(now time.Duration) {
		switch {
		case busy:
			ld.cell.AdviceDeferred(now, qn)
		case err != nil:
			ld.cell.AdviceFailed(now, qn)
		default:
			ld.cell.AddAdvice(now, qn, answer.Tickets, answer.ValidFor)
		}
	})
	if busy {
		// The request was not sent. The cell soon repeats it, possibly often, so this is not logged.
		ld.metrics.count("planner.advice.put_off")
		return
	}
	ld.log.Info("Requested advice.", "step", qn.Step.StepName(), "asked", len(qn.Workers), "allowed", len(answer.Tickets),
		"took", took.String(), "error", errorText(err))
}
