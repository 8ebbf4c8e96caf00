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

// Counters of the lookups' answers that were dropped, and of retries.
const (
	CounterLate    = "answers_late_or_foreign"
	CounterShort   = "answers_cut_short"
	CounterRetried = "lookups_retried"
)

// Limits of the retries of lookups.
const (
	maxTries    = 3
	retryGain   = 0.1
	retryCost   = 1.0
	retryBudget = 10.0
)

// end is how one try of a lookup ended.
type end struct {
	body   []byte
	worker string
	// err is nil for an answer. Begun in it is set where the lookup may still run.
	err *fault.Error
	// over is set where the try has surely ended, so that another may follow.
	over bool
	// failed is set where the worker is to blame.
	failed bool
}

// lookup is one try of a lookup on its way.
type lookup struct {
	id       uint64
	req      nodemsg.Lookup
	worker   string
	sent     time.Time
	deadline time.Time
	done     chan end
	left     bool
}

func (lk *lookup) name() string { return lookupPrefix + strconv.FormatUint(lk.id, 16) }

// Lookup serves a lookup on one of this owner's workers. It tries again only
// where the former try has surely ended, within the workspace's budget and never
// past the deadline.
func (ow *Owner) Lookup(ctx context.Context, req nodemsg.Lookup) (nodemsg.Answer, error) {
	deadline := ow.Clock.Now().Add(req.Budget)
	for try := 1; ; try++ {
		en := ow.try(ctx, req, deadline)
		if en.err == nil {
			return nodemsg.Answer{ID: req.ID, Worker: en.worker, Body: en.body}, nil
		}
		may := en.over && (req.Repeat || !en.err.Begun)
		if !may || try == maxTries || !ow.Clock.Now().Before(deadline) || !ow.spendRetry(req.Workspace) {
			return nodemsg.Answer{}, en.err
		}
		ow.Meter.Count(CounterRetried, 1)
	}
}

// spendRetry takes one retry from the workspace's budget, which grows by a tenth
// of a retry with each lookup.
func (ow *Owner) spendRetry(workspace string) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.budgets[workspace] < retryCost {
		return false
	}
	ow.budgets[workspace] -= retryCost
	return true
}

func (ow *Owner) gainRetry(workspace string) {
	have, ok := ow.budgets[workspace]
	if !ok {
		have = retryBudget - retryGain
	}
	ow.budgets[workspace] = min(have+retryGain, retryBudget)
}

// try sends a lookup once and waits for its end.
func (ow *Owner) try(ctx context.Context, req nodemsg.Lookup, deadline time.Time) end {
	lk := &lookup{id: rand.Uint64(), req: req, deadline: deadline, done: make(chan end, 1)}
	ow.mu.Lock()
	ow.gainRetry(req.Workspace)
	ow.lookups[lk.id] = lk
	ow.step(policy.Event{Lookup: &policy.Lookup{
		ID: lk.name(), Workspace: req.Workspace, Workload: req.Workload, Weight: req.Weight,
		Size: req.Size, Deadline: ow.now() + deadline.Sub(ow.Clock.Now()),
	}})
	ow.mu.Unlock()
	timer := ow.Clock.NewTimer(deadline.Sub(ow.Clock.Now()))
	defer timer.Stop()
	select {
	case en := <-lk.done:
		return en
	case <-ctx.Done():
		return ow.abandon(lk)
	case <-timer.Chan():
		return ow.abandon(lk)
	}
}

// abandon gives up waiting. A lookup that was sent keeps its slot until the
// worker has answered; one that was not leaves the queue.
func (ow *Owner) abandon(lk *lookup) end {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	select {
	case en := <-lk.done:
		return en
	default:
	}
	lk.left = true
	if lk.worker == "" {
		delete(ow.lookups, lk.id)
		ow.step(policy.Event{LookupDone: &policy.LookupDone{ID: lk.name()}})
		return end{err: fault.New(fault.Full, "no slot came free before the deadline; not run")}
	}
	return end{err: fault.New(fault.Timeout, "worker %s did not answer in time", lk.worker).AfterStart()}
}

