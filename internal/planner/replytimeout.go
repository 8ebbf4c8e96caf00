package planner

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
)

// Limits of the wait for the answer to a start.
const (
	// minReplyTimeout is twice the slowest of 1,000 answers (23 ms), and a tenth of the half second that urgent jobs
	// have to spare. Too short a timeout costs only another call.
	minReplyTimeout = 50 * time.Millisecond
	// maxStartAttempts is how often a start is sent before a report must show its outcome. If one order in twenty is
	// lost, one start in 8,000 remains unanswered.
	maxStartAttempts = 3
	// maxReplyTimeout is more than the time of a retransmission on a lossy link.
	maxReplyTimeout = 800 * time.Millisecond
	// replyTimeoutFactor is the ratio of the timeout to the average time of an answer.
	replyTimeoutFactor = 8
)

// replyTimeout is an adaptive timeout for the answer to a start. It follows the recent answer times: on a slow node or
// link all answers are late, and giving up early would undo a start that succeeded.
type replyTimeout struct {
	mu      sync.Mutex
	average time.Duration
}

// record updates the average with the time of an answer, or of a wait that timed out.
func (rt *replyTimeout) record(took time.Duration) {
	const weight = 16
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.average += (took - rt.average) / weight
}

// next returns the timeout for the next answer.
func (rt *replyTimeout) next() time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return min(max(replyTimeoutFactor*rt.average, minReplyTimeout), maxReplyTimeout)
}

// retry sends a start until it is answered, up to maxStartAttempts times, as long as it may be sent. A worker that
// already has the run answers that it is running, and an attempt that arrives after the run's end has no effect.
// Without a retry, an unanswered start could only be stopped, and begun elsewhere 0.75 s later, when the worker could
// no longer have it. After an unanswered attempt, a refusal does not prove that the run never began.
func (rt *replyTimeout) retry(may func() bool, send func(wait time.Duration) (cell.Refusal, error)) (cell.Refusal, error) {
	refusal, err := send(rt.next())
	for try := 1; try < maxStartAttempts && errors.Is(err, agent.ErrNoAnswer) && may(); try++ {
		if refusal, err = send(rt.next()); err == nil && refusal != "" {
			return "", errors.Wrapf(agent.ErrNoAnswer, "refused as %s after an unanswered attempt", refusal)
		}
	}
	return refusal, err
}
