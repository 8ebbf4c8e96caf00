package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// advice is what the advisor said of the workers for one step.
type advice struct {
	// verdicts hold for good: the leave of a worker that may run the step, nil for one that may not.
	verdicts map[incarnation.ID]*leave
	// good are those that may.
	good []*leave
	// until is when the last of the tickets ends.
	until time.Duration
	// open counts the questions without an answer yet.
	open int
	// again is when the next question may be asked after one that failed.
	again time.Duration
	// questions counts the questions, unanswered those that had no answer.
	questions, unanswered int
}

// leave is the advisor's word that a worker may run the step.
type leave struct {
	id incarnation.ID
	// worker is the one that had the id when it was last looked for.
	worker *worker
	// ticket proves the leave to the worker until a time.
	ticket string
	until  time.Duration
}

// Ticket is one row of an answer: the worker may run the step.
type Ticket struct {
	Worker incarnation.ID
	Text   string
}

func newAdvice() advice {
	return advice{verdicts: map[incarnation.ID]*leave{}}
}

// advised reports whether the step runs only on workers that the advisor allows.
func (st *step) advised() bool { return st.round.job.spec.Queue.Advised }

// ticketed returns the workers that could start a task of the step now and have a ticket for it.
// Most steps that wait have none, and of the others most workers' have ended.
func (cl *Cell) ticketed(now time.Duration, st *step) []candidate {
	need := cl.reaches(now)
	if st.advice.until <= need {
		return nil
	}
	valid := func(lv *leave) bool { return lv.until > need }
	return slices.Collect(cl.holding(st, cl.allowed(st, valid), cl.room))
}

// reaches returns when a start that is decided now has surely reached its worker, so that its
// ticket must be good until then.
func (cl *Cell) reaches(now time.Duration) time.Duration {
	return now + ticketMargin + cl.window.late(cl.now)
}

// goodUntil reports whether the worker has a ticket that ends after a time.
func (ad *advice) goodUntil(wk *worker, at time.Duration) bool {
	lv := ad.verdicts[wk.ID]
	return lv != nil && lv.until > at
}

// ticket is what proves to a worker that it may run the step, if anything does.
func (ad *advice) ticket(wk *worker) string {
	if lv := ad.verdicts[wk.ID]; lv != nil {
		return lv.ticket
	}
	return ""
}

// lapse takes in that a worker did not take its ticket.
func (ad *advice) lapse(id incarnation.ID) {
	if lv := ad.verdicts[id]; lv != nil {
		lv.until = 0
	}
}

// AddAdvice takes in the answer to a question: the rows are good for a time from now.
func (cl *Cell) AddAdvice(now time.Duration, qn AdviceRequest, rows []Ticket, valid time.Duration) {
	st := cl.step(qn.Step)
	if st == nil {
		return
	}
	st.advice.open--
	st.claimed = 0 // with what is known now, other room may come sooner
	fresh := 0
	for _, id := range qn.Workers {
		if _, asked := st.advice.verdicts[id]; !asked {
			st.advice.verdicts[id] = nil
			fresh++
		}
	}
	good := 0
	if len(rows) > 0 {
		st.ticketsFirst, st.complete = false, 0
	}
	for _, row := range rows {
		lv := st.advice.verdicts[row.Worker]
		if lv == nil {
			good++
			lv = &leave{id: row.Worker}
			st.advice.good = append(st.advice.good, lv)
			st.advice.verdicts[row.Worker] = lv
		}
		lv.ticket, lv.until = row.Text, now+valid
		st.advice.until = max(st.advice.until, lv.until)
	}
	if fresh > 0 {
		const weight = 0.1
		qu := cl.queue(st.round.job.spec.Queue.Name)
		qu.good += weight * (max(float64(good)/float64(fresh), minGood) - qu.good)
	}
}

// minGood keeps the expected share of allowed workers above zero.
const minGood = 0.05

// AdviceFailed takes in that a question was not answered.
func (cl *Cell) AdviceFailed(now time.Duration, qn AdviceRequest) {
	if st := cl.step(qn.Step); st != nil {
		st.advice.open--
		st.advice.unanswered++
		st.advice.again = now + askPause
	}
}

// AdviceDeferred takes in that a question was not put, since the advisor is busy.
func (cl *Cell) AdviceDeferred(now time.Duration, qn AdviceRequest) {
	if st := cl.step(qn.Step); st != nil {
		st.advice.open--
		st.advice.unanswered++
		if st.urgent() { // these do not wait for their turn, so each pauses by itself
			st.advice.again = now + askPause
			return
		}
	}
	cl.askAgain, cl.busy = now+busyPause, now
}

func (cl *Cell) step(name work.Task) *step {
	name.Index = 0
	if tk := cl.find(name); tk != nil {
		return tk.step
	}
	return nil
}
