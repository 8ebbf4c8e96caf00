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

// comeBack is the hint given while a partition is on the move.
const comeBack = 200 * time.Millisecond

// Submit accepts a job. It answers once the job is in the journal; the same key
// with the same request answers with the job that it made before.
func (hm *Home) Submit(ctx context.Context, req nodemsg.Submit) (nodemsg.JobView, error) {
	if !hm.knowsAll() {
		hm.measure()
	}
	hm.mu.Lock()
	en, err := hm.admit(req)
	if err != nil {
		hm.mu.Unlock()
		return nodemsg.JobView{}, err
	}
	pending := en.accept
	hm.mu.Unlock()
	if pending == nil {
		return hm.view(en), nil
	}
	if err := hm.journalOf().Wait(ctx, pending); err != nil {
		return nodemsg.JobView{}, hm.unaccepted(err)
	}
	return hm.view(en), nil
}

func (hm *Home) knowsAll() bool {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.complete
}

// unaccepted is the answer to a submission that the journal has not confirmed.
func (hm *Home) unaccepted(err error) error {
	if fault.From(err).Begun {
		return fault.New(fault.Unavailable, "the store has not confirmed the job in time, "+
			"it may be accepted; ask again with the same idempotency key").After(time.Second).AfterStart()
	}
	return fault.New(fault.Unavailable, "the store does not take the job; not run").After(time.Second)
}

func (hm *Home) journalOf() *journal.Journal {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.journal
}

// admit finds the job of the request's key, or makes one and puts it in line for
// the journal. The caller holds the lock.
func (hm *Home) admit(req nodemsg.Submit) (*entry, error) {
	part := ids.Partition(req.Workspace)
	if hm.parts[part].state != owned {
		return nil, fault.New(fault.Unavailable, "the workspace's home is moving").After(comeBack)
	}
	if en, err := hm.known(req); en != nil || err != nil {
		return en, err
	}
	if err := hm.check(req); err != nil {
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
	en.accept = hm.journal.Append(raw)
	hm.insert(en)
	go hm.accepted(en, en.accept)
	return en, nil
}

// known returns the job of the request's key, if there is one.
func (hm *Home) known(req nodemsg.Submit) (*entry, error) {
	if req.Key == "" {
		return nil, nil
	}
	id, ok := hm.keys[keyOf(req.Workspace, req.Key)]
	if !ok {
		return nil, nil
	}
	en := hm.jobs[id]
	if en.rec.BodyHash != req.BodyHash {
		return nil, fault.New(fault.KeyReused, "key %q belongs to job %s, which asked for something else", req.Key, id)
	}
	return en, nil
}

func keyOf(workspace, key string) string { return workspace + "\x00" + key }

// check refuses what can never run and what there is no room to remember.
func (hm *Home) check(req nodemsg.Submit) error {
	if req.Budget < 0 {
		return fault.New(fault.PastDeadline, "the deadline passed %v ago; not run", -req.Budget)
	}
	if hm.open >= hm.opts.WaitingJobs {
		return fault.New(fault.Full, "this node keeps %d unfinished jobs; not run", hm.open).After(time.Second)
	}
	if !hm.complete {
		return nil // a larger worker may yet be seen
	}
	why := hm.machine.Infeasible(policy.Submit{Workspace: req.Workspace, Tasks: req.Tasks, Size: req.Size})
	if why != "" {
		return fault.New(fault.NeverFits, "workload/%s %s; not run", req.Workload, why)
	}
	return nil
}

func (hm *Home) insert(en *entry) {
	hm.jobs[en.rec.ID] = en
	if en.rec.Key != "" {
		hm.keys[keyOf(en.rec.Workspace, en.rec.Key)] = en.rec.ID
	}
	if en.rec.State != job.Done {
		hm.open++
	}
}

func (hm *Home) remove(en *entry) {
	delete(hm.jobs, en.rec.ID)
	if key := keyOf(en.rec.Workspace, en.rec.Key); hm.keys[key] == en.rec.ID {
		delete(hm.keys, key)
	}
	if en.rec.State != job.Done {
		hm.open--
	}
}

// accepted waits for the journal, then lets the job try for room. A job that the
// journal surely does not have is dropped.
func (hm *Home) accepted(en *entry, pending *journal.Pending) {
	<-pending.Done()
	hm.mu.Lock()
	defer hm.mu.Unlock()
	en.busy--
	en.accept = nil
	if pending.Err() != nil {
		hm.remove(en)
		en.notify()
		return
	}
	en.kept = true
	if !en.frozen {
		hm.step(policy.Event{Submit: hm.submitEvent(en, 0)})
	}
	en.notify()
}

// submitEvent describes a job to the machine. Deadlines become times since the
// home started; they order and end waiting, and no promise rests on them.
func (hm *Home) submitEvent(en *entry, again time.Duration) *policy.Submit {
	sb := &policy.Submit{
		Job: en.rec.ID, Workspace: en.rec.Workspace, Tasks: en.rec.Tasks, Size: en.rec.Size,
		Priority: en.rec.Priority, RetryAt: again, Workload: en.rec.Workload,
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
	vw.Saved = en.common()
	if en.rec.State == job.Waiting && vw.Reason == "" {
		vw.Reason = hm.machine.Explain(hm.now(), en.rec.ID)
	}
	return vw
}

// find returns the entry of a job, or why there is none.
func (hm *Home) find(id string) (*entry, error) {
	part, ok := ids.JobPartition(id)
	if !ok {
		return nil, fault.New(fault.NotFound, "%q is not a job id", id)
	}
	if hm.parts[part].state != owned {
		return nil, fault.New(fault.Unavailable, "the job's home is moving").After(comeBack)
	}
	en, ok := hm.jobs[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "job %s is not known; ended jobs are kept for %v", id, hm.opts.KeepJobs)
	}
	return en, nil
}

// Get returns a job, after waiting for its end as long as asked.
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

// Cancel ends a job. One that waits is not run; one that runs is stopped. It
// answers when the job has ended, or with the job as it is when time is up.
func (hm *Home) Cancel(ctx context.Context, qu nodemsg.JobQuery) (nodemsg.JobView, error) {
	hm.mu.Lock()
	en, err := hm.find(qu.Job)
	if err != nil {
		hm.mu.Unlock()
		return nodemsg.JobView{}, err
	}
	if en.rec.State != job.Done && !en.frozen {
		en.rec.Cancelled = true
		if en.rec.State == job.Waiting && !en.placing && en.kept {
			hm.step(policy.Event{Remove: &policy.Remove{Job: en.rec.ID}})
			hm.settleWaiting(en, "cancelled")
		}
		en.kick.Give()
	}
	hm.mu.Unlock()
	return hm.Get(ctx, qu)
}
