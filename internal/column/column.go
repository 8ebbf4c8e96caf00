// Package column defines the typed columns of the operators' table.
package column

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"tackbeam.example/tackbeam/internal/fault"
)

// Kind is the kind of a row.
type Kind string

// The kinds of rows.
const (
	Workspace Kind = "workspace"
	Workload  Kind = "workload"
)

// The names of the columns.
const (
	Weight       = "weight"
	Processors   = "processors"
	Memory       = "memory"
	Accelerators = "accelerators"
	Running      = "running"
	Rate         = "rate"
	Class        = "class"
	Priority     = "priority"
	Deadline     = "deadline"
	Repeatable   = "repeatable"
)

// The classes of workloads.
const (
	Service = "service"
	Batch   = "batch"
	Gang    = "gang"
)

// The values of yes-or-no columns.
const (
	Yes = "yes"
	No  = "no"
)

// MaxPriority is the priority of urgent work.
const MaxPriority = 9

// Column describes one column of a kind of row.
type Column struct {
	name         string
	defaultValue string
	unit         string
	meaning      string
	allowed      string
	// normalize validates a value and returns its canonical form.
	normalize func(value string) (string, bool)
}

// Name returns the name of the column.
func (cl Column) Name() string { return cl.name }

// Default returns the value that applies if the cell is empty. "" means no limit.
func (cl Column) Default() string { return cl.defaultValue }

// Unit returns the unit of the values.
func (cl Column) Unit() string { return cl.unit }

// Meaning returns a one-line description of the column.
func (cl Column) Meaning() string { return cl.meaning }

// Allowed returns a description of the allowed values.
func (cl Column) Allowed() string { return cl.allowed }

// Upper bounds of the columns' values.
const (
	maxCores   = 1e6
	maxMemory  = 1 << 40
	maxDevices = 1 << 20
	maxTasks   = 1 << 20
	maxRate    = 1e6
	maxWeight  = 1000
	maxSeconds = 7 * 24 * 3600
)

// columns lists the columns of each kind of row, in the order of display.
var columns = map[Kind][]Column{
	Workspace: {
		float(Weight, "1", "", "share of the workers against other workspaces", 0.001, maxWeight),
		float(Processors, "", "cores", "limit on cores of running tasks", 0, maxCores),
		integer(Memory, "", "MiB", "limit on memory of running tasks", 0, maxMemory),
		integer(Accelerators, "", "devices", "limit on accelerators of running tasks", 0, maxDevices),
		integer(Running, "", "tasks", "limit on running tasks", 0, maxTasks),
		float(Rate, "", "lookups a second", "limit on lookups", 0, maxRate),
	},
	Workload: {
		choice(Class, Batch, "shape of the work", Service, Batch, Gang),
		float(Processors, "0.1", "cores", "size of one task or lookup", 0, maxCores),
		integer(Memory, "64", "MiB", "size of one task or lookup", 0, maxMemory),
		integer(Accelerators, "0", "devices", "size of one task or lookup", 0, maxDevices),
		integer(Priority, "5", "", "higher goes first; 9 is urgent", 0, MaxPriority),
		float(Deadline, "", "seconds", "deadline of a job that names none", 0.001, maxSeconds),
		choice(Repeatable, No, "whether a task may run again after a failure", Yes, No),
	},
}

func float(name, defaultValue, unit, meaning string, low, high float64) Column {
	return Column{
		name: name, defaultValue: defaultValue, unit: unit, meaning: meaning,
		allowed: fmt.Sprintf("a number from %g to %g", low, high),
		normalize: func(value string) (string, bool) {
			n, err := strconv.ParseFloat(value, 64)
			ok := err == nil && n >= low && n <= high
			return strconv.FormatFloat(n, 'g', -1, 64), ok
		},
	}
}

func integer(name, defaultValue, unit, meaning string, low, high int64) Column {
	return Column{
		name: name, defaultValue: defaultValue, unit: unit, meaning: meaning,
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		normalize: func(value string) (string, bool) {
			n, err := strconv.ParseInt(value, 10, 64)
			return strconv.FormatInt(n, 10), err == nil && n >= low && n <= high
		},
	}
}

func choice(name, defaultValue, meaning string, values ...string) Column {
	return Column{
		name: name, defaultValue: defaultValue, meaning: meaning,
		allowed: "one of " + strings.Join(values, ", "),
		normalize: func(value string) (string, bool) {
			return value, slices.Contains(values, value)
		},
	}
}

// Kinds returns the kinds of rows.
func Kinds() []Kind { return []Kind{Workspace, Workload} }

// Of returns the columns of a kind of row, or nil for an unknown kind.
func Of(kd Kind) []Column { return columns[kd] }

// Find returns one column of a kind of row.
func Find(kd Kind, name string) (Column, error) {
	all, ok := columns[kd]
	if !ok {
		return Column{}, fault.New(fault.UnknownRow, "unknown kind of row %s; use workspace or workload", kd)
	}
	for _, cl := range all {
		if cl.name == name {
			return cl, nil
		}
	}
	return Column{}, fault.New(fault.BadCell, "%s has no column %s; its columns are %s", kd, name, names(all))
}

func names(all []Column) string {
	var list []string
	for _, cl := range all {
		list = append(list, cl.name)
	}
	return strings.Join(list, ", ")
}

// Parse validates a value for a cell of the row and returns its canonical form. An
// empty value clears the cell.
func (cl Column) Parse(kd Kind, row, value string) (string, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return "", nil
	}
	canon, ok := cl.normalize(value)
	if !ok {
		return "", fault.New(fault.BadCell, "%s/%s %s: %q is not allowed; give %s", kd, row, cl.name, value, cl.allowed)
	}
	return canon, nil
}
