package owner

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// hold is room taken for tasks that have not started, and the want of more.
type hold struct {
	Hold
	places  []Place
	want    int
	victims []string
	// targets is the room that is kept free for what is wanted, by worker.
	targets map[string]size.Size
	expires time.Duration
}

// before orders holds: the higher priority first, then the older job, then the id.
func (hd *hold) before(other *hold) bool {
	return cmp.Or(
		cmp.Compare(other.Priority, hd.Priority),
		cmp.Compare(hd.SubmittedAt, other.SubmittedAt),
		cmp.Compare(hd.ID, other.ID),
	) < 0
}

// hold takes room for as many of the tasks as fit. A hold that reserves takes
// the place of younger ones, and one that is urgent stops running tasks as well.
func (mc *Machine) hold(now time.Duration, req *Hold) []Action {
	hd, ok := mc.holds[req.ID]
	if !ok {
		hd = &hold{}
	}
	hd.Hold = *req
	mc.giveUp(hd)
	hd.expires = max(hd.expires, req.Expires)
	hd.want = 0
	for _, task := range req.Tasks {
		if !hd.has(task) && !mc.place(now, hd, task) {
			hd.want++
		}
	}
	var acts []Action
	if req.Urgent && hd.want > 0 {
		acts = mc.preempt(hd)
	}
	if req.Reserve {
		mc.earmark(now, hd)
	}
	if len(hd.places) > 0 || req.Reserve && hd.want > 0 {
		mc.holds[req.ID] = hd
	}
	if req.Urgent && hd.want == 0 {
		mc.passOn(now)
	}
	return append(acts, Action{Granted: &Granted{ID: req.ID, Places: slices.Clone(hd.places)}})
}

// giveUp gives the places of tasks back that a hold does not ask for any more: they
// have a place elsewhere.
func (mc *Machine) giveUp(hd *hold) {
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

// place takes room for one task, from younger reservations if need be.
func (mc *Machine) place(now time.Duration, hd *hold, task string) bool {
	for {
		worker, ok := mc.ledger.BestFit(hd.Size, func(name string) bool {
			return mc.mayUse(hd, name) || mc.backfills(now, hd, name)
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

// mayUse reports whether a hold may use a worker: what it leaves there is enough
// for the holds that come first and for which room is kept.
func (mc *Machine) mayUse(hd *hold, name string) bool {
	kept := mc.kept(hd, name)
	if kept.IsZero() {
		return true
	}
	free, ok := mc.ledger.Free(name)
	return ok && hd.Size.Add(kept).Fits(free)
}

// takeOver gives back the youngest reservation that comes after hd and still
// wants room. Of two gangs that each hold a part, the older one goes on.
func (mc *Machine) takeOver(hd *hold) bool {
	var youngest *hold
	for _, other := range mc.holds {
		if !other.Reserve || other.want == 0 || len(other.places) == 0 || !hd.before(other) {
			continue
		}
		if youngest == nil || youngest.before(other) {
			youngest = other
		}
	}
	if youngest == nil {
		return false
	}
	mc.giveBack(youngest)
	youngest.want += len(youngest.places)
	youngest.places = nil
	return true
}

// commit makes the places of the named tasks last. Where one of them has gone,
// because an older hold took it over or its worker was lost, nothing is committed.
func (mc *Machine) commit(now time.Duration, cm *Commit) []Action {
	hd, ok := mc.holds[cm.ID]
	delete(mc.holds, cm.ID)
	if !ok {
		return []Action{{Settled: &Settled{ID: cm.ID}}}
	}
	chosen, rest := hd.split(cm.Tasks)
	whole := len(chosen) == len(cm.Tasks) && !slices.ContainsFunc(chosen, func(pl Place) bool {
		return !mc.ledger.Has(pl.Task)
	})
	if !whole {
		mc.giveBack(hd)
		return mc.drain(now, []Action{{Settled: &Settled{ID: cm.ID}}})
	}
	var ends time.Duration
	if hd.Run > 0 {
		ends = now + hd.Run
	}
	for _, pl := range chosen {
		mc.starting[pl.Task] = true
		mc.runs(Running{
			ID: pl.Task, Size: hd.Size, Priority: hd.Priority, Repeatable: hd.Repeatable,
		}, pl.Worker, ends)
	}
	for _, pl := range rest {
		mc.ledger.Release(pl.Task)
	}
	return mc.drain(now, []Action{{Settled: &Settled{ID: cm.ID, OK: true, Places: chosen}}})
}

// split parts the places of the named tasks from the rest.
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

func (mc *Machine) giveBack(hd *hold) {
	if hd == nil {
		return
	}
	for _, pl := range hd.places {
		mc.ledger.Release(pl.Task)
	}
}

func (mc *Machine) release(now time.Duration, rl *Release) []Action {
	mc.giveBack(mc.holds[rl.ID])
	delete(mc.holds, rl.ID)
	return mc.drain(now, nil)
}
