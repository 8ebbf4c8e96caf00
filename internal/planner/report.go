package planner

import (
	"context"

	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
)

// requestReport asks a worker for a report at once.
func (ld *leader) requestReport(id incarnation.ID) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se, ok := ld.sessions[id]; ok {
		se.requestReport()
	}
}

// requestReport asks the worker for a report at once, in addition to the pending hold. The answer to that may be on the
// way, with ends that a leaving worker cannot report again. The caller holds the lock.
func (se *session) requestReport() {
	if se.requesting || se.ended || !se.answered {
		return
	}
	se.requesting = true
	go se.fetchReport() // bounded by the timeout of its call; nobody waits for it
}

// fetchReport asks for one report. It acknowledges no ends: it may be under way together with starts.
func (se *session) fetchReport() {
	ld := se.leader
	ld.mu.Lock()
	hold := agent.Hold{Token: se.token}
	ld.mu.Unlock()
	ctx, cancel := context.WithTimeout(ld.ctx, holdSlack)
	defer cancel()
	sent := ld.now()
	report, err := ld.opts.Agents.Hold(ctx, se.target(), hold)
	ld.mu.Lock()
	se.requesting = false
	ld.mu.Unlock()
	if err != nil {
		return // the session's own holds handle the failure
	}
	se.apply(sent, hold, report)
}
