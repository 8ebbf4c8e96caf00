package cell

import "time"

// Limits of what the planner has under way at one time.
//
// They answer a planner that cannot send as fast as it decides, as after an outage: what was
// decided waits for its turn for seconds, its tickets lapse meanwhile, and their questions are put
// again, in plans that leave nothing of the processor to the starts. With the limits the rate stays at what
// the processor bears, whatever waits.
const (
	// lateStart is how much later than usual the answer to a start may come: of the 100 ms for
	// which a ticket must still be good.
	lateStart = 50 * time.Millisecond
	// usualSpan is the time of which the quickest answers tell how late one may come: on links
	// between regions all of them take longer.
	usualSpan = 5 * time.Second
	// lagWeight is the number of answers after which one that was late counts for little.
	lagWeight = 64
	// lagSpan is how long it counts while no more answers come, and mostLag is the most that is believed
	// of it: a start that is answered at its third try took up to 2.4 s, more than tickets are good for.
	lagSpan = time.Second
	mostLag = 300 * time.Millisecond
	// leastWindow keeps a planner going that is late for other reasons, such as a node that
	// stood still.
	leastWindow = 16
	// patientShare is the part of the window that is left to queues that are not urgent: gangs
	// and long work would not start at all while a backlog of urgent work lasts.
	patientShare = 4
	// ahead is for how many windows of urgent tasks questions are put in advance: a window takes
	// up to 0.1 s, of the 1.5 s that tickets are good for.
	ahead = 4
)

// window bounds the starts that have no outcome yet by how late the answers come: it grows while
// they come in time, and shrinks while they do not, since answers and starts wait for the same
// processor. The zero window has no bound.
type window struct {
	limit int
	// urgent and patient count the starts under way.
	urgent, patient int
	// lag is how late answers came of late, the latest ones and those a little before; the last of
	// them came at lagged.
	lag, lagged time.Duration
	// quickest is the least time that an answer took in the present span and in the one before;
	// since is when the present one began.
	quickest [2]time.Duration
	since    time.Duration
	// rate is how many starts were answered in a second, in the last whole one; answers counts those
	// since then, from the time counted on.
	rate, answers int
	counted       time.Duration
	// first is when the first start was answered.
	first time.Duration
	// closed is when a start last had to wait since the limit was reached, 0 before.
	closed time.Duration
}

// answered takes in how long a start took from its decision to its answer.
func (wn *window) answered(now, took time.Duration) {
	if wn.limit == 0 {
		return
	}
	if wn.first == 0 {
		wn.first, wn.counted = now, now
	}
	wn.count(now)
	lag := took - wn.usual(now, took)
	wn.lag, wn.lagged = max(lag, wn.lag-(wn.lag-lag)/lagWeight), now
	switch {
	case lag > lateStart:
		wn.limit = max(wn.limit-2, leastWindow)
	case wn.urgent+wn.patient >= wn.limit/2:
		wn.limit++
	}
}

// count counts the answers by the second.
func (wn *window) count(now time.Duration) {
	wn.answers++
	if span := now - wn.counted; span >= time.Second {
		wn.rate = int(float64(wn.answers) / span.Seconds())
		wn.answers, wn.counted = 0, now
	}
}

// late returns how late a start that is decided now may come.
func (wn *window) late(now time.Duration) time.Duration {
	if now-wn.lagged > lagSpan {
		return 0
	}
	return min(wn.lag, mostLag)
}

// usual returns the least time that answers took of late.
func (wn *window) usual(now, took time.Duration) time.Duration {
	if wn.since == 0 || now-wn.since > usualSpan {
		wn.quickest[1], wn.quickest[0], wn.since = wn.quickest[0], took, now
	}
	wn.quickest[0] = min(wn.quickest[0], took)
	if wn.quickest[1] == 0 {
		return wn.quickest[0]
	}
	return min(wn.quickest[0], wn.quickest[1])
}

// open reports whether another start may be ordered.
func (wn *window) open(urgent bool) bool {
	if wn.limit == 0 || wn.urgent+wn.patient < wn.limit {
		return true
	}
	return !urgent && wn.patient < wn.limit/patientShare
}

func (wn *window) add(urgent bool, count int) {
	if urgent {
		wn.urgent += count
		return
	}
	wn.patient += count
}

// askable reports whether questions may be put for more urgent tasks while so many have
// tickets or questions already.
func (wn *window) askable(pending int) bool {
	return wn.limit == 0 || pending < ahead*wn.limit
}

// StartWindow returns how many starts may be under way, and how many are, for measures.
func (cl *Cell) StartWindow() (limit, underWay int) {
	return cl.window.limit, cl.window.urgent + cl.window.patient
}

// Limits of the pause after a plan.
const (
	// restShare leaves two thirds of the processor to what plans decide.
	restShare = 2
	// mostRest bounds the pause where a plan took long for other reasons.
	mostRest = 100 * time.Millisecond
)

// PlanPause returns how long to pause after a plan that took a time: in the pause changes gather, and
// orders go out.
func PlanPause(took, least time.Duration) time.Duration {
	return min(max(least, restShare*took), mostRest)
}

// rampUp is how long a planner has to start tasks before its rate tells anything: in its first second it reads the
// journal, and its window is small. By that rate it took what waited for minutes of work, and jobs were refused.
const rampUp = 2 * time.Second

// closedFor is how long after a start had to wait for others the planner counts as behind.
const closedFor = 2 * time.Second

// Backlog returns how long the planner needs to start the urgent tasks that wait, and all that do, at
// the rate of the last second; 0 while it is not behind: what waits then waits for room, or for the
// advisor, as most gangs that are not urgent do at any time, which are not counted.
func (cl *Cell) Backlog(now time.Duration) (urgent, all time.Duration) {
	wn := &cl.window
	if wn.closed == 0 || now-wn.closed > closedFor || wn.rate == 0 || now-wn.first < rampUp {
		return 0, 0
	}
	first, rest := 0, 0
	for st := range cl.open {
		switch {
		case st.urgent():
			first += st.waits
		case !st.def.Gang:
			rest += st.waits
		}
	}
	span := func(tasks int) time.Duration { return time.Duration(tasks) * time.Second / time.Duration(wn.rate) }
	return span(first), span(first + rest)
}
