package planner

import (
	"context"

	"tackbeam.example/tackbeam/internal/loop"
)

// awaitCommit waits for further ends to accumulate, and until the journal has those that were reported.
func (se *session) awaitCommit(ctx context.Context) {
	ld := se.leader
	if !loop.Sleep(ctx, ld.clock, se.pause()) {
		return
	}
	waits, committed := se.uncommittedEnds()
	if !waits {
		return
	}
	late := ld.clock.NewTimer(maxCommitWait)
	defer late.Stop()
	for ; waits; waits, committed = se.uncommittedEnds() {
		select {
		case <-ctx.Done():
			return
		case <-late.Chan():
			return
		case <-committed:
		}
	}
}

// uncommittedEnds reports whether the journal lacks ends of the last report, and returns a channel that is closed by
// the next write. A channel avoids polling, which would be most expensive while the store does not answer.
func (se *session) uncommittedEnds() (waits bool, committed <-chan struct{}) {
	ld := se.leader
	ld.mu.Lock()
	defer ld.mu.Unlock()
	_, waits = ld.cell.AckedEnd(se.incarnation)
	return waits, ld.committed
}
