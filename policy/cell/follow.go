package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/life"
)

// A worker may begin again under its id. A start of its earlier life that was not answered may then be
// carried out in the next one, and one that was answered may have been: what names the worker in an order
// is its id, and what was barred in the earlier life is not in the next. So a run that the earlier life has not
// reported is kept until a report of the next life, asked for with
// a token that bars what was ordered before, lists it or does not.

// strayMost is how long such a run is kept where the next life answers nobody: as long as an order may be
// under way, and run then.
const strayMost = 15 * time.Second

// ghost is an earlier life of a worker, with the runs that may yet begin in the next one.
type ghost struct {
	worker *worker
	until  time.Duration
}

// Follow takes in that another life of a worker has begun, which ends the earlier one. The other one is not
// listed by that.
func (cl *Cell) Follow(now time.Duration, earlier, next life.Life) {
	wk, ok := cl.workers[earlier]
	if !ok {
		return
	}
	cl.fellSilent(now, wk)
	cl.unlist(wk)
	wk.answered = false
	over := cl.layCrash(now, wk)
	for _, pl := range wk.places {
		if pl.mayStray() {
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
	cl.ghosts[next.ID()] = append(cl.ghosts[next.ID()], ghost{wk, now + strayMost})
	cl.mayHold(now, next)
}

// mayHold records that a life may hold any run before it is listed: another planner would not wait for what
// it says of the earlier life's runs.
func (cl *Cell) mayHold(now time.Duration, id life.Life) {
	cl.Inherit(now, id, nil)
	cl.record(Record{Worker: id})
	cl.workers[id].proof = cl.recorded
}

// mayStray reports whether a run may be in the worker's next life, or begin there yet: its start, which
// either life may have answered, was in no report of this one, or a try of it has no answer.
func (pl *placement) mayStray() bool { return !pl.reported || pl.strays }

// settleGhosts takes in what a life's first report says of runs of earlier lives.
func (cl *Cell) settleGhosts(id life.Life, runs []Run, ends []End) {
	ghosts := cl.ghosts[id.ID()]
	if len(ghosts) == 0 {
		return
	}
	delete(cl.ghosts, id.ID())
	began := make(map[key]bool, len(runs)+len(ends))
	for _, rn := range runs {
		began[key{rn.Task, rn.Number}] = true
	}
	for _, en := range ends {
		began[key{en.Task, en.Number}] = true
	}
	for _, gh := range ghosts {
		cl.settleGhost(gh.worker, began)
	}
}

// settleGhost gives back the room of an earlier life's runs. Those that began in the next life were not
// what ended the earlier one.
func (cl *Cell) settleGhost(wk *worker, began map[key]bool) {
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

// dropGhosts gives up on runs of earlier lives whose next life has not answered for long.
func (cl *Cell) dropGhosts(now time.Duration) {
	for id, ghosts := range cl.ghosts {
		left := slices.DeleteFunc(ghosts, func(gh ghost) bool {
			if now < gh.until {
				return false
			}
			cl.settleGhost(gh.worker, nil)
			return true
		})
		if cl.ghosts[id] = left; len(left) == 0 {
			delete(cl.ghosts, id)
		}
	}
}

// Strayed takes in that a try of a start had no answer, though a later one had: it may be carried out yet.
func (cl *Cell) Strayed(sr Start) {
	if pl := cl.placement(sr.Worker, sr.Task, sr.Run); pl != nil {
		pl.strays = true
	}
}
