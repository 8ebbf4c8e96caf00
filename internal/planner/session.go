package planner

import (
	"context"
	"tackbeam.example/policy/incarnation"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/loop"
)

// Times of holds.
const (
	// holdWait is how long a worker may wait for an end before it answers; reports
	// must be fresh enough to see tasks that stand still.
	holdWait = time.Second
	// serveWait is the same for workers whose tasks have promised a latency; the
	// workers' figure is over half a second.
	serveWait = 400 * time.Millisecond
	// holdSlack is what a hold may take beyond its wait.
	holdSlack = 700 * time.Millisecond
	// holdGap is the pause between two holds of a worker, in which ends gather.
	holdGap = 30 * time.Millisecond
	// lossyMisses is how many holds in a row must be lost for their worker to count as silent
	// while many calls are lost: of one lost in twenty, one worker in 8,000 holds then.
	lossyMisses = 3
	// holdRetry is the pause after a hold that was not answered.
	holdRetry = 100 * time.Millisecond
	// noteMost is the longest time without a hold while the journal does not have the ends of the
	// last report: the worker would report them again at once.
	noteMost = 800 * time.Millisecond
)

// session is the planner's link to one life of a worker.
type session struct {
	lead  *lead
	life  incarnation.ID
	entry WorkerEntry
	// token is that of all orders of the session.
	token uint64
	// born is when the life began, 0 while nobody has said so.
	born int64
	// other is an entry of another life, nil where there is none.
	other *WorkerEntry

	// answered is set once the worker has answered this planner.
	answered bool
	// clock was the worker's clock when it gave the answer that came at heard.
	clock time.Duration
	heard time.Duration
	// deadline is the latest one that was ever sent, on the worker's clock.
	deadline time.Duration
	ended    bool
	silent   bool
	// doubted is set while a call to the worker has had no answer since its last report.
	doubted bool
	// missed counts the holds without an answer since the last that had one.
	missed int
	// looking is set while a report is asked for beside the hold that waits.
	looking bool
}

func newSession(ld *lead, en WorkerEntry) *session {
	return &session{lead: ld, life: en.ID, born: en.ID.StartedAt(), entry: en, token: ld.fence(en.ID.WorkerID())}
}

// target is where the worker is called by its present entry. The caller does not hold the lock.
func (se *session) target() agent.Target {
	se.lead.mu.Lock()
	defer se.lead.mu.Unlock()
	return agent.Target{Address: se.entry.Address, Incarnation: se.life}
}

// extend returns a deadline a lease from now on the worker's clock, at the least.
// The caller holds the lock.
func (se *session) extend(now time.Duration) time.Duration {
	if !se.answered || se.lead.reign.SinceRenewal() > unproven {
		return se.deadline
	}
	se.deadline = max(se.deadline, se.clock+(now-se.heard)+se.lead.lease)
	return se.deadline
}

// lapsed reports whether the worker has surely ended all that it ran. The caller
// holds the lock.
func (se *session) lapsed(now time.Duration) bool {
	if !se.answered {
		return now > se.lead.lapseUnknown()
	}
	since := time.Duration(float64(now-se.heard) * (1 - drift))
	return se.clock+since > se.deadline
}

// run holds the worker until its incarnation or the reign ends.
func (se *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		release, ok := se.acquireSlot(ctx)
		if !ok {
			return
		}
		hold, slack, ok := se.next()
		if !ok {
			release()
			return
		}
		call, cancel := context.WithTimeout(ctx, hold.Wait+slack)
		sent := se.lead.now()
		report, err := se.lead.parts.Agents.Hold(call, se.target(), hold)
		cancel()
		release()
		if ctx.Err() != nil {
			return
		}
		se.note(err)
		if se.overlooked(err) {
			continue
		}
		if err != nil {
			se.failed(err)
			loop.Pause(ctx, se.lead.clock, holdRetry)
			continue
		}
		se.take(sent, report)
		se.settle(ctx)
	}
}

// acquireSlot waits for a slot of the hold limiter and returns a function that releases it. A worker that has answered
// needs no slot. It returns false if ctx is done first.
func (se *session) acquireSlot(ctx context.Context) (release func(), ok bool) {
	se.lead.mu.Lock()
	answered := se.answered
	se.lead.mu.Unlock()
	if answered {
		return func() {}, true
	}
	return se.lead.holdLimiter.acquire(ctx)
}

// overlooked reports whether a hold's error draws no consequence but another hold: where many
// calls are lost, one is no sign of its worker.
func (se *session) overlooked(err error) bool {
	if !errors.Is(err, agent.ErrNoAnswer) {
		se.missed = 0
		return false
	}
	se.missed++
	return se.missed < lossyMisses && se.lead.losses.many()
}

