package home

import (
	"context"
	"sort"
	"time"

	policy "tackbeam.example/policy/home"
	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/journal"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/store"
)

// partState is the state of a partition on this node.
type partState int

const (
	// notOwned partitions have another home. This node may still have records of them until that home has taken them
	// over.
	notOwned partState = iota
	takingOver
	owned
)

// partition is the state of one partition. Each workspace belongs to one partition.
type partition struct {
	state partState
	epoch uint64
}

// Page size and times of handovers.
const (
	pageBytes          = 256 << 10
	takeOverRetryPause = 100 * time.Millisecond
	handoverTimeout    = 5 * time.Second
	freezePollInterval = 10 * time.Millisecond
	confirmDelay       = 50 * time.Millisecond
	// confirmBackoffTries is the number of failed tries for which the pause between confirmations is computed.
	confirmBackoffTries = 3
)

// onMap takes over and gives up partitions according to a new cluster map.
func (hm *Home) onMap(mp *clustermap.Map) {
	nd := hm.Member.Node()
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if hm.journal.Name() != nd.JournalName() {
		hm.rejoin(nd)
	}
	var fresh []int
	for i := range hm.parts {
		pt := &hm.parts[i]
		assigned := mp.Homes[i]
		mine := assigned.Node == nd.Name && mp.Has(nd)
		switch {
		case mine && pt.epoch != assigned.Epoch:
			if pt.state != notOwned {
				hm.freeze(i)
			}
			pt.state, pt.epoch = takingOver, assigned.Epoch
			fresh = append(fresh, i)
		case !mine && pt.state != notOwned:
			hm.freeze(i)
			pt.state, pt.epoch = notOwned, 0
		case !mine:
			hm.removeTakenOver(i, assigned.Former, nd.JournalName())
		}
	}
	if len(fresh) > 0 {
		go hm.takeOverAll(fresh, mp)
	}
}

// rejoin starts a new journal after other nodes removed this node from the cluster map. The records in the old journal
// belong to the new homes. The caller holds the lock.
func (hm *Home) rejoin(nd clustermap.Node) {
	old := hm.journal
	go old.Stop()
	hm.journal = journal.New(hm.Clock, hm.Log, hm.Store, nd.JournalName())
	for i := range hm.parts {
		hm.freeze(i)
		hm.parts[i] = partition{}
	}
	for _, en := range hm.jobs {
		hm.remove(en)
	}
}

// freeze stops all operations on a partition's jobs. The caller holds the lock.
func (hm *Home) freeze(part int) {
	for _, en := range hm.jobsOf(part) {
		if en.frozen {
			continue
		}
		en.frozen = true
		if !en.placing {
			hm.unreserve(en)
		}
		hm.step(policy.Event{Remove: &policy.Remove{Job: en.rec.ID}})
		en.kick.Give()
		en.notify()
	}
}

// jobsOf returns the partition's jobs, sorted by id.
func (hm *Home) jobsOf(part int) []*entry {
	var list []*entry
	for id, en := range hm.jobs {
		if p, ok := ids.JobPartition(id); ok && p == part {
			list = append(list, en)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rec.ID < list[j].rec.ID })
	return list
}

// removeTakenOver removes the records of a partition whose new home has confirmed the takeover. The caller holds the
// lock.
func (hm *Home) removeTakenOver(part int, former []string, journalName string) {
	for _, name := range former {
		if name == journalName {
			return
		}
	}
	var removals []nodemsg.Record
	for _, en := range hm.jobsOf(part) {
		removals = append(removals, nodemsg.Record{Key: en.rec.ID, Version: en.rec.Version + 1})
		hm.remove(en)
	}
	if len(removals) > 0 {
		hm.journal.Append(removals...)
	}
}

// takeOverAll takes over partitions: it collects their records, writes them to this node's journal, resumes their jobs,
// and confirms the takeover.
func (hm *Home) takeOverAll(parts []int, mp *clustermap.Map) {
	sealed := map[string][]nodemsg.Record{}
	done := map[int]uint64{}
	for _, part := range parts {
		epoch := mp.Homes[part].Epoch
		if !hm.takeOver(part, epoch, mp.Homes[part].Former, sealed) {
			continue
		}
		if len(mp.Homes[part].Former) > 0 {
			done[part] = epoch
		}
	}
	if len(done) > 0 {
		hm.confirm(done)
	}
}

