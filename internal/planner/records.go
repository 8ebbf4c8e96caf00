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

// Times of the writing of records.
const (
	// commitGap is the time in which records gather before a write.
	commitGap = 40 * time.Millisecond
	// commitHedge is how long a write may be without an answer before it is sent again:
	// the store answers in 4 ms.
	commitHedge = 80 * time.Millisecond
)

// recorder holds the records that are not yet in the journal, and which jobs each
// key of the journal tells of.
type recorder struct {
	open []cell.Record
	// count is how many records were ever added.
	count int
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
	rc.open = append(rc.open, recs...)
	rc.count += len(recs)
	rc.wake.Give()
}

func (rc *recorder) keep(key string, recs []cell.Record) { rc.keys[key] = recs }

// maxRecords is the most records of one write, about 200 kB.
const maxRecords = 4000

// commitLoop writes records in their order, each write under the condition that
// this node is still the planner.
func (ld *lead) commitLoop(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			ld.commitLast(n)
			return
		case <-ld.records.wake:
		}
		if !loop.Pause(ctx, ld.clock, commitGap) {
			ld.commitLast(n)
			return
		}
		ld.mu.Lock()
		recs := ld.records.open[:min(len(ld.records.open), maxRecords)]
		upTo := ld.records.count - len(ld.records.open) + len(recs)
		ld.mu.Unlock()
		if len(recs) == 0 || !ld.commit(ctx, joblog.RecordKey(ld.reign.Token, n), recs) {
			continue
		}
		ld.mu.Lock()
		ld.records.keep(joblog.RecordKey(ld.reign.Token, n), recs)
		ld.records.open = ld.records.open[len(recs):]
		ld.cell.SetCommitted(upTo)
		close(ld.committed)
		ld.committed = make(chan struct{})
		if len(ld.records.open) > 0 {
			ld.records.wake.Give()
		}
		ld.kick()
		ld.mu.Unlock()
	}
}

// commitLast writes what is left when a reign ends in order, so that the next
// planner knows it at once. It fails where another planner was elected, or the lease is
// over: the write carries the condition on the leader's key, and needs no proof.
func (ld *lead) commitLast(n int) {
	ld.mu.Lock()
	recs := ld.records.open
	ld.mu.Unlock()
	if len(recs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastTimeout)
	defer cancel()
	ld.commit(ctx, joblog.RecordKey(ld.reign.Token, n), recs)
}

// lastTimeout bounds the last write of a reign.
const lastTimeout = 200 * time.Millisecond

// commit writes records under a key until the outcome is known. It reports false
// where the reign ended.
func (ld *lead) commit(ctx context.Context, key string, recs []cell.Record) bool {
	raw, err := joblog.Encode(recs)
	if err != nil {
		ld.reign.StepDown("records cannot be encoded: " + err.Error())
		return false
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.reign.Token}, {Key: key}},
		Puts:       []kv.Put{{Key: key, Value: raw}},
	}
	_, items, err := ld.parts.Store.CommitWithRetry(ctx, kv.CommitOptions{Clock: ld.clock, HedgeDelay: commitHedge}, txn)
	switch {
	case err == nil:
		return true
	case errors.Is(err, kv.ErrConflict) && written(items, key):
		return true // by an earlier try whose answer was lost
	case errors.Is(err, kv.ErrConflict):
		ld.reign.StepDown("the leader's key has changed")
	}
	return false
}

// written reports whether the key is there. Only this reign writes it.
func written(items []kv.Item, key string) bool {
	for _, item := range items {
		if item.Key == key && item.Revision > 0 {
			return true
		}
	}
	return false
}
