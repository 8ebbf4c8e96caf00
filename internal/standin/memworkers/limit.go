package memworkers

import (
	"fmt"
	"time"

	"tackbeam.example/policy/cell"
)

// Limit bounds the number of tasks of a group of jobs that run concurrently, over all workers.
type Limit struct {
	// GroupOf returns the group of a job; jobs of the empty group have no limit.
	GroupOf func(job string) string
	// MaxTasks is the limit of each group.
	MaxTasks map[string]int
	// EnforcedFrom is the time from which a start over a limit is a violation. Until then, a scheduler may not have
	// learned of the limit.
	EnforcedFrom time.Time
}

// SetLimit replaces the limits. A start over a limit is a violation, but the worker executes it.
func (fl *Fleet) SetLimit(limit Limit) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.limit = limit
}

// checkLimit records a violation if a start exceeds the limit of its group. The worker's runs already include the
// start.
func (fl *Fleet) checkLimit(sr cell.Start) {
	if fl.limit.GroupOf == nil || fl.clock.Now().Before(fl.limit.EnforcedFrom) {
		return
	}
	group := fl.limit.GroupOf(sr.Task.Job)
	limit, limited := fl.limit.MaxTasks[group]
	if !limited {
		return
	}
	count := 0
	for _, wk := range fl.workers {
		fl.advance(wk)
		for task := range wk.runs {
			if fl.limit.GroupOf(task.Job) == group {
				count++
			}
		}
	}
	if count > limit {
		fl.violations = append(fl.violations, fmt.Sprintf("%s starts as one of %d running tasks of group %s, whose limit is %d", sr.Task, count, group, limit))
	}
}
