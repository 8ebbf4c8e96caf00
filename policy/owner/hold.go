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
	// targets are the workers that are kept free for what is wanted.
	targets map[string]bool
	expires time.Duration
}

// before orders holds: the higher priority first, then the older job, then the id.
func (hd *hold) before(other *hold) bool {
	return cmp.Or(
		cmp.Compare(other.Priority, hd.Priority),
		cmp.Compare(hd.Age, other.Age),
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
		mc.earmark(hd)
	}
	if len(hd.places) > 0 || req.Reserve && hd.want > 0 {
		mc.holds[req.ID] = hd
	}
	return append(acts, Action{Granted: &Granted{ID: req.ID, Places: slices.Clone(hd.places)}})
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

// mayUse reports whether a hold may use a worker: not where it is kept free for
// a hold that comes first.
func (mc *Machine) mayUse(hd *hold, worker string) bool {
	for _, other := range mc.holds {
		if other.targets[worker] && other.ID != hd.ID && !hd.before(other) {
			return false
		}
	}
	return true
}

// earmark chooses the workers that are kept free for what a hold still wants:
// those chosen before, and then those with the most free room. A worker that the
// hold's own places leave no room on cannot serve what is left.
func (mc *Machine) earmark(hd *hold) {
	former := hd.targets
	hd.targets = map[string]bool{}
	for _, id := range hd.victims {
		if rn, ok := mc.running[id]; ok {
			former = with(former, rn.worker)
		}
	}
	own := hd.own()
	useful := func(name string) bool {
		return !hd.targets[name] && hd.Size.Fits(mc.beside(own, name)) && mc.mayUse(hd, name)
	}
	for left := int64(hd.want); left > 0; {
		name, ok := mc.ledger.Roomiest(hd.Size, func(name string) bool { return former[name] && useful(name) })
		if !ok {
			name, ok = mc.ledger.Roomiest(hd.Size, useful)
		}
		if !ok {
			return
		}
		hd.targets[name] = true
		left -= max(1, hd.Size.Count(mc.beside(own, name), left))
	}
}

// own returns the room that the hold has on each worker.
func (hd *hold) own() map[string]size.Size {
	own := map[string]size.Size{}
	for _, pl := range hd.places {
		own[pl.Worker] = own[pl.Worker].Add(hd.Size)
	}
	return own
}

// beside returns what a worker can have besides a hold's own room there.
func (mc *Machine) beside(own map[string]size.Size, name string) size.Size {
	return mc.ledger.Capacity(name).Sub(own[name])
}

func with(set map[string]bool, name string) map[string]bool {
	if set == nil {
		set = map[string]bool{}
	}
	set[name] = true
	return set
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
		return !mc.ledger.Holds(pl.Task)
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
