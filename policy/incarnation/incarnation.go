// Package incarnation names the lives of workers.
package incarnation

import (
	"strconv"
	"strings"
)

// ID is one life of a worker: its id, and when it began. A worker that begins again under its id
// knows nothing of before, and counts anew: whatever is remembered of a worker is remembered of a life.
//
// It is written as ID@BORN, and as the id alone where the worker does not say when it began.
type ID string

// mark is between the id and the time.
const mark = "@"

// New returns the life of a worker that began at a time, in milliseconds since 1970; 0 where that is
// not known.
func New(id string, born int64) ID {
	if born == 0 && !strings.Contains(id, mark) {
		return ID(id)
	}
	return ID(id + mark + strconv.FormatInt(born, 10))
}

// WorkerID returns the worker's id, which other lives may have as well.
func (lf ID) WorkerID() string {
	id, _ := lf.parts()
	return id
}

// StartedAt returns when the life began, in milliseconds since 1970; 0 where that is not known.
func (lf ID) StartedAt() int64 {
	_, born := lf.parts()
	return born
}

func (lf ID) parts() (id string, born int64) {
	at := strings.LastIndex(string(lf), mark)
	if at < 0 {
		return string(lf), 0
	}
	born, err := strconv.ParseInt(string(lf[at+len(mark):]), 10, 64)
	if err != nil {
		return string(lf), 0 // not made by Of
	}
	return string(lf[:at]), born
}
