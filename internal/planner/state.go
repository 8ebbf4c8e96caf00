package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
)

// stateWait is how long a question for a job's state may wait for the end of a job that runs. Callers ask when
// the last task has ended, which the planner learns some ms later and may tell once the journal has it: an
// answer before that sends them away for another quarter of a second. It is half of the time after which a
// call between nodes counts as overdue.
const stateWait = 150 * time.Millisecond

// awaitState returns a job's phase; while the job runs, it waits for the end for a while.
func (ld *lead) awaitState(ctx context.Context, id, workspace string) (cell.Phase, error) {
	over := ld.clock.NewTimer(stateWait)
	defer over.Stop()
	for {
		phase, committed, err := ld.state(id, workspace)
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

// state returns a job's phase, and what is closed with the next write of records.
func (ld *lead) state(id, workspace string) (cell.Phase, <-chan struct{}, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if err := ld.answers(); err != nil {
		return "", nil, err
	}
	phase, ok := ld.cell.Phase(id, workspace)
	if !ok {
		if err := ld.fresh(); err != nil {
			return "", nil, err
		}
		return "", nil, fault.New(fault.NotFound, "job %s is not known", id)
	}
	return phase, ld.committed, nil
}
