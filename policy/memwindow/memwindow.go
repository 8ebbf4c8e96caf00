// Package memwindow bounds the memory of the jobs that a node accepts before the planner knows of them.
package memwindow

import (
	"time"

	"tackbeam.example/policy/memquota"
)

// Decision says what a node does with a job.
type Decision int

// The decisions.
const (
	// Accept the job.
	Accept Decision = iota
	// Ask the planner whether it may be accepted.
	Ask
	// Refuse the job.
	Refuse
)

const (
	// maxJournalAge is the age of a write from which each planner that answers knows of it.
	maxJournalAge = 3 * time.Second
	// maxWriteTime is how long after its caller was answered a write of unknown outcome may take effect.
	maxWriteTime = 10 * time.Second
)

// Window has the jobs of a node of which the planner may not know. It is not safe for concurrent use.
type Window struct {
	bytes int64
	jobs  map[string]unknown
	// full has the classes for which the planner refuses jobs, with the time until which the node refuses them itself.
	full map[memquota.Class]time.Duration
}

// unknown is a job of which the planner may not know.
type unknown struct {
	bytes int64
	// writtenAt is the latest time at which the store may have got it, 0 while that is open.
	writtenAt time.Duration
}

// New returns an empty window.
func New() *Window {
	return &Window{jobs: map[string]unknown{}, full: map[memquota.Class]time.Duration{}}
}

// Decide decides about a job. size is how many bytes the node may accept without the planner, 0 for any number. A refused
// caller should retry after the returned time. Settle must be called for an accepted job once the outcome is known.
func (wd *Window) Decide(now time.Duration, cm memquota.Claim, size int64) (decision Decision, retryAfter time.Duration) {
	if _, known := wd.jobs[cm.Job]; known {
		return Accept, 0 // sent again; it counts already
	}
	until, full := wd.full[cm.Class]
	switch {
	case full && now < until:
		return Refuse, max(until-now, time.Second)
	case full:
		return Ask, 0
	case size > 0 && (cm.Bytes > memquota.SmallJob || wd.bytes+cm.Bytes > size):
		return Ask, 0
	default:
		wd.jobs[cm.Job] = unknown{bytes: cm.Bytes}
		wd.bytes += cm.Bytes
	}
	return Accept, 0
}

// Settle records the outcome of a write: whether the store has the job, will never have it, or may get it later.
func (wd *Window) Settle(now time.Duration, id string, written, open bool) {
	jb, ok := wd.jobs[id]
	switch {
	case !ok: // the planner knows of it, or has reserved memory for it
	case open:
		jb.writtenAt = now + maxWriteTime
		wd.jobs[id] = jb
	case written:
		jb.writtenAt = now
		wd.jobs[id] = jb
	default:
		wd.drop(id)
	}
}

// Known records that the planner knows of jobs.
func (wd *Window) Known(ids ...string) {
	for _, id := range ids {
		wd.drop(id)
	}
}

// PlannerAnswered records that a planner has answered a question that was asked at the given time.
func (wd *Window) PlannerAnswered(asked time.Duration) {
	for id, jb := range wd.jobs {
		if jb.writtenAt > 0 && asked-jb.writtenAt > maxJournalAge {
			wd.drop(id)
		}
	}
}

// SetFull records that the planner refuses jobs of a class until a time.
func (wd *Window) SetFull(cls memquota.Class, until time.Duration) { wd.full[cls] = until }

// SetFree records that the planner accepts jobs of a class.
func (wd *Window) SetFree(cls memquota.Class) { delete(wd.full, cls) }

// Bytes returns the memory of the jobs of which the planner may not know.
func (wd *Window) Bytes() int64 { return wd.bytes }

func (wd *Window) drop(id string) {
	wd.bytes -= wd.jobs[id].bytes
	delete(wd.jobs, id)
}
