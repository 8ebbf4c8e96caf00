package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
)

// phaseWait is how long a request for the phase of a running job may wait for the job's end. Callers ask when the last
// task has ended, which the planner learns some ms later and may report only when it is in the journal; an earlier
// answer costs them another quarter of a second. It is half of the time after which a call between nodes counts as
// overdue.
const phaseWait = 150 * time.Millisecond

// awaitPhase returns a job's phase. While the job is running it waits up to phaseWait for the job's end.
func (ld *leader) awaitPhase(ctx context.Context, id, workspace string) (cell.Phase, error) {
	over := ld.clock.NewTimer(phaseWait)
	defer over.Stop()
	for {
		phase, committed, err := ld.phase(id, workspace)
		if err != nil || phase != cell.Running {
			return phase, err
		}
		select {
		case <-committed:
		case <-over.Chan():
			return phase, nil
		case <-ctx.Done():
			return phase, nil
		case <-ld.ctx.Done():
			return phase, nil
		}
	}
}

// phase returns a job's phase, and a channel that is closed by the next write of records.
func (ld *leader) phase(id, workspace string) (cell.Phase, <-chan struct{}, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if err := ld.checkReady(); err != nil {
		return "", nil, err
	}
	phase, ok := ld.cell.Phase(id, workspace)
	if !ok {
		if err := ld.checkJournalAge(); err != nil {
			return "", nil, err
		}
		return "", nil, fault.New(fault.NotFound, "job %s is not known", id)
	}
	return phase, ld.committed, nil
}
