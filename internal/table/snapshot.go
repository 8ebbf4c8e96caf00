package table

import (
	"strconv"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
)

// Workspace is a workspace's row in typed form. A nil limit is none.
type Workspace struct {
	Name         string
	Weight       float64
	Processors   *float64
	Memory       *int64
	Accelerators *int64
	Running      *int64
	Rate         *float64
}

// Workload is a workload's row in typed form. A deadline of zero is none.
type Workload struct {
	Name       string
	Class      string
	Size       size.Size
	Priority   int
	Deadline   time.Duration
	Repeatable bool
}

// Snapshot is the table in force at one moment. It does not change.
type Snapshot struct {
	rows       map[string]Row
	workspaces map[string]Workspace
	workloads  map[string]Workload
	newest     uint64
	digest     uint64
}

// Workspace returns the row of a workspace or an error of kind UnknownRow.
func (sn *Snapshot) Workspace(name string) (Workspace, error) {
	ws, ok := sn.workspaces[name]
	if !ok {
		return ws, fault.New(fault.UnknownRow, "workspace %q is not in the table", name)
	}
	return ws, nil
}

// Workload returns the row of a workload or an error of kind UnknownRow.
func (sn *Snapshot) Workload(name string) (Workload, error) {
	wl, ok := sn.workloads[name]
	if !ok {
		return wl, fault.New(fault.UnknownRow, "workload %q is not in the table", name)
	}
	return wl, nil
}

// Workspaces returns the typed rows of all workspaces.
func (sn *Snapshot) Workspaces() map[string]Workspace { return sn.workspaces }

// MaxVersion returns the highest version of any row.
func (sn *Snapshot) MaxVersion() uint64 { return sn.newest }

// Digest returns a number that is equal on two nodes with the same table.
func (sn *Snapshot) Digest() uint64 { return sn.digest }

// reader reads the cells of one row in their types. The cells were checked
// before they were kept, so a cell that cannot be read counts as empty.
type reader struct{ row Row }

func (rd reader) text(name string) string {
	cl, err := column.Find(rd.row.Kind, name)
	if err != nil {
		return ""
	}
	return rd.row.Cell(cl)
}

func (rd reader) number(name string) *float64 {
	n, err := strconv.ParseFloat(rd.text(name), 64)
	if err != nil {
		return nil
	}
	return &n
}

func (rd reader) whole(name string) *int64 {
	n, err := strconv.ParseInt(rd.text(name), 10, 64)
	if err != nil {
		return nil
	}
	return &n
}

func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func workspaceOf(row Row) Workspace {
	rd := reader{row}
	return Workspace{
		Name:         row.Name,
		Weight:       value(rd.number(column.Weight)),
		Processors:   rd.number(column.Processors),
		Memory:       rd.whole(column.Memory),
		Accelerators: rd.whole(column.Accelerators),
		Running:      rd.whole(column.Running),
		Rate:         rd.number(column.Rate),
	}
}

func workloadOf(row Row) Workload {
	const milliPerCore = 1000
	rd := reader{row}
	return Workload{
		Name:  row.Name,
		Class: rd.text(column.Class),
		Size: size.New(
			int64(value(rd.number(column.Processors))*milliPerCore),
			value(rd.whole(column.Memory)),
			value(rd.whole(column.Accelerators)),
		),
		Priority:   int(value(rd.whole(column.Priority))),
		Deadline:   time.Duration(value(rd.number(column.Deadline)) * float64(time.Second)),
		Repeatable: rd.text(column.Repeatable) == column.Yes,
	}
}
