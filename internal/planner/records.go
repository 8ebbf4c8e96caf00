package planner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"

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
)

// recorder holds the records that are not in the journal yet, and the records of each key in the journal.
type recorder struct {
	pending []cell.Record
	// added is the number of records that were ever added.
	added int
	keys  map[string][]cell.Record
	wake  wake.Signal
}

func (rc *recorder) init() {
	rc.keys = map[string][]cell.Record{}
	rc.wake = wake.New()
}

func (rc *recorder) add(recs []cell.Record) {
	if len(recs) == 0 {
		return
	}
	rc.pending = append(rc.pending, recs...)
	rc.added += len(recs)
	rc.wake.Give()
}

func (rc *recorder) keep(key string, recs []cell.Record) { rc.keys[key] = recs }

// maxRecords is the maximum number of records of one write, about 200 kB.
const maxRecords = 4000

// commitLoop writes records in order. Each write has the condition that this node is still the planner.
func (ld *leader) commitLoop(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			ld.commitRemaining(n)
			return
		case <-ld.records.wake:
		}
		if !loop.Pause(ctx, ld.clock, commitDelay) {
			ld.commitRemaining(n)
			return
		}
		ld.mu.Lock()
		recs := ld.records.pending[:min(len(ld.records.pending), maxRecords)]
		upTo := ld.records.added - len(ld.records.pending) + len(recs)
		ld.mu.Unlock()
		if len(recs) == 0 || !ld.commit(ctx, joblog.RecordKey(ld.reign.Token, n), recs) {
			continue
		}
		ld.mu.Lock()
		ld.records.keep(joblog.RecordKey(ld.reign.Token, n), recs)
		ld.records.pending = ld.records.pending[len(recs):]
		ld.cell.SetCommitted(upTo)
		close(ld.committed)
		ld.committed = make(chan struct{})
		if len(ld.records.pending) > 0 {
			ld.records.wake.Give()
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
	recs := ld.records.pending
	ld.mu.Unlock()
	if len(recs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalCommitTimeout)
	defer cancel()
	ld.commit(ctx, joblog.RecordKey(ld.reign.Token, n), recs)
}

// finalCommitTimeout bounds the last write of a term.
const finalCommitTimeout = 200 * time.Millisecond

// commit writes records under a key until the outcome is known. It returns false if the term has ended.
func (ld *leader) commit(ctx context.Context, key string, recs []cell.Record) bool {
	raw, err := joblog.Encode(recs)
	if err != nil {
		ld.reign.StepDown("records cannot be encoded: " + err.Error())
		return false
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.reign.Token}, {Key: key}},
		Puts:       []kv.Put{{Key: key, Value: raw}},
	}
	_, items, err := ld.opts.Store.CommitWithRetry(ctx, kv.CommitOptions{Clock: ld.clock, HedgeDelay: commitHedge}, txn)
	switch {
	case err == nil:
		return true
	case errors.Is(err, kv.ErrConflict) && exists(items, key):
		return true // by an earlier attempt whose answer was lost
	case errors.Is(err, kv.ErrConflict):
		ld.reign.StepDown("the leader's key has changed")
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
