package owner

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// hold is a Hold with the places taken for its tasks and the number of tasks without one.
type hold struct {
	Hold
	places  []Place
	missing int
	// victims are the tasks whose end is to free resources for this hold.
	victims []string
	// targets is the capacity reserved for the tasks without a place, by worker.
	targets map[string]size.Size
	expires time.Duration
}

// before orders holds: higher priority first, then the older job, then by id.
func (hd *hold) before(other *hold) bool {
	return cmp.Or(
		cmp.Compare(other.Priority, hd.Priority),
		cmp.Compare(hd.SubmittedAt, other.SubmittedAt),
		cmp.Compare(hd.ID, other.ID),
	) < 0
}

// hold takes places for as many of the tasks as fit. A hold that reserves takes over the places of incomplete
// reservations that it precedes, and an urgent one preempts running tasks as well.
func (mc *Machine) hold(now time.Duration, req *Hold) []Action {
	hd, ok := mc.holds[req.ID]
	if !ok {
		hd = &hold{}
	}
	hd.Hold = *req
	mc.releaseDropped(hd)
	hd.expires = max(hd.expires, req.Expires)
	hd.missing = 0
	for _, task := range req.Tasks {
		if !hd.has(task) && !mc.place(now, hd, task) {
			hd.missing++
		}
	}
	var acts []Action
	if req.Urgent && hd.missing > 0 {
		acts = mc.preempt(hd)
	}
	if req.Reserve {
		mc.reserve(now, hd)
	}
	if len(hd.places) > 0 || req.Reserve && hd.missing > 0 {
		mc.holds[req.ID] = hd
	}
	if req.Urgent && hd.missing == 0 {
		mc.reassignFreed(now)
	}
	return append(acts, Action{Granted: &Granted{ID: req.ID, Places: slices.Clone(hd.places)}})
}

// releaseDropped releases the places of tasks that a hold no longer lists, because they have a place elsewhere.
func (mc *Machine) releaseDropped(hd *hold) {
	hd.places = slices.DeleteFunc(hd.places, func(pl Place) bool {
		drop := !slices.Contains(hd.Tasks, pl.Task)
		if drop {
			mc.ledger.Release(pl.Task)
		}
		return drop
	})
}

func (hd *hold) has(task string) bool {
	return slices.ContainsFunc(hd.places, func(pl Place) bool { return pl.Task == task })
}

// place takes a place for one task. If none is free, a hold that reserves takes over places of reservations that it
// precedes.
func (mc *Machine) place(now time.Duration, hd *hold, task string) bool {
	for {
		worker, ok := mc.ledger.BestFit(hd.Size, func(name string) bool {
			return mc.leavesReserved(hd, name) || mc.mayBackfill(now, hd, name)
		})
		if ok && mc.ledger.Take(worker, task, hd.Size, 0) {
			hd.places = append(hd.places, Place{Task: task, Worker: worker})
			return true
		}
		if !hd.Reserve || !mc.takeOver(hd) {
			return false
		}
	}
}

// leavesReserved reports whether a task of a hold leaves enough free resources on a worker for the capacity reserved
// there for holds that precede it.
func (mc *Machine) leavesReserved(hd *hold, name string) bool {
	reserved := mc.reservedBefore(hd, name)
	if reserved.IsZero() {
		return true
	}
	free, ok := mc.ledger.Free(name)
	return ok && hd.Size.Add(reserved).Fits(free)
}

// takeOver releases the places of the last incomplete reservation, in the order of before, that hd precedes. It
// resolves the deadlock of two gangs that each hold a part of the workers that both need: the preceding one proceeds.
func (mc *Machine) takeOver(hd *hold) bool {
	var youngest *hold
	for _, other := range mc.holds {
		if !other.Reserve || other.missing == 0 || len(other.places) == 0 || !hd.before(other) {
			continue
		}
		if youngest == nil || youngest.before(other) {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	mc.releasePlaces(youngest)
	youngest.missing += len(youngest.places)
	youngest.places = nil
	return true
}

// commit commits the places of the named tasks. If one of them no longer exists, because a preceding hold took it
// over or its worker was lost, nothing is committed.
func (mc *Machine) commit(now time.Duration, cm *Commit) []Action {
	hd, ok := mc.holds[cm.ID]
	delete(mc.holds, cm.ID)
	if !ok {
		return []Action{{Settled: &Settled{ID: cm.ID}}}
	}
	chosen, rest := hd.split(cm.Tasks)
	complete := len(chosen) == len(cm.Tasks) && !slices.ContainsFunc(chosen, func(pl Place) bool {
		return !mc.ledger.Has(pl.Task)
	})
	if !complete {
		mc.releasePlaces(hd)
		return mc.dispatchWaiting(now, []Action{{Settled: &Settled{ID: cm.ID}}})
	}
	var ends time.Duration
	if hd.Run > 0 {
		ends = now + hd.Run
	}
	for _, pl := range chosen {
		mc.starting[pl.Task] = true
		mc.addRunning(Running{
			ID: pl.Task, Size: hd.Size, Priority: hd.Priority, Repeatable: hd.Repeatable,
		}, pl.Worker, ends)
	}
	for _, pl := range rest {
		mc.ledger.Release(pl.Task)
	}
	return mc.dispatchWaiting(now, []Action{{Settled: &Settled{ID: cm.ID, OK: true, Places: chosen}}})
}

// split separates the places of the named tasks from the others.
func (hd *hold) split(tasks []string) (chosen, rest []Place) {
	for _, pl := range hd.places {
		if slices.Contains(tasks, pl.Task) {
			chosen = append(chosen, pl)
		} else {
			rest = append(rest, pl)
		}
	}
	return chosen, rest
}

func (mc *Machine) releasePlaces(hd *hold) {
	if hd == nil {
		return
	}
	for _, pl := range hd.places {
		mc.ledger.Release(pl.Task)
	}
}

func (mc *Machine) release(now time.Duration, rl *Release) []Action {
	mc.releasePlaces(mc.holds[rl.ID])
	delete(mc.holds, rl.ID)
	return mc.dispatchWaiting(now, nil)
}
