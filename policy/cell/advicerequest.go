package cell

import (
	"iter"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

// Limits of advice requests.
const (
	// maxRequestWorkers is how many workers one request names at most.
	maxRequestWorkers = 100
	// maxStepWorkers is how many workers a step requests advice on at one time, over several requests: the
	// nodes send requests to the advisor independently of each other, and a gang needs all its tickets at the
	// same time.
	maxStepWorkers = 4 * maxRequestWorkers
	// fastRequestShare is the time that the workers of a request may add while the advisor has time for more
	// requests, as a fraction of the fixed time of a request, so that answers arrive sooner. A smaller fraction
	// takes more of the advisor's time without a further gain.
	fastRequestShare = 0.72
	// advisorIdleAfter is the time without a request that found the advisor busy after which the advisor is
	// taken to have time for more requests.
	advisorIdleAfter = 2 * time.Second
	// minRequestWorkers is how many workers a request names at least, if there are as many, so that one of them
	// is very likely allowed.
	minRequestWorkers = 5
	// requestMargin is the capacity that advice is requested on, relative to what the tasks need.
	requestMargin = 1.5
	// gangRequestMargin is the same for gangs, whose capacity becomes free later.
	gangRequestMargin = 3
	// ticketMargin is the time before its expiry in which a ticket is not used, in addition to the delay of
	// starts on a busy node: a start takes a few ms, on a lossy link tens of ms.
	ticketMargin = 100 * time.Millisecond
	// ticketSurplus is the capacity that tickets are requested for, relative to what the gang needs, since the
	// estimates of where capacity becomes free first are inexact.
	ticketSurplus = 1.3
	// ticketLead is how long before the expected capacity the answer may arrive: half of the time that tickets
	// are valid.
	ticketLead = 700 * time.Millisecond
	// longReservation is how long a gang must still have to reserve for advice on more workers to be requested,
	// since a request takes a second. Sent whenever capacity was short, these requests took two thirds of the
	// advisor's time on a day with a load of 0.86 of the cell's capacity.
	longReservation = 2 * time.Second
	// failedRequestPause follows a request that was not answered.
	failedRequestPause = 100 * time.Millisecond
	// advisorBusyPause follows a request that found the advisor busy: with 37 nodes that need one second each,
	// one becomes free every 27 ms.
	advisorBusyPause = 20 * time.Millisecond
	// requestsPerPlan is how many non-urgent requests one plan sends at most, unless an advice budget decides.
	requestsPerPlan = 8
)

// mayRequest reports whether advice on the step may be requested now. While the advisor is busy, only the first
// few steps in the order of a plan send requests, and all of them pause together: with a pause of its own for
// each step, whichever came at the right moment was served, and the oldest gangs were deferred 80 to 120 times.
func (cl *Cell) mayRequest(now time.Duration, st *step) bool {
	if !st.advised() || st.advice.pending > 0 || now < st.advice.retryAt {
		return false
	}
	if cl.budgetRefuses(now, st) {
		return false
	}
	if st.urgent() {
		return cl.window.allowsRequests(cl.urgentPending)
	}
	return now >= cl.nextRequestAt && cl.withinRequestLimit(now, st)
}

// requestAdvice requests permission for tasks that no allowed worker has capacity for: first from workers that
// are known to be allowed and need a new ticket, then for workers without a verdict.
func (cl *Cell) requestAdvice(now time.Duration, st *step, short int) {
	if !cl.mayRequest(now, st) {
		return
	}
	var known []candidate
	until := cl.latestArrival(now)
	if !cl.lacks(st, allowed, 0) {
		for cand := range cl.search(st, allowed, 0, cl.allowedWorkers(st, nil)) {
			if !st.advice.hasTicketUntil(cand.worker, until) {
				known = append(known, cand)
			}
		}
	}
	cl.sortBestFit(st, known)
	ids := pickWorkers(slices.Values(known), float64(short), 1, 1, maxRequestWorkers)
	if len(ids) == 0 && !cl.lacks(st, withoutVerdict, 0) {
		share := cl.queue(st.round.job.spec.Queue.Name).allowedShare
		ids = pickWorkers(cl.search(st, withoutVerdict, 0, cl.bestFitOrder(st)), float64(short)*requestMargin, share, minWorkers(st), maxRequestWorkers)
	}
	if len(ids) > 0 {
		ids = cl.fillRequest(st, ids)
	} else {
		cl.noteLack(now, st)
	}
	cl.sendRequests(st, ids)
}

// fillRequest adds workers without a verdict, including full ones, until the request names as many as are worth
// its time: verdicts are final, and the advisor's time is spent per request. When only workers with free
// capacity were named, tasks that need whole workers sent one request after another.
func (cl *Cell) fillRequest(st *step, ids []incarnation.ID) []incarnation.ID {
	minCount := minWorkers(st)
	for cand := range cl.unnamedWorkers(st) {
		if len(ids) >= minCount {
			break
		}
		if id := cand.worker.ID; !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// unnamedWorkers yields the workers without a verdict that may run the step, including full ones, those with most free
// processors first.
func (cl *Cell) unnamedWorkers(st *step) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		if cl.factHolds(&st.short.named) {
			return
		}
		found := false
		for cand := range st.advice.withoutVerdict(cl.allWorkers(st)) {
			found = true
			if !yield(cand) {
				return
			}
		}
		if !found {
			st.short.named = cl.newFact(0)
		}
	}
}

// allowedCapacity returns how many tasks of the step the allowed workers would hold if they were empty.
func (cl *Cell) allowedCapacity(st *step) int {
	if !cl.factHolds(&st.short.capacity) {
		sum := totalSlots(slices.Collect(cl.candidates(st, cl.allowedWorkers(st, nil), emptyCapacity)))
		st.short.capacity = cl.newFact(sum)
	}
	return st.short.capacity.value
}

// withoutVerdict leaves out the workers that have a verdict.
func (ad *advice) withoutVerdict(cands iter.Seq[candidate]) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		for cand := range cands {
			if _, asked := ad.verdicts[cand.worker.ID]; !asked && !yield(cand) {
				return
			}
		}
	}
}

