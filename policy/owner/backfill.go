package owner

import "time"

// backfills reports whether a hold's tasks may use a worker that is kept free for
// others: they are expected to end before any of those could start there. Where
// that is not known of the tasks or of what runs, they may not.
func (mc *Machine) backfills(now time.Duration, hd *hold, worker string) bool {
	if !mc.limits.Backfill || hd.Run == 0 || hd.Reserve {
		return false
	}
	for _, other := range mc.holds {
		if _, keeps := other.targets[worker]; !keeps || other.ID == hd.ID || hd.before(other) {
			continue
		}
		if ready, known := mc.readyAt(other); !known || now+hd.Run > ready {
			return false
		}
	}
	return true
}

// readyAt returns when the last of the tasks is expected to end that run on the
// workers kept free for a hold, or false where one of them is overdue or unknown.
func (mc *Machine) readyAt(hd *hold) (time.Duration, bool) {
	var last time.Duration
	for _, rn := range mc.running {
		if _, keeps := hd.targets[rn.worker]; !keeps {
			continue
		}
		if rn.ends == 0 {
			return 0, false
		}
		last = max(last, rn.ends)
	}
	return last, true
}
