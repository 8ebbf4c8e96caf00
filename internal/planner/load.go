package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
)

// readRecords reads what earlier planners wrote.
func (ld *lead) readRecords(ctx context.Context) ([]kv.Item, bool) {
	reading := ld.parts.Store.Scan(ld.clock, joblog.Records)
	for {
		if reading.Continue(ctx) == nil {
			return reading.Items(), true
		}
		if !loop.Pause(ctx, ld.clock, readPause) {
			return nil, false
		}
	}
}

// readPause is the pause between two tries to read a page of the records.
const readPause = 50 * time.Millisecond

// takeBatches takes in accepted jobs and cancels; the first time, with the records
// of earlier planners.
func (ld *lead) takeBatches(items []kv.Item, whole bool, old []kv.Item) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.now()
	for _, item := range items {
		if item.Deleted {
			continue
		}
		bt, err := joblog.Decode[joblog.Batch](item.Value)
		if err != nil {
			ld.log.Error(err, "A batch of the journal cannot be read.", "key", item.Key)
			continue
		}
		ld.takeBatch(now, item.Key, item.Revision, &bt)
	}
	if whole && !ld.loaded {
		ld.restore(now, old)
		ld.loaded = true
		close(ld.journaled)
		ld.log.Info("Journal is read.", "batches", len(items), "writes", len(old), "after", now.String())
	}
	ld.settle(now)
	ld.kick()
}

// written takes in a batch that its node told of. Before the journal has been read whole, that
// shows it soon enough.
func (ld *lead) written(wr joblog.WrittenBatch) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.loaded {
		ld.takeBatch(ld.now(), wr.Key, wr.Revision, &wr.Batch)
		ld.kick()
	}
}

// takeBatch takes a batch in, unless it was before.
func (ld *lead) takeBatch(now time.Duration, key string, revision uint64, bt *joblog.Batch) {
	if ld.batches.has(key) {
		return
	}
	inherited := revision < ld.reign.Token
	age := bt.Age(ld.wall())
	for at := range bt.Jobs {
		jb := &bt.Jobs[at]
		if qu, ok := ld.parts.Queue(jb.Queue.Name); ok {
			jb.Queue = jb.Queue.Later(qu)
		}
		if ws, ok := ld.parts.Workspace(jb.Workspace.Name); ok {
			jb.Workspace = jb.Workspace.Later(ws)
		}
		if inherited {
			ld.cell.AddAged(now, age, jb)
		} else {
			ld.cell.Add(now, jb, false)
		}
		ld.log.Info("Job taken in.", "job", jb.ID, "queue", jb.Queue.Name, "revision", revision, "inherited", inherited)
	}
	for _, id := range bt.Cancels {
		ld.cell.Cancel(now, id, bt.Cancellers[id])
		ld.log.Info("Cancel taken in.", "job", id, "revision", revision)
	}
	ld.batches.add(key, bt)
}

// restore takes in what earlier planners recorded.
func (ld *lead) restore(now time.Duration, items []kv.Item) {
	var all []cell.Record
	workers := map[incarnation.ID]cell.Record{}
	stops := map[incarnation.ID][]cell.Run{}
	for at, item := range items {
		recs, err := joblog.Decode[[]cell.Record](item.Value)
		if err != nil {
			ld.log.Error(err, "Records of an earlier planner cannot be read.", "key", item.Key)
			continue
		}
		ld.records.keep(item.Key, recs)
		for _, rec := range recs {
			switch {
			case rec.Stop && at >= len(items)-recentWrites:
				stops[rec.Worker] = append(stops[rec.Worker], rec.Held...)
			case rec.Worker != "" && !rec.Stop:
				workers[rec.Worker] = rec
			}
		}
		all = append(all, recs...)
	}
	ld.cell.Restore(now, all)
	for id, rec := range workers {
		if rec.Gone {
			continue
		}
		ld.cell.InheritRuns(now, id, rec.Held)
		ld.cell.InheritStops(now, id, stops[id])
		if rec.Departed {
			ld.cell.InheritDeparted(now, id)
		}
		ld.old[id] = !rec.Closed
		ld.earlier[id.WorkerID()] = append(ld.earlier[id.WorkerID()], id)
	}
}

// recentWrites is the number of the journal's last writes in which stops may be that
// are not over: writes are commitGap apart, a stop takes up to 0.9 s.
const recentWrites = 40

// settle lets workers lapse that no list names any more, and frees the old tasks once
// no worker can hold any of them unknown.
func (ld *lead) settle(now time.Duration) {
	if !ld.loaded {
		return
	}
	open := 0
	for id, any := range ld.old {
		if _, ok := ld.sessions[id]; !ok && now > ld.lapseUnknown() {
			ld.lapseOld(now, id)
		} else if any {
			open++
		}
	}
	if open == 0 && !ld.cell.Recovered() {
		ld.cell.FinishRecovery()
		ld.log.Info("Whereabouts of all tasks are known.", "after", now.String(), "silent", len(ld.old))
	}
}

// lapseUnknown is when a worker that an earlier planner held has surely ended all
// that it ran, if it has not answered this one: the earlier planner renewed it for
// the last time at most unproven after its last proof.
func (ld *lead) lapseUnknown() time.Duration {
	return unproven + time.Duration(float64(ld.lease)*(1+drift)) + time.Second
}

func (ld *lead) lapseOld(now time.Duration, id incarnation.ID) {
	delete(ld.old, id)
	ld.cell.LeaseExpired(now, id)
	ld.log.Info("Worker of an earlier planner has lapsed.", "worker", id)
}
