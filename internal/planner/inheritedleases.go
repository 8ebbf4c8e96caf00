package planner

import (
	"cmp"
	"context"
	"math"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/leases"
	"tackbeam.example/tackbeam/internal/loop"
)

// A planner must not start a task elsewhere while a worker that does not answer may still run it under a lease that an
// earlier planner renewed. How long that can be, only the earlier planner knows. If its node is alive, it is asked.
// Otherwise the election bounds when it can have renewed the lease for the last time (term.Term.RenewalsEnd).

// Timings of the question about inherited leases.
const (
	leasesTimeout    = 300 * time.Millisecond
	leasesRetryPause = 100 * time.Millisecond
)

// inheritedLeases bounds the leases of workers that earlier planners renewed. Times count from the beginning of the term.
type inheritedLeases struct {
	// allExpired is when all of them have surely expired, unreachable when those of workers that did not answer the
	// earlier planner have.
	allExpired  time.Duration
	unreachable map[incarnation.ID]time.Duration
	// worstCase is when those of workers have expired of which several incarnations are recorded.
	worstCase time.Duration
	// ofPreviousOnly is set if only the previous planner renewed any of them.
	ofPreviousOnly bool
}

func (il *inheritedLeases) init(allExpired, worstCase time.Duration) {
	il.allExpired, il.worstCase, il.unreachable = allExpired, worstCase, map[incarnation.ID]time.Duration{}
}

// limit adds an upper bound of the end of a worker's lease.
func (il *inheritedLeases) limit(id incarnation.ID, end time.Duration) {
	if known, ok := il.unreachable[id]; !ok || end < known {
		il.unreachable[id] = end
	}
}

// leaseBound is how long a lease that was renewed now may last on a slow clock. The deadline that was sent counts from
// the worker's clock as estimated since its last report.
func (ld *leader) leaseBound() time.Duration {
	const maxReportAge = lossyMissLimit * (holdWait + holdSlack)
	return time.Duration((float64(ld.lease) + maxClockDrift*float64(maxReportAge)) / (1 - maxClockDrift))
}

// longestLease is how long the longest lease that workers accept may last on a slow clock.
func (ld *leader) longestLease() time.Duration {
	longest := cmp.Or(ld.opts.Site.Bounds.MaxLease, defaultMaxLease)
	return time.Duration(float64(longest) / (1 - maxClockDrift))
}

// inheritedLeaseEnd returns when a worker that has not answered this planner has surely ended all its runs. The caller
// holds the lock.
func (ld *leader) inheritedLeaseEnd(id incarnation.ID) time.Duration {
	if len(ld.earlier[id.WorkerID()]) > 1 {
		// An order for an earlier incarnation may be carried out late, and then gives a lease that nobody knows of.
		return ld.inheritedLeases.worstCase
	}
	if end, ok := ld.inheritedLeases.unreachable[id]; ok {
		return min(end, ld.inheritedLeases.allExpired)
	}
	return ld.inheritedLeases.allExpired
}

// expireLeases applies the ends of leases that are due. A hold to a dead worker takes up to holdSlack, so that its failure
// may come late.
func (ld *leader) expireLeases(now time.Duration) {
	for _, se := range ld.sessions {
		if se.unreachable && !se.expired {
			se.expireIfDue(now)
		}
	}
}

// awaitRenewalsEnd applies the bound that the earlier planners' record gives.
func (ld *leader) awaitRenewalsEnd(ctx context.Context) {
	end, ok := ld.term.AwaitRenewalsEnd(ctx)
	if !ok {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.inheritedLeases.allExpired = min(ld.inheritedLeases.allExpired, end.Sub(ld.began)+ld.leaseBound())
	now := ld.now()
	ld.expireLeases(now)
	ld.checkRecovery(now)
	ld.schedulePlan()
}

// requestLeases asks the previous planner's node about the leases that it renewed, until it answers or the answer is not
// needed any more.
func (ld *leader) requestLeases(ctx context.Context) {
	previous := ld.term.Previous
	for previous.Node != "" && ld.leasesUnknown() {
		call, cancel := context.WithTimeout(ctx, leasesTimeout)
		report, err := ld.opts.Leases(call, previous, leases.Request{Term: previous.Token, Later: ld.term.Token})
		cancel()
		if err == nil {
			ld.applyLeases(report)
			return
		}
		if !loop.Sleep(ctx, ld.clock, leasesRetryPause) {
			return
		}
	}
}

// leasesUnknown reports whether leases that earlier planners renewed may not have expired yet.
func (ld *leader) leasesUnknown() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.now() <= ld.inheritedLeases.allExpired
}

