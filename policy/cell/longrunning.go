package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
)

// A long-running task serves users of its own, so one that has lost its run must run again soon, however full the
// cell is. Its step reserves room at once, on the allowed workers where it becomes free soonest, and keeps tickets
// for them until it has room. What it reserves is one task's size for each task that waits. While a worker is
// unreachable, its long-running tasks may still run; room and tickets are prepared for the time at which its lease has
// expired.

// restartMargin is the room on allowed workers that a step looks for, relative to what its waiting tasks need: where
// room becomes free first is uncertain.
const restartMargin = 3

// countRestarts counts the tasks of a long-running step that wait to run again. A gang starts as a whole and is left
// to planGang.
func (st *step) countRestarts(now time.Duration) {
	st.restarts = 0
	if !st.def.LongRunning || st.def.Gang || st.unplaced == 0 {
		return
	}
	for _, tk := range st.tasks {
		if tk.run == 0 || tk.done || tk.runs > 0 || tk.startFailures.retryAt > now {
			continue
		}
		if st.restarts++; st.restarts == 1 || tk.releasedAt < st.restartsSince {
			st.restartsSince = tk.releasedAt
		}
	}
}

// mayHaveRun reports whether a task that waits may have run under an earlier planner without the cell knowing: other
// tasks of its step do.
func (st *step) mayHaveRun() bool {
	return st.def.LongRunning && !st.def.Gang && st.round.job.inherited && st.unplaced > 0 && st.unplaced < len(st.tasks)
}

// restartsFirst orders tasks that have run before others.
func restartsFirst(a, b *task) int { return cmp.Compare(min(b.run, 1), min(a.run, 1)) }

// expectRestarts counts the long-running tasks that will have to run again unless their worker answers before its
// lease has expired.
func (cl *Cell) expectRestarts() {
	for _, st := range cl.expecting {
		st.expected = 0
	}
	cl.expecting = cl.expecting[:0]
	for _, wk := range cl.workers {
		if !wk.unreachable || wk.leaseEnd == 0 {
			continue
		}
		for _, pl := range wk.placements {
			if pl.restartExpected() && cl.open[pl.task.step] {
				cl.expectRestart(pl.task.step, wk.leaseEnd)
			}
		}
	}
}

// restartExpected reports whether the loss of the run makes its task run again.
func (pl *placement) restartExpected() bool {
	tk := pl.task
	return tk.step.def.LongRunning && !tk.step.def.Gang && !tk.done && tk.runs == 1
}

func (cl *Cell) expectRestart(st *step, from time.Duration) {
	if st.expected++; st.expected == 1 {
		st.expectedFrom = from
		cl.expecting = append(cl.expecting, st)
	}
	st.expectedFrom = min(st.expectedFrom, from)
}

// awaitsUnreachable reports whether the recovery waits for workers that do not answer only. Then tasks of inherited jobs
// that no worker has reported are lost or on one of these, and their restarts are prepared.
func (cl *Cell) awaitsUnreachable() bool {
	if cl.recovered {
		return false
	}
	for _, wk := range cl.workers {
		if !wk.answered && !wk.unreachable {
			return false
		}
	}
	return true
}

// restarting reports whether long-running tasks of the step wait to run again or are expected to.
func (st *step) restarting() bool { return st.restarts+st.expected > 0 }

// lacksNone reports whether all tasks of the step run and none of them is expected to be lost.
func (st *step) lacksNone() bool { return st.unplaced+st.expected == 0 }

// lackingRestarts is how many tasks of the step wait to run again, as far as its workspace may have them running, or are
// expected to.
func (cl *Cell) lackingRestarts(st *step) int {
	return min(st.restarts, cl.allowance(st)) + st.expected
}

// restartAt is the earliest time at which a task of a step with restarts may run again.
func (st *step) restartAt(now time.Duration) time.Duration {
	if st.restarts > 0 {
		return now
	}
	return max(now, st.expectedFrom)
}

// reserveForRestart reserves room for the tasks of a step that wait or are expected to run again, and requests tickets
// for it.
func (cl *Cell) reserveForRestart(now time.Duration, st *step) {
	st.reservePlan = cl.planCount
	reselect, mayRequest := now-st.selectedAt >= reselectInterval, cl.mayRequest(now, st)
	if !reselect && !mayRequest {
		return
	}
	list := cl.openings(now, st, anyWorker)
	sortOpenings(st, list)
	if reselect {
		st.selectedAt = now
		free := slices.DeleteFunc(slices.Clone(list), func(op opening) bool { return !st.mayReserve(op.worker) })
		chosen, _ := earliestOpenings(st, free, min(cl.lackingRestarts(st), openSlots(free)))
		cl.setReservation(st, chosen)
		cl.preemptForRestart(now, st, free)
	}
	if mayRequest {
		cl.requestForRestart(now, st, list, cl.lackingRestarts(st))
	}
}

// prepareRestart requests tickets for the tasks of a step that may not start before the recovery is complete.
func (cl *Cell) prepareRestart(now time.Duration, st *step) {
	if !cl.mayRequest(now, st) {
		return
	}
	list := cl.openings(now, st, anyWorker)
	sortOpenings(st, list)
	cl.requestForRestart(now, st, list, cl.wanted(st)+st.expected)
}

// maxRestartDelay is how long after its worker's lease has expired a long-running task should run again.
const maxRestartDelay = time.Second

