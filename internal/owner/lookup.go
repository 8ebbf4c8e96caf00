package owner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	policy "tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Counters of dropped answers and of retries.
const (
	CounterLate      = "answers_late_or_foreign"
	CounterTruncated = "answers_cut_short"
	CounterRetried   = "lookups_retried"
)

// Limits on retries of lookups. Each retry costs retryCost of the workspace's budget, each attempt adds retryGain.
const (
	maxTries    = 3
	retryGain   = 0.1
	retryCost   = 1.0
	retryBudget = 10.0
)

// result is the outcome of one attempt of a lookup.
type result struct {
	body   []byte
	worker string
	// err is nil for an answer. Its field MayHaveRun is set if the lookup may have run or may still run.
	err *fault.Error
	// ended is set if the attempt has surely ended, so that another may follow.
	ended bool
	// workerFailed is set if the worker caused the failure.
	workerFailed bool
}

// lookup is one attempt of a lookup in flight.
type lookup struct {
	id        uint64
	req       nodemsg.Lookup
	worker    string
	sent      time.Time
	deadline  time.Time
	done      chan result
	abandoned bool
}

func (lk *lookup) name() string { return lookupPrefix + strconv.FormatUint(lk.id, 16) }

// Lookup serves a lookup on one of this owner's workers. It retries only if the earlier attempt has surely ended,
// within the workspace's retry budget and never after the deadline.
func (ow *Owner) Lookup(ctx context.Context, req nodemsg.Lookup) (nodemsg.Answer, error) {
	deadline := ow.Clock.Now().Add(req.Budget)
	for try := 1; ; try++ {
		rs := ow.attempt(ctx, req, deadline)
		if rs.err == nil {
			return nodemsg.Answer{ID: req.ID, Worker: rs.worker, Body: rs.body}, nil
		}
		retryable := rs.ended && (req.Repeatable || !rs.err.MayHaveRun)
		if !retryable || try == maxTries || !ow.Clock.Now().Before(deadline) || !ow.spendRetry(req.Workspace) {
			return nodemsg.Answer{}, rs.err
		}
		ow.Meter.Count(CounterRetried, 1)
	}
}

// spendRetry takes one retry from the workspace's budget, which grows by a tenth of a retry with each attempt.
func (ow *Owner) spendRetry(workspace string) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.budgets[workspace] < retryCost {
		return false
	}
	ow.budgets[workspace] -= retryCost
	return true
}

func (ow *Owner) addRetryBudget(workspace string) {
	budget, ok := ow.budgets[workspace]
	if !ok {
		budget = retryBudget - retryGain
	}
	ow.budgets[workspace] = min(budget+retryGain, retryBudget)
}

// attempt sends a lookup once and waits for its end.
func (ow *Owner) attempt(ctx context.Context, req nodemsg.Lookup, deadline time.Time) result {
	lk := &lookup{id: rand.Uint64(), req: req, deadline: deadline, done: make(chan result, 1)}
	ow.mu.Lock()
	ow.addRetryBudget(req.Workspace)
	ow.lookups[lk.id] = lk
	ow.step(policy.Event{Lookup: &policy.Lookup{
		ID: lk.name(), Workspace: req.Workspace, Workload: req.Workload, Weight: req.Weight,
		Size: req.Size, Deadline: ow.now() + deadline.Sub(ow.Clock.Now()),
	}})
	ow.mu.Unlock()
	timer := ow.Clock.NewTimer(deadline.Sub(ow.Clock.Now()))
	defer timer.Stop()
	select {
	case rs := <-lk.done:
		return rs
	case <-ctx.Done():
		return ow.abandon(lk)
	case <-timer.Chan():
		return ow.abandon(lk)
	}
}

// abandon stops waiting. A lookup that was sent keeps its slot until the worker has answered; one that was not sent
// leaves the queue.
func (ow *Owner) abandon(lk *lookup) result {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	select {
	case rs := <-lk.done:
		return rs
	default:
	}
	lk.abandoned = true
	if lk.worker == "" {
		delete(ow.lookups, lk.id)
		ow.step(policy.Event{LookupDone: &policy.LookupDone{ID: lk.name()}})
		return result{err: fault.New(fault.Full, "no slot became free before the deadline; not run")}
	}
	return result{err: fault.New(fault.Timeout, "worker %s did not answer in time", lk.worker).MarkMayHaveRun()}
}