// requestTickets requests tickets for the workers on which capacity for the gang becomes free soonest, so that
// they arrive before it does. Otherwise the capacity would be idle while the advisor answers. The openings are
// sorted by time.
func (cl *Cell) requestTickets(now time.Duration, st *step, list []opening) {
	if !cl.mayRequest(now, st) {
		return
	}
	qu := st.round.job.spec.Queue
	count := min(int(float64(st.unplaced)*ticketSurplus)+1, openSlots(list))
	takes := qu.AdviceBase + time.Duration(min(count, cl.maxWorkers(st)))*qu.AdviceEach
	if st.expectedAt > now+takes+ticketLead {
		return
	}
	until := cl.latestArrival(max(st.expectedAt, now+takes))
	soonest := firstOpenings(list, count)
	ids, lacks := st.withoutTicket(soonest, until)
	if len(ids) > maxStepWorkers {
		// One set of requests cannot renew all tickets. Workers that have one are left out, or the same ones
		// would be named in every request and the others never.
		if missing, _ := st.withoutTicket(soonest, cl.latestArrival(now)); len(missing) > 0 {
			ids = missing
		}
		ids = ids[:min(len(ids), maxStepWorkers)]
	}
	if lacks {
		cl.sendRequests(st, ids)
	}
}

// withoutTicket returns the workers of the openings whose tickets expire by a time, and reports whether any of
// them is among the first openings, which have capacity for all tasks of the gang.
func (st *step) withoutTicket(list []opening, until time.Duration) (ids []incarnation.ID, lacks bool) {
	seen, before := map[*worker]bool{}, 0
	for _, op := range list {
		if !seen[op.worker] && !st.advice.hasTicketUntil(op.worker, until) {
			ids = append(ids, op.worker.ID)
			lacks = lacks || before < st.unplaced
		}
		seen[op.worker] = true
		before += op.slots
	}
	return ids, lacks
}

