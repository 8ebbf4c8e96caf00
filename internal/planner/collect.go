package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
)

// collectEvery is the time between two removals of what nobody asks for any more;
// in it about a thousand jobs end at the largest sites.
const collectEvery = 10 * time.Second

// How old keys are removed: without haste, what is left is removed the next time.
const (
	// collectTimeout bounds one removal; the store answers in 4 ms, when slow in 0.25 s.
	collectTimeout = time.Second
	// collectHedge is how long it may be without an answer before it is sent again.
	collectHedge = 300 * time.Millisecond
	// collectRefused leaves a store that refuses the first try alone.
	collectRefused = time.Millisecond
)

// batches holds which jobs and cancels each batch of the journal tells of, and in
// how many batches each stands.
type batches struct {
	ids  map[string][]string
	held map[string]int
}

func (bs *batches) init() {
	bs.ids = map[string][]string{}
	bs.held = map[string]int{}
}

func (bs *batches) add(key string, bt *joblog.Batch) {
	ids := append([]string{}, bt.Cancels...)
	for at := range bt.Jobs {
		ids = append(ids, bt.Jobs[at].ID)
	}
	bs.ids[key] = ids
	for _, id := range ids {
		bs.held[id]++
	}
}

func (bs *batches) has(key string) bool {
	_, ok := bs.ids[key]
	return ok
}

func (bs *batches) drop(key string) {
	for _, id := range bs.ids[key] {
		if bs.held[id]--; bs.held[id] == 0 {
			delete(bs.held, id)
		}
	}
	delete(bs.ids, key)
}

// collectLoop removes batches and records whose jobs are all forgotten.
func (ld *lead) collectLoop(ctx context.Context) {
	for loop.Pause(ctx, ld.clock, collectEvery) {
		for _, keys := range ld.removable() {
			if err := ld.remove(ctx, keys); err != nil {
				ld.log.Info("Old keys of the journal are still there.", "keys", len(keys), "reason", err.Error())
				break
			}
			ld.collected(keys)
		}
	}
}

// remove removes keys, each of which is written once and never again, so that a second
// try does no harm. Settle ends with the reign: a call that may change something goes on
// until its deadline, or for 10 s, and would hold the node's next reign up.
func (ld *lead) remove(ctx context.Context, keys []string) error {
	call, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	settling := kv.CommitOptions{Clock: ld.clock, HedgeDelay: collectHedge, RefusedTimeout: collectRefused}
	_, _, err := ld.parts.Store.CommitWithRetry(call, settling, kv.Txn{
		Conditions: []kv.Condition{{Key: joblog.Leader, Revision: ld.reign.Token}},
		Deletes:    keys,
	})
	return err
}

// removable returns the keys that nobody needs, in groups for one write each.
func (ld *lead) removable() [][]string {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded || !ld.cell.Recovered() {
		return nil
	}
	var keys []string
	for key, ids := range ld.batches.ids {
		if !ld.anyKnown(ids) {
			keys = append(keys, key)
		}
	}
	for key, recs := range ld.records.keys {
		if !ld.needed(key, recs) {
			keys = append(keys, key)
		}
	}
	const most = kv.MaxEntries - 1 // one is the condition
	var groups [][]string
	for len(keys) > 0 {
		n := min(len(keys), most)
		groups = append(groups, keys[:n])
		keys = keys[n:]
	}
	return groups
}

func (ld *lead) anyKnown(ids []string) bool {
	for _, id := range ids {
		if ld.cell.Retains(id) {
			return true
		}
	}
	return false
}

// needed reports whether a record tells of a job or a worker that matters still. An
// ended job's record stays until its batch is gone: another planner would run the
// job again. Each planner records the workers that it uses anew.
func (ld *lead) needed(key string, recs []cell.Record) bool {
	own := key >= joblog.RecordKey(ld.reign.Token, 0)
	for _, rec := range recs {
		if rec.Job != "" && (ld.cell.Retains(rec.Job) || ld.batches.held[rec.Job] > 0) {
			return true
		}
		if known, _ := ld.cell.Listed(rec.Worker); rec.Worker != "" && !rec.Stop && own && known {
			return true
		}
	}
	return false
}

func (ld *lead) collected(keys []string) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, key := range keys {
		ld.batches.drop(key)
		delete(ld.records.keys, key)
	}
}
