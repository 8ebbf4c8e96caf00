package owner

import (
	"maps"
	"slices"
	"time"
)

// Limits of the quarantine of workers on which everything fails.
const (
	// maxFailures is the number of consecutive failures after which a worker is quarantined.
	maxFailures       = 5
	initialQuarantine = 5 * time.Second
	maxQuarantine     = time.Minute
	// quarantinedPart limits quarantine to one in 4 workers: if more fail, the cause is the work.
	quarantinedPart = 4
)

// health counts a worker's recent failures.
type health struct {
	failures   int
	quarantine time.Duration
	until      time.Duration
}

// recordResult records a result of a worker. After maxFailures consecutive failures the worker is quarantined. Then
// it is tried again, and one more failure quarantines it for twice as long.
func (mc *Machine) recordResult(now time.Duration, worker string, failed bool) {
	he, ok := mc.health[worker]
	switch {
	case !failed:
		delete(mc.health, worker)
		return
	case !ok:
		he = &health{quarantine: initialQuarantine}
		mc.health[worker] = he
	}
	he.failures++
	if he.failures < maxFailures || he.until > now || mc.quarantineFull() {
		return
	}
	if mc.ledger.SetQuarantined(worker, true) {
		he.until = now + he.quarantine
		he.quarantine = min(2*he.quarantine, maxQuarantine)
	}
}

// quarantineFull reports whether no more workers may be quarantined.
func (mc *Machine) quarantineFull() bool {
	quarantined := mc.ledger.Quarantined() + 1
	return quarantined*quarantinedPart > mc.ledger.Load().Workers+quarantined
}

// endQuarantines ends the quarantines that have expired. One more failure quarantines the worker again.
func (mc *Machine) endQuarantines(now time.Duration) {
	if mc.ledger.Quarantined() == 0 {
		return
	}
	for _, worker := range slices.Sorted(maps.Keys(mc.health)) {
		he := mc.health[worker]
		if he.until > 0 && he.until <= now {
			he.until = 0
			he.failures = maxFailures - 1
			mc.ledger.SetQuarantined(worker, false)
		}
	}
}
