package owner

import "time"

// mayBackfill reports whether a hold's tasks may use a worker that is reserved for holds that precede it: only if they
// are expected to end before a task of those could start. If the run time of the tasks, or of what runs on the workers
// reserved for those holds, is unknown, they may not. A hold that reserves itself never backfills.
func (mc *Machine) mayBackfill(now time.Duration, hd *hold, worker string) bool {
	if !mc.limits.Backfill || hd.Run == 0 || hd.Reserve {
		return false
	}
	for _, other := range mc.holds {
		if _, reserved := other.targets[worker]; !reserved || other.ID == hd.ID || hd.before(other) {
			continue
		}
		if ready, known := mc.readyAt(other); !known || now+hd.Run > ready {
			return false
		}
	}
	return true
}

// readyAt returns when the last task on the workers reserved for a hold is expected to end, or false if the end of
// one of them is unknown.
func (mc *Machine) readyAt(hd *hold) (time.Duration, bool) {
	var last time.Duration
	for _, rn := range mc.running {
		if _, reserved := hd.targets[rn.worker]; !reserved {
			continue
		}
		if rn.ends == 0 {
			return 0, false
		}
		last = max(last, rn.ends)
	}
	return last, true
}
