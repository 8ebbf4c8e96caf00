package cell

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
)

// How many workers are in use.
const (
	// defaultMinInUse is how many workers of a service are in use even if there is no work, so that a burst finds room at
	// once.
	defaultMinInUse = 64
	// useFactor is the capacity in use relative to what running and waiting tasks take. Steps find few workers that
	// they may run on, and gangs need many at the same time.
	useFactor = 3
	// surplusFactor is how many times more workers than needed must be in use before any goes on standby.
	surplusFactor = 2
	// minIdle is how long a worker must have had no run before it goes on standby: no order to it is in transit any
	// more.
	minIdle = MaxOrderDelay + 5*time.Second
	// lackInterval is how long a step must lack room for its demand to grow by as much again.
	lackInterval = 300 * time.Millisecond
	// lackMemory is how long a step counts as lacking room after a plan has found none for it.
	lackMemory = 200 * time.Millisecond
	// maxLackingSteps is how many steps that lack room are examined at one time.
	maxLackingSteps = 8
)

// serviceUse is the use of the workers of one service.
type serviceUse struct {
	// workers is the number of workers in use, used how many whole workers the runs on them take, and demand how many
	// the waiting tasks would take.
	workers      int
	used, demand float64
	largest      size.Size
}

// target is how many workers of a service should be in use.
func (cl *Cell) target(us *serviceUse) int {
	return cmp.Or(cl.opts.MinInUse, defaultMinInUse) + int(math.Ceil(useFactor*(us.used+us.demand)))
}

// Activate chooses the workers on standby that are needed now. They are on standby no more; the caller adds them with
// PutWorker.
func (cl *Cell) Activate(now time.Duration) []incarnation.ID {
	if !cl.hasStandby() {
		return nil
	}
	var ids []incarnation.ID
	uses := cl.serviceUses(now)
	for _, service := range slices.Sorted(maps.Keys(cl.standby)) {
		us := uses[service]
		if us == nil {
			us = &serviceUse{}
		}
		ids = append(ids, cl.standby[service].take(cl.target(us)-us.workers, cl.mayActivate)...)
	}
	examined, racks := 0, map[rack]bool{}
	for st := range cl.open {
		if sb := cl.standby[cl.service(st)]; sb != nil && len(sb.workers) > 0 && st.unplaced > 0 {
			if rk := (rack{cl.service(st), st.def.Rack}); rk.name != "" && !racks[rk] {
				racks[rk] = true
				ids = append(ids, cl.activateRack(sb, rk.name)...)
			}
			if cl.lacksRoom(now, st) && examined < maxLackingSteps {
				examined++
				ids = append(ids, cl.activateFor(now, sb, st)...)
			}
		}
	}
	return ids
}

func (cl *Cell) hasStandby() bool {
	for _, sb := range cl.standby {
		if len(sb.workers) > 0 {
			return true
		}
	}
	return false
}

// rack is a rack with workers of a service.
type rack struct{ service, name string }

// activateRack takes the workers in a rack.
func (cl *Cell) activateRack(sb *standby, name string) []incarnation.ID {
	return sb.take(len(sb.workers), func(wk *Worker) bool { return wk.Rack == name && cl.mayActivate(wk) })
}

// activateFor takes workers for a step that lacks room: the longer it does, the more. Few of those in use may suit it,
// since it needs a label or a large worker.
func (cl *Cell) activateFor(now time.Duration, sb *standby, st *step) []incarnation.ID {
	intervals := 1 + float64(now-st.lackedSince)/float64(lackInterval)
	want := int(math.Ceil(useFactor * intervals * cl.workersFor(st, sb.largest)))
	for _, wk := range cl.workers {
		if wk.inUse(cl.service(st)) && st.suits(&wk.Worker) {
			want--
		}
	}
	return sb.take(want, func(wk *Worker) bool { return st.suits(wk) && cl.mayActivate(wk) })
}

// suits reports whether a worker could run a task of the step if it were empty.
func (st *step) suits(wk *Worker) bool {
	return (st.def.Label == "" || slices.Contains(wk.Labels, st.def.Label)) && st.need().Fits(wk.Capacity)
}

// inUse reports whether a worker of a service may take runs, now or once it has answered.
func (wk *worker) inUse(service string) bool {
	return wk.Service == service && wk.usable() && !wk.evacuated
}

