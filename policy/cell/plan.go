package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// Tick does periodic work: it opens due rounds, stops hung runs, moves tasks off draining workers, and discards
// old state. wall is the wall-clock time since 1970.
func (cl *Cell) Tick(now, wall time.Duration) {
	cl.loadDeferred()
	cl.openDue(now, wall)
	cl.stopHungRuns(now)
	cl.moveOffDraining(now)
	cl.moveOffEvacuated()
	cl.expirePredecessors(now)
	cl.prune(now)
	cl.refreshSpeeds(now)
}

// Plan places waiting tasks as far as capacity allows, and requests advice.
func (cl *Cell) Plan(now time.Duration) {
	cl.now, cl.requestsSent, cl.urgentPending = now, 0, 0
	cl.planCount++
	cl.updateUnreported(now)
	cl.beginGains()
	cl.fillPools(now)
	cl.expectRestarts()
	cl.beginAdvicePlan()
	cl.updateHeadroom(now)
	starved := map[string]bool{} // services with gangs that lack capacity
	for i, rd := range cl.withinTime(cl.byRank(now)) {
		st := rd.step
		st.planIndex, st.late, st.speedOrder = i, rd.rank.late, cl.speedOrder(now, rd)
		cl.limitedBy = cl.headroomFor(now, rd)
		switch {
		case cl.skipped(st):
			st.reservePlan = cl.planCount // it keeps its reservation until it is considered again
		case cl.atLimit(st) && st.expected == 0:
			// its workspace may not have more running
		case st.def.Gang:
			cl.considerAdvice(now, st)
			if lacks := cl.planGang(now, rd); lacks && cl.defersOthers(now, rd) {
				starved[cl.service(st)] = true
			}
		case len(starved) > 0 && starved[cl.service(st)] && rd.deferrable(now):
			st.deferredPlan = cl.planCount // capacity that becomes free is left to the gangs
		case cl.withheld(st):
			// capacity is kept for urgent work
		default:
			cl.considerAdvice(now, st)
			cl.planTasks(now, rd)
		}
	}
	cl.releaseStaleReservations()
}

// skipped reports whether the plan leaves a step alone because no more starts can be sent soon. Urgent steps are
// planned nevertheless, so that they request advice ahead, until enough urgent tasks have it.
func (cl *Cell) skipped(st *step) bool {
	if cl.window.open(st.urgent()) {
		return false
	}
	cl.window.lastFull = cl.now
	return !st.urgent() || !cl.window.allowsRequests(cl.urgentPending)
}

// releaseStaleReservations releases the reservations of steps that did not renew them in this plan: none of their
// tasks wait any more, or they may not start now, as when their workspace is at its limit or they are deferred in
// favour of gangs. Skipped steps keep theirs.
func (cl *Cell) releaseStaleReservations() {
	for st := range cl.reserving {
		if st.reservePlan != cl.planCount {
			cl.releaseReservation(st)
		}
	}
}

// need is what one task of the step takes.
func (st *step) need() size.Size { return st.def.Allocation() }

// hasLabel reports whether a worker has the label that the step requires.
func (st *step) hasLabel(wk *worker) bool {
	return st.def.Label == "" || slices.Contains(wk.Labels, st.def.Label)
}

// acceptsRuns reports whether a worker takes new runs now.
func (cl *Cell) acceptsRuns(now time.Duration, wk *worker) bool {
	return wk.listed && wk.answered && !wk.Draining && !wk.evacuated && wk.unknownRuns == 0 && wk.quarantineUntil <= now && !cl.outdated(now, wk) &&
		wk.openRecord > 0 && wk.openRecord <= cl.committed && now-wk.lastReport < maxReportAge && wk.reportedEnds < maxReportedEnds && !wk.moreEnds
}

// maxReportAge is the age of a worker's last report beyond which it gets no new runs: two calls of one second
// without an answer.
const maxReportAge = 2500 * time.Millisecond

// maxReportedEnds is the number of ends in a worker's report from which it gets no new runs until some have been
// acknowledged. A worker reports 500 ends at most, and nothing is known of a run whose end is not among them.
const maxReportedEnds = 250

// startable returns how many tasks of the step a worker could start now.
func (cl *Cell) startable(st *step, wk *worker) int {
	free, need := wk.Capacity.Sub(wk.used), st.need()
	if !need.Fits(free) {
		return 0
	}
	if wk.reservedFor != nil && wk.reservedFor != st && !cl.allowsBackfill(wk, st) {
		free = free.Sub(wk.reservedSize)
	}
	count := free.FitCount(need)
	if st.def.PerWorker > 0 {
		count = min(count, st.def.PerWorker-st.tasksOn(wk))
	}
	return count
}

// tasksOn counts the tasks of the step on a worker.
func (st *step) tasksOn(wk *worker) int {
	count := 0
	for _, pl := range wk.placements {
		if pl.task.step == st {
			count++
		}
	}
	return count
}

// urgent reports whether the step belongs to an urgent queue, within the rate of its workspace.
func (st *step) urgent() bool {
	jb := st.round.job
	return jb.spec.Queue.Priority == 0 && !jb.excess
}

// candidate is a worker with the number of tasks that it could start.
type candidate struct {
	worker *worker
	slots  int
}

