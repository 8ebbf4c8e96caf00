package planner

import (
	"context"

	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/agent"
)

// ask has a worker report at once.
func (ld *lead) ask(id incarnation.ID) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if se, ok := ld.sessions[id]; ok {
		se.ask()
	}
}

// ask has the worker report at once, beside the hold that waits: its answer may be on
// the way, with ends that a worker that leaves cannot report again. The caller holds
// the lock.
func (se *session) ask() {
	if se.looking || se.ended || !se.answered {
		return
	}
	se.looking = true
	go se.look() // bounded by its call; nobody waits for it
}

// look asks for one report.
func (se *session) look() {
	ld := se.lead
	ld.mu.Lock()
	hold := agent.Hold{Token: se.token, Acked: se.noted()}
	ld.mu.Unlock()
	ctx, cancel := context.WithTimeout(ld.ctx, holdSlack)
	defer cancel()
	sent := ld.now()
	report, err := ld.parts.Agents.Hold(ctx, se.target(), hold)
	ld.mu.Lock()
	se.looking = false
	ld.mu.Unlock()
	if err != nil {
		return // the session's own holds draw the consequences
	}
	se.take(sent, report)
}
