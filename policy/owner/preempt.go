package owner

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// running is a committed task and whether it may be preempted.
type running struct {
	Running
	worker string
	order  int
	// ends is when the task is expected to end; zero if unknown.
	ends time.Duration
	// stopping is set once the task is chosen for preemption.
	stopping bool
}

// addRunning adds a committed task.
func (mc *Machine) addRunning(rn Running, worker string, ends time.Duration) {
	if _, known := mc.running[rn.ID]; known {
		return
	}
	mc.started++
	mc.running[rn.ID] = &running{Running: rn, worker: worker, order: mc.started, ends: ends}
}

// removeRunning removes tasks that no longer have a commitment in the ledger.
func (mc *Machine) removeRunning(ids []string) {
	for _, id := range ids {
		delete(mc.running, id)
	}
}

// preempt chooses repeatable running tasks of lower priority and requests that they are stopped, so that the urgent
// hold fits once they have ended. As long as a task chosen earlier has not ended, it chooses no more.
func (mc *Machine) preempt(hd *hold) []Action {
	for _, id := range hd.victims {
		if mc.ledger.Has(id) {
			return nil
		}
	}
	hd.victims = nil
	if rn := mc.unclaimed(hd); rn != nil {
		hd.victims = append(hd.victims, rn.ID)
		return nil
	}
	var acts []Action
	for range hd.missing {
		victims := mc.cheapest(hd)
		if len(victims) == 0 {
			break
		}
		for _, rn := range victims {
			rn.stopping = true
			hd.victims = append(hd.victims, rn.ID)
			acts = append(acts, Action{Preempt: &Preempt{Task: rn.ID, Worker: rn.worker}})
		}
	}
	return acts
}

// unclaimed returns a task that is being stopped for a hold that has since found resources elsewhere, and whose end
// frees enough for this hold; nil if there is none.
func (mc *Machine) unclaimed(hd *hold) *running {
	claimed := map[string]bool{}
	for _, other := range mc.holds {
		for _, id := range other.victims {
			claimed[id] = claimed[id] || other.missing > 0
		}
	}
	var first *running
	for _, rn := range mc.running {
		free, ok := mc.ledger.Free(rn.worker)
		if !rn.stopping || claimed[rn.ID] || !ok || !hd.Size.Fits(free.Add(rn.Size)) {
			continue
		}
		if first == nil || rn.order < first.order {
			first = rn
		}
	}
	return first
}

// reassignFreed assigns tasks that are being stopped, but no longer for a hold that needs their resources, to urgent
// holds that lack resources, before other holds can take these.
func (mc *Machine) reassignFreed(now time.Duration) {
	var list []*hold
	for _, hd := range mc.holds {
		if hd.Urgent && hd.missing > 0 {
			list = append(list, hd)
		}
	}
	slices.SortFunc(list, func(a, b *hold) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	for _, hd := range list {
		if rn := mc.unclaimed(hd); rn != nil {
			hd.victims = append(hd.victims, rn.ID)
		}
		mc.reserve(now, hd)
	}
}

// cheapest returns tasks on one worker whose end frees enough for one task of the hold. Of the sets that pick chooses
// on each worker, it is the smallest.
func (mc *Machine) cheapest(hd *hold) []*running {
	byWorker := map[string][]*running{}
	for _, rn := range mc.running {
		if rn.Repeatable && rn.Priority < hd.Priority && !rn.stopping {
			byWorker[rn.worker] = append(byWorker[rn.worker], rn)
		}
	}
	var best []*running
	for worker, list := range byWorker {
		free, ok := mc.ledger.Free(worker)
		if !ok {
			continue
		}
		picked := pick(list, free, hd.Size)
		if picked != nil && (best == nil || cheaper(picked, best)) {
			best = picked
		}
	}
	return best
}

// pick returns tasks, those of the lowest priority and the youngest first, until the size fits; nil if it does not fit
// after all of them.
func pick(list []*running, free, sz size.Size) []*running {
	slices.SortFunc(list, func(a, b *running) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.order, a.order))
	})
	for i, rn := range list {
		free = free.Add(rn.Size)
		if sz.Fits(free) {
			return list[:i+1]
		}
	}
	return nil
}

// cheaper reports whether a has fewer tasks than b or, if as many, younger ones.
func cheaper(a, b []*running) bool {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(b[0].order, a[0].order)) < 0
}
