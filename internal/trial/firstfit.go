package trial

import (
	"fmt"
	"slices"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/trace"
)

// firstFit is the baseline policy: jobs start strictly in order of submission, each task on the first worker with
// enough free resources. It ignores weights, priorities and limits.
type firstFit struct {
	sim     *simulation
	ledger  *ledger.Ledger
	names   []string
	waiting []*job
	lookups []*lookup
	largest size.Size
}

func newFirstFit(sim *simulation) decider {
	ff := &firstFit{sim: sim, ledger: ledger.New()}
	return decider{
		workerUp: ff.workerUp, workerGone: ff.workerGone, limits: func(trace.Limits) {},
		submit: ff.submit, cancel: ff.cancel, requeue: ff.requeue, taskEnded: ff.taskEnded,
		submitLookup: ff.submitLookup, lookupDone: ff.lookupDone, tick: ff.advance,
	}
}

func (ff *firstFit) workerUp(wk ledger.Worker) {
	ff.ledger.Put(wk)
	if !slices.Contains(ff.names, wk.Name) {
		ff.names = append(ff.names, wk.Name)
	}
	ff.largest = ff.largest.Max(wk.Capacity)
}

func (ff *firstFit) workerGone(name string, lost bool) {
	ff.ledger.Leave(name)
	if lost {
		ff.ledger.Remove(name)
	}
}

func (ff *firstFit) submit(jb *job) string {
	if !jb.Size.Fits(ff.largest) {
		return "no worker is large enough"
	}
	ff.waiting = append(ff.waiting, jb)
	return ""
}

func (ff *firstFit) cancel(jb *job) {
	ff.waiting = slices.DeleteFunc(ff.waiting, func(other *job) bool { return other == jb })
}

func (ff *firstFit) requeue(jb *job) { ff.waiting = append(ff.waiting, jb) }

func (ff *firstFit) taskEnded(_ *job, task, _ string, _ bool) { ff.ledger.Release(task) }

// advance starts jobs from the head of the queue as long as they fit.
func (ff *firstFit) advance() {
	for len(ff.waiting) > 0 {
		places, ok := ff.places(ff.waiting[0])
		if !ok {
			break
		}
		jb := ff.waiting[0]
		ff.waiting = ff.waiting[1:]
		ff.sim.start(jb, places)
	}
	ff.advanceLookups()
}

func (ff *firstFit) places(jb *job) ([]owner.Place, bool) {
	jb.attempt++
	var places []owner.Place
	for i := range jb.Tasks {
		task := fmt.Sprintf("%s.%d.%d", jb.ID, jb.attempt, i)
		at := slices.IndexFunc(ff.names, func(name string) bool { return ff.ledger.Take(name, task, jb.Size, 0) })
		if at < 0 {
			for _, pl := range places {
				ff.ledger.Release(pl.Task)
			}
			return nil, false
		}
		places = append(places, owner.Place{Task: task, Worker: ff.names[at]})
	}
	return places, true
}

func (ff *firstFit) submitLookup(lk *lookup) {
	ff.lookups = append(ff.lookups, lk)
	ff.advanceLookups()
}

func (ff *firstFit) lookupDone(lk *lookup, _ bool) {
	ff.ledger.Release(lk.id)
	ff.advanceLookups()
}

func (ff *firstFit) advanceLookups() {
	for len(ff.lookups) > 0 {
		lk := ff.lookups[0]
		if lk.deadline <= ff.sim.now {
			ff.lookups = ff.lookups[1:]
			ff.sim.shed(lk)
			continue
		}
		at := slices.IndexFunc(ff.names, func(name string) bool { return ff.ledger.Take(name, lk.id, size.Size{}, 1) })
		if at < 0 {
			return
		}
		ff.lookups = ff.lookups[1:]
		ff.sim.send(lk, ff.names[at])
	}
}
