package memworkers

import (
	"fmt"
	"time"

	"tackbeam.example/policy/cell"
)

// Limit is how many tasks of a group of jobs may run at a time on all workers together.
type Limit struct {
	// Of names the group of a job; jobs of the empty group have no limit.
	Of func(job string) string
	// Most is the limit of each group.
	Most map[string]int
	// From is when a start over a limit is one too many: who starts tasks must have heard.
	From time.Time
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
	if fl.limit.Of == nil || fl.clock.Now().Before(fl.limit.From) {
		return
	}
	group := fl.limit.Of(sr.Task.Job)
	most, limited := fl.limit.Most[group]
	if !limited {
		return
	}
	count := 0
	for _, wk := range fl.workers {
		fl.advance(wk)
		for task := range wk.runs {
			if fl.limit.Of(task.Job) == group {
				count++
			}
		}
	}
	if count > most {
		fl.trouble = append(fl.trouble, fmt.Sprintf("%s starts as one of %d tasks of %s, of which %d may run", sr.Task, count, group, most))
	}
}
