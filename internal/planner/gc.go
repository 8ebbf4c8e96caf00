package planner

import (
	"context"
	"time"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
)

// gcInterval is the interval between two removals of keys that are no longer needed. About a thousand jobs end within
// it at the largest sites.
const gcInterval = 10 * time.Second

// Settings for removing old keys. Removal is not urgent: keys that remain are removed in the next round.
const (
	// gcTimeout bounds one removal. The store answers in 4 ms, or in 0.25 s when it is slow.
	gcTimeout = time.Second
	// gcHedge is how long to wait for an answer before the removal is sent again.
	gcHedge = 300 * time.Millisecond
	// gcRefused is so short that a removal which the store refuses is not sent again.
	gcRefused = time.Millisecond
)

// batchIndex records which jobs and cancellations each batch of the journal contains, and in how many batches each job
// id occurs.
type batchIndex struct {
	ids  map[string][]string
	refs map[string]int
}

func (bi *batchIndex) init() {
	bi.ids = map[string][]string{}
	bi.refs = map[string]int{}
}

func (bi *batchIndex) add(key string, bt *joblog.Batch) {
	ids := append([]string{}, bt.Cancels...)
	for at := range bt.Jobs {
		ids = append(ids, bt.Jobs[at].ID)
	}
	bi.ids[key] = ids
	for _, id := range ids {
		bi.refs[id]++
	}
}

func (bi *batchIndex) has(key string) bool {
	_, ok := bi.ids[key]
	return ok
}

func (bi *batchIndex) drop(key string) {
	for _, id := range bi.ids[key] {
		if bi.refs[id]--; bi.refs[id] == 0 {
			delete(bi.refs, id)
		}
	}
	delete(bi.ids, key)
}

// gcLoop removes batches and records whose jobs are no longer known to the cell.
func (ld *leader) gcLoop(ctx context.Context) {
	for loop.Sleep(ctx, ld.clock, gcInterval) {
		groups, after := ld.prepareRemoval()
		if !ld.awaitRecords(ctx, after) {
			return
		}
		for _, keys := range groups {
			if err := ld.remove(ctx, keys); err != nil {
				ld.log.Info("Removing old keys of the journal failed; trying again in the next round.", "keys", len(keys), "reason", err.Error())
				break
			}
			ld.forgetKeys(keys)
		}
	}
}

// remove removes keys. Each key is written only once, so a repeated attempt does no harm. The write ends with the term:
// a call that may change something otherwise runs until its deadline, or for 10 s, and would delay the node's next term.
func (ld *leader) remove(ctx context.Context, keys []string) error {
	call, cancel := context.WithTimeout(ctx, gcTimeout)
	defer cancel()
	commitOpts := kv.CommitOptions{Clock: ld.clock, HedgeDelay: gcHedge, RefusedTimeout: gcRefused}
	_, _, err := ld.opts.Store.CommitWithRetry(call, commitOpts, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.term.Token}},
		Deletes:    keys,
	})
	return err
}

// prepareRemoval returns the keys that are no longer needed, in groups of one write each. They may be removed once the
// journal has that many records: some replace what the keys say. It records again the stops that are not over, since keys
// with records of stops are removed too.
func (ld *leader) prepareRemoval() (groups [][]string, after int) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded || !ld.cell.Recovered() {
		return nil, 0
	}
	var keys []string
	for key, ids := range ld.batches.ids {
		if !ld.anyKnown(ids) {
			keys = append(keys, key)
		}
	}
	for key, refs := range ld.records.keys {
		if !ld.needed(key, refs) {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		ld.cell.RecordStops()
		ld.schedulePlan()
	}
	const maxKeys = kv.MaxEntries - 1 // one entry is the condition
	for len(keys) > 0 {
		n := min(len(keys), maxKeys)
		groups = append(groups, keys[:n])
		keys = keys[n:]
	}
	return groups, ld.cell.RecordCount()
}

// awaitRecords waits until the journal has a number of records of this term. It returns false if the term ends first.
func (ld *leader) awaitRecords(ctx context.Context, count int) bool {
	for {
		ld.mu.Lock()
		has, committed := ld.cell.HasCommitted(count), ld.committed
		ld.mu.Unlock()
		if has {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-committed:
		}
	}
}

func (ld *leader) anyKnown(ids []string) bool {
	for _, id := range ids {
		if ld.cell.Retains(id) {
			return true
		}
	}
	return false
}

// needed reports whether records concern a job or worker that still matters. The record of an ended job stays until
// its batch is removed, because otherwise another planner would run the job again. Records of workers by earlier
// planners are not needed once these have answered or were lost: each planner records the workers that it uses itself,
// and those that it has lost.
func (ld *leader) needed(key string, refs recordRefs) bool {
	own := key >= joblog.RecordKey(ld.term.Token, 0)
	if refs.leasesResolved && own {
		return true
	}
	for _, job := range refs.jobs {
		if ld.cell.Retains(job) || ld.batches.refs[job] > 0 {
			return true
		}
	}
	for _, wk := range refs.workers {
		if wk.gone && own && ld.keepLoss(wk.id) {
			return true
		}
		known, _ := ld.cell.Listed(wk.id)
		if _, unresolved := ld.unresolved[wk.id]; unresolved || own && known {
			return true
		}
	}
	return false
}

func (ld *leader) forgetKeys(keys []string) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, key := range keys {
		ld.batches.drop(key)
		delete(ld.records.keys, key)
	}
}
