package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// advice is what the advisor has said about the workers for one step.
type advice struct {
	// verdicts are final: the permission of a worker that may run the step, nil for a worker that may not.
	verdicts map[incarnation.ID]*permission
	// allowed are the permissions of the workers that may run the step.
	allowed []*permission
	// until is when the last of the tickets expires.
	until time.Duration
	// pending counts the requests without an answer yet.
	pending int
	// retryAt is the earliest time for the next request after one that failed.
	retryAt time.Duration
	// unused counts the answers since the last start of the step, and pausedUntil is the end of the pause after the
	// last one; they are used with feature.AdviceBudget only. noRoom is set while the budget finds no room for the
	// step, noTime while it has no time for its request.
	unused         int
	pausedUntil    time.Duration
	noRoom, noTime bool
	// requests counts the requests, unanswered those of them that got no answer.
	requests, unanswered int
}

// permission is the advisor's decision that a worker may run the step.
type permission struct {
	id incarnation.ID
	// worker is the result of the last lookup of the ID.
	worker *worker
	// ticket proves the permission to the worker until a time.
	ticket string
	until  time.Duration
}

// Ticket is one row of an answer: the worker may run the step. Nodes exchange it encoded under these field
// names.
type Ticket struct {
	Worker incarnation.ID
	Text   string
}

func newAdvice() advice {
	return advice{verdicts: map[incarnation.ID]*permission{}}
}

// advised reports whether the step runs only on workers that the advisor allows.
func (st *step) advised() bool { return st.round.job.spec.Queue.Advised }

// withTickets returns the workers that could start a task of the step now and have a valid ticket for it. Most
// waiting steps have no valid ticket, and the others have few.
func (cl *Cell) withTickets(now time.Duration, st *step) []candidate {
	until := cl.latestArrival(now)
	if st.advice.until <= until {
		return nil
	}
	if cl.lacks(st, withTicket, until) {
		return nil
	}
	valid := func(pm *permission) bool { return pm.until > until }
	return slices.Collect(cl.search(st, withTicket, until, cl.allowedWorkers(st, valid)))
}

// latestArrival returns when a start that is decided now will have reached its worker at the latest. The ticket
// must be valid until then.
func (cl *Cell) latestArrival(now time.Duration) time.Duration {
	return now + ticketMargin + cl.window.expectedLag(cl.now)
}

// hasTicketUntil reports whether the worker has a ticket that expires after a time.
func (ad *advice) hasTicketUntil(wk *worker, at time.Duration) bool {
	pm := ad.verdicts[wk.ID]
	return pm != nil && pm.until > at
}

// ticket returns the ticket that proves to a worker that it may run the step, or "".
func (ad *advice) ticket(wk *worker) string {
	if pm := ad.verdicts[wk.ID]; pm != nil {
		return pm.ticket
	}
	return ""
}

// expireTicket records that a worker rejected its ticket.
func (ad *advice) expireTicket(id incarnation.ID) {
	if pm := ad.verdicts[id]; pm != nil {
		pm.until = 0
	}
}

// AddAdvice records the answer to a request. The tickets are valid for the given time from now.
func (cl *Cell) AddAdvice(now time.Duration, rq AdviceRequest, rows []Ticket, valid time.Duration) {
	st := cl.step(rq.Step)
	if st == nil {
		return
	}
	st.advice.pending--
	cl.adviceAnswered(now, st, rq, valid)
	if !st.open {
		return
	}
	st.selectedAt = 0 // with the new information, other capacity may become free sooner
	newVerdicts := 0
	for _, id := range rq.Workers {
		if _, asked := st.advice.verdicts[id]; !asked {
			st.advice.verdicts[id] = nil
			newVerdicts++
		}
	}
	newAllowed := 0
	if len(rows) > 0 {
		st.ticketsFirst, st.completeSince = false, 0
	}
	for _, row := range rows {
		pm := st.advice.verdicts[row.Worker]
		if pm == nil {
			newAllowed++
			pm = &permission{id: row.Worker}
			st.advice.allowed = append(st.advice.allowed, pm)
			st.advice.verdicts[row.Worker] = pm
		}
		pm.ticket, pm.until = row.Text, now+valid
		st.advice.until = max(st.advice.until, pm.until)
	}
	cl.addAnswer(st, rows)
	if newVerdicts > 0 {
		const weight = 0.1
		qu := cl.queue(st.round.job.spec.Queue.Name)
		qu.allowedShare += weight * (max(float64(newAllowed)/float64(newVerdicts), minAllowedShare) - qu.allowedShare)
	}
}

// minAllowedShare keeps the estimated share of allowed workers above zero.
const minAllowedShare = 0.05

// AdviceFailed records that a request got no answer.
func (cl *Cell) AdviceFailed(now time.Duration, rq AdviceRequest) {
	cl.refundAdvice(now, rq)
	if st := cl.step(rq.Step); st != nil {
		st.advice.pending--
		st.advice.unanswered++
		st.advice.retryAt = now + failedRequestPause
	}
}

// AdviceDeferred records that a request was not sent because the advisor is busy.
func (cl *Cell) AdviceDeferred(now time.Duration, rq AdviceRequest) {
	cl.refundAdvice(now, rq)
	if st := cl.step(rq.Step); st != nil {
		st.advice.pending--
		st.advice.unanswered++
		if st.urgent() { // these do not wait for their turn, so each step pauses by itself
			st.advice.retryAt = now + failedRequestPause
			return
		}
	}
	cl.nextRequestAt, cl.advisorBusyAt = now+advisorBusyPause, now
}

func (cl *Cell) step(name work.Task) *step {
	name.Index = 0
	if tk := cl.findTask(name); tk != nil {
		return tk.step
	}
	return nil
}
