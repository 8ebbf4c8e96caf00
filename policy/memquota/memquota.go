// Package memquota accounts for the memory that accepted jobs take on the node that plans, and decides which further jobs are
// accepted.
package memquota

import (
	"time"

	"tackbeam.example/policy/work"
)

// Class is a group of jobs. One class cannot use up the memory that others need.
type Class struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
	Urgent    bool   `cbor:"2,keyasint,omitempty"`
}

// ClassOf returns the class of a job.
func ClassOf(jb *work.Job) Class {
	return Class{Workspace: jb.Workspace.Name, Urgent: jb.Queue.Priority == 0}
}

// Claim asks for memory on behalf of a job that has not been accepted.
type Claim struct {
	Job   string `cbor:"1,keyasint"`
	Class Class  `cbor:"2,keyasint,omitzero"`
	Bytes int64  `cbor:"3,keyasint"`
}

// Parts of the limit, as divisors.
const (
	// runShare is for runs. They have a part of their own so that tasks can start, and end, however many jobs there are.
	runShare = 4
	// windowShare is for what nodes accept without a claim.
	windowShare = 8
	// urgentShare is left to urgent work, of the part for jobs and of that for runs.
	urgentShare = 8
	// smallShare is left by large jobs to small ones, of the part for jobs.
	smallShare = 4
)

const (
	// claimTimeout is how long a claim is kept for a job that does not arrive: longer than its write may take.
	claimTimeout = 12 * time.Second
	// minWindow is the smallest window of a node.
	minWindow = 64 << 10
	// SmallJob is the size of a job up to which jobs of a class that is not full are accepted. Nodes accept larger ones with a
	// claim only.
	SmallJob = 128 << 10
)

const (
	// minRetryAfter and maxRetryAfter bound the delay that a caller is told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// rateSpan is the shortest time between two samples of what was released.
	rateSpan = 5 * time.Second
)

// Quota is the account of a planner. It is not safe for concurrent use.
type Quota struct {
	// limit is for jobs and runs, used what jobs take, claimed what is reserved for further ones, runs what runs take.
	limit, used, claimed, runs int64

	classes map[Class]int64
	claims  map[string]claim
	// released counts what was released in all; samples are earlier values of it, the older one first.
	released int64
	samples  [2]sample
}

type claim struct {
	Claim
	until time.Duration
}

type sample struct {
	at       time.Duration
	released int64
}

// New returns an empty account with a limit in bytes, 0 for none.
func New(limit int64) *Quota {
	return &Quota{limit: limit, classes: map[Class]int64{}, claims: map[string]claim{}}
}

// Window returns how many bytes a node may accept without the planner's knowledge, of a limit that several nodes share; 0 for any
// number. Of hundreds of nodes each may accept a few jobs.
func Window(limit int64, nodes int) int64 {
	if limit == 0 {
		return 0
	}
	return max(limit/windowShare/int64(max(nodes, 1)), minWindow)
}

// Limit returns the limit in bytes, 0 if there is none.
func (qt *Quota) Limit() int64 { return qt.limit }

// Used returns how many bytes jobs and runs take.
func (qt *Quota) Used() int64 { return qt.used + qt.runs }

// AddRuns adds to what runs take, or releases a part of it.
func (qt *Quota) AddRuns(bytes int64) { qt.runs += bytes }

// HoldsRuns reports whether a number of bytes is left for runs. The first ones may always start.
func (qt *Quota) HoldsRuns(bytes int64, urgent bool) bool {
	return qt.limit == 0 || qt.runs == 0 || qt.runs+bytes <= part(qt.limit/runShare, urgent)
}

// part returns what work may use of a number of bytes.
func part(bytes int64, urgent bool) int64 {
	if urgent {
		return bytes
	}
	return bytes - bytes/urgentShare
}

// Add adds to what the jobs of a class take, or releases a part of it if the number of bytes is negative.
func (qt *Quota) Add(cls Class, bytes int64) {
	qt.used += bytes
	if bytes < 0 {
		qt.released -= bytes
	}
	if qt.classes[cls] += bytes; qt.classes[cls] == 0 {
		delete(qt.classes, cls)
	}
}

// Holds reports whether a number of bytes is left for a job. Only urgent work may use the last part, and only small jobs what
// large ones leave, so that a few large jobs do not keep all others out.
func (qt *Quota) Holds(bytes int64, urgent bool) bool {
	return qt.limit == 0 || qt.used+bytes <= part(qt.jobLimit(bytes), urgent)
}

// jobLimit returns what jobs may take of the limit before one of a given size is added.
func (qt *Quota) jobLimit(bytes int64) int64 {
	limit := qt.limit - qt.limit/runShare
	if bytes > SmallJob {
		limit -= limit / smallShare
	}
	return limit
}

// Admits reports whether another job of a class may be accepted. A class may take as much as it leaves to the others, so that
// each further class finds room.
func (qt *Quota) Admits(cls Class, bytes int64) bool { return qt.lacking(cls, bytes) <= 0 }

// Full reports whether no further job of the class may be accepted.
func (qt *Quota) Full(cls Class) bool { return !qt.Admits(cls, SmallJob) }

// lacking returns how many bytes must be released before a job of a class may be accepted, at most 0 if it may be now.
func (qt *Quota) lacking(cls Class, bytes int64) int64 {
	if qt.limit == 0 {
		return 0
	}
	free := part(qt.jobLimit(bytes), cls.Urgent) - qt.used - qt.claimed - bytes
	if bytes <= SmallJob {
		free -= qt.limit / windowShare
	}
	own := qt.classes[cls] + bytes
	for _, cm := range qt.claims {
		if cm.Class == cls {
			own += cm.Bytes
		}
	}
	return own - free
}

// Claim reserves memory for a job, which is accepted if it succeeds. Otherwise it returns after how long the caller should
// retry.
func (qt *Quota) Claim(now time.Duration, cm Claim) (retryAfter time.Duration, ok bool) {
	for id, earlier := range qt.claims {
		if earlier.until < now {
			qt.Settle(id)
		}
	}
	if _, known := qt.claims[cm.Job]; known {
		return 0, true
	}
	if lacking := qt.lacking(cm.Class, cm.Bytes); lacking > 0 {
		return qt.retryAfter(now, lacking), false
	}
	if qt.limit > 0 {
		qt.claims[cm.Job] = claim{cm, now + claimTimeout}
		qt.claimed += cm.Bytes
	}
	return 0, true
}

// Settle drops the claim for a job, which has arrived.
func (qt *Quota) Settle(id string) {
	qt.claimed -= qt.claims[id].Bytes
	delete(qt.claims, id)
}

// NeverFits reports whether a job is too large for its class even if there are no others.
func NeverFits(limit, bytes int64) bool {
	return limit > 0 && New(limit).lacking(Class{}, bytes) > 0
}

// retryAfter estimates when a number of bytes will have been released, at the rate of the last seconds.
func (qt *Quota) retryAfter(now time.Duration, bytes int64) time.Duration {
	if now-qt.samples[1].at >= rateSpan {
		qt.samples[0], qt.samples[1] = qt.samples[1], sample{now, qt.released}
	}
	released := qt.released - qt.samples[0].released
	if released <= 0 {
		return maxRetryAfter
	}
	wait := float64(now-qt.samples[0].at) / float64(released) * float64(bytes)
	return time.Duration(min(max(wait, float64(minRetryAfter)), float64(maxRetryAfter)))
}