// takeOver takes over one partition. It returns false if the partition was assigned again in the meantime.
func (hm *Home) takeOver(part int, epoch uint64, former []string, sealed map[string][]nodemsg.Record) bool {
	for try := 0; hm.ctx.Err() == nil; try++ {
		if !hm.stillTakingOver(part, epoch) {
			return false
		}
		records, err := hm.collectRecords(part, epoch, former, sealed)
		if err == nil {
			err = hm.persistTakenOver(part, epoch, records)
		}
		if err == nil {
			return true
		}
		hm.Log.V(1).Info("Partition could not be taken over, will retry.", "partition", part, "cause", err.Error())
		hm.Clock.Sleep(takeOverRetryPause)
	}
	return false
}

func (hm *Home) stillTakingOver(part int, epoch uint64) bool {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.parts[part].state == takingOver && hm.parts[part].epoch == epoch
}

// persistTakenOver writes the records to this node's journal and then activates the partition.
func (hm *Home) persistTakenOver(part int, epoch uint64, records map[string]nodemsg.Record) error {
	list := make([]job.Record, 0, len(records))
	var batch []nodemsg.Record
	var pending []*journal.Pending
	size := 0
	jr := hm.currentJournal()
	for _, raw := range records {
		rec, err := job.Decode(raw)
		if err != nil {
			return err
		}
		list = append(list, rec)
		batch = append(batch, raw)
		if size += len(raw.Value); size > pageBytes {
			pending = append(pending, jr.Append(batch...))
			batch, size = nil, 0
		}
	}
	if len(batch) > 0 {
		pending = append(pending, jr.Append(batch...))
	}
	for _, pd := range pending {
		select {
		case <-pd.Done():
			if pd.Err() != nil {
				return pd.Err()
			}
		case <-hm.ctx.Done():
			return hm.ctx.Err()
		}
	}
	hm.activatePartition(part, epoch, list)
	return nil
}

// activatePartition makes this node act as the partition's home.
func (hm *Home) activatePartition(part int, epoch uint64, list []job.Record) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if hm.parts[part].state != takingOver || hm.parts[part].epoch != epoch {
		return
	}
	hm.removeStale(part, list)
	hm.parts[part].state = owned
	sort.Slice(list, func(i, j int) bool { return list[i].Submitted.Before(list[j].Submitted) })
	for _, rec := range list {
		hm.resume(rec)
	}
}

// removeStale removes the copies that this node has from an earlier time as the partition's home. Jobs that were not
// handed back have ended elsewhere, and must not be resumed from this node's journal. The caller holds the lock.
func (hm *Home) removeStale(part int, list []job.Record) {
	handed := map[string]bool{}
	for _, rec := range list {
		handed[rec.ID] = true
	}
	var removals []nodemsg.Record
	for _, en := range hm.jobsOf(part) {
		hm.remove(en)
		if !handed[en.rec.ID] {
			removals = append(removals, nodemsg.Record{Key: en.rec.ID, Version: en.rec.Version + 1})
		}
	}
	if len(removals) > 0 {
		hm.journal.Append(removals...)
	}
}

// resume continues a job that was taken over. The caller holds the lock.
func (hm *Home) resume(rec job.Record) {
	en := newEntry(rec)
	en.persisted = true
	hm.insert(en)
	switch rec.State {
	case job.Waiting:
		hm.step(policy.Event{Submit: hm.submitEvent(en, 0)})
	case job.Placed:
		en.beginAttempt()
		hm.step(policy.Event{Resume: &policy.Resume{
			Submit: *hm.submitEvent(en, 0), Running: len(rec.Places),
		}})
		hm.runPlaced(en, false)
	}
}

// confirm removes the former journals of the taken-over partitions from the cluster map, and erases journals that are
// no longer needed.
func (hm *Home) confirm(done map[int]uint64) {
	hm.Clock.Sleep(confirmDelay)
	nd := hm.Member.Node()
	for hm.ctx.Err() == nil {
		var before *clustermap.Map
		ctx, cancel := context.WithTimeout(hm.ctx, handoverTimeout)
		err := hm.Member.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
			before = mp
			return mp.ConfirmTakeover(nd.Name, done)
		})
		cancel()
		if err == nil {
			hm.eraseUnused(before)
			return
		}
		hm.Log.V(1).Info("Takeover could not be confirmed, will retry.", "cause", err.Error())
		hm.Clock.Sleep(store.Backoff(confirmBackoffTries))
	}
}

// eraseUnused erases the journals that were needed by the previous map and are not needed by the current one.
func (hm *Home) eraseUnused(before *clustermap.Map) {
	needed := hm.Member.Map().JournalNames()
	for journalName := range before.JournalNames() {
		if needed[journalName] {
			continue
		}
		ctx, cancel := context.WithTimeout(hm.ctx, time.Minute)
		if err := journal.Erase(ctx, hm.Store, journalName); err != nil {
			hm.Log.V(1).Info("Journal could not be erased.", "journal", journalName, "cause", err.Error())
		}
		cancel()
	}
}
