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

// Limit on failed attempts that had started, and pauses between queries.
const (
	maxFailures   = 3
	minQueryPause = 50 * time.Millisecond
	maxQueryPause = 2 * time.Second
)

// runPlaced starts the goroutine that runs a placed job to its end. If fresh is set, the start messages are still to be
// sent. The caller holds the lock.
func (hm *Home) runPlaced(en *entry, fresh bool) {
	en.busy++
	rec := en.rec
	go func() {
		if fresh {
			hm.applyStatuses(en, rec.Attempt, hm.commit(rec))
		}
		hm.endOperation(en)
		hm.runLoop(en)
	}()
}

func (hm *Home) endOperation(en *entry) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	en.busy--
}

// runLoop executes the actions of an attempt one after the other.
func (hm *Home) runLoop(en *entry) {
	pause := minQueryPause
	for {
		action, places, number := hm.next(en)
		switch action {
		case attempt.Query:
			hm.applyStatuses(en, number, hm.order(nodemsg.VerbFence, places))
		case attempt.Start:
			hm.applyStatuses(en, number, hm.order(nodemsg.VerbStartPrepared, places))
		case attempt.Stop:
			hm.applyStatuses(en, number, hm.order(nodemsg.VerbStop, places))
		case attempt.Wait:
			pause = minQueryPause
			kicked, more := hm.wait(en, hm.opts.QueryAfter)
			if !more {
				return
			}
			if !kicked { // a failed worker sends no report
				hm.queryRunning(en)
			}
			continue
		default:
			return
		}
		hm.endOperation(en)
		if _, more := hm.wait(en, pause); !more {
			return
		}
		pause = min(2*pause, maxQueryPause)
	}
}

// wait waits for a change of the job, at most for the given pause. It reports whether the job changed; more is false if
// the home was stopped.
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

// queryRunning queries the statuses of tasks that have run for a long time without a report. Tasks of a repeatable job
// save a checkpoint when they are queried.
func (hm *Home) queryRunning(en *entry) {
	hm.mu.Lock()
	if en.frozen || en.rec.State != job.Placed {
		hm.mu.Unlock()
		return
	}
	en.busy++
	places, number := en.placesIn(attempt.Running), en.rec.Attempt
	hm.mu.Unlock()
	verb := nodemsg.VerbFence
	if en.rec.Repeatable {
		verb = nodemsg.VerbCheckpoint
	}
	hm.applyStatuses(en, number, hm.order(verb, places))
	hm.endOperation(en)
}

// next determines the next action of a job's attempt and executes the actions that end it. For the others it returns
// the places concerned, and the job counts as busy until endOperation.
func (hm *Home) next(en *entry) (attempt.Action, []nodemsg.Place, int) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if en.frozen || en.rec.State != job.Placed {
		return attempt.Ran, nil, 0
	}
	action := attempt.Next(en.statuses, en.rec.Rules())
	switch action {
	case attempt.Query:
		en.busy++
		return action, en.placesIn(attempt.Unknown), en.rec.Attempt
	case attempt.Start:
		en.busy++
		return action, en.placesIn(attempt.Prepared), en.rec.Attempt
	case attempt.Stop:
		en.busy++
		return action, append(en.placesIn(attempt.Prepared), en.placesIn(attempt.Running)...), en.rec.Attempt
	case attempt.Retry:
		hm.retry(en)
	case attempt.NotRun:
		hm.end(en, job.NotRun, "", "cancelled")
	case attempt.Ran:
		hm.end(en, job.Ran, result(en.statuses), "")
	case attempt.Indeterminate:
		hm.end(en, job.Unknown, "", "a worker was lost while the job ran")
	}
	return action, nil, en.rec.Attempt
}

// placesIn returns the places of the tasks with a status.
func (en *entry) placesIn(st attempt.Status) []nodemsg.Place {
	var places []nodemsg.Place
	for i, have := range en.statuses {
		if have == st {
			places = append(places, en.rec.Places[i])
		}
	}
	return places
}

// result returns the worst result of the tasks of an ended attempt.
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

// failed reports whether a task failed or was lost, as opposed to being stopped to free resources for urgent work.
func failed(statuses []attempt.Status) bool {
	return slices.Contains(statuses, attempt.Failed) || slices.Contains(statuses, attempt.Lost)
}