// next returns the hold to send and what it may take beyond its wait, or false where the
// incarnation is over.
func (se *session) next() (hold agent.Hold, slack time.Duration, ok bool) {
	ld := se.lead
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se.ended {
		return agent.Hold{}, 0, false
	}
	ld.effort.holds++
	_, waits := ld.cell.AckedEnd(se.life)
	hold, slack = agent.Hold{Token: se.token, Acked: se.noted()}, holdSlack
	if se.answered && !se.silent {
		// A worker that is silent is only asked: a lease that is renewed without an
		// answer would never surely be over.
		hold.Deadline = se.extend(ld.now())
	}
	if se.answered && !waits && !se.silent {
		hold.Wait = holdWait
		if ld.cell.HasLatencyTarget(se.life) {
			hold.Wait = serveWait
		}
		if ld.losses.many() {
			hold.Wait = min(hold.Wait, ld.losses.holdWait(len(ld.sessions)))
			slack = max(lossySlack, ld.patience.wait())
		}
	}
	return hold, slack, true
}

// take takes a report in.
func (se *session) take(sent time.Duration, report agent.Report) {
	ld := se.lead
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.now()
	if se.ended || !se.accepts(report) {
		return
	}
	if se.silent {
		ld.log.Info("Worker answers again.", "worker", se.life)
	}
	se.silent, se.doubted = false, false
	if report.Clock > se.clock {
		se.clock, se.heard = report.Clock, now
	}
	first := !se.answered
	se.answered = true
	if first {
		se.firstAnswer(now)
	}
	for _, en := range ld.cell.Report(now, se.life, sent, report.Runs, report.Ends) {
		ld.log.Info("End.", "task", en.Task.String(), "run", en.Number, "worker", se.life, "result", en.Result, "seq", en.Seq)
		ld.measures.count("planner.ends." + string(en.Result))
	}
	if first {
		ld.settle(now)
	}
	ld.kick()
}

// failed draws the consequences of a hold's error.
func (se *session) failed(err error) {
	ld := se.lead
	if se.fenced(err) {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.now()
	if errors.Is(err, agent.ErrOtherIncarnation) {
		se.dead(now)
		ld.kick()
		return
	}
	if !se.silent {
		ld.log.Info("Worker does not answer.", "worker", se.life, "reason", err.Error())
	}
	se.silent = true
	ld.measures.count("planner.holds_failed")
	ld.cell.Unreachable(now, se.life)
	if !se.lapsed(now) {
		return
	}
	if se.other != nil {
		ld.cell.Deregister(se.life) // its entry is of another life by now
	}
	if ld.cell.MayHoldRuns(se.life) {
		ld.log.Info("Worker's lease is over.", "worker", se.life, "silent_for", (now - se.heard).String())
	}
	delete(ld.old, se.life)
	se.lose(func() { ld.cell.LeaseExpired(now, se.life) })
	se.answered = false
	se.heard = now
	if known, _ := ld.cell.Listed(se.life); !known {
		se.end()
		se.beginOther()
	}
	ld.settle(now)
	ld.kick()
}

// dead notes that the life is over, and nobody knows of another one of the worker. The caller holds
// the lock.
func (se *session) dead(now time.Duration) {
	se.over(now, func() { se.lead.cell.Replaced(now, se.life) })
}

// over ends the session, as the life is over. The caller holds the lock.
func (se *session) over(now time.Duration, takeIn func()) {
	ld := se.lead
	if se.ended {
		return
	}
	ld.log.Info("Worker's life is over.", "worker", se.life)
	delete(ld.old, se.life)
	se.lose(takeIn)
	se.end()
	se.beginOther()
	ld.settle(now)
}

// lose takes in that the worker is lost, and logs the runs that go with it. The caller holds the
// lock.
func (se *session) lose(takeIn func()) {
	ld := se.lead
	held := ld.cell.HeldRuns(se.life)
	takeIn()
	if len(held) == 0 {
		return
	}
	ld.measures.count("planner.workers_lost_with_runs")
	for _, rn := range held {
		crashes, blamed := ld.cell.CrashCounts(rn.Task)
		ld.log.Info("Run is lost with its worker.", "task", rn.Task.String(), "run", rn.Number, "worker", se.life,
			"crashes", crashes, "blamed", blamed)
	}
}

// end ends the session. The caller holds the lock.
func (se *session) end() {
	se.ended = true
	delete(se.lead.sessions, se.life)
	delete(se.lead.present, se.life.WorkerID())
}
