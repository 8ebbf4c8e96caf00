package planner

import (
	"context"

	"tackbeam.example/tackbeam/internal/loop"
)

// settle waits for ends to gather, and for the journal to have those reported.
func (se *session) settle(ctx context.Context) {
	ld := se.lead
	if !loop.Pause(ctx, ld.clock, holdGap) {
		return
	}
	late := ld.clock.NewTimer(noteMost)
	defer late.Stop()
	for {
		waits, committed := se.unnoted()
		if !waits {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-late.Chan():
			return
		case <-committed:
		}
	}
}

// unnoted reports whether the journal lacks ends of the last report, and returns what is closed
// with its next write: looking again and again would cost most while the store is silent.
func (se *session) unnoted() (waits bool, committed <-chan struct{}) {
	ld := se.lead
	ld.mu.Lock()
	defer ld.mu.Unlock()
	_, waits = ld.cell.AckedEnd(se.life)
	return waits, ld.committed
}
