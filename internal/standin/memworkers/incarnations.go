package memworkers

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
)

// ErrConnectionClosed means that a call used a connection that was closed when an earlier incarnation of the worker
// ended.
var ErrConnectionClosed = errors.Wrap(agent.ErrNoAnswer, "connections to the worker are closed")

// Add adds a worker, or restarts one under the same id. The new incarnation has no state of earlier ones.
func (fl *Fleet) Add(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := &worker{
		id: id, startedAt: fl.clock.Now(), clockRate: 1, runs: map[work.Task]run{}, fenced: map[work.Task]int{}, endedAt: map[int]time.Time{}, gangEnds: map[int]*gang{},
		sessions: map[uint64]bool{}, closedSessions: map[uint64]bool{},
	}
	if earlier := fl.workers[id]; earlier != nil {
		fl.endIncarnation(earlier)
		wk.closedSessions = earlier.closedSessions
		maps.Copy(wk.closedSessions, earlier.sessions) // also those that met an earlier restart
	}
	fl.workers[id] = wk
	fl.log.Info("Incarnation begins.", "worker", id, "born", wk.born())
}

// born returns the start time of the incarnation in milliseconds since 1970.
func (wk *worker) born() int64 { return wk.startedAt.UnixMilli() }

// Kill ends a worker's incarnation and all its runs. Until the worker is added again, its address does not answer;
// calls that are in flight then may reach the next incarnation.
func (fl *Fleet) Kill(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.endIncarnation(fl.workers[id])
}

// endIncarnation ends a worker's incarnation. The caller holds the lock.
func (fl *Fleet) endIncarnation(wk *worker) {
	wk.state = crashed
	fl.log.Info("Incarnation is over.", "worker", wk.id, "born", wk.born(), "runs", len(wk.runs), "ends", len(wk.ends))
	for name := range wk.runs {
		fl.lostRuns[name.Job]++
	}
	for _, en := range wk.ends { // some of these ends have not been reported
		fl.lostRuns[en.Task.Job]++
	}
	runs := wk.runs
	wk.runs, wk.ends = map[work.Task]run{}, nil
	for _, rn := range runs {
		fl.breakGang(rn.gang)
	}
	fl.wakeHolds()
}

// LostRuns returns how many runs of a job were lost because an incarnation ended during the run or before the start
// arrived.
func (fl *Fleet) LostRuns(job string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.lostRuns[job]
}

// StartedAt returns the start time of a worker's current incarnation, in milliseconds since 1970.
func (fl *Fleet) StartedAt(id string) int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.workers[id].born()
}

// admit accepts a call of a session unless the session's connection is closed or its fencing token is too low.
func (wk *worker) admit(token uint64) error {
	closed, earlier := wk.closedSessions[token]
	if closed && !wk.executingDelayed {
		wk.closedSessions[token] = false
		return ErrConnectionClosed
	}
	wk.sessions[token] = true
	wk.contacted = wk.contacted || !earlier && !wk.executingDelayed
	if token < wk.token {
		return agent.ErrFenced
	}
	wk.token = token
	return nil
}

// countLostStart counts a start that failed because an incarnation had ended.
func (fl *Fleet) countLostStart(sr cell.Start) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.lostRuns[sr.Task.Job]++
}
