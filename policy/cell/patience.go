package cell

import "time"

// When steps with time to spare leave room to gangs.
const (
	// ample is the time to spare from which a step waits while gangs lack room: with 4 s
	// patient jobs came late, since estimates are off by as much (measured on both sites
	// of 350 workers).
	ample = 9 * time.Second
	// crowded is the part of a service's processors in use from which it does so: below
	// that there is room for both.
	crowded = 0.6
)

// patient reports whether a step has so much time to spare that it can wait for gangs
// that lack room.
func (rd ranked) patient(now time.Duration) bool {
	def := rd.step.def
	return rd.rank.group == groupInTime && rd.rank.latest-now > ample && !def.Lasting && !def.Filler
}

// lacksRoom reports whether a gang that can be in time has waited for a while, and for
// room: not for the advisor's answer.
func (cl *Cell) lacksRoom(now time.Duration, rd ranked) bool {
	st := rd.step
	if st.waits == 0 || rd.rank.group != groupInTime || now-st.ready < claimAfter {
		return false
	}
	if sh, ok := cl.shelves[cl.service(st)]; !ok || !sh.crowded() {
		return false
	}
	if !st.round.job.spec.Queue.Advised {
		return true
	}
	_, room := cl.allowedRoom(st)
	return len(st.advice.good) > 0 && room < len(st.tasks)
}

// crowded reports whether most of the processors of the shelf's workers are in use.
func (sh *shelf) crowded() bool {
	var used, all int64
	for _, wk := range sh.workers {
		used += wk.used.Processors()
		all += wk.Capacity.Processors()
	}
	return float64(used) >= crowded*float64(all)
}
