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

// Times of orders.
const (
	// stopTimeout is how long a worker may take to answer a stop or a change of pace: it
	// does so within a few ms, on a lossy link within a retransmission of 200 ms.
	stopTimeout = 400 * time.Millisecond
	// stopPatience is added to the time that a stop takes, before a report is asked for
	// that shows that the run is gone.
	stopPatience = 120 * time.Millisecond
)

// stopPause is the pause before a stop that was not answered is sent again: a worker that crashed answers
// none until another one is in its place.
var stopPause = backoff.Backoff{Initial: 50 * time.Millisecond, Max: 800 * time.Millisecond}

// start carries out one start.
func (ld *lead) start(sr cell.Start) {
	se, deadline, ok := ld.prepare(sr)
	if !ok || !ld.mayStart() {
		ld.after(func(now time.Duration) {
			ld.effort.end(now-sr.DecidedAt, cell.RefusedLate)
			ld.cell.Refused(now, sr, cell.RefusedLate)
		})
		ld.log.Info("Start was not sent.", "task", sr.Task.String(), "run", sr.Run, "worker", sr.Worker)
		return
	}
	sent := ld.clock.Now()
	tries := 0
	refusal, err := ld.patience.repeat(func() bool { return ld.mayStart() && ld.stands(sr) }, func(wait time.Duration) (cell.Refusal, error) {
		tries++
		call, cancel := context.WithTimeout(context.WithoutCancel(ld.ctx), wait)
		defer cancel()
		began := ld.clock.Now()
		refusal, err := ld.parts.Agents.Start(call, se.target(), se.token, deadline, sr)
		ld.patience.note(ld.clock.Since(began))
		se.note(err)
		return refusal, err
	})
	took := ld.clock.Since(sent)
	ld.measures.start(took, refusal, err)
	ld.after(func(now time.Duration) {
		ld.effort.end(now-sr.DecidedAt, refusal)
		if tries > 1 {
			ld.cell.StartDelayed(sr)
		}
		switch {
		case err == nil && refusal == "":
			ld.cell.Started(now, sr)
		case err == nil:
			ld.cell.Refused(now, sr, refusal)
		case tries == 1 && (errors.Is(err, agent.ErrOtherIncarnation) || errors.Is(err, agent.ErrFenced)):
			// Another life has answered the only try: the run never was there, and what ended
			// the worker is not to be attributed to it.
			ld.cell.Refused(now, sr, cell.RefusedLate)
		default:
			ld.cell.StartUnconfirmed(now, sr)
		}
	})
	ld.log.Info("Start.", "task", sr.Task.String(), "run", sr.Run, "worker", sr.Worker,
		"took", took.String(), "tries", tries, "refusal", refusal, "error", text(err))
	ld.orderFailed(se, err)
}

// mayStart reports whether the reign may start tasks now.
func (ld *lead) mayStart() bool { return ld.ctx.Err() == nil && ld.reign.LeaseHeld() && ld.knowsRoom() }

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// stands reports whether a start may still be sent to its worker. A planner that is behind sends
// starts seconds after it decided them, and users allow 2 s after a worker has said that it leaves.
func (ld *lead) stands(sr cell.Start) bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.cell.StartValid(sr)
}

// prepare returns what a start needs: its worker's session, and the deadline that the worker's lease
// has.
func (ld *lead) prepare(sr cell.Start) (*session, time.Duration, bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	se, ok := ld.sessions[sr.Worker]
	if !ok || !se.answered || !ld.cell.StartValid(sr) {
		return nil, 0, false
	}
	return se, se.extend(ld.now()), true
}

// after takes the outcome of an order in, and plans again.
func (ld *lead) after(act func(now time.Duration)) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	act(ld.now())
	ld.kick()
}

// orderFailed draws the consequences of an order's error beyond the order itself.
func (ld *lead) orderFailed(se *session, err error) {
	if !se.fenced(err) && errors.Is(err, agent.ErrOtherIncarnation) {
		ld.after(func(now time.Duration) { se.dead(now) })
	}
}

// send carries an order other than a start to a worker. It reports false where the worker
// is gone, or the reign over.
func (ld *lead) send(id incarnation.ID, order func(ctx context.Context, to agent.Target, token uint64) error) (se *session, sent bool, err error) {
	ld.mu.Lock()
	se, ok := ld.sessions[id]
	ld.mu.Unlock()
	if !ok || ld.ctx.Err() != nil {
		return nil, false, nil
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ld.ctx), stopTimeout)
	defer cancel()
	return se, true, order(call, se.target(), se.token)
}

// stop carries out one stop, and has it ordered again while it is not confirmed.
func (ld *lead) stop(sp cell.Stop) {
	se, sent, err := ld.send(sp.Worker, func(ctx context.Context, to agent.Target, token uint64) error {
		return ld.parts.Agents.Stop(ctx, to, token, sp)
	})
	if !sent {
		return
	}
	ld.measures.count("planner.stops")
	ld.log.Info("Stop.", "task", sp.Task.String(), "run", sp.Run, "worker", sp.Worker, "reason", sp.Reason, "error", text(err))
	if err == nil {
		ld.after(func(now time.Duration) {
			if ld.cell.Stopped(now, sp) {
				// A run that never was there has no end that would be reported.
				ld.clock.AfterFunc(ld.parts.Site.Bounds.StopTime+stopPatience, func() { ld.ask(sp.Worker) })
			}
		})
		return
	}
	ld.orderFailed(se, err)
	if loop.Pause(ld.ctx, ld.clock, stopPause.Delay(sp.Attempts)) {
		ld.after(func(time.Duration) { ld.cell.StopUnconfirmed(sp) })
	}
}

// setPace carries out one change of a run's pace.
func (ld *lead) setPace(pc cell.Pace) {
	se, sent, err := ld.send(pc.Worker, func(ctx context.Context, to agent.Target, token uint64) error {
		return ld.parts.Agents.Pace(ctx, to, token, pc)
	})
	if !sent {
		return
	}
	ld.log.Info("Pace.", "task", pc.Task.String(), "run", pc.Run, "worker", pc.Worker, "percent", pc.Percent, "error", text(err))
	if err != nil {
		ld.orderFailed(se, err)
		ld.after(func(time.Duration) { ld.cell.PaceUnconfirmed(pc) })
	}
}

// advise asks one question.
func (ld *lead) advise(qn cell.AdviceRequest) {
	sent := ld.clock.Now()
	answer, err := ld.parts.Advise(ld.ctx, qn)
	took := ld.clock.Since(sent)
	ld.measures.timed("planner.advice", took)
	busy := fault.Is(err, fault.Full)
	ld.after(func(now time.Duration) {
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
		// Nothing was asked; the cell asks again soon, which may be often.
		ld.measures.count("planner.advice.put_off")
		return
	}
	ld.log.Info("Advice.", "step", qn.Step.StepName(), "asked", len(qn.Workers), "allowed", len(answer.Tickets),
		"took", took.String(), "error", text(err))
}
