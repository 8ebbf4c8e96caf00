package planner

import (
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
)

// A worker that restarts under its id numbers its ends from 1 again, and receives orders that were sent to its previous
// incarnation. If it carries out such a start, and an acknowledgement arrives after the run's end, it forgets that end
// although nobody has read it, and the task runs again. No token prevents that, since the start and the acknowledgement
// have the same one. So they are never under way to such a worker at the same time:
//
//   - Ends are acknowledged only if no attempt of a start can be under way: the present incarnation has reported all runs
//     that were sent to it, and attempts that got no answer are old or their runs are over.
//   - While an acknowledgement is under way, starts wait. The worker answers it at once.
//   - After an acknowledgement without an answer, which may arrive at any time later, the session takes a higher token.
//     Starts wait until a hold with that token is answered, and an incarnation that carries one out rejects the
//     acknowledgement.
//
// A worker that reports no start time has a new id in each incarnation, and rejects orders to the previous one.

// repeatPause is the pause between two holds while the worker only repeats ends that cannot be acknowledged yet.
var repeatPause = backoff.Backoff{Initial: holdPause, Max: 8 * holdPause}

// mayRestart reports whether the worker may restart under its id.
func (se *session) mayRestart() bool { return se.startedAt != 0 }

// ackedEnd returns the number of the last end that the worker need not report again, for the next hold; 0 if no end may
// be acknowledged. Before the first answer of this incarnation, and after a call without one, another one may be
// running, which would forget ends of its own that were not read. The caller holds the lock.
func (se *session) ackedEnd() int {
	ld := se.leader
	if !se.answered || se.unanswered || se.ackToken != 0 || se.mayRestart() && ld.cell.MayHaveDelayedRuns(se.incarnation) {
		return 0
	}
	number, _ := ld.cell.AckedEnd(se.incarnation)
	return number
}

// beginAck records that an acknowledgement is sent, and returns how long it may take. Starts wait for it, so it has the
// short timeout of a start first. The caller holds the lock.
func (se *session) beginAck() time.Duration {
	se.ackToken, se.ackOver = se.token, make(chan struct{})
	return backoff.Backoff{Initial: se.leader.replyTimeout.next(), Max: holdSlack}.Delay(se.lostAcks)
}

// ackLost reports whether a hold's error is that an acknowledgement got no answer. The next hold shows whether the worker
// answers.
func (se *session) ackLost(hold agent.Hold, err error) bool {
	ld := se.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se.ackToken != hold.Token || hold.Acked == 0 || !errors.Is(err, agent.ErrNoAnswer) {
		return false
	}
	se.lostAcks++
	ld.metrics.count("planner.acks_lost")
	ld.log.Info("Acknowledgement was not answered.", "worker", se.incarnation, "up_to", hold.Acked, "session_token", hold.Token, "reason", err.Error())
	return true
}

// fenceLostAck takes a higher token after an acknowledgement without an answer. The caller holds the lock.
func (se *session) fenceLostAck() {
	if se.ackToken == se.token {
		se.token = se.leader.nextToken(se.incarnation.WorkerID())
	}
}

// ackAnswered records that this incarnation has answered a hold. The caller holds the lock.
func (se *session) ackAnswered(hold agent.Hold) {
	if hold.Acked > 0 {
		se.acked, se.lostAcks = max(se.acked, hold.Acked), 0
	}
	if hold.Acked > 0 || hold.Token > se.ackToken {
		se.endAck()
	}
}

// endAck lets starts be sent again. The caller holds the lock.
func (se *session) endAck() {
	if se.ackToken != 0 {
		se.ackToken = 0
		close(se.ackOver)
	}
}

// countRepeats counts the consecutive reports of which no end was new. The caller holds the lock.
func (se *session) countRepeats(newEnds, ends int) {
	se.repeats++
	if newEnds > 0 || ends == 0 || !se.mayRestart() {
		se.repeats = 0
	}
}

// pause returns the time until the next hold.
func (se *session) pause() time.Duration {
	se.leader.mu.Lock()
	defer se.leader.mu.Unlock()
	return repeatPause.Delay(se.repeats - 1)
}

// awaitAck waits until no acknowledgement to a worker is under way, for as long as one and the hold after it usually
// take.
func (ld *leader) awaitAck(id incarnation.ID) {
	ld.mu.Lock()
	se, ok := ld.sessions[id]
	if !ok || se.ackToken == 0 {
		ld.mu.Unlock()
		return
	}
	over := se.ackOver
	ld.mu.Unlock()
	timer := ld.clock.NewTimer(2 * ld.replyTimeout.next())
	defer timer.Stop()
	select {
	case <-over:
	case <-timer.Chan():
	case <-ld.ctx.Done():
	}
}
