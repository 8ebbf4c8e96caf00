package speed

import (
	"time"

	"tackbeam.example/policy/incarnation"
)

const (
	// maxGroup is how many run times of a step are kept: a step may have thousands of tasks, and the median of 32 is
	// exact to a few percent.
	maxGroup = 32
	// maxUnfinishedShare is the share of a step's tasks, relative to those that have ended, below which they are
	// compared. Tasks on fast workers end first, so that fewer would be compared with fast workers only; with all of
	// them, a step would wait for the task that takes seven times as long.
	maxUnfinishedShare = 1.0 / 3
)

// Group is the run times of the tasks of one step, which the caller expects to take equally long. The zero value is an
// empty group.
type Group struct {
	runs []run
	// ended counts the runs that were added, including those that are not kept.
	ended int
	// compared is set once the runs were compared.
	compared bool
}

// run is the run of one task.
type run struct {
	worker   incarnation.ID
	logTook  float64
	observed bool
}

// Add adds the run time of a task. Call Model.Observe next.
func (gp *Group) Add(id incarnation.ID, took time.Duration) {
	rn := run{worker: id, logTook: logOf(took)}
	switch {
	case len(gp.runs) < maxGroup:
		gp.runs = append(gp.runs, rn)
	case gp.compared:
		gp.runs[maxGroup-1] = rn // the others are the reference
	default:
		gp.runs[gp.ended%maxGroup] = rn // the first to end are those on fast workers
	}
	gp.ended++
}

// comparable reports whether enough tasks of the step have ended to compare them.
func (gp *Group) comparable(unfinished int) bool {
	return float64(unfinished) <= maxUnfinishedShare*float64(gp.ended)
}

// markObserved records that the runs were compared.
func (gp *Group) markObserved() {
	gp.compared = true
	for at := range gp.runs {
		gp.runs[at].observed = true
	}
}