// planTasks places the tasks of the step one by one. Urgent tasks use capacity reserved for gangs only if there
// is no other; when they could use any, the workers of a gang that needs whole workers were never all empty at
// the same time.
//
// Late tasks and large tasks reserve capacity too, since a steady stream of small tasks would otherwise keep
// them out.
func (cl *Cell) planTasks(now time.Duration, rd ranked) {
	st := rd.step
	if !cl.mayStart(st) {
		cl.prepareRestart(now, st)
		return
	}
	cl.placeTasks(now, st)
	switch {
	case st.restarting() && cl.lackingRestarts(st) > 0:
		cl.reserveForRestart(now, st)
	case cl.wanted(st) == 0, cl.defersForHeadroom(st):
	case st.urgent():
		cl.ignoreReserved = true
		cl.placeTasks(now, st)
		cl.ignoreReserved = false
	case rd.rank.late || cl.hasLargeTasks(st):
		cl.reserve(now, st)
		cl.requestForReservation(now, st)
	}
}

func (cl *Cell) placeTasks(now time.Duration, st *step) {
	windowFull, withheld := false, false
	if cands := cl.chooseWorkers(now, st); len(cands) > 0 {
		tks := st.waiting(now)
		if st.restarts > 0 {
			slices.SortStableFunc(tks, restartsFirst)
		}
		var besideSuspects []bool
		if st.waitsAfterCrash() {
			besideSuspects = st.besideSuspects(cands)
		}
		for _, tk := range tks[:min(len(tks), cl.allowance(st))] {
			i := firstFit(tk, cands, besideSuspects)
			if i < 0 {
				break
			}
			if windowFull = !cl.window.open(st.urgent()) || !cl.mayStartRuns(st, 1); windowFull {
				break
			}
			if withheld = cl.withholds(st, candidate{cands[i].worker, 1}); withheld {
				break
			}
			cands[i].slots--
			cl.start(now, tk, cands[i].worker, tk.run+1)
		}
	}
	wanted := cl.wanted(st)
	if wanted > 0 && !windowFull && !withheld && !st.advised() {
		cl.noteLack(now, st)
	}
	if wanted > 0 && !windowFull && !withheld && !st.restarting() {
		cl.requestAdvice(now, st, wanted)
	}
	if st.urgent() && (windowFull || st.advice.pending > 0) {
		cl.urgentPending += wanted
	}
}

// minCandidates is how many workers with capacity to look for at least, so that a task finds one that it has not
// failed on: it has failed on a few at most.
const minCandidates = 8

// chooseWorkers returns workers that may start tasks of the step now, best first, and enough of them for the
// tasks that wait.
func (cl *Cell) chooseWorkers(now time.Duration, st *step) []candidate {
	if st.advised() {
		cands := cl.withTickets(now, st)
		cl.sortBestFit(st, cands)
		return cands
	}
	if cl.lacks(st, everyWorker, 0) {
		return nil
	}
	var cands []candidate
	remaining, isolate := st.unplaced, st.waitsAfterCrash()
	for cand := range cl.search(st, everyWorker, 0, cl.bestFitOrder(st)) {
		cands = append(cands, cand)
		if remaining -= cand.slots; remaining <= 0 && len(cands) >= minCandidates && !isolate {
			break
		}
	}
	return cands
}

// waiting returns the tasks that can be placed now.
func (st *step) waiting(now time.Duration) []*task {
	var tks []*task
	for _, tk := range st.tasks {
		if !tk.done && tk.runs == 0 && tk.startFailures.retryAt <= now {
			tks = append(tks, tk)
		}
	}
	return tks
}

// firstFit returns the index of the first candidate with capacity for the task, preferably one that the task has
// neither failed nor hung on, or -1.
func firstFit(tk *task, cands []candidate, besideSuspects []bool) int {
	if len(tk.crashes) > 0 {
		return fitIsolated(tk, cands, besideSuspects)
	}
	fallback := -1
	for i, cand := range cands {
		if cand.slots <= 0 {
			continue
		}
		if !tk.avoid[cand.worker.ID] {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}

// sortBestFit orders workers by speed class, then by distance to the step's data and then by best fit, so that whole
// workers stay free for wide gangs. Best-effort tasks go where most processors are free.
func (cl *Cell) sortBestFit(st *step, cands []candidate) {
	order := 1
	if st.def.BestEffort {
		order = -1
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(st.speedClass(a.worker), st.speedClass(b.worker)),
			cmp.Compare(st.rackDistance(a.worker), st.rackDistance(b.worker)),
			order*cmp.Compare(a.worker.freeProcessors(), b.worker.freeProcessors()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
}

// rackDistance is 0 for workers in the rack of the step's data, 1 for others.
func (st *step) rackDistance(wk *worker) int {
	if st.def.Rack != "" && st.def.Rack != wk.Rack {
		return 1
	}
	return 0
}

// freeProcessors is a worker's free capacity in thousandths of a core.
func (wk *worker) freeProcessors() int64 { return wk.Capacity.Processors() - wk.used.Processors() }

// start places a task and orders its start.
func (cl *Cell) start(now time.Duration, tk *task, wk *worker, run int) {
	run = max(run, cl.opts.FirstRun)
	cl.startedBeside(tk.step, wk)
	pl := cl.place(now, tk, wk, run)
	if wk.pool != nil {
		wk.pool.moveDown(wk)
	}
	st := tk.step
	sr := Start{
		Worker: wk.ID, Task: tk.name(), Run: run, Spec: st.round.job.spec.Spec,
		Ticket: st.advice.ticket(wk), Checkpoint: tk.checkpoint, Urgent: st.urgent(), DecidedAt: now, Version: st.round.job.spec.Queue.Version,
	}
	cl.window.add(st.urgent(), 1)
	cl.noteStart(now, st)
	st.advice.unused, st.advice.pausedUntil = 0, 0
	if tk.recordsStarts() {
		cl.recordStart(pl, sr)
		return
	}
	cl.out.Starts = append(cl.out.Starts, sr)
}

func (cl *Cell) service(st *step) string { return st.round.job.spec.Queue.Service }