func lookupID(name string) (uint64, bool) {
	if !isLookup(name) {
		return 0, false
	}
	id, err := strconv.ParseUint(name[len(lookupPrefix):], 16, 64)
	return id, err == nil
}

// sendLookup carries out the machine's decision. The caller holds the lock.
func (ow *Owner) sendLookup(sd *policy.Dispatch) {
	id, _ := lookupID(sd.ID)
	lk, ok := ow.lookups[id]
	kp := ow.keepers[sd.Worker]
	if !ok || kp == nil || kp.link == nil {
		go ow.unsent(id, sd.Worker)
		return
	}
	now := ow.Clock.Now()
	lk.worker, lk.sent = sd.Worker, now
	link := kp.link
	msg := workermsg.Lookup{
		ID: lk.id, Workload: lk.req.Workload, Size: lk.req.Size,
		Budget: lk.deadline.Sub(now), Body: lk.req.Body,
	}
	go func() {
		err := link.Lookup(msg)
		if err == nil {
			return
		}
		if er := fault.From(err); !er.Begun {
			ow.unsent(id, sd.Worker)
		} // else the inventory of the next attachment settles it
	}()
}

// unsent takes back a lookup that never left.
func (ow *Owner) unsent(id uint64, name string) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.finish(id, end{
		worker: name, over: true,
		err: fault.New(fault.Unavailable, "worker %s is not attached", name),
	}, 0)
}

// refuseLookup tells a waiting lookup that it is refused. The caller holds the lock.
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
	lk.done <- end{err: fault.New(kind, "%s: no slot in time; not run", rf.Reason).After(rf.RetryAfter)}
}

// finish ends a lookup and gives its slot back. The caller holds the lock.
func (ow *Owner) finish(id uint64, en end, latency time.Duration) {
	lk, ok := ow.lookups[id]
	if !ok {
		return
	}
	delete(ow.lookups, id)
	if lk.left {
		ow.Meter.Count(CounterLate, 1)
	}
	lk.done <- en
	ow.step(policy.Event{LookupDone: &policy.LookupDone{ID: lk.name(), Latency: latency, Failed: en.failed}})
}

// onAnswer takes a worker's answer. One that belongs to no lookup on its way is
// dropped and counted.
func (ow *Owner) onAnswer(kp *keeper, an workermsg.Answer) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	lk, ok := ow.lookups[an.ID]
	if !ok || lk.worker != kp.vm.Name {
		ow.Meter.Count(CounterLate, 1)
		return
	}
	latency := ow.Clock.Since(lk.sent)
	en := end{body: an.Body, worker: kp.vm.Name}
	switch {
	case an.Refusal != workermsg.Consent:
		latency = 0
		en.over = true
		en.err = fault.New(fault.Unavailable, "worker %s refused: %s", kp.vm.Name, an.Refusal)
	case an.Failed != "":
		en.over, en.failed = true, true
		en.err = fault.New(fault.Endpoint, "worker %s failed: %s", kp.vm.Name, an.Failed).AfterStart()
	case len(an.Body) != an.Length:
		ow.Meter.Count(CounterShort, 1)
		en.over, en.failed = true, true
		en.err = fault.New(fault.Endpoint, "the answer of worker %s was cut short", kp.vm.Name).AfterStart()
	}
	ow.finish(an.ID, en, latency)
}

// settleLookups ends the lookups sent to a worker that its inventory does not
// show as running. The caller holds the lock.
func (ow *Owner) settleLookups(name string, running map[string]bool) {
	for id, lk := range ow.lookups {
		if lk.worker != name || running[lk.name()] {
			continue
		}
		ow.finish(id, end{
			worker: name, over: running != nil,
			err: fault.New(fault.Endpoint, "the link to worker %s was lost", name).AfterStart(),
		}, 0)
	}
}
