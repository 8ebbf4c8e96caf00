package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"
)

// room is how many tasks a worker has room for, where a test says so.
type room struct {
	tasks int
	// counts is from when a start over it is one too many: who starts tasks must have heard.
	counts time.Time
}

// SetTaskCapacity lets a worker have room for a number of tasks. A start over it is trouble once a time
// has passed; the worker takes it all the same.
func (fl *Fleet) SetTaskCapacity(id string, tasks int, after time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.workers[id].room = room{tasks, fl.clock.Now().Add(after)}
}

// checkRoom looks whether a start goes over the worker's room.
func (fl *Fleet) checkRoom(wk *worker, sr cell.Start) {
	if wk.room.tasks == 0 || fl.clock.Now().Before(wk.room.counts) {
		return
	}
	if len(wk.runs) >= wk.room.tasks {
		fl.trouble = append(fl.trouble, sr.Task.String()+" starts on "+wk.id+" over its room")
	}
}
