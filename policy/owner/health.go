package owner

import (
	"maps"
	"slices"
	"time"
)

// Limits of the rests of workers that fail everything.
const (
	// failuresToRest is the number of failures in a row that put a worker to rest.
	failuresToRest = 5
	firstRest      = 5 * time.Second
	longestRest    = time.Minute
	// restingPart bounds the workers at rest: when many fail, the work is at fault.
	restingPart = 4
)

// health is what is known of a worker's last results.
type health struct {
	failures int
	rest     time.Duration
	until    time.Duration
}

// result notes how work on a worker ended. After some failures in a row the
// worker rests; then it is tried again, and one more failure doubles the rest.
func (mc *Machine) result(now time.Duration, worker string, failed bool) {
	he, ok := mc.health[worker]
	switch {
	case !failed:
		delete(mc.health, worker)
		return
	case !ok:
		he = &health{rest: firstRest}
		mc.health[worker] = he
	}
	he.failures++
	if he.failures < failuresToRest || he.until > now || mc.manyRest() {
		return
	}
	if mc.ledger.SetQuarantined(worker, true) {
		he.until = now + he.rest
		he.rest = min(2*he.rest, longestRest)
	}
}

// manyRest reports whether no more workers may rest.
func (mc *Machine) manyRest() bool {
	resting := mc.ledger.Quarantined() + 1
	return resting*restingPart > mc.ledger.Load().Workers+resting
}

// wake ends the rests that are over. The next result decides: the worker is one
// failure short of resting again.
func (mc *Machine) wake(now time.Duration) {
	if mc.ledger.Quarantined() == 0 {
		return
	}
	for _, worker := range slices.Sorted(maps.Keys(mc.health)) {
		he := mc.health[worker]
		if he.until > 0 && he.until <= now {
			he.until = 0
			he.failures = failuresToRest - 1
			mc.ledger.SetQuarantined(worker, false)
		}
	}
}
