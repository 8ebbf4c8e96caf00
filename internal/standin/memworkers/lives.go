package memworkers

import (
	"maps"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
)

// ErrCut means that a call met a connection that had ended with an earlier life of its worker.
var ErrCut = errors.Wrap(agent.ErrNoAnswer, "the worker's connections ended")

// Add adds a worker, or begins another life of one that has ended, under the id that it had. It knows
// nothing of what was before.
func (fl *Fleet) Add(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := &worker{
		id: id, began: fl.clock.Now(), runs: map[work.Task]run{}, fenced: map[work.Task]int{},
		callers: map[uint64]bool{}, cut: map[uint64]bool{},
	}
	if earlier := fl.workers[id]; earlier != nil {
		fl.finish(earlier)
		wk.cut = earlier.cut
		maps.Copy(wk.cut, earlier.callers) // also of those that had met the end of one before
	}
	fl.workers[id] = wk
}

// End ends a worker's life with all that it runs. Until it is added again its address answers
// nobody; calls that are under way then may reach the next life.
func (fl *Fleet) End(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.finish(fl.workers[id])
}

// finish ends a life. The caller holds the lock.
func (fl *Fleet) finish(wk *worker) {
	wk.life = crashed
	for name := range wk.runs {
		fl.losses[name.Job]++
	}
	for _, en := range wk.ends { // nobody has read some of them
		fl.losses[en.Task.Job]++
	}
	wk.runs, wk.ends = map[work.Task]run{}, nil
	fl.wakeHolds()
}

// Losses returns how often a life ended under a task of a job, or before a start of it arrived.
func (fl *Fleet) Losses(job string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.losses[job]
}

// Born returns when a worker's present life began, in milliseconds since 1970.
func (fl *Fleet) Born(id string) int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.workers[id].began.UnixMilli()
}

// admit takes a call of a session in, unless its connection had ended or its token is too low.
func (wk *worker) admit(token uint64) error {
	broken, earlier := wk.cut[token]
	if broken && !wk.late {
		wk.cut[token] = false
		return ErrCut
	}
	wk.callers[token] = true
	wk.met = wk.met || !earlier && !wk.late
	if token < wk.token {
		return agent.ErrFenced
	}
	wk.token = token
	return nil
}

// lose counts a start that met the end of a life.
func (fl *Fleet) lose(sr cell.Start) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.losses[sr.Task.Job]++
}
