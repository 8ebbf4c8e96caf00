package home

import (
	"context"
	"sort"
	"time"

	policy "tackbeam.example/policy/home"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/journal"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// moveRetryAfter is the retry hint returned while a partition is being moved.
const moveRetryAfter = 200 * time.Millisecond

// Submit accepts a job. It returns once the journal has the job. A request with the same idempotency key and the same
// content returns the job that was created before.
func (hm *Home) Submit(ctx context.Context, req nodemsg.Submit) (nodemsg.JobView, error) {
	if !hm.isCapacityComplete() {
		hm.updateCapacity()
	}
	hm.mu.Lock()
	en, err := hm.admit(req)
	if err != nil {
		hm.mu.Unlock()
		return nodemsg.JobView{}, err
	}
	pending := en.pendingAccept
	hm.mu.Unlock()
	if pending == nil {
		return hm.view(en), nil
	}
	if err := hm.currentJournal().Wait(ctx, pending); err != nil {
		return nodemsg.JobView{}, hm.unconfirmedError(err)
	}
	return hm.view(en), nil
}

func (hm *Home) isCapacityComplete() bool {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.capacityComplete
}

// unconfirmedError returns the error for a submission that the journal has not confirmed.
func (hm *Home) unconfirmedError(err error) error {
	if fault.From(err).Begun {
		return fault.New(fault.Unavailable, "the store did not confirm the job in time, "+
			"it may have been accepted; retry with the same idempotency key").After(time.Second).AfterStart()
	}
	return fault.New(fault.Unavailable, "the store did not accept the job; not run").After(time.Second)
}

func (hm *Home) currentJournal() *journal.Journal {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.journal
}

// admit finds the job with the request's idempotency key, or creates one and queues it for the journal. The caller
// holds the lock.
func (hm *Home) admit(req nodemsg.Submit) (*entry, error) {
	part := ids.Partition(req.Workspace)
	if hm.parts[part].state != owned {
		return nil, fault.New(fault.Unavailable, "the workspace's home is moving").After(moveRetryAfter)
	}
	if en, err := hm.findByKey(req); en != nil || err != nil {
		return en, err
	}
	if err := hm.validate(req); err != nil {
		return nil, err
	}
	rec := job.New(req, hm.Clock.Now())
	rec.Version = 1
	raw, err := rec.Encode()
	if err != nil {
		return nil, err
	}
	en := newEntry(rec)
	en.busy++
	en.pendingAccept = hm.journal.Append(raw)
	hm.insert(en)
	go hm.accepted(en, en.pendingAccept)
	return en, nil
}

// findByKey returns the job with the request's idempotency key, if there is one.
func (hm *Home) findByKey(req nodemsg.Submit) (*entry, error) {
	if req.Key == "" {
		return nil, nil
	}
	id, ok := hm.keys[keyOf(req.Workspace, req.Key)]
	if !ok {
		return nil, nil
	}
	en := hm.jobs[id]
	if en.rec.BodyHash != req.BodyHash {
		return nil, fault.New(fault.KeyReused, "key %q belongs to job %s, which had a different request", req.Key, id)
	}
	return en, nil
}

func keyOf(workspace, key string) string { return workspace + "\x00" + key }

// validate refuses jobs that can never run, and new jobs while this node has too many unfinished ones.
func (hm *Home) validate(req nodemsg.Submit) error {
	if req.Budget < 0 {
		return fault.New(fault.PastDeadline, "the deadline passed %v ago; not run", -req.Budget)
	}
	if hm.unfinished >= hm.opts.MaxUnfinishedJobs {
		return fault.New(fault.Full, "this node has %d unfinished jobs, which is the limit; not run", hm.unfinished).After(time.Second)
	}
	if !hm.capacityComplete {
		return nil // a larger worker may not have been seen yet
	}
	reason := hm.machine.Infeasible(policy.Submit{Workspace: req.Workspace, Tasks: req.Tasks, Size: req.Size})
	if reason != "" {
		return fault.New(fault.NeverFits, "workload/%s %s; not run", req.Workload, reason)
	}
	return nil
}

func (hm *Home) insert(en *entry) {
	hm.jobs[en.rec.ID] = en
	if en.rec.Key != "" {
		hm.keys[keyOf(en.rec.Workspace, en.rec.Key)] = en.rec.ID
	}
	if en.rec.State != job.Done {
		hm.unfinished++
	}
}

func (hm *Home) remove(en *entry) {
	delete(hm.jobs, en.rec.ID)
	if key := keyOf(en.rec.Workspace, en.rec.Key); hm.keys[key] == en.rec.ID {
		delete(hm.keys, key)
	}
	if en.rec.State != job.Done {
		hm.unfinished--
	}
}

// accepted waits for the journal, then queues the job for placement. A job that the journal surely does not have is
// removed.
func (hm *Home) accepted(en *entry, pending *journal.Pending) {
	<-pending.Done()
	hm.mu.Lock()
	defer hm.mu.Unlock()
	en.busy--
	en.pendingAccept = nil
	if pending.Err() != nil {
		hm.remove(en)
		en.notify()
		return
	}
	en.persisted = true
	if !en.frozen {
		hm.step(policy.Event{Submit: hm.submitEvent(en, 0)})
	}
	en.notify()
}

// submitEvent describes a job to the state machine. Deadlines are converted to times since the home started; they only
// order and limit the waiting, so that an inexact conversion breaks no guarantee.
func (hm *Home) submitEvent(en *entry, retryAt time.Duration) *policy.Submit {
	sb := &policy.Submit{
		Job: en.rec.ID, Workspace: en.rec.Workspace, Tasks: en.rec.Tasks, Size: en.rec.Size,
		Priority: en.rec.Priority, RetryAt: retryAt, Workload: en.rec.Workload,
		Urgent: en.rec.Priority >= column.MaxPriority,
		Waited: max(0, hm.Clock.Since(en.rec.Submitted)),
	}
	if !en.rec.Deadline.IsZero() {
		sb.Deadline = max(1, en.rec.Deadline.Sub(hm.started))
	}
	return sb
}

func (hm *Home) view(en *entry) nodemsg.JobView {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.viewLocked(en)
}

func (hm *Home) viewLocked(en *entry) nodemsg.JobView {
	vw := en.rec.View(hm.Member.Node().Name, en.statuses)
	vw.Saved = en.commonSavedWork()
	if en.rec.State == job.Waiting && vw.Reason == "" {
		vw.Reason = hm.machine.Explain(hm.now(), en.rec.ID)
	}
	return vw
}

// find returns the entry of a job, or an error that says why there is none.
func (hm *Home) find(id string) (*entry, error) {
	part, ok := ids.JobPartition(id)
	if !ok {
		return nil, fault.New(fault.NotFound, "%q is not a job id", id)
	}
	if hm.parts[part].state != owned {
		return nil, fault.New(fault.Unavailable, "the job's home is moving").After(moveRetryAfter)
	}
	en, ok := hm.jobs[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "job %s is not known; ended jobs are kept for %v", id, hm.opts.JobRetention)
	}
	return en, nil
}

