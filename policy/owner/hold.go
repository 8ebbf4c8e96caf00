package owner

import (
	"cmp"
	"slices"
	"time"
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
func (mc *Machine) hold(req *Hold) []Action {
	hd, ok := mc.holds[req.ID]
	if !ok {
		hd = &hold{}
	}
	hd.Hold = *req
	hd.expires = max(hd.expires, req.Expires)
	hd.want = 0
	for _, task := range req.Tasks {
		if !hd.has(task) && !mc.place(hd, task) {
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
func (mc *Machine) place(hd *hold, task string) bool {
	for {
		worker, ok := mc.ledger.BestFit(hd.Size, func(name string) bool { return mc.mayUse(hd, name) })
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
// those chosen before, and then those with the most free room.
func (mc *Machine) earmark(hd *hold) {
	former := hd.targets
	hd.targets = map[string]bool{}
	for _, id := range hd.victims {
		if rn, ok := mc.running[id]; ok {
			former = with(former, rn.worker)
		}
	}
	for left := int64(hd.want); left > 0; {
		name, ok := mc.ledger.Roomiest(hd.Size, func(name string) bool {
			return former[name] && !hd.targets[name] && mc.mayUse(hd, name)
		})
		if !ok {
			name, ok = mc.ledger.Roomiest(hd.Size, func(name string) bool {
				return !hd.targets[name] && mc.mayUse(hd, name)
			})
		}
		if !ok {
			return
		}
		hd.targets[name] = true
		left -= max(1, hd.Size.Count(mc.ledger.Capacity(name), left))
	}
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

func (mc *Machine) commit(cm *Commit) []Action {
	hd, ok := mc.holds[cm.ID]
	delete(mc.holds, cm.ID)
	if !ok {
		return []Action{{Settled: &Settled{ID: cm.ID}}}
	}
	for _, pl := range hd.places {
		if !mc.ledger.Holds(pl.Task) {
			mc.giveBack(hd)
			return []Action{{Settled: &Settled{ID: cm.ID}}}
		}
	}
	for _, pl := range hd.places {
		mc.starting[pl.Task] = true
		mc.runs(Running{
			ID: pl.Task, Size: hd.Size, Priority: hd.Priority, Repeatable: hd.Repeatable,
		}, pl.Worker)
	}
	return []Action{{Settled: &Settled{ID: cm.ID, OK: true, Places: hd.places}}}
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