func lookupID(name string) (uint64, bool) {
	if !isLookup(name) {
		return 0, false
	}
	id, err := strconv.ParseUint(name[len(lookupPrefix):], 16, 64)
	return id, err == nil
}

// sendLookup executes a dispatch decision of the state machine. The caller holds the lock.
func (ow *Owner) sendLookup(sd *policy.Dispatch) {
	id, _ := lookupID(sd.ID)
	lk, ok := ow.lookups[id]
	wc := ow.conns[sd.Worker]
	if !ok || wc == nil || wc.link == nil {
		go ow.notSent(id, sd.Worker)
		return
	}
	now := ow.Clock.Now()
	lk.worker, lk.sent = sd.Worker, now
	link := wc.link
	msg := workermsg.Lookup{
		ID: lk.id, Workload: lk.req.Workload, Size: lk.req.Size,
		Budget: lk.deadline.Sub(now), Body: lk.req.Body,
	}
	go func() {
		err := link.Lookup(msg)
		if err == nil {
			return
		}
		if er := fault.From(err); !er.MayHaveRun {
			ow.notSent(id, sd.Worker)
		} // else the inventory of the next attachment decides
	}()
}

// notSent ends the attempt of a lookup that was not sent.
func (ow *Owner) notSent(id uint64, name string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.finish(id, result{
		worker: name, ended: true,
		err: fault.New(fault.Unavailable, "worker %s is not attached", name),
	}, 0)
}

// refuseLookup ends a waiting lookup that the state machine refuses. The caller holds the lock.
func (ow *Owner) refuseLookup(rf *policy.Refuse) {
	id, _ := lookupID(rf.ID)
	lk, ok := ow.lookups[id]
	if !ok {
		return
	}
	delete(ow.lookups, id)
	ow.Meter.Count("lookups_refused_"+string(rf.Reason), 1)
	kind := fault.Full
	if rf.Reason == policy.ReasonEmpty {
		kind = fault.Unavailable // another owner may have the workers now
	}
	lk.done <- result{err: fault.New(kind, "%s: no slot in time; not run", rf.Reason).WithRetryAfter(rf.RetryAfter)}
}

// finish ends a lookup and frees its slot. The caller holds the lock.
func (ow *Owner) finish(id uint64, rs result, latency time.Duration) {
	lk, ok := ow.lookups[id]
	if !ok {
		return
	}
	delete(ow.lookups, id)
	if lk.abandoned {
		ow.Meter.Count(CounterLate, 1)
	}
	lk.done <- rs
	ow.step(policy.Event{LookupDone: &policy.LookupDone{ID: lk.name(), Latency: latency, Failed: rs.workerFailed}})
}

// onAnswer processes a worker's answer. An answer that belongs to no lookup in flight is dropped and counted.
func (ow *Owner) onAnswer(wc *workerConn, an workermsg.Answer) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	lk, ok := ow.lookups[an.ID]
	if !ok || lk.worker != wc.vm.Name {
		ow.Meter.Count(CounterLate, 1)
		return
	}
	latency := ow.Clock.Since(lk.sent)
	rs := result{body: an.Body, worker: wc.vm.Name}
	switch {
	case an.Refusal != workermsg.Accepted:
		latency = 0
		rs.ended = true
		rs.err = fault.New(fault.Unavailable, "worker %s refused: %s", wc.vm.Name, an.Refusal)
	case an.Failed != "":
		rs.ended, rs.workerFailed = true, true
		rs.err = fault.New(fault.EndpointFailed, "worker %s failed: %s", wc.vm.Name, an.Failed).MarkMayHaveRun()
	case len(an.Body) != an.Length:
		ow.Meter.Count(CounterTruncated, 1)
		rs.ended, rs.workerFailed = true, true
		rs.err = fault.New(fault.EndpointFailed, "the answer of worker %s is truncated", wc.vm.Name).MarkMayHaveRun()
	}
	ow.finish(an.ID, rs, latency)
}

// endMissingLookups ends the lookups sent to a worker that are not running according to its inventory. Without an
// inventory, running is nil: all lookups end, and none is retried, since it may still run. The caller holds the lock.
func (ow *Owner) endMissingLookups(name string, running map[string]bool) {
	for id, lk := range ow.lookups {
		if lk.worker != name || running[lk.name()] {
			continue
		}
		ow.finish(id, result{
			worker: name, ended: running != nil,
			err: fault.New(fault.EndpointFailed, "the link to worker %s was lost", name).MarkMayHaveRun(),
		}, 0)
	}
}
