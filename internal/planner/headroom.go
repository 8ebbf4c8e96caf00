package planner

import (
	"maps"
	"slices"
)

// reportHeadroom reports the capacity that is kept for urgent work, and logs when a service begins or ceases to keep any.
// The caller holds the lock.
func (ld *leader) reportHeadroom() {
	forecasts := ld.cell.Headroom()
	if len(forecasts) == 0 {
		return
	}
	var cores, unused float64
	deferred, starts := 0, 0
	for _, service := range slices.Sorted(maps.Keys(forecasts)) {
		fc := forecasts[service]
		cores += float64(fc.Reserved().Processors()) / milliPerCore
		unused += fc.Unused().Seconds()
		deferred += fc.DeferredSteps()
		starts += fc.UrgentStarts()
		switch keeps := !fc.Kept().IsZero(); {
		case keeps && !ld.keepsHeadroom[service]:
			ld.keepsHeadroom[service] = true
			ld.log.Info("Headroom is kept for urgent work.", "service", service, "kept", fc.Kept().String())
		case !keeps && ld.keepsHeadroom[service]:
			delete(ld.keepsHeadroom, service)
			ld.log.Info("Headroom for urgent work is released.", "service", service,
				"unused_core_s", int(fc.Unused().Seconds()), "urgent_starts", fc.UrgentStarts())
		}
	}
	ld.metrics.gauge("planner.headroom_cores", int(cores))
	ld.metrics.gauge("planner.headroom_deferred", deferred)
	ld.metrics.gauge("planner.headroom_unused_core_s", int(unused))
	ld.metrics.gauge("planner.headroom_urgent_starts", starts)
}

// milliPerCore is the number of thousandths of a core, the unit of size.Size, in a core.
const milliPerCore = 1000
