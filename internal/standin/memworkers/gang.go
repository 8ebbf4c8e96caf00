package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"
)

// gangKey identifies one run of a gang: its first task and the run's number.
type gangKey struct {
	first work.Task
	run   int
}

// gang is one run of a gang. Its members work from the moment when all of them are there, and end together.
type gang struct {
	members map[work.Task]*worker
	// begunAt is when all members were there.
	begunAt time.Time
	// over is set once a member has ended.
	over bool
}

// defaultGangTimeout is how long the members of a gang wait for the others unless SetGangTimeout was called.
const defaultGangTimeout = 3 * time.Second

// SetGangTimeout sets how long the members of a gang wait for the others before they end.
func (fl *Fleet) SetGangTimeout(timeout time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.gangTimeout = timeout
}

// joinGang adds the run of a start to its gang, and begins the work of the gang if all members are there.
func (fl *Fleet) joinGang(wk *worker, sr cell.Start, behavior Behavior) {
	ky := gangKey{sr.Task, sr.Run}
	ky.first.Index = 0
	gg := fl.gangs[ky]
	if gg == nil || gg.over {
		gg = &gang{members: map[work.Task]*worker{}}
		fl.gangs[ky] = gg
	}
	gg.members[sr.Task] = wk
	rn := wk.runs[sr.Task]
	rn.gang = gg
	wk.runs[sr.Task] = rn
	if len(gg.members) < behavior.Gang {
		fl.clock.AfterFunc(fl.gangTimeout, func() { fl.endAlone(wk, gg, sr) })
		return
	}
	gg.begunAt = fl.clock.Now()
	result := cell.ResultDone
	if behavior.Fails {
		result = cell.ResultFailed
	}
	fl.clock.AfterFunc(behavior.Takes, func() { fl.finishGang(gg, sr.Task, result) })
}

// endAlone ends a member whose gang has not begun.
func (fl *Fleet) endAlone(wk *worker, gg *gang, sr cell.Start) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.advance(wk)
	if rn, found := wk.runs[sr.Task]; found && rn.gang == gg && gg.begunAt.IsZero() && !rn.stopping {
		fl.end(wk, sr.Task, cell.ResultAlone)
	}
}

// finishGang ends all members of a gang as done, or one as failed, unless one has ended or is being stopped.
func (fl *Fleet) finishGang(gg *gang, last work.Task, result cell.Result) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, wk := range gg.members {
		fl.advance(wk) // its lease may have expired
	}
	for name, wk := range gg.members {
		if rn, found := wk.runs[name]; gg.over || !found || rn.stopping {
			return
		}
	}
	if result != cell.ResultDone {
		fl.end(gg.members[last], last, result)
		return
	}
	gg.over = true
	for name, wk := range gg.members {
		fl.end(wk, name, cell.ResultDone)
	}
}

// breakGang ends the other members after one has ended.
func (fl *Fleet) breakGang(gg *gang) {
	if gg == nil || gg.over {
		return
	}
	gg.over = true
	for name, wk := range gg.members {
		if rn, found := wk.runs[name]; found && rn.gang == gg {
			fl.end(wk, name, cell.ResultBroken)
		}
	}
}

// workedFor returns for how long a run has worked.
func (fl *Fleet) workedFor(rn run) time.Duration {
	worked := fl.sinceBegun(rn)
	if rn.hangsAfter > 0 {
		return min(worked, rn.hangsAfter)
	}
	return worked
}

// sinceBegun returns the time since a run began to work, 0 if it has not.
func (fl *Fleet) sinceBegun(rn run) time.Duration {
	switch {
	case rn.gang == nil:
		return fl.clock.Since(rn.startedAt)
	case rn.gang.begunAt.IsZero():
		return 0
	}
	return fl.clock.Since(rn.gang.begunAt)
}
