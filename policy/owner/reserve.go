package owner

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// defaultRemaining is the assumed remaining time of a task whose run time is unknown.
const defaultRemaining = time.Minute

// opening is a worker on which one task of a hold is expected to fit, and when.
type opening struct {
	worker string
	ready  time.Duration
	free   float64
}

// reserve reserves capacity for the tasks of a hold without a place, on the workers where it is expected to be free
// soonest. The workers are chosen again at each try; one on which a part of the capacity is free already is more
// likely to be chosen again.
func (mc *Machine) reserve(now time.Duration, hd *hold) {
	hd.targets = map[string]size.Size{}
	if hd.missing == 0 {
		return
	}
	list := mc.openings(now, hd)
	for _, op := range list[:min(hd.missing, len(list))] {
		hd.targets[op.worker] = hd.targets[op.worker].Add(hd.Size)
	}
}

// openings lists where tasks of a hold are expected to fit, the soonest first.
func (mc *Machine) openings(now time.Duration, hd *hold) []opening {
	running := mc.byWorker()
	var list []opening
	for _, name := range mc.ledger.Names() {
		free, ok := mc.ledger.Free(name)
		if !ok {
			continue
		}
		free = free.Sub(mc.reservedBefore(hd, name))
		share := free.DominantShare(mc.ledger.Capacity(name))
		for _, ready := range readyTimes(now, hd, free, running[name]) {
			list = append(list, opening{worker: name, ready: ready, free: share})
		}
	}
	slices.SortFunc(list, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(b.free, a.free), cmp.Compare(a.worker, b.worker))
	})
	return list
}

// byWorker returns the running tasks of each worker.
func (mc *Machine) byWorker() map[string][]*running {
	list := map[string][]*running{}
	for _, rn := range mc.running {
		list[rn.worker] = append(list[rn.worker], rn)
	}
	return list
}

// reservedBefore returns the capacity on a worker that is reserved for holds that precede hd.
func (mc *Machine) reservedBefore(hd *hold, worker string) size.Size {
	var sum size.Size
	for _, other := range mc.holds {
		if reserved, ok := other.targets[worker]; ok && other.ID != hd.ID && !hd.before(other) {
			sum = sum.Add(reserved)
		}
	}
	return sum
}

// readyTimes returns when a first task of a hold is expected to fit on a worker, then a second one and so on, as its
// running tasks end.
func readyTimes(now time.Duration, hd *hold, free size.Size, list []*running) []time.Duration {
	ends := func(rn *running) time.Duration {
		switch {
		case slices.Contains(hd.victims, rn.ID):
			return now
		case rn.stopping: // for another hold, which gets the freed resources
			return now + 2*defaultRemaining
		case rn.ends == 0:
			return now + defaultRemaining
		}
		return max(now, rn.ends)
	}
	slices.SortFunc(list, func(a, b *running) int {
		return cmp.Or(cmp.Compare(ends(a), ends(b)), cmp.Compare(a.order, b.order))
	})
	var times []time.Duration
	at := now
	for {
		for hd.Size.Fits(free) && len(times) < hd.missing {
			times = append(times, at)
			free = free.Sub(hd.Size)
		}
		if len(list) == 0 || len(times) == hd.missing {
			return times
		}
		at = ends(list[0])
		free = free.Add(list[0].Size)
		list = list[1:]
	}
}