// Get returns a job. It waits for the job's end for at most qu.Wait.
func (hm *Home) Get(ctx context.Context, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
	ctx, cancel := context.WithTimeout(ctx, qu.Wait)
	defer cancel()
	for {
		hm.mu.Lock()
		en, err := hm.find(qu.Job)
		if err != nil {
			hm.mu.Unlock()
			return nodemsg.JobView{}, err
		}
		vw, changed := hm.viewLocked(en), en.changed
		hm.mu.Unlock()
		if vw.State == string(job.Done) || qu.Wait <= 0 {
			return vw, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return vw, nil
		}
	}
}

// List returns jobs of this home, newest first.
func (hm *Home) List(fl nodemsg.JobFilter) nodemsg.Jobs {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	var list nodemsg.Jobs
	for _, en := range hm.jobs {
		part, _ := ids.JobPartition(en.rec.ID)
		if hm.parts[part].state != owned || fl.Workspace != "" && en.rec.Workspace != fl.Workspace {
			continue
		}
		list.Jobs = append(list.Jobs, hm.viewLocked(en))
	}
	sort.Slice(list.Jobs, func(i, j int) bool { return list.Jobs[i].Submitted.After(list.Jobs[j].Submitted) })
	if fl.Limit > 0 && len(list.Jobs) > fl.Limit {
		list.Jobs = list.Jobs[:fl.Limit]
	}
	return list
}

// Cancel cancels a job. A waiting job is not run; a running job is stopped. It returns once the job has ended, or with
// the current state of the job at the end of the wait.
func (hm *Home) Cancel(ctx context.Context, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
	hm.mu.Lock()
	en, err := hm.find(qu.Job)
	if err != nil {
		hm.mu.Unlock()
		return nodemsg.JobView{}, err
	}
	if en.rec.State != job.Done && !en.frozen {
		en.rec.Cancelled = true
		if en.rec.State == job.Waiting && !en.placing && en.persisted {
			hm.step(policy.Event{Remove: &policy.Remove{Job: en.rec.ID}})
			hm.endWaiting(en, "cancelled")
		}
		en.kick.Give()
	}
	hm.mu.Unlock()
	return hm.Get(ctx, qu)
}
