package planner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/wake"
)

// Timings of writes of records.
const (
	// commitDelay is the time in which records accumulate before a write.
	commitDelay = 40 * time.Millisecond
	// commitHedge is how long a write may be unanswered before it is sent again. The store answers in 4 ms.
	commitHedge = 80 * time.Millisecond
	// commitPeerDelay is how long a write may be unanswered before it is sent through another node. It leaves time for that
	// within finalCommitTimeout.
	commitPeerDelay = 120 * time.Millisecond
)

// recorder holds the records that are not in the journal yet, and what each key in the journal refers to.
type recorder struct {
	pending []cell.Record
	// added is the number of records that were ever added.
	added int
	// writesSinceStops is the number of writes since the stops that are not over were recorded again.
	writesSinceStops int
	keys             map[string]recordRefs
	wake             wake.Signal
}

// recordRefs is what the records of one key refer to, which decides for how long the key is needed. The records
// themselves would take most of a planner's memory.
type recordRefs struct {
	jobs    []string
	workers []workerRef
	// leasesResolved is set if one of them has cell.Record.LeasesResolved.
	leasesResolved bool
}

// workerRef is a worker that a record names as one that may have runs, or, with gone, that has none any more.
type workerRef struct {
	id   incarnation.ID
	gone bool
}

func newRecordRefs(recs []cell.Record) recordRefs {
	var refs recordRefs
	jobs := map[string]bool{}
	for _, rec := range recs {
		refs.leasesResolved = refs.leasesResolved || rec.LeasesResolved
		if rec.Job != "" && !jobs[rec.Job] {
			jobs[rec.Job] = true
			refs.jobs = append(refs.jobs, rec.Job)
		}
		if rec.Worker != "" && !rec.Stop {
			refs.workers = append(refs.workers, workerRef{rec.Worker, rec.Gone})
		}
	}
	return refs
}

func (rc *recorder) init() {
	rc.keys = map[string]recordRefs{}
	rc.writesSinceStops = writesPerStopRecords // the stops of earlier terms are recorded after the first write
	rc.wake = wake.New()
}

func (rc *recorder) add(recs []cell.Record) {
	if len(recs) == 0 {
		return
	}
	rc.pending = append(rc.pending, recs...)
	rc.added += len(recs)
	rc.wake.Notify()
}

// keep remembers what the records of a key in the journal refer to.
func (rc *recorder) keep(key string, recs []cell.Record) { rc.keys[key] = newRecordRefs(recs) }

// Limits of one write, which must not be larger than the store accepts (1 MiB). maxRecords is the maximum number of records,
// about 200 kB, maxRecordedRuns that of the runs that they name, about 400 kB. A worker has some 1,000 runs at most.
const (
	maxRecords      = 4000
	maxRecordedRuns = 8000
)

// nextWrite returns the records of the next write: the first ones within the limits, but at least one.
func nextWrite(pending []cell.Record) []cell.Record {
	runs := 0
	for at := range pending {
		if runs += len(pending[at].Held); at > 0 && (at == maxRecords || runs > maxRecordedRuns) {
			return pending[:at]
		}
	}
	return pending
}

// commitLoop writes records in order. Each write has the condition that this node is still the planner.
func (ld *leader) commitLoop(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			ld.commitRemaining(n)
			return
		case <-ld.records.wake:
		}
		if !loop.Sleep(ctx, ld.clock, commitDelay) {
			ld.commitRemaining(n)
			return
		}
		ld.mu.Lock()
		recs := nextWrite(ld.records.pending)
		upTo := ld.records.added - len(ld.records.pending) + len(recs)
		ld.mu.Unlock()
		if len(recs) == 0 || !ld.commit(ctx, joblog.RecordKey(ld.term.Token, n), recs) {
			continue
		}
		ld.mu.Lock()
		ld.records.keep(joblog.RecordKey(ld.term.Token, n), recs)
		ld.records.pending = ld.records.pending[len(recs):]
		ld.cell.SetCommitted(upTo)
		if ld.records.writesSinceStops++; ld.records.writesSinceStops >= writesPerStopRecords {
			ld.records.writesSinceStops = 0
			ld.cell.RecordStops()
		}
		close(ld.committed)
		ld.committed = make(chan struct{})
		if len(ld.records.pending) > 0 {
			ld.records.wake.Notify()
		}
		ld.schedulePlan()
		ld.mu.Unlock()
	}
}

// commitRemaining writes the remaining records when a term ends in order, so that the next planner has them at once. It
// fails if another planner was elected or the lease has expired. It does not check that the lease is held, because the
// write has the condition on the leader's key.
func (ld *leader) commitRemaining(n int) {
	ld.mu.Lock()
	remaining := ld.records.pending
	ld.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), finalCommitTimeout)
	defer cancel()
	for len(remaining) > 0 {
		recs := nextWrite(remaining)
		if !ld.commit(ctx, joblog.RecordKey(ld.term.Token, n), recs) {
			return
		}
		remaining = remaining[len(recs):]
		n++
	}
}

// finalCommitTimeout bounds the last writes of a term.
const finalCommitTimeout = 200 * time.Millisecond

// commit writes records under a key until the outcome is known. It returns false if the term has ended.
func (ld *leader) commit(ctx context.Context, key string, recs []cell.Record) bool {
	raw, err := joblog.Encode(recs)
	if err != nil {
		ld.term.StepDown("records cannot be encoded: " + err.Error())
		return false
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.term.Token}, {Key: key}},
		Puts:       []kv.Put{{Key: key, Value: raw}},
	}
	_, items, err := ld.opts.Store.CommitWithRetry(ctx, kv.CommitOptions{
		Clock: ld.clock, HedgeDelay: commitHedge, Peer: ld.opts.CommitThroughPeer, PeerDelay: commitPeerDelay,
	}, txn)
	switch {
	case err == nil:
		return true
	case errors.Is(err, kv.ErrConflict) && exists(items, key):
		return true // by an earlier attempt whose answer was lost
	case errors.Is(err, kv.ErrConflict):
		ld.term.StepDown("the leader's key has changed")
	}
	return false
}

// exists reports whether items has the key, which only this term writes.
func exists(items []kv.Item, key string) bool {
	for _, item := range items {
		if item.Key == key && item.Revision > 0 {
			return true
		}
	}
	return false
}
