package planner

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
)

// Bounds of the wait for the answer to a start.
const (
	// leastPatience is twice the slowest answer of 1,000, 23 ms, and a tenth of the half second
	// that urgent jobs have to spare. Too short a wait costs a call more.
	leastPatience = 50 * time.Millisecond
	// startTries is how often a start is sent before a report must tell what became of it: of
	// one order in twenty lost, one start in 8,000 is without an answer then.
	startTries = 3
	// mostPatience is more than a retransmission on a lossy link takes.
	mostPatience = 800 * time.Millisecond
	// patienceFactor is how far an answer may be beyond the usual time.
	patienceFactor = 8
)

// patience is how long the answer to a start is waited for: as long as answers take of
// late, since on a slow node or link all of them are late, and a stop too early undoes
// a start that was good.
type patience struct {
	mu    sync.Mutex
	usual time.Duration
}

// note takes in how long an answer took, or a wait that was given up.
func (pt *patience) note(took time.Duration) {
	const weight = 16
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.usual += (took - pt.usual) / weight
}

// wait returns how long to wait for the next answer.
func (pt *patience) wait() time.Duration {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return min(max(patienceFactor*pt.usual, leastPatience), mostPatience)
}

// repeat sends a start until it is answered, a few times at most, while it may be sent: a
// worker that has the run already says that it runs, and a try that arrives after the run has
// ended does nothing. A start that was not answered could only be stopped, and begun elsewhere
// when the worker no longer could have it, 0.75 s later.
// After a try without an answer a refusal does not tell that the run never was there.
func (pt *patience) repeat(may func() bool, send func(wait time.Duration) (cell.Refusal, error)) (cell.Refusal, error) {
	refusal, err := send(pt.wait())
	for try := 1; try < startTries && errors.Is(err, agent.ErrNoAnswer) && may(); try++ {
		if refusal, err = send(pt.wait()); err == nil && refusal != "" {
			return "", errors.Wrapf(agent.ErrNoAnswer, "refused as %s after a try without an answer", refusal)
		}
	}
	return refusal, err
}
