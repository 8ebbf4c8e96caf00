package advicebudget

import (
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// service is the capacity of one service.
type service struct {
	// taken is what the steps considered so far in the current plan take.
	taken size.Size
	// firstSeen is set once the plan has considered a step that is not urgent.
	firstSeen bool
	// overdueOpen is set while a step that has waited long has an open request, as far as the current and the previous
	// plan know; overduePending is set once the current plan has seen one. overdueAllowed is set while the step that was
	// considered last may send a request for its long wait.
	overdueOpen, overduePending, overdueAllowed bool
	// released are the recent releases by runs, by class of urgency and resource.
	released [2][len(size.Size{})]average
	// rates are the releases per second in the current plan, of the same classes and resources.
	rates [2][len(size.Size{})]float64
	// free has the free capacity of the workers, in ascending order of free processors; sums[i] is the sum from the
	// i-th on.
	free, sums []size.Size
}

func (bu *Budget) service(name string) *service {
	se, ok := bu.services[name]
	if !ok {
		se = &service{}
		for dim := range len(size.Size{}) {
			se.released[0][dim].span, se.released[1][dim].span = releaseSpan, releaseSpan
		}
		bu.services[name] = se
	}
	return se
}

// BeginPlan begins a plan: no steps have been considered, and no service has free capacity.
func (bu *Budget) BeginPlan(now time.Duration) {
	for _, se := range bu.services {
		se.taken, se.firstSeen = size.Size{}, false
		se.overdueOpen, se.overduePending = se.overduePending, false
		se.free, se.sums = se.free[:0], se.sums[:0]
		for each := range se.released {
			for dim := range se.released[each] {
				se.rates[each][dim] = se.released[each][dim].perSecond(now)
			}
		}
	}
}

// AddFree adds the free capacity of a worker. Workers are added in ascending order of free processors.
func (bu *Budget) AddFree(name string, free size.Size) {
	se := bu.service(name)
	se.free = append(se.free, free.Max(size.Size{})) // a worker that shrank may be over its capacity
}

// Released records that a run has released capacity.
func (bu *Budget) Released(now time.Duration, name string, need size.Size, urgent bool) {
	se := bu.service(name)
	for dim, amount := range need {
		se.released[class(urgent)][dim].add(now, float64(amount))
	}
}

// class is the index of a class of urgency.
func class(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// Take counts down the capacity by what a step takes that needs no advice.
func (bu *Budget) Take(dm Demand) {
	se := bu.service(dm.Service)
	se.take(dm, se.left(dm, bu.horizon(dm)))
}

// Consider counts down the capacity by what a step takes, and reports whether any would be left for it while its ticket
// is valid, or whether it must get requests in any case. The steps of a plan are considered in its order. wasDeferred is
// whether the previous plan reported false, for the count of refusals.
func (bu *Budget) Consider(dm Demand, wasDeferred bool) bool {
	se := bu.service(dm.Service)
	left := se.left(dm, bu.horizon(dm))
	se.take(dm, left)
	first := !dm.Urgent && !se.firstSeen
	se.firstSeen = se.firstSeen || !dm.Urgent
	se.overdueAllowed = false
	if first || dm.Reserves || dm.fits(left) {
		return true
	}
	if se.overdueAllowed = se.allowsOverdue(dm); se.overdueAllowed {
		return true
	}
	if !wasDeferred {
		bu.deferredForRoom++
	}
	return false
}

// allowsOverdue reports whether a step gets a request because it has waited long. One step of a service has one at a
// time: under a load above capacity, most steps wait that long.
func (se *service) allowsOverdue(dm Demand) bool {
	switch {
	case dm.Waited < longWait || dm.Paused:
		return false
	case dm.Pending:
		se.overdueOpen, se.overduePending = true, true
		return false
	}
	return !se.overdueOpen
}

// Requested records that the step of a service that was considered last sends a request. A step that may send one and
// does not, as while its workers all have verdicts, keeps no other step that has waited long from its turn.
func (bu *Budget) Requested(name string) {
	se := bu.service(name)
	se.overdueOpen = se.overdueOpen || se.overdueAllowed
}

// urgentSlack is how much later than its request an urgent step is of use: the slack of urgent jobs is 0.5 to 0.8 s.
// With the validity of the tickets instead, the advisor was saturated with requests for jobs that ended late.
const urgentSlack = 500 * time.Millisecond

// horizon is how far ahead capacity counts: until the tickets of a request expire, or an urgent step is late. Gangs send two requests, one for
// verdicts and then one for tickets when their capacity is about to be complete.
func (bu *Budget) horizon(dm Demand) time.Duration {
	if dm.Urgent {
		return dm.Takes + min(bu.validity, urgentSlack)
	}
	span := dm.Takes + bu.validity
	if dm.Gang {
		span *= 2
	}
	return span
}

// left returns what the steps ahead leave of the supply.
func (se *service) left(dm Demand, horizon time.Duration) size.Size {
	return se.supply(dm, horizon).Sub(se.taken).Max(size.Size{})
}

// supply is the capacity that a task of the step can use within the horizon: what is free on workers with enough
// processors for one, and what ends of runs are expected to release. Arriving urgent work uses what urgent runs release,
// so only urgent steps count on that.
func (se *service) supply(dm Demand, horizon time.Duration) size.Size {
	se.sumFree()
	at, _ := slices.BinarySearchFunc(se.free, dm.Need.Processors(), func(free size.Size, want int64) int {
		return int(min(max(free.Processors()-want, -1), 1))
	})
	var supply size.Size
	if at < len(se.sums) {
		supply = se.sums[at]
	}
	for dim := range supply {
		rate := se.rates[class(false)][dim]
		if dm.Urgent {
			rate += se.rates[class(true)][dim]
		}
		supply[dim] += int64(rate * horizon.Seconds())
	}
	return supply
}

// sumFree computes the sums once per plan.
func (se *service) sumFree() {
	if len(se.sums) == len(se.free) {
		return
	}
	se.sums = slices.Grow(se.sums[:0], len(se.free))[:len(se.free)]
	var sum size.Size
	for i, free := range slices.Backward(se.free) {
		sum = sum.Add(free)
		se.sums[i] = sum
	}
}

// take counts what the step takes of the capacity that is left. A gang takes nothing if it does not start within the
// horizon: its capacity would be idle meanwhile.
func (se *service) take(dm Demand, left size.Size) {
	share := dm.share(left)
	total := dm.Need.Times(int64(dm.Tasks))
	if dm.Gang && !dm.Reserves && !total.Fits(share) {
		return
	}
	se.taken = se.taken.Add(total.Min(share))
}

// share returns the part of the capacity that is on workers which the advisor allows. A step does not keep the steps
// behind it from the other workers.
func (dm Demand) share(left size.Size) size.Size {
	for dim := range left {
		left[dim] = int64(dm.Share * float64(left[dim]))
	}
	return left
}

// fits reports whether a task of the step fits into what is left, or all of a gang. The share that the advisor allows does
// not count here: while it allows few workers, all gangs but the first would get no requests, with most capacity free.
func (dm Demand) fits(left size.Size) bool {
	if dm.Gang {
		return dm.Need.Times(int64(dm.Tasks)).Fits(left)
	}
	return dm.Need.Fits(left)
}
