// Package quota tracks the resources that the workspaces of a cell use, against their limits.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// Tracker holds the settings and the usage of each workspace. It is not safe for concurrent use.
type Tracker struct {
	rows map[string]*row
}

type row struct {
	work.Workspace
	// due is when all jobs submitted so far would have arrived at the rate that the weight guarantees.
	due time.Duration
	// used is what runs or may run; unreported is what may run in addition on workers that have not reported.
	used, unreported size.Size
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{rows: map[string]*row{}} }

// Set applies the settings of a workspace, unless it has later ones.
func (tr *Tracker) Set(ws work.Workspace) {
	if ws.Name != "" {
		rw := tr.row(ws.Name)
		rw.Workspace = rw.Workspace.Later(ws)
	}
}

// Update applies the current settings to all known workspaces. A workspace that was removed from the
// configuration keeps its settings, since its jobs keep running.
func (tr *Tracker) Update(settings func(name string) (work.Workspace, bool)) {
	for name := range tr.rows {
		if ws, ok := settings(name); ok {
			tr.Set(ws)
		}
	}
}

func (tr *Tracker) row(name string) *row {
	rw, ok := tr.rows[name]
	if !ok {
		rw = &row{Workspace: work.Workspace{Name: name}}
		tr.rows[name] = rw
	}
	return rw
}

// Add adds to what a workspace has running; Sub subtracts what has ended.
func (tr *Tracker) Add(name string, amount size.Size) {
	if name != "" {
		rw := tr.row(name)
		rw.used = rw.used.Add(amount)
	}
}

// Sub subtracts what has ended from what a workspace has running.
func (tr *Tracker) Sub(name string, amount size.Size) {
	if name != "" {
		rw := tr.row(name)
		rw.used = rw.used.Sub(amount)
	}
}

// SetUnreported replaces, by workspace, what may run in addition: after a change of planner, what workers
// may run that have not reported yet.
func (tr *Tracker) SetUnreported(amounts map[string]size.Size) {
	for name, rw := range tr.rows {
		rw.unreported = amounts[name]
	}
}

// Headroom returns how many more tasks of a size a workspace may have running.
func (tr *Tracker) Headroom(name string, need size.Size) int {
	rw, ok := tr.rows[name]
	if !ok || rw.Limit.IsZero() {
		return math.MaxInt
	}
	count := int64(math.MaxInt)
	for d, limit := range rw.Limit {
		if limit > 0 && need[d] > 0 {
			count = min(count, max(limit-rw.used[d]-rw.unreported[d], 0)/need[d])
		}
	}
	return int(count)
}

// Usage is what one workspace has running, for logs and metrics.
type Usage struct {
	Workspace work.Workspace
	// Running is what runs or may run; Unreported is what may run in addition on workers that have not reported.
	Running, Unreported size.Size
}

// burst limits how much unused rate a workspace can accumulate.
const burst = time.Second

// WithinRate records that a job of a workspace arrived, and reports whether it is within the rate that the
// workspace is guaranteed: as many jobs per second as its weight. Without a weight every job is.
func (tr *Tracker) WithinRate(name string, arrived time.Duration) bool {
	rw, ok := tr.rows[name]
	if !ok || rw.Weight <= 0 {
		return true
	}
	due := max(rw.due, arrived-burst)
	if due > arrived {
		return false
	}
	rw.due = due + time.Duration(float64(time.Second)/rw.Weight)
	return true
}

// Usages returns the usage of all workspaces, sorted by name.
func (tr *Tracker) Usages() []Usage {
	var list []Usage
	for _, name := range slices.Sorted(maps.Keys(tr.rows)) {
		rw := tr.rows[name]
		list = append(list, Usage{rw.Workspace, rw.used, rw.unreported})
	}
	return list
}

// Usage returns the usage of one workspace.
func (tr *Tracker) Usage(name string) Usage {
	rw, ok := tr.rows[name]
	if !ok {
		return Usage{}
	}
	return Usage{rw.Workspace, rw.used, rw.unreported}
}
