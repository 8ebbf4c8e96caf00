package cell

import (
	"slices"
	"tackbeam.example/policy/incarnation"
	"time"
)

// A worker may begin again under its id. A start of its earlier life may then have been carried out in the
// next one, or may be yet: what names the worker in an order is its id, and what was fenced in one life is
// not in another. So a run that the earlier life has not reported is kept until a report of the next life
// lists it or does not; that report is asked for with a token that bars what was ordered before.

// mostDelay is how long such a run is kept where the next life answers nobody: as long as an order may be
// under way, and run then.
const mostDelay = 15 * time.Second

// predecessor is an earlier life of a worker, with the runs that may yet begin in the next one.
type predecessor struct {
	worker *worker
	until  time.Duration
}

// Restarted takes in that another life of a worker has begun, which ends the earlier one. The other one is not
// listed by that.
func (cl *Cell) Restarted(now time.Duration, earlier, next incarnation.ID) {
	wk, ok := cl.workers[earlier]
	if !ok {
		return
	}
	cl.fellSilent(now, wk)
	cl.deregister(wk)
	wk.answered = false
	over := cl.layCrash(now, wk)
	for _, pl := range wk.places {
		if pl.mayBeDelayed() {
			pl.state, pl.lost = unsure, now
			continue
		}
		cl.release(pl)
		cl.afterLoss(pl)
	}
	cl.giveUp(now, over)
	if len(wk.places) == 0 {
		cl.forget(wk)
		return
	}
	cl.predecessors[next.WorkerID()] = append(cl.predecessors[next.WorkerID()], predecessor{wk, now + mostDelay})
	cl.mayHold(now, next)
}

// mayHold records that a life may hold any run before it is listed: another planner would not wait for what
// it says of the earlier life's runs.
func (cl *Cell) mayHold(now time.Duration, id incarnation.ID) {
	cl.InheritRuns(now, id, nil)
	cl.record(Record{Worker: id})
	cl.workers[id].proof = cl.recorded
}

// mayBeDelayed reports whether a run may be in the worker's next life, or begin there yet: its start, which
// either life may have answered, was in no report of this one, or a try of it has no answer.
func (pl *placement) mayBeDelayed() bool { return !pl.reported || pl.delayed }

// settlePredecessors takes in what a life's first report says of runs of earlier lives.
func (cl *Cell) settlePredecessors(id incarnation.ID, runs []Run, ends []End) {
	predecessors := cl.predecessors[id.WorkerID()]
	if len(predecessors) == 0 {
		return
	}
	delete(cl.predecessors, id.WorkerID())
	began := make(map[key]bool, len(runs)+len(ends))
	for _, rn := range runs {
		began[key{rn.Task, rn.Number}] = true
	}
	for _, en := range ends {
		began[key{en.Task, en.Number}] = true
	}
	for _, pr := range predecessors {
		cl.settlePredecessor(pr.worker, began)
	}
}

// settlePredecessor gives back the room of an earlier life's runs. Those that began in the next life were not
// what ended the earlier one.
func (cl *Cell) settlePredecessor(wk *worker, began map[key]bool) {
	for at, pl := range wk.places {
		cl.release(pl)
		if began[at] {
			cl.clear(pl.task, pl.run)
		} else {
			cl.afterLoss(pl)
		}
	}
	cl.forget(wk)
}

// dropPredecessors gives up on runs of earlier lives whose next life has not answered for long.
func (cl *Cell) dropPredecessors(now time.Duration) {
	for id, predecessors := range cl.predecessors {
		left := slices.DeleteFunc(predecessors, func(pr predecessor) bool {
			if now < pr.until {
				return false
			}
			cl.settlePredecessor(pr.worker, nil)
			return true
		})
		if cl.predecessors[id] = left; len(left) == 0 {
			delete(cl.predecessors, id)
		}
	}
}

// StartDelayed takes in that a try of a start had no answer, though a later one had: it may be carried out yet.
func (cl *Cell) StartDelayed(sr Start) {
	if pl := cl.placement(sr.Worker, sr.Task, sr.Run); pl != nil {
		pl.delayed = true
	}
}
