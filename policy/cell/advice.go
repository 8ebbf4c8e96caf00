package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/work"
)

// advice is what the advisor said of the workers for one step.
type advice struct {
	tickets map[string]ticket
	// verdicts hold for good: whether a worker may run the step.
	verdicts map[string]bool
	asking   bool
	// again is when the next question may be asked after one that failed.
	again time.Duration
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

// trusts reports whether the worker is known to be allowed, or needs no leave.
func (ad *advice) trusts(st *step, wk *worker) bool {
	return !st.round.job.spec.Queue.Advised || ad.verdicts[wk.ID]
}

// Limits of questions.
const (
	// maxAsked is the most workers that one question names.
	maxAsked = 100
	// minAsked is the fewest workers that a question names where there are more, so
	// that one of them is most likely allowed.
	minAsked = 5
	// askSpare is the room asked about, against what the tasks need.
	askSpare = 1.5
	// gangSpare is the same for gangs, whose room comes free later.
	gangSpare = 3
	// ticketMargin is the time before its end in which a ticket is not used: a start
	// takes a few ms, a queue of them on a busy node tens of ms.
	ticketMargin = 100 * time.Millisecond
	// askPause follows a question that was not answered.
	askPause = 100 * time.Millisecond
)

// allowed returns the candidates with a ticket, or all where none is needed.
func (cl *Cell) allowed(now time.Duration, st *step, cands []candidate) []candidate {
	if !st.round.job.spec.Queue.Advised {
		return cands
	}
	var out []candidate
	for _, cand := range cands {
		if st.advice.tickets[cand.worker.ID].until > now+ticketMargin {
			out = append(out, cand)
		}
	}
	return out
}

// trusted returns the candidates that are known to be allowed.
func (cl *Cell) trusted(st *step, cands []candidate) []candidate {
	var out []candidate
	for _, cand := range cands {
		if st.advice.trusts(st, cand.worker) {
			out = append(out, cand)
		}
	}
	return out
}

// ask asks for leave to run tasks for which no allowed worker has room: first of
// workers that are known to be allowed, then of ones never asked about.
func (cl *Cell) ask(now time.Duration, st *step, cands []candidate, short int) {
	if !st.round.job.spec.Queue.Advised || st.advice.asking || now < st.advice.again {
		return
	}
	var known, fresh []candidate
	for _, cand := range cands {
		good, asked := st.advice.verdicts[cand.worker.ID]
		switch {
		case good && st.advice.tickets[cand.worker.ID].until <= now+ticketMargin:
			known = append(known, cand)
		case !asked:
			fresh = append(fresh, cand)
		}
	}
	cl.sortTight(st, known)
	cl.sortTight(st, fresh)
	names := pick(known, float64(short), 1, 1)
	if len(names) == 0 {
		share := cl.queue(st.round.job.spec.Queue.Name).good
		names = pick(fresh, float64(short)*askSpare, share, minAsked)
	}
	cl.question(st, names)
}

// askAgain asks for new tickets of workers that are known to be allowed.
func (cl *Cell) askAgain(now time.Duration, st *step, chosen []candidate) {
	if st.advice.asking || now < st.advice.again {
		return
	}
	var names []string
	for _, cand := range chosen {
		names = append(names, cand.worker.ID)
	}
	cl.question(st, names)
}

// askGang asks about workers for a gang, full ones too, those with most room first.
func (cl *Cell) askGang(now time.Duration, st *step) {
	if st.advice.asking || now < st.advice.again {
		return
	}
	var fresh []candidate
	known := 0
	for _, wk := range cl.workers {
		if !cl.may(st, wk) || !cl.takes(now, wk) {
			continue
		}
		room := wk.Capacity.Holds(st.need())
		good, asked := st.advice.verdicts[wk.ID]
		switch {
		case good:
			known += room
		case !asked && room > 0:
			fresh = append(fresh, candidate{wk, room})
		}
	}
	slices.SortFunc(fresh, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.worker.free(), a.worker.free()), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	want := float64(len(st.tasks))*gangSpare - float64(known)
	if want > 0 {
		cl.question(st, pick(fresh, want, cl.queue(st.round.job.spec.Queue.Name).good, minAsked))
	}
}

// pick names workers until the room expected of the allowed ones suffices.
func pick(cands []candidate, want, share float64, least int) []string {
	var names []string
	for _, cand := range cands {
		if len(names) >= maxAsked || want <= 0 && len(names) >= least {
			break
		}
		names = append(names, cand.worker.ID)
		want -= float64(cand.room) * share
	}
	return names
}

func (cl *Cell) question(st *step, names []string) {
	if len(names) == 0 {
		return
	}
	st.advice.asking = true
	qu := st.round.job.spec.Queue
	cl.out.Questions = append(cl.out.Questions, Question{
		Step:    work.Task{Job: st.round.job.spec.ID, Round: st.round.num, Step: st.num},
		Workers: names, Urgent: st.urgent(),
		Takes: qu.AdviceBase + time.Duration(len(names))*qu.AdviceEach,
	})
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
	for _, row := range rows {
		if !st.advice.verdicts[row.Worker] {
			good++
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
		st.advice.again = now + askPause
	}
}

func (cl *Cell) step(name work.Task) *step {
	name.Index = 0
	if tk := cl.find(name); tk != nil {
		return tk.step
	}
	return nil
}
