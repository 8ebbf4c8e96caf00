package planner

import (
	"slices"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
)

// addJob adds a job of the journal. A job for which the memory does not suffice is kept encoded, which takes a small part of that:
// the journal may have been written with a higher limit. Of a job that has succeeded only late runs may need the tasks. The
// caller holds the lock.
func (ld *leader) addJob(now, age time.Duration, jb *work.Job, inherited bool) {
	switch {
	case inherited && ld.succeeded[jb.ID]:
		ld.cell.AddDeferred(now, age, jb, true, cell.Loader{
			Load: func() (*work.Job, error) { return jb, nil }, Bytes: jb.DefinitionFootprint(),
		})
	case !ld.cell.Holds(jb) && ld.deferJob(now, age, jb, inherited):
	case inherited:
		ld.cell.AddAged(now, age, jb)
	default:
		ld.cell.Add(now, jb, false)
	}
}

// deferJob reports whether the job was added encoded.
func (ld *leader) deferJob(now, age time.Duration, jb *work.Job, inherited bool) bool {
	raw, err := joblog.Encode(jb)
	if err != nil {
		ld.log.Error(err, "Job cannot be kept encoded.", "job", jb.ID)
		return false
	}
	used, limit, deferred := ld.cell.MemoryUse()
	ld.log.Info("Memory does not suffice for a job; it is kept encoded.", "job", jb.ID, "needs", jb.Footprint(), "used", used, "limit", limit, "deferred", deferred)
	ld.metrics.count("planner.jobs_kept_encoded")
	if !inherited {
		age = 0
	}
	ld.cell.AddDeferred(now, age, jb, inherited, cell.Loader{
		Load:  func() (*work.Job, error) { return joblog.Decode[*work.Job](raw) },
		Bytes: int64(len(raw)),
	})
	return true
}

// claimMemory reserves memory for a job that a node may then accept.
func (ld *leader) claimMemory(cm memquota.Claim) error {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if err := ld.checkReady(); err != nil {
		return err
	}
	if err := ld.checkJournalAge(); err != nil {
		return err
	}
	retryAfter, ok := ld.cell.ClaimMemory(ld.now(), cm)
	if ok {
		return nil
	}
	ld.metrics.count("planner.memory_claims_refused")
	return fault.New(fault.Full, "jobs that were accepted take the memory that this job needs; not run").WithRetryAfter(retryAfter)
}

// fullClasses returns the classes of jobs of which no more may be accepted. The caller holds the lock.
func (ld *leader) fullClasses(jobs []work.Job) []memquota.Class {
	var full []memquota.Class
	for at := range jobs {
		if cls := memquota.ClassOf(&jobs[at]); !slices.Contains(full, cls) && ld.cell.FullClass(cls) {
			full = append(full, cls)
		}
	}
	return full
}

// reportMemory sets the metrics of the memory that jobs take. The caller holds the lock.
func (ld *leader) reportMemory() {
	used, limit, deferred := ld.cell.MemoryUse()
	ld.metrics.gauge("planner.jobs_memory_kb", int(used>>10))
	ld.metrics.gauge("planner.jobs_memory_limit_kb", int(limit>>10))
	ld.metrics.gauge("planner.jobs_deferred", deferred)
}
