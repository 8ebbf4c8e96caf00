package planner

import (
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/agent"
)

// Workers do nothing for a token lower than one that they have seen. Each session with a worker has a higher
// one than the session before, so that the first report of a worker's next life bars, in that life, whatever
// was ordered of the earlier one and is still under way: the id that orders name is that of both.

// sessionBits is the part of a token that counts the sessions with a worker in a reign. The reign's number
// is above it, so that every token of the next reign is higher.
const sessionBits = 16

// mostSessions is how many sessions with a worker a reign may have.
const mostSessions = 1<<sessionBits - 1

// fence returns the token of the next session with a worker.
func (ld *lead) fence(id string) uint64 {
	count := ld.fences[id]
	if count == mostSessions {
		ld.reign.StepDown("worker " + id + " has begun again too often for one reign")
	}
	ld.fences[id] = min(count+1, mostSessions)
	return ld.reign.Token<<sessionBits | count
}

// fenced deposes the reign if another planner's token is why a worker did nothing, not that of a later
// session of this one.
func (se *session) fenced(err error) bool {
	if !errors.Is(err, agent.ErrFenced) {
		return false
	}
	ld := se.lead
	ld.mu.Lock()
	ended := se.ended
	ld.mu.Unlock()
	if !ended {
		ld.reign.StepDown("worker " + string(se.life) + " follows a later planner")
	}
	return true
}
