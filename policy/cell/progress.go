package cell

import (
	"fmt"
	"time"

	"tackbeam.example/policy/backoff"
)

// progress takes in what a report says of a run that it lists.
func (cl *Cell) progress(now time.Duration, pl *placement, rn Run) {
	pl.reported = true
	switch {
	case pl.state == ordered || pl.state == unsure:
		pl.state, pl.since = running, now
		cl.begin(pl.task.step.round.job)
	case pl.inherited: // the earlier planner's stop has not come
		pl.inherited, pl.state = false, running
		cl.stop(pl, "an earlier planner's stop")
	}
	if rn.Percent != pl.percent {
		if pl.percent == 0 && (pl.resumed || pl.midway) {
			pl.from, pl.begun = rn.Percent, now
		}
		pl.percent, pl.moved = rn.Percent, now
	}
	if rn.Checkpoint != "" {
		pl.task.checkpoint = rn.Checkpoint
	}
	pl.load = rn.TailLatencyMS
}

// remains estimates how long a run still takes, from its progress so far: by what it has
// gained since it was first seen at work, which for one that goes on from a checkpoint is
// more than nothing.
func (cl *Cell) remains(now time.Duration, pl *placement) time.Duration {
	const enough = 3 // percent, from which progress tells the speed
	gained := pl.percent - pl.from
	if pl.since == 0 || gained < enough {
		return max(cl.expect(pl.task.step)*time.Duration(whole-pl.percent)/whole-(now-pl.moved), 0)
	}
	took := pl.moved - pl.begun
	return max(took*time.Duration(whole-pl.percent)/time.Duration(gained)-(now-pl.moved), 0)
}

// hungAfter is how long a task may show no progress; the workers' longest tasks of
// 16 s move by a percent in 0.16 s, on a worker six times as slow in 1 s. One that stands still
// wherever it is moved is given more time each time, so that it does not go round for ever.
var hungAfter = backoff.Backoff{Initial: 2500 * time.Millisecond, Max: 20 * time.Second}

// hungWorkers is how many workers a task may stand still on before the fault is its own.
const hungWorkers = 2

// hungTime is how long the task may show no progress now.
func (tk *task) hungTime() time.Duration { return hungAfter.Delay(tk.hangs - hungWorkers + 1) }

// fresh is the age up to which a report tells how a task is doing.
const fresh = 1500 * time.Millisecond

// whole is the percentage of a task that has done its work; in a gang it then waits
// for the others, whose work may be longer.
const whole = 100

// unhang moves tasks off workers on which they stand still.
func (cl *Cell) unhang(now time.Duration) {
	for _, wk := range cl.workers {
		if now-wk.reported > fresh {
			continue
		}
		for _, pl := range wk.places {
			def := pl.task.step.def
			if pl.state != running || pl.percent >= whole || def.LongRunning || def.BestEffort || now-pl.moved < pl.task.hungTime() {
				continue
			}
			if pl.task.hangs++; pl.task.hangs <= hungWorkers {
				wk.rest = now + restHung
			}
			pl.task.shun(wk)
			cl.stop(pl, fmt.Sprintf("task stands still at %d percent", pl.percent))
			if def.Gang {
				cl.breakGang(pl.task.step, "gang's member stands still")
			}
		}
	}
}

// Quarantined returns how many workers are at rest, for measures.
func (cl *Cell) Quarantined(now time.Duration) int {
	count := 0
	for _, wk := range cl.workers {
		if wk.rest > now {
			count++
		}
	}
	return count
}
