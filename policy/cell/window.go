package cell

import "time"

// Limits on what the planner has in flight at one time.
//
// They protect a planner that decides faster than it can send, as after an outage. Without them, starts wait
// for seconds before they are sent, their tickets expire meanwhile and are requested again, and plans leave no
// processor time to the starts. With the limits, the rate stays at what the processor can sustain, however much
// waits.
const (
	// maxStartLag is how much later than normal the answer to a start may come, out of the 100 ms for which a
	// ticket must still be valid.
	maxStartLag = 50 * time.Millisecond
	// baselineSpan is the time over which the fastest answers define what is normal: on links between regions,
	// all answers take longer.
	baselineSpan = 5 * time.Second
	// lagWeight is the number of answers after which a late one counts for little.
	lagWeight = 64
	// lagSpan is how long a late answer counts if no more answers come. maxLag limits its effect: a start that
	// is answered at its third attempt took up to 2.4 s, longer than tickets are valid.
	lagSpan = time.Second
	maxLag  = 300 * time.Millisecond
	// minWindow keeps a planner working that is late for other reasons, such as a paused node.
	minWindow = 16
	// normalShare is the fraction of the window, one in so many, that is kept for queues that are not urgent:
	// otherwise gangs and long work would not start at all during a backlog of urgent work.
	normalShare = 4
	// requestAhead is for how many windows of urgent tasks advice is requested in advance: a window takes up to
	// 0.1 s, and tickets are valid for 1.5 s.
	requestAhead = 4
)

// window limits the starts in flight by how late their answers come: it grows while they are in time and
// shrinks while they are late, since answers and starts compete for the same processor. The zero window has no
// limit.
type window struct {
	limit int
	// urgent and normal count the starts in flight.
	urgent, normal int
	// lag is a decaying maximum of how late answers were; the last of them came at laggedAt.
	lag, laggedAt time.Duration
	// fastest is the shortest time that an answer took in the current span and in the previous one; spanStart
	// is when the current one began.
	fastest   [2]time.Duration
	spanStart time.Duration
	// rate is the number of starts answered per second in the last full second; answers counts those since
	// countStart.
	rate, answers int
	countStart    time.Duration
	// firstAnswer is when the first start was answered.
	firstAnswer time.Duration
	// lastFull is when a start last had to wait because the limit was reached, 0 before.
	lastFull time.Duration
}

// answered records how long a start took from its decision to its answer.
func (wn *window) answered(now, took time.Duration) {
	if wn.limit == 0 {
		return
	}
	if wn.firstAnswer == 0 {
		wn.firstAnswer, wn.countStart = now, now
	}
	wn.count(now)
	lag := took - wn.baseline(now, took)
	wn.lag, wn.laggedAt = max(lag, wn.lag-(wn.lag-lag)/lagWeight), now
	switch {
	case lag > maxStartLag:
		wn.limit = max(wn.limit-2, minWindow)
	case wn.urgent+wn.normal >= wn.limit/2:
		wn.limit++
	}
}

// count measures the rate of answers.
func (wn *window) count(now time.Duration) {
	wn.answers++
	if span := now - wn.countStart; span >= time.Second {
		wn.rate = int(float64(wn.answers) / span.Seconds())
		wn.answers, wn.countStart = 0, now
	}
}

// expectedLag returns how late a start that is decided now may arrive.
func (wn *window) expectedLag(now time.Duration) time.Duration {
	if now-wn.laggedAt > lagSpan {
		return 0
	}
	return min(wn.lag, maxLag)
}

// baseline returns the shortest time that recent answers took.
func (wn *window) baseline(now, took time.Duration) time.Duration {
	if wn.spanStart == 0 || now-wn.spanStart > baselineSpan {
		wn.fastest[1], wn.fastest[0], wn.spanStart = wn.fastest[0], took, now
	}
	wn.fastest[0] = min(wn.fastest[0], took)
	if wn.fastest[1] == 0 {
		return wn.fastest[0]
	}
	return min(wn.fastest[0], wn.fastest[1])
}

// open reports whether another start may be ordered.
func (wn *window) open(urgent bool) bool {
	if wn.limit == 0 || wn.urgent+wn.normal < wn.limit {
		return true
	}
	return !urgent && wn.normal < wn.limit/normalShare
}

func (wn *window) add(urgent bool, count int) {
	if urgent {
		wn.urgent += count
		return
	}
	wn.normal += count
}

// allowsRequests reports whether advice may be requested for more urgent tasks, given how many already have
// tickets or requests.
func (wn *window) allowsRequests(pending int) bool {
	return wn.limit == 0 || pending < requestAhead*wn.limit
}

// StartWindow returns the limit on starts in flight, and how many there are, for metrics.
func (cl *Cell) StartWindow() (limit, inFlight int) {
	return cl.window.limit, cl.window.urgent + cl.window.normal
}

// Limits of the pause after a plan.
const (
	// pauseFactor leaves two thirds of the processor time to carrying out what plans decide.
	pauseFactor = 2
	// maxPause limits the pause if a plan took long for other reasons.
	maxPause = 100 * time.Millisecond
)

// PlanPause returns how long to pause after a plan that took a given time. During the pause, changes accumulate
// and orders are sent.
func PlanPause(took, minPause time.Duration) time.Duration {
	return min(max(minPause, pauseFactor*took), maxPause)
}

// rampUp is how long a planner must have started tasks before its rate is meaningful: in its first second it
// reads the journal, and its window is small. Estimated from that rate, what waited looked like minutes of
// work, and jobs were refused.
const rampUp = 2 * time.Second

// fullFor is how long after a start last had to wait the planner counts as behind.
const fullFor = 2 * time.Second

// Backlog returns how long the planner needs to start the waiting urgent tasks, and all waiting tasks, at the
// rate of the last second. It is 0 while the planner is not behind, since tasks then wait for capacity or the
// advisor. Non-urgent gangs wait for these most of the time and are not counted.
func (cl *Cell) Backlog(now time.Duration) (urgent, all time.Duration) {
	wn := &cl.window
	if wn.lastFull == 0 || now-wn.lastFull > fullFor || wn.rate == 0 || now-wn.firstAnswer < rampUp {
		return 0, 0
	}
	urgentTasks, otherTasks := 0, 0
	for st := range cl.open {
		switch {
		case st.urgent():
			urgentTasks += st.unplaced
		case !st.def.Gang:
			otherTasks += st.unplaced
		}
	}
	span := func(tasks int) time.Duration { return time.Duration(tasks) * time.Second / time.Duration(wn.rate) }
	return span(urgentTasks), span(urgentTasks + otherTasks)
}
