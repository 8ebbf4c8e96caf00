package cell

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// Tick does what time brings: rounds that are due, tasks that stand still, old jobs.
// Wall is the time of day since 1970.
func (cl *Cell) Tick(now, wall time.Duration) {
	cl.openDue(now, wall)
	cl.unhang(now)
	cl.evacuate(now)
	cl.dropPredecessors(now)
	cl.prune(now)
}

// Plan places what waits, as far as there is room, and asks for advice.
func (cl *Cell) Plan(now time.Duration) {
	cl.now, cl.asked, cl.pending = now, 0, 0
	cl.plans++
	cl.countDoubts(now)
	cl.fillPools(now)
	short := map[string]bool{} // services with gangs that lack room
	for at, rd := range cl.byRank(now) {
		st, service := rd.step, cl.service(rd.step)
		st.turn, st.late = at, rd.rank.late
		switch {
		case cl.passedOver(st):
			st.gathered = cl.plans // it keeps its room until its turn comes
		case cl.atLimit(st):
			// its workspace may not have more running
		case st.def.Gang:
			lacks := cl.planGang(now, rd)
			short[service] = short[service] || lacks && cl.holdsUp(now, rd)
		case short[service] && rd.patient(now):
			// it leaves the room that comes free to the gangs
		default:
			cl.planTasks(now, rd)
		}
	}
	cl.dropStale()
}

// passedOver reports whether the plan leaves a step as it is, since no more can be started soon.
func (cl *Cell) passedOver(st *step) bool {
	if cl.window.open(st.urgent()) {
		return false
	}
	cl.window.closed = cl.now
	return !st.urgent() || !cl.window.askable(cl.pending)
}

// dropStale gives back the room of steps that did not gather in this plan: nothing waits
// of them any more, or they were passed over.
func (cl *Cell) dropStale() {
	for _, wk := range cl.workers {
		if wk.claim != nil && wk.claim.gathered != cl.plans {
			cl.unclaim(wk.claim)
		}
	}
}

// need is the room that one task takes.
func (st *step) need() size.Size { return st.def.Allocation() }

// labelled reports whether a worker has the label that the step requires.
func (st *step) labelled(wk *worker) bool {
	return st.def.Label == "" || slices.Contains(wk.Labels, st.def.Label)
}

// takes reports whether a worker takes new runs now.
func (cl *Cell) takes(now time.Duration, wk *worker) bool {
	return wk.listed && wk.answered && !wk.Draining && wk.strangers == 0 && wk.rest <= now &&
		wk.proof > 0 && wk.proof <= cl.committed && now-wk.reported < silent
}

// silent is the age of a worker's last report from which it gets no new runs: two
// calls of a second without an answer.
const silent = 2500 * time.Millisecond

// room returns how many tasks of the step a worker could start now.
func (cl *Cell) room(st *step, wk *worker) int {
	free, need := wk.Capacity.Sub(wk.used), st.need()
	if !need.Fits(free) {
		return 0
	}
	if wk.claim != nil && wk.claim != st && !cl.lends(wk, st) {
		free = free.Sub(wk.kept)
	}
	count := free.FitCount(need)
	if st.def.PerWorker > 0 {
		count = min(count, st.def.PerWorker-st.on(wk))
	}
	return count
}

// on counts the tasks of the step that a worker carries.
func (st *step) on(wk *worker) int {
	count := 0
	for _, pl := range wk.places {
		if pl.task.step == st {
			count++
		}
	}
	return count
}

func (st *step) urgent() bool {
	jb := st.round.job
	return jb.spec.Queue.Priority == 0 && !jb.excess
}

// candidate is a worker with the number of tasks that it could start.
type candidate struct {
	worker *worker
	room   int
}

// planTasks places the step's tasks one by one. Urgent ones take room that is kept free for
// gangs only where there is no other: as long as they took any, the workers of a gang that
// needs whole ones were never all empty at once.
// Late ones and those that need much of a worker gather room too: they find none by themselves
// beside a stream of small ones.
func (cl *Cell) planTasks(now time.Duration, rd ranked) {
	st := rd.step
	cl.placeTasks(now, st)
	switch {
	case cl.wants(st) == 0:
	case st.urgent():
		cl.overClaims = true
		cl.placeTasks(now, st)
		cl.overClaims = false
	case rd.rank.late || cl.bulky(st):
		cl.gather(now, st)
		cl.askWide(now, st)
	}
}

