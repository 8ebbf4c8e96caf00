package planner

import (
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/agent"
)

// A worker rejects orders whose fencing token is lower than one that it has seen. Each session with a worker has a
// higher token than the session before, and takes a higher one after an acknowledgement without an answer. So the first
// hold that reaches a new incarnation of the worker makes it reject all orders that were meant for the previous
// incarnation and are still under way, although both have the same id.

// tokenBits is the number of low bits of a token that count the tokens for a worker in a term. The term's number is
// above them, so that every token of the next term is higher.
const tokenBits = 16

// maxTokens is the maximum number of tokens for one worker in a term.
const maxTokens = 1<<tokenBits - 1

// nextToken returns a token that is higher than all earlier ones for a worker.
func (ld *leader) nextToken(id string) uint64 {
	count := ld.tokenCounts[id]
	if count == maxTokens {
		ld.term.StepDown("worker " + id + " has used up the fencing tokens of the term")
	}
	ld.tokenCounts[id] = min(count+1, maxTokens)
	return ld.term.Token<<tokenBits | count
}

// handleFenced reports whether err is agent.ErrFenced. It ends the term if the worker rejected the call with the given
// token because of another planner's token, rather than because of a later one of this planner.
func (se *session) handleFenced(token uint64, err error) bool {
	if !errors.Is(err, agent.ErrFenced) {
		return false
	}
	ld := se.leader
	ld.mu.Lock()
	overtaken := se.ended || token < se.token
	ld.mu.Unlock()
	if !overtaken {
		ld.term.StepDown("worker " + string(se.incarnation) + " has seen the token of a later planner")
	}
	return true
}
