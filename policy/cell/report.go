package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

// Report takes in what a worker said of its runs and their ends, in an answer to a
// call that was sent at a time. It returns the ends that were not reported before.
func (cl *Cell) Report(now time.Duration, id incarnation.ID, sent time.Duration, runs []Run, ends []End) (fresh []End) {
	wk, ok := cl.workers[id]
	if !ok {
		return nil
	}
	if !wk.answered {
		wk.answered, wk.first = true, now
		cl.settlePredecessors(id, runs, ends)
	}
	if wk.proof == 0 && wk.listed && !wk.Draining {
		cl.record(Record{Worker: id})
		wk.proof = cl.recorded
	}
	wk.reported = now
	wk.silent = false
	cl.excuse(id)
	for _, en := range ends {
		if en.Seq > wk.seen {
			wk.seen = en.Seq
			fresh = append(fresh, en)
			cl.end(now, wk, en)
			wk.unnoted = append(wk.unnoted, note{en.Seq, cl.recorded})
		}
	}
	there := make(map[key]bool, len(runs))
	wk.strangers = 0
	for _, rn := range runs {
		there[key{rn.Task, rn.Number}] = true
		cl.sees(now, wk, rn)
	}
	for at, pl := range wk.places {
		if !there[at] {
			cl.missing(pl, sent)
		}
	}
	cl.share(now, wk)
	return fresh
}

// sees takes in that a run is on a worker.
func (cl *Cell) sees(now time.Duration, wk *worker, rn Run) {
	if pl := wk.places[key{rn.Task, rn.Number}]; pl != nil {
		cl.progress(now, pl, rn)
		return
	}
	jb, known := cl.jobs[rn.Task.Job]
	if known {
		cl.round(now, jb, rn.Task.Round)
	}
	tk := cl.find(rn.Task)
	if tk == nil {
		wk.strangers++
		wk.rest = max(wk.rest, now+cl.opts.StopTimeout+stopMargin) // its room is not known
		cl.out.Stops = append(cl.out.Stops, Stop{Worker: wk.ID, Task: rn.Task, Run: rn.Number, Reason: "job is not known", Unknown: true})
		return
	}
	other := tk.place
	pl := cl.place(now, tk, wk, rn.Number)
	pl.state, pl.since, pl.midway = running, now, true
	cl.begin(jb)
	cl.progress(now, pl, rn)
	switch {
	case jb.phase.Ended() || tk.done:
		cl.stop(pl, "task has ended")
	case other != nil && other.run > pl.run:
		cl.stop(pl, "a later run is elsewhere")
	case other != nil:
		cl.stop(other, "a later run is elsewhere")
	}
}

// stopMargin is added to the time that a worker takes to stop a run.
const stopMargin = 100 * time.Millisecond

// missing takes in that a report does not list a run. One that was there is gone. One
// that is being stopped is gone when the stop must be over.
func (cl *Cell) missing(pl *placement, sent time.Duration) {
	over := cl.opts.StopTimeout + stopMargin
	switch {
	case pl.state == unsure && pl.lost <= sent:
		cl.stop(pl, "start was not answered")
		cl.afterLoss(pl)
		return
	case pl.state == running && pl.since <= sent:
	case pl.stopped > 0 && pl.stopped+over <= sent:
	case pl.inherited && pl.worker.first+over <= sent:
	default:
		return
	}
	cl.release(pl)
	cl.afterLoss(pl)
}

// end takes in how a run ended.
func (cl *Cell) end(now time.Duration, wk *worker, en End) {
	pl := wk.places[key{en.Task, en.Number}]
	if pl != nil {
		cl.release(pl)
	}
	if jb, known := cl.jobs[en.Task.Job]; known {
		cl.round(now, jb, en.Task.Round)
	}
	tk := cl.find(en.Task)
	if tk == nil {
		return
	}
	tk.run = max(tk.run, en.Number)
	if tk.done || tk.step.round.job.phase.Ended() {
		return
	}
	cl.begin(tk.step.round.job)
	if en.Checkpoint != "" {
		tk.checkpoint = en.Checkpoint
	}
	if tk.step.def.LongRunning && (en.Result == ResultDone || en.Result == ResultFailed) {
		tk.lastingEnded(now, pl)
	}
	switch {
	case en.Result == ResultDone && !tk.step.def.LongRunning:
		cl.learn(now, tk, pl)
		wk.fails = 0
		cl.taskDone(now, tk, true)
		if tk.place != nil {
			cl.stop(tk.place, "task has ended elsewhere")
		}
		return
	case en.Result == ResultFailed:
		cl.failed(now, wk, tk, en)
	}
	if tk.step.def.Gang && !tk.step.round.job.phase.Ended() {
		cl.breakGang(tk.step, "gang's member ended "+string(en.Result))
	}
}

// failed counts a failed run against the worker and the task.
func (cl *Cell) failed(now time.Duration, wk *worker, tk *task, en End) {
	if !tk.tries.blamed() {
		wk.fails++
	}
	if wk.fails >= failsInRow {
		wk.rest = now + restFails
	}
	tk.shun(wk)
	st := tk.step
	jb := st.round.job
	if st.def.LongRunning {
		return
	}
	if !tk.addFail(en.Number) {
		return
	}
	name := tk.name()
	cl.record(Record{Job: name.Job, Task: &name, Result: ResultFailed, Run: en.Number})
	if tk.exhausted() {
		cl.finish(now, jb, Failed)
	}
}

// addFail counts a failed run, of the whole gang where the task is in one. It
// reports false where the run was counted before.
func (tk *task) addFail(run int) bool {
	fails := &tk.fails
	if tk.step.def.Gang {
		fails = &tk.step.fails
	}
	if slices.Contains(*fails, run) {
		return false
	}
	*fails = append(*fails, run)
	return true
}

// exhausted reports whether the task, or its gang, has failed as often as it may.
func (tk *task) exhausted() bool {
	fails := len(tk.fails)
	if tk.step.def.Gang {
		fails = len(tk.step.fails)
	}
	return fails >= tk.step.round.job.spec.Queue.Attempts
}

// shun keeps the task off a worker where others have room.
func (tk *task) shun(wk *worker) {
	if tk.avoid == nil {
		tk.avoid = map[incarnation.ID]bool{}
	}
	tk.avoid[wk.ID] = true
}

// learn takes in how long a run of a queue's task took.
func (cl *Cell) learn(now time.Duration, tk *task, pl *placement) {
	if pl == nil || pl.since == 0 || pl.resumed || pl.midway {
		return
	}
	cl.queue(tk.step.round.job.spec.Queue.Name).runs.Observe(tk.step.def.Estimate, now-pl.since)
}
