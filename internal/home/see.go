package home

import (
	"math"
	"slices"
	"time"

	"tackbeam.example/policy/attempt"
	policy "tackbeam.example/policy/home"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// Limits on attempts that began and failed, and the pauses of asking.
const (
	maxFailures = 3
	firstAsk    = 50 * time.Millisecond
	maxAsk      = 2 * time.Second
)

// see starts the goroutine that sees a placed job through to its end. Fresh
// says that the start messages are still to be sent. The caller holds the lock.
func (hm *Home) see(en *entry, fresh bool) {
	en.busy++
	rec := en.rec
	go func() {
		if fresh {
			hm.learn(en, rec.Attempt, hm.commit(rec))
		}
		hm.release(en)
		hm.seeLoop(en)
	}()
}

func (hm *Home) release(en *entry) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	en.busy--
}

// seeLoop takes one step of the attempt after another.
func (hm *Home) seeLoop(en *entry) {
	pause := firstAsk
	for {
		step, places, number := hm.next(en)
		switch step {
		case attempt.Query:
			hm.learn(en, number, hm.order(nodemsg.VerbFate, places))
		case attempt.Start:
			hm.learn(en, number, hm.order(nodemsg.VerbGo, places))
		case attempt.Stop:
			hm.learn(en, number, hm.order(nodemsg.VerbStop, places))
		case attempt.Wait:
			pause = firstAsk
			kicked, more := hm.wait(en, hm.opts.Ask)
			if !more {
				return
			}
			if !kicked { // a worker that has died reports nothing
				hm.askRunning(en)
			}
			continue
		default:
			return
		}
		hm.release(en)
		if _, more := hm.wait(en, pause); !more {
			return
		}
		pause = min(2*pause, maxAsk)
	}
}

// wait waits for a change of the job, at most for a pause. It reports whether the
// job changed, and false for more where the home has stopped.
func (hm *Home) wait(en *entry, pause time.Duration) (kicked, more bool) {
	timer := hm.Clock.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-en.kick:
		return true, true
	case <-timer.Chan():
		return false, true
	case <-hm.ctx.Done():
		return false, false
	}
}

// askRunning asks for the fates of tasks that have run for long without a word.
// Those of a repeatable job save their work when asked.
func (hm *Home) askRunning(en *entry) {
	hm.mu.Lock()
	if en.frozen || en.rec.State != job.Placed {
		hm.mu.Unlock()
		return
	}
	en.busy++
	places, number := en.in(attempt.Running), en.rec.Attempt
	hm.mu.Unlock()
	verb := nodemsg.VerbFate
	if en.rec.Repeatable {
		verb = nodemsg.VerbCheckpoint
	}
	hm.learn(en, number, hm.order(verb, places))
	hm.release(en)
}

// next decides the next step of a job's attempt and carries the ones out that
// end it. For the others it returns the places concerned, and the job counts as
// busy until release.
func (hm *Home) next(en *entry) (attempt.Action, []nodemsg.Place, int) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if en.frozen || en.rec.State != job.Placed {
		return attempt.Ran, nil, 0
	}
	step := attempt.Next(en.statuses, en.rec.Rules())
	switch step {
	case attempt.Query:
		en.busy++
		return step, en.in(attempt.Unknown), en.rec.Attempt
	case attempt.Start:
		en.busy++
		return step, en.in(attempt.Prepared), en.rec.Attempt
	case attempt.Stop:
		en.busy++
		return step, append(en.in(attempt.Prepared), en.in(attempt.Running)...), en.rec.Attempt
	case attempt.Retry:
		hm.retry(en)
	case attempt.NotRun:
		hm.settle(en, job.NotRun, "", "cancelled")
	case attempt.Ran:
		hm.settle(en, job.Ran, result(en.statuses), "")
	case attempt.Indeterminate:
		hm.settle(en, job.Unknown, "", "a worker was lost while the job ran")
	}
	return step, nil, en.rec.Attempt
}

// in returns the places of the tasks in a status.
func (en *entry) in(st attempt.Status) []nodemsg.Place {
	var places []nodemsg.Place
	for i, have := range en.statuses {
		if have == st {
			places = append(places, en.rec.Places[i])
		}
	}
	return places
}

func result(statuses []attempt.Status) string {
	worst := job.ResultOK
	for _, st := range statuses {
		switch st {
		case attempt.Failed:
			return job.ResultFailed
		case attempt.Stopped:
			worst = job.ResultStopped
		}
	}
	return worst
}

