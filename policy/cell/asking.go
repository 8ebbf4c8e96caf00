package cell

import (
	"iter"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"
)

// Limits of questions.
const (
	// maxAsked is the most workers that one question names.
	maxAsked = 100
	// mostAsked is the most workers that a step asks about at one time, in several questions: the
	// advisor answers each node by itself, and a gang needs all of its tickets at once.
	mostAsked = 4 * maxAsked
	// quickShare is the time that the workers of a question take while the advisor has time for more
	// questions, against what each takes anyway, so that answers are there sooner. A
	// smaller share takes more of the advisor's time and gains no more.
	quickShare = 0.72
	// idleAdvisor is for how long no question must have found the advisor busy for that.
	idleAdvisor = 2 * time.Second
	// minAsked is the fewest workers that a question names where there are more, so
	// that one of them is most likely allowed.
	minAsked = 5
	// askSpare is the room asked about, against what the tasks need.
	askSpare = 1.5
	// gangSpare is the same for gangs, whose room comes free later.
	gangSpare = 3
	// ticketMargin is the time before its end in which a ticket is not used, beyond the time that
	// starts wait on a busy node: a start takes a few ms, on a lossy link tens of ms.
	ticketMargin = 100 * time.Millisecond
	// ticketSpare is the room for which tickets are asked, against what the gang needs: the
	// estimates of where room comes free first are off.
	ticketSpare = 1.3
	// ticketAhead is how long before room is expected the answer may be there: half of the
	// time that tickets are good for.
	ticketAhead = 700 * time.Millisecond
	// longGather is how long a gang must still gather for more workers to be asked about:
	// the question takes a second. Asked about whenever room was short, it took two thirds
	// of the advisor's time on a day that asks for 0.86 of a cell.
	longGather = 2 * time.Second
	// askPause follows a question that was not answered.
	askPause = 100 * time.Millisecond
	// busyPause follows a question that found the advisor busy: with 37 nodes that need a
	// second each, one is free every 27 ms.
	busyPause = 20 * time.Millisecond
	// asksAPlan is how many questions that are not urgent one plan puts.
	asksAPlan = 8
)

// mayAsk reports whether a question about the step may be put now. While the advisor is
// busy only the first few in the order of a plan are, and all of them pause alike: where
// each paused by itself, whoever came at the right moment was served, and the oldest gangs
// were put off 80 to 120 times.
func (cl *Cell) mayAsk(now time.Duration, st *step) bool {
	if !st.advised() || st.advice.open > 0 || now < st.advice.again {
		return false
	}
	if st.urgent() {
		return cl.window.askable(cl.pending)
	}
	return now >= cl.askAgain && cl.asked < asksAPlan
}

// ask asks for leave to run tasks for which no allowed worker has room: first of
// workers that are known to be allowed, then of ones never asked about.
func (cl *Cell) ask(now time.Duration, st *step, short int) {
	if !cl.mayAsk(now, st) {
		return
	}
	var known []candidate
	need := cl.reaches(now)
	for cand := range cl.trusted(st) {
		if !st.advice.goodUntil(cand.worker, need) {
			known = append(known, cand)
		}
	}
	cl.sortTight(st, known)
	names := pick(slices.Values(known), float64(short), 1, 1, maxAsked)
	if len(names) == 0 {
		share := cl.queue(st.round.job.spec.Queue.Name).good
		names = pick(st.advice.unasked(cl.tight(st)), float64(short)*askSpare, share, leastAsked(st), maxAsked)
	}
	if len(names) > 0 {
		names = cl.topUp(st, names)
	}
	cl.question(st, names)
}

// topUp adds workers never asked about, full ones too, to a question until it names as many
// as are worth its time: a verdict holds for good, and the advisor's time goes by questions.
// Asked only about workers with room, tasks that need whole ones put question after question.
func (cl *Cell) topUp(st *step, names []incarnation.ID) []incarnation.ID {
	least := leastAsked(st)
	for cand := range st.advice.unasked(cl.wide(st)) {
		if len(names) >= least {
			break
		}
		if id := cand.worker.ID; !slices.Contains(names, id) {
			names = append(names, id)
		}
	}
	return names
}

// unasked leaves out the workers that were asked about.
func (ad *advice) unasked(cands iter.Seq[candidate]) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		for cand := range cands {
			if _, asked := ad.verdicts[cand.worker.ID]; !asked && !yield(cand) {
				return
			}
		}
	}
}

