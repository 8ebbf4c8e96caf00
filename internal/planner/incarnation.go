package planner

import (
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
)

// A worker may restart under the same id. Its new incarnation knows nothing of the previous one: it numbers its ends
// from 1, and its clock starts at 0. With state kept by worker id, the planner would tell the new incarnation to forget
// ends that the planner has not received, and ignore others as duplicates, so that their tasks would run again. So a
// session, and all state of the cell, belongs to one incarnation. Only the worker's reports tell which incarnation is
// running: an entry in the list of workers may be late, early or written by someone else.

// recordCall records whether the worker answered a call.
func (se *session) recordCall(err error) {
	ld := se.leader
	lost := errors.Is(err, agent.ErrNoAnswer)
	ld.lossRate.record(!lost)
	if lost {
		ld.mu.Lock()
		defer ld.mu.Unlock()
		se.unanswered = true
	}
}

// minClock returns the least time that the incarnation's clock can show when it answers a call that is sent now.
func (se *session) minClock() time.Duration {
	const resolution = time.Millisecond // of clocks in answers
	ld := se.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !se.answered {
		return 0
	}
	return se.clock + time.Duration(float64(ld.now()-se.heard)*(1-maxClockDrift)) - resolution
}

// recordClock compares the clock in the answer to a call with the least time that this incarnation's can show. If it
// shows less, the next one has probably answered. A report, which is requested at once, tells.
func (se *session) recordClock(least, clock time.Duration) {
	ld := se.leader
	if clock <= 0 || clock >= least {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se.ended {
		return
	}
	ld.log.Info("Worker's clock is earlier than before.", "worker", se.incarnation, "clock", clock.String(), "least", least.String())
	se.unanswered = true
	se.requestReport()
}

// matches reports whether an entry may be of the session's incarnation, as far as the start times are known.
func (se *session) matches(en WorkerEntry) bool {
	startedAt := en.ID.StartedAt()
	return startedAt == 0 || startedAt == se.startedAt || se.startedAt == 0 && !se.answered
}

// expectOther handles an entry of another incarnation than the one that answered. The worker is asked for a report at
// once, and gets no runs until it has answered.
func (se *session) expectOther(en WorkerEntry) {
	ld := se.leader
	if en.ID.StartedAt() < se.startedAt {
		ld.log.Info("Ignoring the entry of an earlier incarnation of a worker.", "worker", se.incarnation, "entry", en.ID)
		return
	}
	known := se.other != nil && se.other.ID == en.ID
	se.other = &en
	if known {
		return
	}
	ld.log.Info("Worker's entry is of another incarnation.", "worker", se.incarnation, "entry", en.ID)
	ld.cell.Unreachable(ld.now(), se.incarnation, se.leaseEnd())
	se.requestReport()
}

// accepts reports whether a report is of the session's incarnation. If it is of a later one, a session with that
// begins. The caller holds the lock.
func (se *session) accepts(report agent.Report) bool {
	ld := se.leader
	switch {
	case report.StartedAt == 0 || report.StartedAt == se.startedAt:
		return true
	case se.startedAt == 0 && !se.answered:
		se.startedAt = report.StartedAt
		return true
	case se.answered && report.StartedAt < se.startedAt:
		ld.log.Info("Ignoring the report of an earlier incarnation of a worker.", "worker", se.incarnation, "born", report.StartedAt)
		return false
	}
	next := incarnation.New(se.incarnation.WorkerID(), report.StartedAt)
	ld.log.Info("Worker has restarted under the same id.", "worker", next, "before", se.incarnation,
		"clock", report.Clock.String(), "clock_before", se.clock.String())
	se.replace(next, se.nextBegan(report))
	return false
}

// nextBegan returns the latest time at which the next incarnation can have begun, by the clock in its report. A clock
// that puts that before the last answer of this incarnation did not start at 0, and tells nothing.
func (se *session) nextBegan(report agent.Report) time.Duration {
	now := se.leader.now()
	began := now - time.Duration(float64(report.Clock)*(1-maxClockDrift))
	if !se.answered || began < se.heard {
		return now
	}
	return began
}

// replace ends the session in favour of another incarnation of the worker, which began at the given time or before. Its
// entry may not be in the list yet.
func (se *session) replace(next incarnation.ID, began time.Duration) {
	ld, now := se.leader, se.leader.now()
	en := se.entry
	listed := se.other != nil && se.other.ID == next
	if listed {
		en = *se.other
	}
	en.ID, se.other = next, nil
	ld.transferUnresolved(se.incarnation, next)
	se.close(now, func() { ld.cell.Restarted(now, se.incarnation, next, began) })
	if listed {
		ld.addWorker(en)
		return
	}
	ld.cell.InheritRuns(now, next, nil)
	ld.beginSession(en)
}

// transferUnresolved makes tasks of earlier planners wait for the next incarnation if they waited for the previous one:
// a start that the earlier planner had an answer to may have been carried out by either.
func (ld *leader) transferUnresolved(earlier, next incarnation.ID) {
	if open, old := ld.unresolved[earlier]; old {
		ld.unresolved[next] = ld.unresolved[next] || open
	}
}

// startOther begins a session with the other incarnation in the list of workers, if there is one.
func (se *session) startOther() {
	if se.other != nil {
		se.leader.addWorker(*se.other)
		se.other = nil
	}
}

// resolveEarlier handles the first answer of an incarnation: other incarnations of the worker that earlier planners
// recorded are over. Its reports tell which of their runs this one has, and are waited for in their place.
func (se *session) resolveEarlier(now time.Duration) {
	ld := se.leader
	for _, inc := range ld.earlier[se.incarnation.WorkerID()] {
		if _, old := ld.unresolved[inc]; old && inc != se.incarnation {
			ld.log.Info("Worker's incarnation is over.", "worker", inc)
			ld.cell.Restarted(now, inc, se.incarnation, now)
			ld.transferUnresolved(inc, se.incarnation)
			ld.resolveLost(inc)
		}
	}
}
