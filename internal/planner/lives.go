package planner

import (
	"tackbeam.example/policy/incarnation"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/agent"
)

// A worker may begin again under its id, and knows nothing of before then: it counts its ends from 1
// and its clock from 0. What was kept by the id told the next life to forget ends that nobody had
// taken in, and passed others over as known, so that their tasks ran again. So a session, and all that
// the cell knows, is of one life. Which life is there only the worker itself says, in its reports: an
// entry of the list may be late, early, or another writer's.

// note takes in whether a call to the worker was answered.
func (se *session) note(err error) {
	ld := se.lead
	lost := errors.Is(err, agent.ErrNoAnswer)
	ld.losses.note(!lost)
	if lost {
		ld.mu.Lock()
		defer ld.mu.Unlock()
		se.doubted = true
	}
}

// noted returns the number of the last end that the worker need not report any more, which the next call
// tells it. After a call without an answer another life may be there, which would forget ends of its own
// unread: then it is none. The caller holds the lock.
func (se *session) noted() int {
	if se.doubted {
		return 0
	}
	number, _ := se.lead.cell.AckedEnd(se.life)
	return number
}

// matches reports whether an entry is of the session's life, as far as both say.
func (se *session) matches(en WorkerEntry) bool {
	born := en.ID.StartedAt()
	return born == 0 || born == se.born || se.born == 0 && !se.answered
}

// expect takes in an entry of another life than the one that answered: it is asked at once, and gets
// no runs until it has answered as either.
func (se *session) expect(en WorkerEntry) {
	ld := se.lead
	if en.ID.StartedAt() < se.born {
		ld.log.Info("Entry of an earlier life of a worker is passed over.", "worker", se.life, "entry", en.ID)
		return
	}
	known := se.other != nil && se.other.ID == en.ID
	se.other = &en
	if known {
		return
	}
	ld.log.Info("Worker's entry is of another life.", "worker", se.life, "entry", en.ID)
	ld.cell.Unreachable(ld.now(), se.life)
	se.ask()
}

// accepts reports whether a report is of the session's life. Where it is of a later one, that begins.
// The caller holds the lock.
func (se *session) accepts(report agent.Report) bool {
	ld := se.lead
	switch {
	case report.StartedAt == 0 || report.StartedAt == se.born:
		return true
	case se.born == 0 && !se.answered:
		se.born = report.StartedAt
		return true
	case se.answered && report.StartedAt < se.born:
		ld.log.Info("Report of an earlier life of a worker is passed over.", "worker", se.life, "born", report.StartedAt)
		return false
	}
	next := incarnation.New(se.life.WorkerID(), report.StartedAt)
	ld.log.Info("Worker has begun again under its id.", "worker", next, "before", se.life,
		"clock", report.Clock.String(), "clock_before", se.clock.String())
	se.replace(next)
	return false
}

// replace ends the session for another life of the worker, of which the entry may be yet to come.
func (se *session) replace(next incarnation.ID) {
	ld, now := se.lead, se.lead.now()
	en := se.entry
	listed := se.other != nil && se.other.ID == next
	if listed {
		en = *se.other
	}
	en.ID, se.other = next, nil
	ld.passOn(se.life, next)
	se.over(now, func() { ld.cell.Restarted(now, se.life, next) })
	if listed {
		ld.begin(en)
		return
	}
	ld.cell.InheritRuns(now, next, nil)
	ld.hold(en)
}

// passOn has old tasks wait for the next life where they waited for the earlier one: a start that the
// earlier planner had an answer to may have been carried out in either.
func (ld *lead) passOn(earlier, next incarnation.ID) {
	if open, old := ld.old[earlier]; old {
		ld.old[next] = open
	}
}

// beginOther begins a session with the life whose entry is in the list by now, if there is one.
func (se *session) beginOther() {
	if se.other != nil {
		se.lead.begin(*se.other)
		se.other = nil
	}
}

// firstAnswer draws the consequences of a life's first answer: lives that earlier planners held under its
// id are over.
func (se *session) firstAnswer(now time.Duration) {
	ld := se.lead
	for _, lf := range ld.earlier[se.life.WorkerID()] {
		if _, old := ld.old[lf]; old && lf != se.life {
			ld.log.Info("Worker's life is over.", "worker", lf)
			ld.cell.Replaced(now, lf)
			delete(ld.old, lf)
		}
	}
	delete(ld.old, se.life)
}