// failed reports whether a task failed or was lost, rather than stopped to make
// room for urgent work.
func failed(statuses []attempt.Status) bool {
	return slices.Contains(statuses, attempt.Failed) || slices.Contains(statuses, attempt.Lost)
}

// retry lets a job try for room again, unless too many attempts failed. The
// caller holds the lock.
func (hm *Home) retry(en *entry) {
	if attempt.AnyStarted(en.statuses) {
		en.rec.StartedAttempts++
	}
	if failed(en.statuses) {
		en.rec.Failures++
	}
	if en.rec.Failures >= maxFailures {
		hm.settle(en, job.Ran, job.ResultFailed, "every attempt failed")
		return
	}
	en.rec.SavedWork = en.common()
	en.toAck = append(en.toAck, en.rec.Places...)
	en.rec.State = job.Waiting
	en.rec.Places, en.statuses, en.saved = nil, nil, nil
	hm.step(policy.Event{Remove: &policy.Remove{Job: en.rec.ID}})
	hm.step(policy.Event{Submit: hm.submitEvent(en, hm.now()+startPause.Jittered(en.rec.Attempt))})
	en.notify()
}

// begin makes the entry ready for an attempt, whose tasks go on from what was saved.
func (en *entry) begin() {
	en.statuses = make([]attempt.Status, len(en.rec.Places))
	en.saved = slices.Repeat([]time.Duration{en.rec.SavedWork}, len(en.rec.Places))
}

// noteSaved notes the work that a task's last checkpoint saved.
func (en *entry) noteSaved(index int, saved time.Duration) {
	if index >= 0 && index < len(en.saved) {
		en.saved[index] = max(en.saved[index], saved)
	}
}

// common is the work that every task which has to run again has saved.
func (en *entry) common() time.Duration {
	least := time.Duration(math.MaxInt64)
	for i, st := range en.statuses {
		if st != attempt.OK {
			least = min(least, en.saved[i])
		}
	}
	if least == math.MaxInt64 {
		return en.rec.SavedWork
	}
	return least
}

// learn takes the fates of tasks of an attempt in. An answer to a former attempt
// changes nothing.
func (hm *Home) learn(en *entry, number int, fates []nodemsg.Fate) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if en.rec.Attempt != number || en.rec.State != job.Placed {
		return
	}
	for _, ft := range fates {
		if !ft.Known {
			continue
		}
		if _, _, index, ok := ids.TaskJob(ft.Task); ok {
			en.noteSaved(index, ft.Saved)
			hm.setStatus(en, index, job.StatusOf(ft.State, ft.Begun))
		}
	}
}

// setStatus notes what is known of one task. What is final stays. The caller
// holds the lock.
func (hm *Home) setStatus(en *entry, index int, st attempt.Status) {
	if index < 0 || index >= len(en.statuses) || en.statuses[index] >= attempt.NotStarted || st == attempt.Unknown {
		return
	}
	if st == attempt.Prepared && en.statuses[index] == attempt.Running {
		return // an older answer
	}
	if st == attempt.NotStarted && en.statuses[index] == attempt.Running {
		st = attempt.Lost // it began, whatever a worker remembers
	}
	if st == en.statuses[index] {
		return
	}
	en.statuses[index] = st
	if st >= attempt.NotStarted && !en.frozen {
		hm.step(policy.Event{TaskEnded: &policy.TaskEnded{Job: en.rec.ID, OK: st == attempt.OK}})
	}
	en.kick.Give()
}

// TaskEnded takes an owner's report of an end. It is settled once the job's end
// is kept, or where the task belongs to a former attempt or to no job.
func (hm *Home) TaskEnded(end nodemsg.TaskEnded) (nodemsg.Noted, error) {
	id, number, index, ok := ids.TaskJob(end.Task)
	if !ok {
		return nodemsg.Noted{Settled: true}, nil
	}
	hm.mu.Lock()
	defer hm.mu.Unlock()
	en, err := hm.find(id)
	if en == nil {
		part, valid := ids.JobPartition(id)
		if valid && hm.parts[part].state != owned {
			return nodemsg.Noted{}, err
		}
		return nodemsg.Noted{Settled: true}, nil
	}
	if en.rec.State == job.Done {
		return nodemsg.Noted{Settled: true}, nil
	}
	if en.rec.State == job.Placed && en.rec.Attempt == number {
		en.noteSaved(index, end.Saved)
		hm.setStatus(en, index, job.StatusOf(end.State, end.Begun))
	}
	return nodemsg.Noted{}, nil
}
