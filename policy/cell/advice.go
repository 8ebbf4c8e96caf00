package cell

import (
	"iter"
	"time"

	"tackbeam.example/policy/work"
)

// advice is what the advisor said of the workers for one step.
type advice struct {
	tickets map[string]ticket
	// verdicts hold for good: whether a worker may run the step.
	verdicts map[string]bool
	// good are the workers that may.
	good   []string
	asking bool
	// again is when the next question may be asked after one that failed.
	again time.Duration
	// questions counts the questions, unanswered those that had no answer.
	questions, unanswered int
}

// ticket proves to a worker that it may run the step.
type ticket struct {
	text  string
	until time.Duration
}

// Ticket is one row of an answer: the worker may run the step.
type Ticket struct {
	Worker string
	Text   string
}

func newAdvice() advice {
	return advice{tickets: map[string]ticket{}, verdicts: map[string]bool{}}
}

// advised reports whether the step runs only on workers that the advisor allows.
func (st *step) advised() bool { return st.round.job.spec.Queue.Advised }

// trusts reports whether the worker is known to be allowed, or needs no leave.
func (ad *advice) trusts(st *step, wk *worker) bool {
	return !st.advised() || ad.verdicts[wk.ID]
}

// ticketed returns those of the trusted candidates that have a ticket for the step.
func (ad *advice) ticketed(now time.Duration, trusted iter.Seq[candidate]) []candidate {
	var out []candidate
	for cand := range trusted {
		if ad.valid(now, cand.worker) {
			out = append(out, cand)
		}
	}
	return out
}

// valid reports whether the worker's ticket can still be used.
func (ad *advice) valid(now time.Duration, wk *worker) bool {
	return ad.tickets[wk.ID].until > now+ticketMargin
}

// Advised takes in the answer to a question: the rows are good for a time from now.
func (cl *Cell) Advised(now time.Duration, qn Question, rows []Ticket, valid time.Duration) {
	st := cl.step(qn.Step)
	if st == nil {
		return
	}
	st.advice.asking = false
	fresh := 0
	for _, id := range qn.Workers {
		if _, asked := st.advice.verdicts[id]; !asked {
			st.advice.verdicts[id] = false
			fresh++
		}
	}
	good := 0
	if len(rows) > 0 {
		st.ticketsFirst, st.complete = false, 0
	}
	for _, row := range rows {
		if !st.advice.verdicts[row.Worker] {
			good++
			st.advice.good = append(st.advice.good, row.Worker)
		}
		st.advice.verdicts[row.Worker] = true
		st.advice.tickets[row.Worker] = ticket{row.Text, now + valid}
	}
	if fresh > 0 {
		const weight = 0.1
		qu := cl.queue(st.round.job.spec.Queue.Name)
		qu.good += weight * (max(float64(good)/float64(fresh), minGood) - qu.good)
	}
}

// minGood keeps the expected share of allowed workers above zero.
const minGood = 0.05

// Unadvised takes in that a question was not answered.
func (cl *Cell) Unadvised(now time.Duration, qn Question) {
	if st := cl.step(qn.Step); st != nil {
		st.advice.asking = false
		st.advice.unanswered++
		st.advice.again = now + askPause
	}
}

// PutOff takes in that a question was not put, since the advisor is busy.
func (cl *Cell) PutOff(now time.Duration, qn Question) {
	if st := cl.step(qn.Step); st != nil {
		st.advice.asking = false
		st.advice.unanswered++
		if st.urgent() { // these do not wait for their turn, so each pauses by itself
			st.advice.again = now + askPause
			return
		}
	}
	cl.askAgain = now + busyPause
}

func (cl *Cell) step(name work.Task) *step {
	name.Index = 0
	if tk := cl.find(name); tk != nil {
		return tk.step
	}
	return nil
}
