// Package incarnation identifies incarnations of workers.
package incarnation

import (
	"strconv"
	"strings"
)

// ID identifies one incarnation of a worker: one run of its process, by the worker's id and its start time.
// A worker that restarts under the same id has no memory of its previous run and restarts its counters, so
// state about a worker is kept per incarnation.
//
// The format is ID@BORN, or the worker's id alone if the worker does not report when it started.
type ID string

// separator is between the worker's id and the start time.
const separator = "@"

// New returns the incarnation of a worker that started at a time, in milliseconds since 1970; 0 if unknown.
func New(id string, startedAt int64) ID {
	if startedAt == 0 && !strings.Contains(id, separator) {
		return ID(id)
	}
	return ID(id + separator + strconv.FormatInt(startedAt, 10))
}

// WorkerID returns the worker's id, which other incarnations may share.
func (inc ID) WorkerID() string {
	id, _ := inc.parts()
	return id
}

// StartedAt returns when the incarnation started, in milliseconds since 1970; 0 if unknown.
func (inc ID) StartedAt() int64 {
	_, startedAt := inc.parts()
	return startedAt
}

func (inc ID) parts() (id string, startedAt int64) {
	at := strings.LastIndex(string(inc), separator)
	if at < 0 {
		return string(inc), 0
	}
	startedAt, err := strconv.ParseInt(string(inc[at+len(separator):]), 10, 64)
	if err != nil {
		return string(inc), 0 // not made by New
	}
	return string(inc[:at]), startedAt
}