// requestForReservation requests advice on workers for a step that reserves capacity: on all workers, including
// full ones, until those allowed would hold the step several times over; after that, while the reservation
// would take long, on workers with free capacity. Workers with most free processors come first.
func (cl *Cell) requestForReservation(now time.Duration, st *step) {
	if !cl.mayRequest(now, st) {
		return
	}
	share := cl.queue(st.round.job.spec.Queue.Name).allowedShare
	capacity := cl.allowedCapacity(st)
	var ids []incarnation.ID
	lacks := false
	if want := gangRequestMargin*len(st.tasks) - capacity; want > 0 {
		lacks = capacity < len(st.tasks)
		ids = pickWorkers(cl.unnamedWorkers(st), float64(want), share, minWorkers(st), maxStepWorkers)
	} else if len(st.reserved) > 0 && st.expectedAt-now > longReservation {
		if !cl.lacks(st, withoutVerdict, 0) {
			short := len(st.tasks) - totalSlots(slices.Collect(cl.allowedCandidates(st)))
			unknown := cl.search(st, withoutVerdict, 0, cl.bySpeed(st, backward(cl.withFreeProcessors(st))))
			ids = pickWorkers(unknown, requestMargin*float64(short), share, minWorkers(st), maxStepWorkers)
		}
		lacks = true
	}
	if lacks && len(ids) == 0 {
		cl.noteLack(now, st)
	}
	cl.sendRequests(st, ids)
}

// minWorkers is how many workers a request for a step names at least, if there are as many: the number that
// adds half of the fixed time of a request, since the advisor's time is used up long before all workers have a
// verdict.
func minWorkers(st *step) int {
	qu := st.round.job.spec.Queue
	if qu.AdviceEach <= 0 {
		return minRequestWorkers
	}
	const half = 2
	return min(max(minRequestWorkers, int(qu.AdviceBase/qu.AdviceEach)/half), maxRequestWorkers)
}

// pickWorkers names workers until the expected capacity of the allowed ones suffices, within the given bounds
// on their number.
func pickWorkers(cands iter.Seq[candidate], want, share float64, minCount, maxCount int) []incarnation.ID {
	var ids []incarnation.ID
	for cand := range cands {
		ids = append(ids, cand.worker.ID)
		want -= float64(cand.slots) * share
		if len(ids) >= maxCount || want <= 0 && len(ids) >= minCount {
			break
		}
	}
	return ids
}

// sendRequests requests advice on workers, in as many requests of equal size as it takes.
func (cl *Cell) sendRequests(st *step, ids []incarnation.ID) {
	if len(ids) == 0 {
		return
	}
	limit := cl.maxWorkers(st)
	count := (len(ids) + limit - 1) / limit
	for part := range slices.Chunk(ids, (len(ids)+count-1)/count) {
		cl.sendRequest(st, part)
	}
}

// maxWorkers is how many workers one request for a step names at most now.
func (cl *Cell) maxWorkers(st *step) int {
	busy := cl.advisorBusyAt > 0 && cl.now-cl.advisorBusyAt < advisorIdleAfter
	qu := st.round.job.spec.Queue
	if busy || cl.window.expectedLag(cl.now) > maxStartLag || qu.AdviceEach <= 0 {
		return maxRequestWorkers // neither the advisor nor this node has time to spare, or nothing is gained
	}
	count := int(fastRequestShare * float64(qu.AdviceBase) / float64(qu.AdviceEach))
	return min(max(count, minRequestWorkers), maxRequestWorkers)
}

// sendRequest adds one request to the output.
func (cl *Cell) sendRequest(st *step, ids []incarnation.ID) {
	st.advice.pending++
	st.advice.requests++
	if !st.urgent() {
		cl.requestsSent++
	}
	qu := st.round.job.spec.Queue
	rq := AdviceRequest{
		Step:    st.name(),
		Workers: ids, Urgent: st.urgent(),
		Takes: qu.AdviceBase + time.Duration(len(ids))*qu.AdviceEach,
	}
	cl.out.AdviceRequests = append(cl.out.AdviceRequests, rq)
	cl.spendAdvice(st, rq)
}
