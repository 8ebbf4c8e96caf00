package cell

import (
	"fmt"
	"time"

	"tackbeam.example/policy/backoff"
)

// updateRun applies what a report says about a run that it lists.
func (cl *Cell) updateRun(now time.Duration, pl *placement, rn Run) {
	pl.reported = true
	cl.runSeen(now, pl)
	switch {
	case pl.state == ordered || pl.state == unconfirmed:
		pl.setState(running)
		pl.runningSince = now
		cl.beginJob(pl.task.step.round.job)
	case pl.inherited: // the earlier planner's stop has not arrived
		pl.inherited = false
		pl.setState(running)
		cl.stop(pl, "stop ordered by an earlier planner")
	}
	if rn.Percent != pl.percent {
		if pl.percent == 0 && (pl.resumed || pl.adopted) {
			pl.initialPercent, pl.begunAt = rn.Percent, now
		}
		pl.percent, pl.progressAt = rn.Percent, now
	}
	if rn.Checkpoint != "" {
		pl.task.checkpoint = rn.Checkpoint
	}
	pl.tailLatencyMS = rn.TailLatencyMS
}

// remainingTime estimates how long a run still takes. The speed is measured from when the run was first seen at
// work, since a run that continues from a checkpoint begins with progress.
func (cl *Cell) remainingTime(now time.Duration, pl *placement) time.Duration {
	const minPercent = 3 // progress at which the speed can be estimated
	gained := pl.percent - pl.initialPercent
	if pl.runningSince == 0 || gained < minPercent {
		return max(cl.expectedRunTime(pl.task.step)*time.Duration(fullPercent-pl.percent)/fullPercent-(now-pl.progressAt), 0)
	}
	elapsed := pl.progressAt - pl.begunAt
	return max(elapsed*time.Duration(fullPercent-pl.percent)/time.Duration(gained)-(now-pl.progressAt), 0)
}

// stallBackoff is how long a task may go without progress. The workers' longest tasks of 16 s gain a percent in
// 0.16 s, or in 1 s on a worker six times as slow. A task that hangs on several workers gets more time on
// each, so that it is not moved around forever.
var stallBackoff = backoff.Backoff{Initial: 2500 * time.Millisecond, Max: 20 * time.Second}

// hungWorkers is how many workers a task may hang on before it is itself at fault.
const hungWorkers = 2

// stallTimeout is how long the task may go without progress now.
func (tk *task) stallTimeout() time.Duration { return stallBackoff.Delay(tk.hangs - hungWorkers + 1) }

// maxProgressAge is the age up to which a report shows the progress of a task.
const maxProgressAge = 1500 * time.Millisecond

// fullPercent is the progress of a task that has finished its own work, and full speed as a pace. In a gang,
// such a task waits for the other members, whose work may take longer.
const fullPercent = 100

// stopHungRuns stops tasks that make no progress, so that they restart on other workers.
func (cl *Cell) stopHungRuns(now time.Duration) {
	for _, wk := range cl.workers {
		if len(wk.placements) == 0 || now-wk.lastReport > maxProgressAge || wk.moreEnds {
			continue // a run without progress may have ended
		}
		for _, pl := range wk.placements {
			def := pl.task.step.def
			if pl.state != running || pl.percent >= fullPercent || def.LongRunning || def.BestEffort || now-pl.progressAt < pl.task.stallTimeout() {
				continue
			}
			if pl.task.hangs++; pl.task.hangs <= hungWorkers {
				wk.quarantineUntil = now + quarantineHung
			}
			pl.task.avoidWorker(wk)
			cl.stop(pl, fmt.Sprintf("task hung at %d percent", pl.percent))
			if def.Gang {
				cl.stopGang(pl.task.step, pl.run, "a gang member hung")
			}
		}
	}
}

// Quarantined returns how many workers are quarantined, for metrics.
func (cl *Cell) Quarantined(now time.Duration) int {
	count := 0
	for _, wk := range cl.workers {
		if wk.quarantineUntil > now {
			count++
		}
	}
	return count
}
