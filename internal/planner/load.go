package planner

import (
	"context"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/memquota"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
)

// readRecords reads the records of earlier planners.
func (ld *leader) readRecords(ctx context.Context) ([]kv.Item, bool) {
	scanner := ld.opts.Store.Scan(ld.clock, joblog.Records)
	for {
		if scanner.Continue(ctx) == nil {
			return scanner.Items(), true
		}
		if !loop.Sleep(ctx, ld.clock, readRetryPause) {
			return nil, false
		}
	}
}

// readRetryPause is the pause before another attempt to read a page of the records.
const readRetryPause = 50 * time.Millisecond

// applyBatches applies accepted jobs and cancellations. The first complete read also restores the records of earlier
// planners. Cancellations come after these: a job that had ended when its cancellation came was shown so.
func (ld *leader) applyBatches(items []kv.Item, full bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	now := ld.now()
	first := full && !ld.loaded
	var writes []recordWrite
	if first {
		writes = ld.decodeRecords()
	}
	added, batches := []joblog.WrittenBatch{}, len(items)
	for at, item := range items {
		items[at].Value = nil // only one batch is needed at a time
		if item.Deleted || ld.batches.has(item.Key) {
			continue
		}
		bt, err := joblog.Decode[joblog.Batch](item.Value)
		if err != nil {
			ld.log.Error(err, "Batch of the journal cannot be decoded.", "key", item.Key)
			continue
		}
		wr := joblog.WrittenBatch{Key: item.Key, Revision: item.Revision, Batch: bt}
		ld.applyJobs(now, &wr)
		wr.Batch.Jobs = nil
		added = append(added, wr)
	}
	if first {
		runs, stops := ld.restore(now, writes, added)
		ld.loaded, ld.inheritedWorkers, ld.succeeded = true, len(ld.unresolved), nil
		close(ld.journalRead)
		ld.log.Info("Journal has been read.", "batches", batches, "writes", len(writes), "after", now.String(),
			"workers", ld.inheritedWorkers, "runs", runs, "stops", stops)
	} else {
		ld.applyCancels(now, added)
	}
	ld.checkRecovery(now)
	ld.schedulePlan()
}

// recordWrite is a write of records by an earlier planner.
type recordWrite struct {
	key     string
	records []cell.Record
}

// decodeRecords decodes the records of earlier planners, and notes which jobs have succeeded.
func (ld *leader) decodeRecords() []recordWrite {
	writes := make([]recordWrite, len(ld.old))
	ld.succeeded = map[string]bool{}
	for at, item := range ld.old {
		recs, err := joblog.Decode[[]cell.Record](item.Value)
		if err != nil {
			ld.log.Error(err, "Records of an earlier planner cannot be decoded.", "key", item.Key)
		}
		writes[at] = recordWrite{item.Key, recs}
		for _, rec := range recs {
			if rec.Phase == cell.Succeeded {
				ld.succeeded[rec.Job] = true
			}
		}
	}
	ld.old = nil
	return writes
}

// addBatch applies a batch that a node has announced, and returns the classes of its jobs of which no more may be accepted. Until
// the journal has been read completely, the batch is left to that read, and applied is false.
func (ld *leader) addBatch(wr joblog.WrittenBatch) (full []memquota.Class, applied bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.loaded {
		return nil, false
	}
	if !ld.batches.has(wr.Key) {
		ld.applyJobs(ld.now(), &wr)
		ld.applyCancels(ld.now(), []joblog.WrittenBatch{wr})
		ld.schedulePlan()
	}
	return ld.fullClasses(wr.Batch.Jobs), true
}

// applyJobs applies the jobs of a batch that has not been applied yet.
func (ld *leader) applyJobs(now time.Duration, wr *joblog.WrittenBatch) {
	inherited := wr.Revision < ld.term.Token
	age := wr.Batch.Age(ld.wall())
	for at := range wr.Batch.Jobs {
		jb := &wr.Batch.Jobs[at]
		accepted := jb.Queue.Version
		if ld.opts.OnVersion != nil {
			ld.opts.OnVersion(max(accepted, jb.Workspace.Version))
		}
		if qu, ok := ld.opts.Queue(jb.Queue.Name); ok {
			jb.Queue = jb.Queue.Later(qu)
		}
		if ws, ok := ld.opts.Workspace(jb.Workspace.Name); ok {
			jb.Workspace = jb.Workspace.Later(ws)
		}
		ld.addJob(now, age, jb, inherited)
		ld.log.Info("Job added.", "job", jb.ID, "queue", jb.Queue.Name, "revision", wr.Revision, "inherited", inherited,
			"version", jb.Queue.Version, "accepted_version", accepted)
	}
	ld.batches.add(wr.Key, &wr.Batch)
}

// applyCancels applies the cancellations of batches.
func (ld *leader) applyCancels(now time.Duration, batches []joblog.WrittenBatch) {
	for at := range batches {
		bt := &batches[at].Batch
		for _, id := range bt.Cancels {
			ld.cell.Cancel(now, id, bt.Cancellers[id])
			ld.log.Info("Cancellation added.", "job", id, "revision", batches[at].Revision)
		}
	}
}

