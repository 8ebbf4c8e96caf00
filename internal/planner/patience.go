package planner

import (
	"sync"
	"time"
)

// Bounds of the wait for the answer to a start.
const (
	// leastPatience is far above the few ms of an answer, and some of the half second
	// that urgent jobs have to spare.
	leastPatience = 200 * time.Millisecond
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
