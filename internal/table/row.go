package table

import (
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/wire"
)

// Prefix is the prefix of the keys of rows in the store.
const Prefix = "table/"

// maxHistory is the maximum number of edits stored with a row.
const maxHistory = 32

// Edit records a change of one cell. WriteID identifies the write, so that a writer
// can recognize its own write after an error.
type Edit struct {
	Column  string    `cbor:"1,keyasint" json:"column"`
	Old     string    `cbor:"2,keyasint" json:"old"`
	New     string    `cbor:"3,keyasint" json:"new"`
	By      string    `cbor:"4,keyasint" json:"by"`
	At      time.Time `cbor:"5,keyasint" json:"at"`
	WriteID string    `cbor:"6,keyasint" json:"-"`
}

// storedRow is the encoding of a row in the store.
type storedRow struct {
	Cells   map[string]string `cbor:"1,keyasint"`
	History []Edit            `cbor:"2,keyasint,omitempty"`
}

// Row is one row of the table with its version.
type Row struct {
	Kind    column.Kind       `json:"kind"`
	Name    string            `json:"name"`
	Version uint64            `json:"version"`
	Cells   map[string]string `json:"cells"`
	History []Edit            `json:"history,omitempty"`
}

// Cell returns the effective value of a column: the cell, or the column's default.
func (rw Row) Cell(cl column.Column) string {
	if value := rw.Cells[cl.Name()]; value != "" {
		return value
	}
	return cl.Default()
}

var rowName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Key returns the key of a row in the store, or an error for an invalid kind or name.
func Key(kd column.Kind, name string) (string, error) {
	if column.Of(kd) == nil {
		return "", fault.New(fault.UnknownRow, "unknown kind of row %s; use workspace or workload", kd)
	}
	if !rowName.MatchString(name) {
		return "", fault.New(fault.BadRequest,
			"row name %q: give 1 to 63 lower-case letters, digits, dots, dashes or underscores", name)
	}
	return Prefix + string(kd) + "/" + name, nil
}

// splitKey returns the kind and the name of the row with a key.
func splitKey(key string) (column.Kind, string, bool) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	return column.Kind(kind), name, ok && column.Of(column.Kind(kind)) != nil
}

// decodeRow decodes a row. Cells of columns that this version does not know are preserved.
func decodeRow(key string, value []byte, version uint64) (Row, error) {
	kd, name, ok := splitKey(key)
	if !ok {
		return Row{}, errors.Errorf("key %q is not the key of a row", key)
	}
	var so storedRow
	if err := wire.Decode(value, &so); err != nil {
		return Row{}, errors.Wrapf(err, "decode row %s", key)
	}
	if so.Cells == nil {
		so.Cells = map[string]string{}
	}
	return Row{Kind: kd, Name: name, Version: version, Cells: so.Cells, History: so.History}, nil
}

// withEdit returns a copy of the row with the edit applied and added to its history.
func (rw Row) withEdit(ed Edit) Row {
	cells := map[string]string{}
	for name, value := range rw.Cells {
		cells[name] = value
	}
	if ed.New == "" {
		delete(cells, ed.Column)
	} else {
		cells[ed.Column] = ed.New
	}
	rw.Cells = cells
	history := append([]Edit{ed}, rw.History...)
	rw.History = history[:min(len(history), maxHistory)]
	return rw
}

func (rw Row) encode() ([]byte, error) {
	return wire.Encode(storedRow{Cells: rw.Cells, History: rw.History})
}

// hasWrite reports whether the history contains the write.
func (rw Row) hasWrite(id string) bool {
	for _, ed := range rw.History {
		if ed.WriteID == id {
			return true
		}
	}
	return false
}
