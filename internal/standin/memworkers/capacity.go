package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"
)

// taskCapacity is the number of tasks that a worker may run concurrently; 0 means any number.
type taskCapacity struct {
	tasks int
	// enforcedFrom is the time from which a start over the capacity is a violation. Until then, a scheduler may not
	// have learned of the capacity.
	enforcedFrom time.Time
}

// SetTaskCapacity sets the number of tasks that a worker may run concurrently. A start over it is a violation once the
// given time has passed, but the worker executes it.
func (fl *Fleet) SetTaskCapacity(id string, tasks int, after time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.workers[id].capacity = taskCapacity{tasks, fl.clock.Now().Add(after)}
}

// checkCapacity records a violation if a start exceeds the worker's capacity.
func (fl *Fleet) checkCapacity(wk *worker, sr cell.Start) {
	if wk.capacity.tasks == 0 || fl.clock.Now().Before(wk.capacity.enforcedFrom) {
		return
	}
	if len(wk.runs) >= wk.capacity.tasks {
		fl.violations = append(fl.violations, sr.Task.String()+" starts on "+wk.id+" over its capacity")
	}
}
