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

// Book holds the settings and the use of each workspace. It is not safe for concurrent use.
type Book struct {
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
func New() *Book { return &Book{rows: map[string]*row{}} }

// Set takes in the settings of a workspace, unless later ones are known.
func (bk *Book) Set(ws work.Workspace) {
	if ws.Name != "" {
		rw := bk.row(ws.Name)
		rw.Workspace = rw.Workspace.Later(ws)
	}
}

// Update takes in the present settings of all known workspaces. One that the configuration lacks keeps
// the settings that it has, since its jobs run on.
func (bk *Book) Update(settings func(name string) (work.Workspace, bool)) {
	for name := range bk.rows {
		if ws, ok := settings(name); ok {
			bk.Set(ws)
		}
	}
}

func (bk *Book) row(name string) *row {
	rw, ok := bk.rows[name]
	if !ok {
		rw = &row{Workspace: work.Workspace{Name: name}}
		bk.rows[name] = rw
	}
	return rw
}

// Add adds to what a workspace has running; what ends is added with Sub.
func (bk *Book) Add(name string, amount size.Size) {
	if name != "" {
		rw := bk.row(name)
		rw.used = rw.used.Add(amount)
	}
}

// Sub takes what has ended off a workspace.
func (bk *Book) Sub(name string, amount size.Size) {
	if name != "" {
		rw := bk.row(name)
		rw.used = rw.used.Sub(amount)
	}
}

// SetDoubts replaces what may be running besides, by workspace: after a change of planner, what workers
// hold that have not reported yet.
func (bk *Book) SetDoubts(doubts map[string]size.Size) {
	for name, rw := range bk.rows {
		rw.doubt = doubts[name]
	}
}

// Room returns how many more tasks of a size a workspace may have running.
func (bk *Book) Room(name string, need size.Size) int {
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

// Use is what one workspace has running, for people and measures.
type Use struct {
	Workspace work.Workspace
	// Running is what runs or may run, Doubt what may run besides of which nobody knows where.
	Running, Doubt size.Size
}

// burst is for how long a workspace may have sent nothing before that counts no more in its favour.
const burst = time.Second

// Owes takes in that a workspace's job came at a time, and reports whether it is within what the workspace is owed:
// as many jobs a second as its weight says. Without a weight all of them are.
func (bk *Book) Owes(name string, came time.Duration) bool {
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

// Uses returns all workspaces by name.
func (bk *Book) Uses() []Use {
	var list []Use
	for _, name := range slices.Sorted(maps.Keys(bk.rows)) {
		rw := bk.rows[name]
		list = append(list, Use{rw.Workspace, rw.used, rw.doubt})
	}
	return list
}

// Use returns what one workspace has running.
func (bk *Book) Use(name string) Use {
	rw, ok := bk.rows[name]
	if !ok {
		return Use{}
	}
	return Use{rw.Workspace, rw.used, rw.doubt}
}