// usable reports whether a worker may take runs as far as the worker itself is concerned.
func (wk *worker) usable() bool {
	return wk.listed && !wk.Draining && !wk.unreachable && !wk.overdue
}

// mayActivate reports whether a worker on standby may come into use.
func (cl *Cell) mayActivate(wk *Worker) bool { return !cl.evacuated[wk.Hall] }

// AnswerOverdue records that a worker should have given its first answer by now, so that others come into use in its
// place.
func (cl *Cell) AnswerOverdue(id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok && !wk.answered {
		wk.overdue = true
	}
}

// serviceUses returns the use of the workers of each service.
func (cl *Cell) serviceUses(now time.Duration) map[string]*serviceUse {
	uses := map[string]*serviceUse{}
	use := func(service string) *serviceUse {
		us, ok := uses[service]
		if !ok {
			us = &serviceUse{}
			if sb := cl.standby[service]; sb != nil {
				us.largest = sb.largest
			}
			uses[service] = us
		}
		return us
	}
	for _, wk := range cl.workers {
		if !wk.inUse(wk.Service) {
			continue
		}
		us := use(wk.Service)
		us.workers++
		us.largest = us.largest.Max(wk.Capacity)
		if !wk.used.IsZero() {
			us.used += min(wk.used.DominantShare(wk.Capacity), 1)
		}
	}
	if cl.window.lastFull > 0 && now-cl.window.lastFull < fullFor {
		return uses // the planner cannot send its starts, so further workers are of no use
	}
	for st := range cl.open {
		if st.unplaced > 0 && (cl.recovered || !st.round.job.inherited) && !cl.atLimit(st) {
			us := use(cl.service(st))
			us.demand += cl.workersFor(st, us.largest)
		}
	}
	return uses
}

// workersFor estimates how many empty workers the waiting tasks of a step take. It is 0 for tasks that fit into none.
func (cl *Cell) workersFor(st *step, largest size.Size) float64 {
	perWorker := largest.FitCount(st.need())
	if perWorker == 0 {
		return 0
	}
	if st.def.PerWorker > 0 {
		perWorker = min(perWorker, st.def.PerWorker)
	}
	count := float64(st.unplaced) / float64(perWorker)
	if st.advised() {
		count /= cl.queue(st.round.job.spec.Queue.Name).allowedShare
	}
	return count
}

// noteLack records that a plan found no room for a step.
func (cl *Cell) noteLack(now time.Duration, st *step) {
	if !cl.lacksRoom(now, st) {
		st.lackedSince = now
	}
	st.lackedAt = now
}

// lacksRoom reports whether plans have recently found no room for a step.
func (cl *Cell) lacksRoom(now time.Duration, st *step) bool {
	return st.lackedAt > 0 && now-st.lackedAt <= lackMemory
}

// Surplus returns the idle workers that are not needed, to be retired. Those of evacuated halls are not.
func (cl *Cell) Surplus(now time.Duration) []incarnation.ID {
	uses := cl.serviceUses(now)
	surplus := map[string]int{}
	for service, us := range uses {
		surplus[service] = us.workers - surplusFactor*cl.target(us)
	}
	var ids []incarnation.ID
	for id, wk := range cl.workers {
		switch {
		case !cl.idle(now, wk):
		case wk.evacuated:
			ids = append(ids, id)
		case surplus[wk.Service] > 0:
			surplus[wk.Service]--
			ids = append(ids, id)
		}
	}
	return ids
}

// idle reports whether a worker has had no run for minIdle, and nothing about it has to be remembered.
func (cl *Cell) idle(now time.Duration, wk *worker) bool {
	return wk.usable() && wk.answered && len(wk.placements) == 0 && wk.unknownRuns == 0 && len(wk.unacked) == 0 && !wk.moreEnds &&
		wk.openRecord > 0 && wk.openRecord <= cl.committed && !wk.unrenewed && wk.reservedFor == nil && wk.failures == 0 &&
		wk.quarantineUntil <= now && now-wk.usedAt >= minIdle && !cl.HasPredecessor(wk.ID)
}

// Retire takes an idle worker out of use. The next planner does not wait for it.
func (cl *Cell) Retire(id incarnation.ID) {
	if wk, ok := cl.workers[id]; ok {
		cl.removeWorker(wk)
	}
}