// retry places a job again, unless too many attempts have failed. The caller holds the lock.
func (hm *Home) retry(en *entry) {
	if attempt.AnyStarted(en.statuses) {
		en.rec.StartedAttempts++
	}
	if failed(en.statuses) {
		en.rec.Failures++
	}
	if en.rec.Failures >= maxFailures {
		hm.end(en, job.Ran, job.ResultFailed, "every attempt failed")
		return
	}
	en.rec.SavedWork = en.commonSavedWork()
	en.toAck = append(en.toAck, en.rec.Places...)
	en.rec.State = job.Waiting
	en.rec.Places, en.statuses, en.saved = nil, nil, nil
	hm.step(policy.Event{Remove: &policy.Remove{Job: en.rec.ID}})
	hm.step(policy.Event{Submit: hm.submitEvent(en, hm.now()+startBackoff.Jittered(en.rec.Attempt))})
	en.notify()
}

// beginAttempt prepares the entry for an attempt, whose tasks continue from the saved work.
func (en *entry) beginAttempt() {
	en.statuses = make([]attempt.Status, len(en.rec.Places))
	en.saved = slices.Repeat([]time.Duration{en.rec.SavedWork}, len(en.rec.Places))
}

// recordSaved records the work that a task's last checkpoint saved.
func (en *entry) recordSaved(index int, saved time.Duration) {
	if index >= 0 && index < len(en.saved) {
		en.saved[index] = max(en.saved[index], saved)
	}
}

// commonSavedWork returns the least work saved by any task that has to run again: the next attempt resumes all tasks
// from there.
func (en *entry) commonSavedWork() time.Duration {
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

// applyStatuses records the statuses of tasks of an attempt. Statuses of an earlier attempt are ignored.
func (hm *Home) applyStatuses(en *entry, number int, statuses []nodemsg.TaskStatus) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if en.rec.Attempt != number || en.rec.State != job.Placed {
		return
	}
	for _, ts := range statuses {
		if !ts.Known {
			continue
		}
		if _, _, index, ok := ids.ParseTask(ts.Task); ok {
			en.recordSaved(index, ts.Saved)
			hm.setStatus(en, index, job.StatusOf(ts.State, ts.Started))
		}
	}
}

// setStatus records the status of one task. A final status is not changed. The caller holds the lock.
func (hm *Home) setStatus(en *entry, index int, st attempt.Status) {
	if index < 0 || index >= len(en.statuses) || en.statuses[index] >= attempt.NotStarted || st == attempt.Unknown {
		return
	}
	if st == attempt.Prepared && en.statuses[index] == attempt.Running {
		return // an older response
	}
	if st == attempt.NotStarted && en.statuses[index] == attempt.Running {
		st = attempt.Lost // it was started, even if the worker has no record of it
	}
	if st == en.statuses[index] {
		return
	}
	en.statuses[index] = st
	if st >= attempt.NotStarted && !en.frozen {
		hm.step(policy.Event{TaskEnded: &policy.TaskEnded{Job: en.rec.ID, OK: st == attempt.OK}})
	}
	en.kick.Notify()
}

// TaskEnded processes an owner's report of the end of a task. The report is acknowledged once the job's end is in the
// journal, or if there is no such job. Until then, ends of an earlier attempt's tasks are not acknowledged.
func (hm *Home) TaskEnded(end nodemsg.TaskEnded) (nodemsg.TaskEndedReply, error) {
	id, number, index, ok := ids.ParseTask(end.Task)
	if !ok {
		return nodemsg.TaskEndedReply{Acked: true}, nil
	}
	hm.mu.Lock()
	defer hm.mu.Unlock()
	en, err := hm.find(id)
	if en == nil {
		part, valid := ids.JobPartition(id)
		if valid && hm.parts[part].state != owned {
			return nodemsg.TaskEndedReply{}, err
		}
		return nodemsg.TaskEndedReply{Acked: true}, nil
	}
	if en.rec.State == job.Done {
		return nodemsg.TaskEndedReply{Acked: true}, nil
	}
	if en.rec.State == job.Placed && en.rec.Attempt == number {
		en.recordSaved(index, end.Saved)
		hm.setStatus(en, index, job.StatusOf(end.State, end.Started))
	}
	return nodemsg.TaskEndedReply{}, nil
}
