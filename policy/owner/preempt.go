package owner

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// running is a committed task and what may be done to it.
type running struct {
	Running
	worker string
	order  int
	// ends is when the task is expected to end; zero is not known.
	ends time.Duration
	// stopping is set once the task was chosen to make room.
	stopping bool
}

// runs notes a committed task.
func (mc *Machine) runs(rn Running, worker string, ends time.Duration) {
	if _, known := mc.running[rn.ID]; known {
		return
	}
	mc.started++
	mc.running[rn.ID] = &running{Running: rn, worker: worker, order: mc.started, ends: ends}
}

// forget drops tasks that the ledger has no room for any more.
func (mc *Machine) forget(ids []string) {
	for _, id := range ids {
		delete(mc.running, id)
	}
}

// preempt chooses running tasks of lower priority that may be repeated, and asks
// for their stop, so that the urgent hold fits when they have ended. While
// tasks that it chose before have not ended, it chooses no more.
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
	for range hd.want {
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

// unclaimed returns a task that is being stopped for a hold which has found room
// elsewhere meanwhile, and whose end makes room for this one; nil where there is none.
func (mc *Machine) unclaimed(hd *hold) *running {
	claimed := map[string]bool{}
	for _, other := range mc.holds {
		for _, id := range other.victims {
			claimed[id] = claimed[id] || other.want > 0
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

// passOn gives the room that tasks which are being stopped still make for nobody to
// the urgent holds that want some, before anybody else asks for it.
func (mc *Machine) passOn(now time.Duration) {
	var list []*hold
	for _, hd := range mc.holds {
		if hd.Urgent && hd.want > 0 {
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
		mc.earmark(now, hd)
	}
}

// cheapest returns the fewest tasks of one worker whose end makes room for one
// task of the hold.
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
		if picked != nil && (best == nil || less(picked, best)) {
			best = picked
		}
	}
	return best
}

// pick takes tasks, the lowest priority and the youngest first, until the size
// fits; nil where it never does.
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

// less orders two choices: the shorter first, then the one of younger tasks.
func less(a, b []*running) bool {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(b[0].order, a[0].order)) < 0
}
