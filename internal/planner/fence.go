package planner

import (
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/agent"
)

// A worker rejects orders whose fencing token is lower than one that it has seen. Each session with a worker has a
// higher token than the session before. So the first hold that reaches a new incarnation of the worker makes it reject
// all orders that were meant for the previous incarnation and are still under way, although both have the same id.

// sessionBits is the number of low bits of a token that count the sessions with a worker in a term. The term's number
// is above them, so that every token of the next term is higher.
const sessionBits = 16

// maxSessions is the maximum number of sessions with one worker in a term.
const maxSessions = 1<<sessionBits - 1

// nextToken returns the token of the next session with a worker.
func (ld *leader) nextToken(id string) uint64 {
	count := ld.sessionCounts[id]
	if count == maxSessions {
		ld.reign.StepDown("worker " + id + " has restarted too often in one term")
	}
	ld.sessionCounts[id] = min(count+1, maxSessions)
	return ld.reign.Token<<sessionBits | count
}

// handleFenced reports whether err is agent.ErrFenced. It ends the term if the worker rejected the call because of
// another planner's token, rather than because of a later session of this planner.
func (se *session) handleFenced(err error) bool {
	if !errors.Is(err, agent.ErrFenced) {
		return false
	}
	ld := se.leader
	ld.mu.Lock()
	ended := se.ended
	ld.mu.Unlock()
	if !ended {
		ld.reign.StepDown("worker " + string(se.incarnation) + " has seen the token of a later planner")
	}
	return true
}
