package cell

import "time"

// When steps with slack leave capacity to gangs.
const (
	// minSlack is the time to spare above which a step waits while gangs lack capacity. With 4 s, deferrable
	// jobs were late on cells of 350 workers, since estimates are off by as much.
	minSlack = 9 * time.Second
	// crowdedShare is the share of a service's capacity in use at which steps with slack wait: below it, there
	// is capacity for them and the gangs.
	crowdedShare = 0.6
)

// deferrable reports whether a step has enough slack to wait for gangs that lack capacity.
func (rd ranked) deferrable(now time.Duration) bool {
	def := rd.step.def
	return rd.rank.group != groupUrgent && !rd.rank.late && rd.rank.latestStart-now > minSlack && !def.LongRunning && !def.BestEffort
}

// defersOthers reports whether deferrable steps should wait for a gang that lacks capacity: it can be in time,
// has waited for some time, and most of the capacity is in use.
func (cl *Cell) defersOthers(now time.Duration, rd ranked) bool {
	if rd.rank.late || rd.rank.group == groupExcess || now-rd.step.readyAt < reserveAfter {
		return false
	}
	po, ok := cl.pools[cl.service(rd.step)]
	return ok && po.crowded()
}