// preemptForRestart stops runs on allowed workers if too little room for the restarts is expected in time: what runs there
// may last much longer. It does so as late as the time of a stop allows, since an unreachable worker may answer again.
func (cl *Cell) preemptForRestart(now time.Duration, st *step, free []opening) {
	leaseEnd, missing := st.expectedFrom, st.expected
	if st.restarts > 0 {
		leaseEnd, missing = st.restartsSince, min(st.restarts, cl.allowance(st))
	}
	stopped := now + cl.opts.StopTimeout + stopMargin
	if stopped < leaseEnd || now < st.preemptAfter {
		return
	}
	due := max(leaseEnd+maxRestartDelay, stopped)
	for _, op := range free {
		if op.at <= due {
			missing -= op.slots
		}
	}
	for _, pl := range cl.preemptions(now, st, missing) {
		st.preemptAfter = now + maxRestartDelay // the room may be refused, and must not be made again at once
		st.selectedAt = 0                       // the next plan reserves the room that is made
		cl.stop(pl, "room for a long-running task that lost its worker")
	}
}

// preemption is a run that may be stopped to make room for a step.
type preemption struct {
	placement *placement
	loss      float64
	// slots is how many tasks of the step its worker would have room for if nothing else ran there.
	slots int
}

// preemptions returns the runs whose stops make room for as many tasks of the step as wanted, at the least loss of work. Each of
// them makes room for a task by itself.
func (cl *Cell) preemptions(now time.Duration, st *step, want int) []*placement {
	if want <= 0 {
		return nil
	}
	list := cl.preemptionsOf(now, st)
	slices.SortFunc(list, func(a, b preemption) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.placement.worker.ID, b.placement.worker.ID))
	})
	var chosen []*placement
	rooms := map[*worker]size.Size{}
	for _, pr := range list {
		wk := pr.placement.worker
		room, known := rooms[wk]
		if !known {
			room = wk.Capacity.Sub(wk.used)
		}
		larger := room.Add(pr.placement.need)
		gained := min(larger.FitCount(st.need()), pr.slots) - min(room.FitCount(st.need()), pr.slots)
		if gained == 0 {
			continue
		}
		rooms[wk] = larger
		chosen = append(chosen, pr.placement)
		if want -= gained; want <= 0 {
			break
		}
	}
	return chosen
}

// preemptionsOf returns the runs each of which makes room for a task of the step if it is stopped.
func (cl *Cell) preemptionsOf(now time.Duration, st *step) []preemption {
	workers := backward(cl.poolWorkers(st))
	if st.advised() {
		workers = cl.allowedWorkers(st, nil)
	}
	var list []preemption
	for cand := range cl.candidates(st, workers, spreadCapacity) {
		wk := cand.worker
		if !st.mayReserve(wk) {
			continue
		}
		room := wk.Capacity.Sub(wk.used)
		for _, pl := range wk.placements {
			if pl.preemptible() && st.need().Fits(room.Add(pl.need)) {
				list = append(list, preemption{pl, pl.lossIfStopped(now), cand.slots})
			}
		}
	}
	return list
}

// preemptible reports whether a run may be stopped to make room. The members of a gang would all be stopped, and urgent
// tasks end soon.
func (pl *placement) preemptible() bool {
	def := pl.task.step.def
	return pl.state == running && !def.LongRunning && !def.Gang && !pl.task.step.urgent()
}

// lossIfStopped is the work that a stop of the run loses, in core-seconds.
func (pl *placement) lossIfStopped(now time.Duration) float64 {
	if pl.task.step.def.Checkpoints {
		return 0
	}
	const milli = 1000
	return (now - pl.runningSince).Seconds() * float64(pl.need.Processors()) / milli
}

// anyWorker admits all workers, including those reserved for other restarts, which take their room soon.
func anyWorker(*worker) bool { return true }

// requestForRestart requests verdicts on more workers as long as the allowed ones have too little room even when other
// work has ended, and tickets for the allowed workers where room becomes free soonest. Tickets arrive shortly before a
// task may run again, and are renewed before they expire. The openings are sorted by time.
func (cl *Cell) requestForRestart(now time.Duration, st *step, list []opening, lacking int) {
	var ids []incarnation.ID
	limit, slots := minWorkers(st), openSlots(list)
	qu := st.round.job.spec.Queue
	takes := qu.AdviceBase + time.Duration(min(limit, slots))*qu.AdviceEach
	if at := st.restartAt(now); at <= now+takes+ticketLead {
		ids, _ = st.withoutTicket(list, cl.latestArrival(max(at, now+takes)))
		ids = ids[:min(len(ids), limit)]
	}
	if want := restartMargin*lacking - slots; want > 0 {
		unknown := st.advice.withoutVerdict(cl.candidates(st, backward(cl.poolWorkers(st)), spreadCapacity))
		ids = slices.Concat(ids, pickWorkers(unknown, float64(want), cl.queue(qu.Name).allowedShare, limit, maxRequestWorkers))
	}
	cl.sendRequests(st, ids)
}

// spreadCapacity returns how many more tasks of the step a worker could take if nothing else ran there.
func spreadCapacity(st *step, wk *worker) int {
	count := emptyCapacity(st, wk)
	if st.def.PerWorker > 0 {
		count = min(count, st.def.PerWorker-st.tasksOn(wk))
	}
	return count
}
