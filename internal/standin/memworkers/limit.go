package memworkers

import (
	"fmt"
	"time"

	"tackbeam.example/policy/cell"
)

// Limit is how many tasks of a group of jobs may run at a time on all workers together.
type Limit struct {
	// GroupOf names the group of a job; jobs of the empty group have no limit.
	GroupOf func(job string) string
	// MaxTasks is the limit of each group.
	MaxTasks map[string]int
	// EnforcedFrom is when a start over a limit is one too many: who starts tasks must have heard.
	EnforcedFrom time.Time
}

// SetLimit sets the limits from now on. A start over one is trouble; the worker takes it all the same.
func (fl *Fleet) SetLimit(limit Limit) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.limit = limit
}

// checkLimit looks whether a start, which is among the runs of its worker already, lifts its group past the
// limit.
func (fl *Fleet) checkLimit(sr cell.Start) {
	if fl.limit.GroupOf == nil || fl.clock.Now().Before(fl.limit.EnforcedFrom) {
		return
	}
	group := fl.limit.GroupOf(sr.Task.Job)
	most, limited := fl.limit.MaxTasks[group]
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
	if count > most {
		fl.trouble = append(fl.trouble, fmt.Sprintf("%s starts as one of %d tasks of %s, of which %d may run", sr.Task, count, group, most))
	}
}
