package cell

import "time"

// When steps with time to spare leave room to gangs.
const (
	// ample is the time to spare from which a step waits while gangs lack room: with 4 s
	// patient jobs came late, since estimates are off by as much (measured on both sites
	// of 350 workers).
	ample = 9 * time.Second
	// mostInUse is the part of a service's room in use from which it does so: below
	// that there is room for both.
	mostInUse = 0.6
)

// patient reports whether a step has so much time to spare that it can wait for gangs
// that lack room.
func (rd ranked) patient(now time.Duration) bool {
	def := rd.step.def
	return rd.rank.group != groupUrgent && !rd.rank.late && rd.rank.latest-now > ample && !def.LongRunning && !def.BestEffort
}

// holdsUp reports whether patient steps should wait for a gang that lacks room: it can
// be in time, has waited for a while, and most of the workers are in use.
func (cl *Cell) holdsUp(now time.Duration, rd ranked) bool {
	if rd.rank.late || rd.rank.group == groupExcess || now-rd.step.ready < claimAfter {
		return false
	}
	po, ok := cl.pools[cl.service(rd.step)]
	return ok && po.crowded()
}
