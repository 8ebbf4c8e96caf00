package owner

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// unknownRun stands for the time left of a task whose run time is not known.
const unknownRun = time.Minute

// prospect is room for one task of a hold on a worker, and when it is expected.
type prospect struct {
	worker string
	ready  time.Duration
	free   float64
}

// earmark keeps room free for what a hold still wants: where it is expected soonest.
// It is decided anew at each try; room that has come free in part makes a worker
// more likely to be chosen again.
func (mc *Machine) earmark(now time.Duration, hd *hold) {
	hd.targets = map[string]size.Size{}
	if hd.want == 0 {
		return
	}
	list := mc.prospects(now, hd)
	for _, pr := range list[:min(hd.want, len(list))] {
		hd.targets[pr.worker] = hd.targets[pr.worker].Add(hd.Size)
	}
}

// prospects lists the room that could serve a hold, the soonest first.
func (mc *Machine) prospects(now time.Duration, hd *hold) []prospect {
	running := mc.byWorker()
	var list []prospect
	for _, name := range mc.ledger.Names() {
		free, open := mc.ledger.Free(name)
		if !open {
			continue
		}
		free = free.Sub(mc.kept(hd, name))
		share := free.DominantShare(mc.ledger.Capacity(name))
		for _, ready := range readyTimes(now, hd, free, running[name]) {
			list = append(list, prospect{worker: name, ready: ready, free: share})
		}
	}
	slices.SortFunc(list, func(a, b prospect) int {
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

// kept returns the room on a worker that is kept free for holds that come before.
func (mc *Machine) kept(hd *hold, worker string) size.Size {
	var sum size.Size
	for _, other := range mc.holds {
		if room, ok := other.targets[worker]; ok && other.ID != hd.ID && !hd.before(other) {
			sum = sum.Add(room)
		}
	}
	return sum
}

// readyTimes returns when room for one more task of a hold is expected on a worker,
// then for another one, as its running tasks end.
func readyTimes(now time.Duration, hd *hold, free size.Size, list []*running) []time.Duration {
	ends := func(rn *running) time.Duration {
		switch {
		case slices.Contains(hd.victims, rn.ID):
			return now
		case rn.stopping: // for another hold, whose room it will be
			return now + 2*unknownRun
		case rn.ends == 0:
			return now + unknownRun
		}
		return max(now, rn.ends)
	}
	slices.SortFunc(list, func(a, b *running) int {
		return cmp.Or(cmp.Compare(ends(a), ends(b)), cmp.Compare(a.order, b.order))
	})
	var times []time.Duration
	at := now
	for {
		for hd.Size.Fits(free) && len(times) < hd.want {
			times = append(times, at)
			free = free.Sub(hd.Size)
		}
		if len(list) == 0 || len(times) == hd.want {
			return times
		}
		at = ends(list[0])
		free = free.Add(list[0].Size)
		list = list[1:]
	}
}