// applyLeases applies the previous planner's report.
func (ld *leader) applyLeases(report leases.Report) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now, previous := ld.now(), ld.term.Previous
	adopted := 0
	switch {
	case report.Led:
		for id, remaining := range report.Unreachable {
			ld.inheritedLeases.limit(id, now+remaining)
			if se, ok := ld.sessions[id]; ok && !se.answered {
				se.markUnreachable(now, "it did not answer the previous planner")
			}
		}
		ld.inheritedLeases.allExpired = min(ld.inheritedLeases.allExpired, now+report.AllExpired)
		adopted = ld.adoptRuns(now, report.Held)
	case report.Node == previous.Node:
		// The process that led the term is dead. The planner before it may have renewed leases for some time after the
		// election.
		renewed := now - report.Uptime
		if !ld.inheritedLeases.ofPreviousOnly {
			renewed = max(renewed, previous.SeenAt.Sub(ld.began)+maxUnrenewed)
		}
		ld.inheritedLeases.allExpired = min(ld.inheritedLeases.allExpired, renewed+ld.leaseBound())
	}
	ld.metrics.count("planner.lease_reports")
	ld.log.Info("Leases of the previous planner are known.", "node", report.Node, "led", report.Led, "after", now.String(),
		"until", ld.inheritedLeases.allExpired.String(), "unreachable", len(report.Unreachable), "known", adopted)
	ld.expireLeases(now)
	ld.checkRecovery(now)
	ld.schedulePlan()
}

// endedTerm is what is known of the leases of workers when a term has ended.
type endedTerm struct {
	token uint64
	// allExpired is when the leases of all workers have surely expired, unreachable when those of workers that did not
	// answer have.
	allExpired  time.Time
	unreachable map[incarnation.ID]time.Time
	// held has the runs of the workers whose runs were all known.
	held map[incarnation.ID][]cell.Run
}

// endedTerm returns what is known of the leases of workers after the last call of the term has returned.
func (ld *leader) endedTerm() *endedTerm {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	et := &endedTerm{token: ld.term.Token, allExpired: ld.clock.Now(), unreachable: map[incarnation.ID]time.Time{}, held: ld.knownRuns()}
	if !ld.cell.Recovered() || len(ld.unresolved) > 0 {
		et.allExpired = ld.began.Add(ld.inheritedLeases.allExpired)
	}
	for id, se := range ld.sessions {
		end := ld.began.Add(se.leaseEnd())
		if se.unreachable {
			et.unreachable[id] = end
		}
		if end.After(et.allExpired) {
			et.allExpired = end
		}
	}
	return et
}

// knownRuns returns the runs of the workers whose runs are all known, once no call of the term is pending. The caller holds
// the lock.
func (ld *leader) knownRuns() map[incarnation.ID][]cell.Run {
	held := map[incarnation.ID][]cell.Run{}
	if !ld.cell.Recovered() {
		return held
	}
	for id, se := range ld.sessions {
		if se.knowsRuns() {
			held[id] = ld.cell.HeldRuns(id)
		}
	}
	return held
}

// knowsRuns reports whether all runs of the worker are known: it has reported all to this planner, no other incarnation can
// have answered since, none of an earlier one may still begin, and the journal has the ends that it reported. The caller
// holds the lock.
func (se *session) knowsRuns() bool {
	ld := se.leader
	_, uncommitted := ld.cell.AckedEnd(se.incarnation)
	return se.answered && !se.unreachable && !se.unanswered && se.other == nil && !uncommitted && !ld.cell.LacksEnds(se.incarnation) &&
		!ld.cell.HasPredecessor(se.incarnation)
}

// adoptRuns applies the runs that the previous planner knew of workers that have not reported all of theirs to this one.
// The recovery does not wait for them any more. The caller holds the lock.
func (ld *leader) adoptRuns(now time.Duration, held map[incarnation.ID][]cell.Run) (count int) {
	for id, runs := range held {
		if !ld.unresolved[id] || len(ld.earlier[id.WorkerID()]) > 1 {
			continue
		}
		ld.cell.InheritRuns(now, id, runs)
		ld.unresolved[id] = false
		count++
	}
	return count
}

// Leases answers a request about the leases of a term.
func (pl *Planner) Leases(rq leases.Request) (leases.Report, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ld, ended := pl.leader, pl.ended
	if ld != nil && ld.term.Token == rq.Term {
		if rq.Later > rq.Term && ld.term.SinceRenewal() < math.MaxInt64 {
			ld.term.StepDown("a later planner asks about leases")
		}
		return leases.Report{}, unavailable("the term has not ended")
	}
	now := pl.opts.Clock.Now()
	report := leases.Report{Uptime: now.Sub(pl.startedAt)}
	switch {
	case ended != nil && ended.token == rq.Term:
		report.Led, report.AllExpired, report.Held = true, ended.allExpired.Sub(now), ended.held
		report.Unreachable = make(map[incarnation.ID]time.Duration, len(ended.unreachable))
		for id, end := range ended.unreachable {
			report.Unreachable[id] = end.Sub(now)
		}
	case ended != nil && ended.token > rq.Term || ld != nil && ld.term.Token > rq.Later:
		return leases.Report{}, unavailable("the node has led a later term")
	default:
		pl.disclaimed = max(pl.disclaimed, rq.Term)
	}
	return report, nil
}