// askAhead asks for tickets of the workers on which room for the gang comes free soonest,
// so that they are there when the room is: the room would stand idle while the advisor
// answers. The openings are sorted by time.
func (cl *Cell) askAhead(now time.Duration, st *step, list []opening) {
	if !cl.mayAsk(now, st) {
		return
	}
	qu := st.round.job.spec.Queue
	spare := min(int(float64(st.waits)*ticketSpare)+1, len(list))
	takes := qu.AdviceBase + time.Duration(min(spare, cl.askable(st)))*qu.AdviceEach
	if st.expected > now+takes+ticketAhead {
		return
	}
	need := cl.reaches(max(st.expected, now+takes))
	names, lacks := st.ticketless(list[:spare], need)
	if len(names) > mostAsked {
		// One round of questions cannot renew them all: those that have a ticket wait, or the same
		// ones would be asked about for ever and the others never.
		if missing, _ := st.ticketless(list[:spare], cl.reaches(now)); len(missing) > 0 {
			names = missing
		}
		names = names[:min(len(names), mostAsked)]
	}
	if lacks {
		cl.question(st, names)
	}
}

// ticketless names the workers of the openings whose tickets end by a time, and reports
// whether the first ones, as many as the gang has tasks, are among them.
func (st *step) ticketless(list []opening, need time.Duration) (names []incarnation.ID, lacks bool) {
	seen := map[*worker]bool{}
	for at, op := range list {
		if !seen[op.worker] && !st.advice.goodUntil(op.worker, need) {
			names = append(names, op.worker.ID)
			lacks = lacks || at < st.waits
		}
		seen[op.worker] = true
	}
	return names, lacks
}

// askWide asks about workers for a step that gathers room: full ones too, until those
// allowed would hold it several times over, and while it would gather for long then about
// ones with room now. Workers with most left go first.
func (cl *Cell) askWide(now time.Duration, st *step) {
	if !cl.mayAsk(now, st) {
		return
	}
	share := cl.queue(st.round.job.spec.Queue.Name).good
	holds := total(slices.Collect(cl.holding(st, cl.allowed(st, nil), capacity)))
	var names []incarnation.ID
	if want := gangSpare*len(st.tasks) - holds; want > 0 {
		names = pick(st.advice.unasked(cl.wide(st)), float64(want), share, leastAsked(st), mostAsked)
	} else if len(st.claims) > 0 && st.expected-now > longGather {
		short := len(st.tasks) - total(slices.Collect(cl.trusted(st)))
		names = pick(st.advice.unasked(cl.roomy(st)), askSpare*float64(short), share, leastAsked(st), mostAsked)
	}
	cl.question(st, names)
}

// leastAsked is the fewest workers that a question about a step names where there are
// more: as many as take half of the time that the question takes anyway, since the
// advisor's time runs out before its knowledge does.
func leastAsked(st *step) int {
	qu := st.round.job.spec.Queue
	if qu.AdviceEach <= 0 {
		return minAsked
	}
	const half = 2
	return min(max(minAsked, int(qu.AdviceBase/qu.AdviceEach)/half), maxAsked)
}

// pick names workers until the room expected of the allowed ones suffices, a number at most.
func pick(cands iter.Seq[candidate], want, share float64, least, most int) []incarnation.ID {
	var names []incarnation.ID
	for cand := range cands {
		names = append(names, cand.worker.ID)
		want -= float64(cand.room) * share
		if len(names) >= most || want <= 0 && len(names) >= least {
			break
		}
	}
	return names
}

// question asks about workers, in as many questions of one size as it takes.
func (cl *Cell) question(st *step, names []incarnation.ID) {
	if len(names) == 0 {
		return
	}
	most := cl.askable(st)
	count := (len(names) + most - 1) / most
	for part := range slices.Chunk(names, (len(names)+count-1)/count) {
		cl.put(st, part)
	}
}

// askable is how many workers one question about a step names at most now.
func (cl *Cell) askable(st *step) int {
	busy := cl.busy > 0 && cl.now-cl.busy < idleAdvisor
	qu := st.round.job.spec.Queue
	if busy || cl.window.late(cl.now) > lateStart || qu.AdviceEach <= 0 {
		return maxAsked // neither the advisor nor this node has time to spare, or nothing is gained
	}
	quick := int(quickShare * float64(qu.AdviceBase) / float64(qu.AdviceEach))
	return min(max(quick, minAsked), maxAsked)
}

// put puts one question.
func (cl *Cell) put(st *step, names []incarnation.ID) {
	st.advice.open++
	st.advice.questions++
	if !st.urgent() {
		cl.asked++
	}
	qu := st.round.job.spec.Queue
	cl.out.AdviceRequests = append(cl.out.AdviceRequests, AdviceRequest{
		Step:    work.Task{Job: st.round.job.spec.ID, Round: st.round.num, Step: st.num},
		Workers: names, Urgent: st.urgent(),
		Takes: qu.AdviceBase + time.Duration(len(names))*qu.AdviceEach,
	})
}
