package planner

import (
	"time"

	"tackbeam.example/policy/admission"
	"tackbeam.example/policy/fairshare"

	"tackbeam.example/tackbeam/internal/joblog"
)

// firstReport is how long a planner plans before it reports at the latest: until nodes know that it does, they accept
// only a bounded number of jobs. Before that it has measured no rate.
const firstReport = 2 * time.Second

// admissionReport is what a planner that admits jobs by capacity has reported in its term.
type admissionReport struct {
	// planningSince is when the planner could first plan, 0 before.
	planningSince time.Duration
	// sentAt is when a report was last sent to the store. sending is set while it has no outcome, so that an earlier
	// report cannot replace a later one.
	sentAt  time.Duration
	sending bool
	// written is set once the store has a report of the term, behind if the last one there names a backlog or shares.
	written, behind bool
	// limited is set while the last decision named shares.
	limited bool
	// maxRate is the highest rate of starts per second in the term.
	maxRate int
}

// reportAdmission writes the planner's backlog and what it admits to the store, where all nodes see it. The caller
// holds the lock.
func (ld *leader) reportAdmission(now time.Duration) {
	ar := &ld.admission
	if ar.planningSince == 0 && ld.canPlan() {
		ar.planningSince = now
	}
	rate := ar.startRate(ld.cell.StartRate(now))
	shares := ld.cell.AdmittedShares(now)
	ld.logAdmission(shares)
	first := !ar.written && ar.planningSince > 0 && now-ar.planningSince >= firstReport
	if now-ar.sentAt < fairshare.Interval || ar.sending || !ld.term.LeaseHeld() {
		return
	}
	urgent, all := ld.cell.Backlog(now)
	ld.metrics.gauge("planner.backlog_ms", int(all.Milliseconds()))
	backlog := urgent >= minUrgentBacklog || all >= minTotalBacklog
	behind := backlog || len(shares) > 0
	if !behind && !ar.behind && !first {
		return
	}
	if backlog && now-ld.backlogReported >= backlogInterval {
		ld.backlogReported = now
		ld.log.Info("Planner has a backlog.", "urgent", urgent.String(), "all", all.String())
	}
	ar.sentAt, ar.sending = now, true
	size := joblog.BacklogSize{Urgent: urgent, Total: all, Term: ld.term.Token, StartRate: rate}
	for _, sh := range shares[:min(len(shares), joblog.MaxShares)] {
		size.Shares = append(size.Shares, joblog.AdmittedShare{
			Service: sh.Service, Workspace: sh.Workspace, Admitted: sh.Admitted, Wait: sh.Wait, Drain: sh.Drain,
		})
	}
	ld.spawn(func() {
		ok := ld.writeBacklog(size)
		ld.mu.Lock()
		defer ld.mu.Unlock()
		ar.sending = false
		if ok {
			ar.written, ar.behind = true, behind
		}
	})
}

// startRate returns the rate of starts to report: what the planner sustains while starts wait for it. A lower rate
// shows only how much there was to start, unless it is more than nodes assume anyway.
func (ar *admissionReport) startRate(rate int, limited bool) int {
	ar.maxRate = max(ar.maxRate, rate)
	switch {
	case limited:
		return rate
	case ar.maxRate > admission.DefaultStartRate:
		return ar.maxRate
	}
	return 0
}

// logAdmission logs when the planner begins and ceases to limit what is admitted, and sets the metric of the lowest
// share. The caller holds the lock.
func (ld *leader) logAdmission(shares []fairshare.Share) {
	const percent = 100
	lowest := 1.0
	if len(shares) > 0 {
		lowest = shares[0].Admitted
	}
	ld.metrics.gauge("planner.admitted_share_pct", int(percent*lowest))
	limited := len(shares) > 0
	if limited == ld.admission.limited {
		return
	}
	ld.admission.limited = limited
	if !limited {
		ld.log.Info("All urgent work is admitted again.")
		return
	}
	ld.log.Info("Urgent work is admitted by capacity.", "workspaces", len(shares), "service", shares[0].Service,
		"lowest", shares[0].Workspace, "share", lowest, "wait", shares[0].Wait.String())
}
