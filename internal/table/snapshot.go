package table

import (
	"strconv"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
)

// Workspace is the typed row of a workspace. A nil limit means unlimited.
type Workspace struct {
	Name         string
	Weight       float64
	Processors   *float64
	Memory       *int64
	Accelerators *int64
	Running      *int64
	Rate         *float64
}

// Workload is the typed row of a workload. A zero deadline means none.
type Workload struct {
	Name       string
	Class      string
	Size       size.Size
	Priority   int
	Deadline   time.Duration
	Repeatable bool
}

// Snapshot is an immutable copy of the table at one moment.
type Snapshot struct {
	rows       map[string]Row
	workspaces map[string]Workspace
	workloads  map[string]Workload
	maxVersion uint64
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

// MaxVersion returns the highest version of all rows.
func (sn *Snapshot) MaxVersion() uint64 { return sn.maxVersion }

// Digest returns a hash of the keys and versions of all rows. Nodes with the same
// table have the same digest.
func (sn *Snapshot) Digest() uint64 { return sn.digest }

// cellReader parses the cells of a row. Cells are validated before they are stored,
// so a cell that cannot be parsed is treated as empty.
type cellReader struct{ row Row }

func (rd cellReader) text(name string) string {
	cl, err := column.Find(rd.row.Kind, name)
	if err != nil {
		return ""
	}
	return rd.row.Cell(cl)
}

func (rd cellReader) float(name string) *float64 {
	n, err := strconv.ParseFloat(rd.text(name), 64)
	if err != nil {
		return nil
	}
	return &n
}

func (rd cellReader) integer(name string) *int64 {
	n, err := strconv.ParseInt(rd.text(name), 10, 64)
	if err != nil {
		return nil
	}
	return &n
}

func orZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func newWorkspace(row Row) Workspace {
	rd := cellReader{row}
	return Workspace{
		Name:         row.Name,
		Weight:       orZero(rd.float(column.Weight)),
		Processors:   rd.float(column.Processors),
		Memory:       rd.integer(column.Memory),
		Accelerators: rd.integer(column.Accelerators),
		Running:      rd.integer(column.Running),
		Rate:         rd.float(column.Rate),
	}
}

func newWorkload(row Row) Workload {
	const milliPerCore = 1000
	rd := cellReader{row}
	return Workload{
		Name:  row.Name,
		Class: rd.text(column.Class),
		Size: size.New(
			int64(orZero(rd.float(column.Processors))*milliPerCore),
			orZero(rd.integer(column.Memory)),
			orZero(rd.integer(column.Accelerators)),
		),
		Priority:   int(orZero(rd.integer(column.Priority))),
		Deadline:   time.Duration(orZero(rd.float(column.Deadline)) * float64(time.Second)),
		Repeatable: rd.text(column.Repeatable) == column.Yes,
	}
}