// restore applies the records of earlier planners, and then the cancellations of batches. It returns how many runs the records
// name that workers may have, and how many of these may be being stopped.
func (ld *leader) restore(now time.Duration, writes []recordWrite, batches []joblog.WrittenBatch) (runCount, stopCount int) {
	var all []cell.Record
	workers := map[incarnation.ID]cell.Record{}
	ofPrevious := map[incarnation.ID]bool{} // whether the previous planner wrote the worker's record
	stops := map[incarnation.ID][]cell.Run{}
	for at, write := range writes {
		recs := write.records
		if recs == nil {
			continue
		}
		ld.records.keep(write.key, recs)
		previous := ld.isRecordOf(write.key, ld.term.Previous.Token)
		for _, rec := range recs {
			switch {
			case rec.Stop && at >= len(writes)-recentWrites:
				stops[rec.Worker] = append(stops[rec.Worker], rec.Held...)
			case rec.Worker != "" && !rec.Stop:
				workers[rec.Worker], ofPrevious[rec.Worker] = rec, previous
			case rec.LeasesResolved:
				ld.inheritedLeases.ofPreviousOnly = ld.inheritedLeases.ofPreviousOnly || previous
			}
		}
		for _, rec := range recs {
			if rec.Worker != "" {
				ld.standby.recorded[rec.Worker.WorkerID()] = true
			}
		}
		all = append(all, recs...)
	}
	ld.cell.Restore(now, all)
	ld.applyCancels(now, batches)
	for id, runs := range ld.cell.RecordedStarts() { // the worker may hold them, whatever its last record says
		rec, known := workers[id]
		workers[id] = cell.Record{
			Worker: id, Closed: !known || rec.Gone || rec.Closed, Held: append(rec.Held, runs...), Departed: rec.Departed, Unrenewed: rec.Unrenewed,
		}
	}
	for id, rec := range workers {
		if rec.Gone {
			continue
		}
		ld.cell.InheritRuns(now, id, rec.Held)
		ld.cell.InheritStops(now, id, stops[id])
		runCount, stopCount = runCount+len(ld.cell.HeldRuns(id)), stopCount+len(stops[id])
		if rec.Departed {
			ld.cell.InheritDeparted(now, id)
		}
		if rec.Unrenewed && ofPrevious[id] { // a planner in between may have renewed the lease
			ld.inheritedLeases.limit(id, ld.leaseBound()) // the record was written before the term began
		}
		ld.unresolved[id] = !rec.Closed
		ld.earlier[id.WorkerID()] = append(ld.earlier[id.WorkerID()], id)
	}
	return runCount, stopCount
}

// isRecordOf reports whether a key of records was written in a term.
func (ld *leader) isRecordOf(key string, token uint64) bool {
	return key >= joblog.RecordKey(token, 0) && key < joblog.RecordKey(token+1, 0)
}

// Workers omit a run that is being stopped from their reports, so a new planner needs the records of all stops that are not
// over. Nothing in the journal says that a stop is over.
const (
	// recentWrites is the number of last writes of the journal in which a new planner looks for such stops.
	recentWrites = 40
	// writesPerStopRecords is the number of writes after which a planner records them again. It leaves room for terms that
	// end before they have done so, and for records that do not fit into one write.
	writesPerStopRecords = recentWrites / 4
)

// checkRecovery expires the leases of workers of earlier planners that have no session. It completes the
// recovery, and so releases the tasks of earlier planners once no worker can run any of them without the planner
// knowing.
func (ld *leader) checkRecovery(now time.Duration) {
	if !ld.loaded {
		return
	}
	_, listRead := ld.workers.Age()
	awaited := recoveryLog{logged: ld.recoveryLog.logged}
	for id, any := range ld.unresolved {
		_, listed := ld.sessions[id]
		if !listed && now > ld.inheritedLeaseEnd(id) {
			ld.expireOld(now, id)
			continue
		}
		if !listed && listRead {
			ld.cell.Unreachable(now, id, ld.inheritedLeaseEnd(id))
		}
		if any {
			awaited.add(id)
		}
	}
	if len(ld.unresolved) == 0 && !ld.leasesResolved {
		ld.leasesResolved = true
		ld.cell.RecordLeasesResolved()
	}
	if awaited.count == 0 && !ld.cell.Recovered() {
		ld.cell.FinishRecovery()
		// No report of a worker that the recovery waits for has come since the term began.
		ld.log.Info("Recovery is complete: no earlier planner's task can be running unknown to this one.", "after", now.String(), "silent", len(ld.unresolved),
			"last", ld.recoveryLog.workers(), "last_count", ld.recoveryLog.count, "last_silent_for", now.String())
	}
	ld.recoveryLog = awaited
}

func (ld *leader) expireOld(now time.Duration, id incarnation.ID) {
	ld.log.Info("Lease of an earlier planner's worker has expired.", "worker", id, "after", now.String(), "bound", ld.inheritedLeaseEnd(id).String(),
		"runs", len(ld.cell.HeldRuns(id)))
	ld.resolveLost(id)
	ld.cell.LeaseExpired(now, id)
}

// resolveLost ends the wait for a worker of an earlier planner that was lost. The caller holds the lock.
func (ld *leader) resolveLost(id incarnation.ID) {
	if ld.unresolved[id] {
		ld.cell.RecordUnknownLoss()
	}
	delete(ld.unresolved, id)
}
