// Package quota keeps what the workspaces of a cell have running within their limits.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// Tracker holds the settings and the use of each workspace. It is not safe for concurrent use.
type Tracker struct {
	rows map[string]*row
}

type row struct {
	work.Workspace
	// due is when all that was sent up to now would have come at the rate of the weight.
	due time.Duration
	// used is what is running or may be, doubt what may be running besides, of which nobody knows where.
	used, doubt size.Size
}

// New returns an empty book.
func New() *Tracker { return &Tracker{rows: map[string]*row{}} }

// Set takes in the settings of a workspace, unless later ones are known.
func (bk *Tracker) Set(ws work.Workspace) {
	if ws.Name != "" {
		rw := bk.row(ws.Name)
		rw.Workspace = rw.Workspace.Later(ws)
	}
}

// Update takes in the present settings of all known workspaces. One that the configuration lacks keeps
// the settings that it has, since its jobs run on.
func (bk *Tracker) Update(settings func(name string) (work.Workspace, bool)) {
	for name := range bk.rows {
		if ws, ok := settings(name); ok {
			bk.Set(ws)
		}
	}
}

func (bk *Tracker) row(name string) *row {
	rw, ok := bk.rows[name]
	if !ok {
		rw = &row{Workspace: work.Workspace{Name: name}}
		bk.rows[name] = rw
	}
	return rw
}

// Add adds to what a workspace has running; what ends is added with Sub.
func (bk *Tracker) Add(name string, amount size.Size) {
	if name != "" {
		rw := bk.row(name)
		rw.used = rw.used.Add(amount)
	}
}

// Sub takes what has ended off a workspace.
func (bk *Tracker) Sub(name string, amount size.Size) {
	if name != "" {
		rw := bk.row(name)
		rw.used = rw.used.Sub(amount)
	}
}

// SetUnreported replaces what may be running besides, by workspace: after a change of planner, what workers
// hold that have not reported yet.
func (bk *Tracker) SetUnreported(doubts map[string]size.Size) {
	for name, rw := range bk.rows {
		rw.doubt = doubts[name]
	}
}

// Headroom returns how many more tasks of a size a workspace may have running.
func (bk *Tracker) Headroom(name string, need size.Size) int {
	rw, ok := bk.rows[name]
	if !ok || rw.Limit.IsZero() {
		return math.MaxInt
	}
	count := int64(math.MaxInt)
	for d, most := range rw.Limit {
		if most > 0 && need[d] > 0 {
			count = min(count, max(most-rw.used[d]-rw.doubt[d], 0)/need[d])
		}
	}
	return int(count)
}

// Usage is what one workspace has running, for people and measures.
type Usage struct {
	Workspace work.Workspace
	// Running is what runs or may run, Doubt what may run besides of which nobody knows where.
	Running, Unreported size.Size
}

// burst is for how long a workspace may have sent nothing before that counts no more in its favour.
const burst = time.Second

// WithinRate takes in that a workspace's job came at a time, and reports whether it is within what the workspace is owed:
// as many jobs a second as its weight says. Without a weight all of them are.
func (bk *Tracker) WithinRate(name string, came time.Duration) bool {
	rw, ok := bk.rows[name]
	if !ok || rw.Weight <= 0 {
		return true
	}
	due := max(rw.due, came-burst)
	if due > came {
		return false
	}
	rw.due = due + time.Duration(float64(time.Second)/rw.Weight)
	return true
}

// Usages returns all workspaces by name.
func (bk *Tracker) Usages() []Usage {
	var list []Usage
	for _, name := range slices.Sorted(maps.Keys(bk.rows)) {
		rw := bk.rows[name]
		list = append(list, Usage{rw.Workspace, rw.used, rw.doubt})
	}
	return list
}

// Usage returns what one workspace has running.
func (bk *Tracker) Usage(name string) Usage {
	rw, ok := bk.rows[name]
	if !ok {
		return Usage{}
	}
	return Usage{rw.Workspace, rw.used, rw.doubt}
}