func (cl *Cell) placeTasks(now time.Duration, st *step) {
	held := false // up by the window
	if cands := cl.choose(now, st); len(cands) > 0 {
		tks := st.waiting(now)
		for _, tk := range tks[:min(len(tks), cl.allowance(st))] {
			at := fit(tk, cands)
			if at < 0 {
				break
			}
			if held = !cl.window.open(st.urgent()); held {
				break
			}
			cands[at].room--
			cl.start(now, tk, cands[at].worker, tk.run+1)
		}
	}
	wants := cl.wants(st)
	if wants > 0 && !held {
		cl.ask(now, st, wants)
	}
	if st.urgent() && (held || st.advice.open > 0) {
		cl.pending += wants
	}
}

// leastChoice is the number of workers looked for, as far as there are any with room,
// so that a task finds one that it has not failed on: it has failed on a few at most.
const leastChoice = 8

// choose returns workers that may start tasks of the step now, the best first, and
// enough of them for those that wait.
func (cl *Cell) choose(now time.Duration, st *step) []candidate {
	if st.advised() {
		cands := cl.ticketed(now, st)
		cl.sortTight(st, cands)
		return cands
	}
	var cands []candidate
	left, apart := st.waits, st.crashed()
	for cand := range cl.tight(st) {
		cands = append(cands, cand)
		if left -= cand.room; left <= 0 && len(cands) >= leastChoice && !apart {
			break
		}
	}
	return cands
}

// waiting returns the tasks that have to be placed now.
func (st *step) waiting(now time.Duration) []*task {
	var tks []*task
	for _, tk := range st.tasks {
		if !tk.done && tk.runs == 0 && tk.tries.until <= now {
			tks = append(tks, tk)
		}
	}
	return tks
}

// fit returns the first candidate with room for the task, one that it has not failed
// on if there is one, or -1.
func fit(tk *task, cands []candidate) int {
	if len(tk.crashes) > 0 {
		return fitApart(tk, cands)
	}
	second := -1
	for at, cand := range cands {
		if cand.room <= 0 {
			continue
		}
		if !tk.avoid[cand.worker.ID] {
			return at
		}
		if second < 0 {
			second = at
		}
	}
	return second
}

// sortTight puts workers near the step's data first, then the ones that the step
// fills most, so that whole workers stay free for wide gangs. Fillers go where most is
// left of the processors.
func (cl *Cell) sortTight(st *step, cands []candidate) {
	tight := 1
	if st.def.BestEffort {
		tight = -1
	}
	slices.SortFunc(cands, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(st.far(a.worker), st.far(b.worker)),
			tight*cmp.Compare(a.worker.free(), b.worker.free()),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
}

// far is 1 for workers away from the rack of the step's data.
func (st *step) far(wk *worker) int {
	if st.def.Rack != "" && st.def.Rack != wk.Rack {
		return 1
	}
	return 0
}

// free is a worker's room in thousandths of a core.
func (wk *worker) free() int64 { return wk.Capacity.Processors() - wk.used.Processors() }

// start places a task and orders its start.
func (cl *Cell) start(now time.Duration, tk *task, wk *worker, run int) {
	run = max(run, cl.opts.FirstRun)
	cl.place(now, tk, wk, run)
	if wk.pool != nil {
		wk.pool.sink(wk)
	}
	st := tk.step
	cl.out.Starts = append(cl.out.Starts, Start{
		Worker: wk.ID, Task: tk.name(), Run: run, Spec: st.round.job.spec.Spec,
		Ticket: st.advice.ticket(wk), Checkpoint: tk.checkpoint, Urgent: st.urgent(), DecidedAt: now,
	})
	cl.window.add(st.urgent(), 1)
}

func (cl *Cell) service(st *step) string { return st.round.job.spec.Queue.Service }
