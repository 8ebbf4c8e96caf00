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

// partState is how far this node has come with a partition.
type partState int

const (
	// foreign partitions have another home; records of theirs may wait here
	// until that home has taken them over.
	foreign partState = iota
	adopting
	owned
)

// partition is a share of the workspaces.
type partition struct {
	state partState
	epoch uint64
}

// Sizes and times of handovers.
const (
	pageBytes    = 256 << 10
	adoptPause   = 100 * time.Millisecond
	handTimeout  = 5 * time.Second
	freezeWait   = 10 * time.Millisecond
	confirmDelay = 50 * time.Millisecond
	// confirmTry stands for some failed tries in the backoff of a confirmation.
	confirmTry = 3
)

// onMap takes partitions over and gives them up as the cluster map says.
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
			if pt.state != foreign {
				hm.freeze(i)
			}
			pt.state, pt.epoch = adopting, assigned.Epoch
			fresh = append(fresh, i)
		case !mine && pt.state != foreign:
			hm.freeze(i)
			pt.state, pt.epoch = foreign, 0
		case !mine:
			hm.dropTaken(i, assigned.Former, nd.JournalName())
		}
	}
	if len(fresh) > 0 {
		go hm.adoptAll(fresh, mp)
	}
}

// rejoin begins a new journal after others took this node out. What the old one
// holds is theirs. The caller holds the lock.
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

// freeze stops all work on a partition's jobs. The caller holds the lock.
func (hm *Home) freeze(part int) {
	for _, en := range hm.inPart(part) {
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

// inPart returns the partition's jobs, by id.
func (hm *Home) inPart(part int) []*entry {
	var list []*entry
	for id, en := range hm.jobs {
		if p, ok := ids.JobPartition(id); ok && p == part {
			list = append(list, en)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rec.ID < list[j].rec.ID })
	return list
}

// dropTaken forgets records that the partition's new home has confirmed. The
// caller holds the lock.
func (hm *Home) dropTaken(part int, former []string, log string) {
	for _, name := range former {
		if name == log {
			return
		}
	}
	var gone []nodemsg.Record
	for _, en := range hm.inPart(part) {
		gone = append(gone, nodemsg.Record{Key: en.rec.ID, Version: en.rec.Version + 1})
		hm.remove(en)
	}
	if len(gone) > 0 {
		hm.journal.Append(gone...)
	}
}

// adoptAll takes partitions over: it gathers their records, keeps them in this
// node's journal, sees their jobs through, and confirms.
func (hm *Home) adoptAll(parts []int, mp *clustermap.Map) {
	sealed := map[string][]nodemsg.Record{}
	done := map[int]uint64{}
	for _, part := range parts {
		epoch := mp.Homes[part].Epoch
		if !hm.adopt(part, epoch, mp.Homes[part].Former, sealed) {
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

// adopt takes one partition over; it reports false where the partition moved on.
func (hm *Home) adopt(part int, epoch uint64, former []string, sealed map[string][]nodemsg.Record) bool {
	for try := 0; hm.ctx.Err() == nil; try++ {
		if !hm.still(part, epoch) {
			return false
		}
		records, err := hm.gather(part, epoch, former, sealed)
		if err == nil {
			err = hm.keepAdopted(part, epoch, records)
		}
		if err == nil {
			return true
		}
		hm.Log.V(1).Info("Partition cannot be taken over yet.", "partition", part, "cause", err.Error())
		hm.Clock.Sleep(adoptPause)
	}
	return false
}

func (hm *Home) still(part int, epoch uint64) bool {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	return hm.parts[part].state == adopting && hm.parts[part].epoch == epoch
}

// keepAdopted puts records into this node's journal and then opens the partition.
func (hm *Home) keepAdopted(part int, epoch uint64, records map[string]nodemsg.Record) error {
	list := make([]job.Record, 0, len(records))
	var batch []nodemsg.Record
	var pending []*journal.Pending
	size := 0
	jr := hm.journalOf()
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
	hm.openPartition(part, epoch, list)
	return nil
}

// openPartition makes this node act as the partition's home.
func (hm *Home) openPartition(part int, epoch uint64, list []job.Record) {
	hm.mu.Lock()
	defer hm.mu.Unlock()
	if hm.parts[part].state != adopting || hm.parts[part].epoch != epoch {
		return
	}
	hm.dropStale(part, list)
	hm.parts[part].state = owned
	sort.Slice(list, func(i, j int) bool { return list[i].Submitted.Before(list[j].Submitted) })
	for _, rec := range list {
		hm.resume(rec)
	}
}

// dropStale forgets the copies that this node has from an earlier time as the
// partition's home. Those that were not handed back have ended elsewhere, and
// must not come back to life from this node's journal. The caller holds the lock.
func (hm *Home) dropStale(part int, list []job.Record) {
	handed := map[string]bool{}
	for _, rec := range list {
		handed[rec.ID] = true
	}
	var gone []nodemsg.Record
	for _, en := range hm.inPart(part) {
		hm.remove(en)
		if !handed[en.rec.ID] {
			gone = append(gone, nodemsg.Record{Key: en.rec.ID, Version: en.rec.Version + 1})
		}
	}
	if len(gone) > 0 {
		hm.journal.Append(gone...)
	}
}

// resume goes on with a job that was taken over. The caller holds the lock.
func (hm *Home) resume(rec job.Record) {
	en := newEntry(rec)
	en.kept = true
	hm.insert(en)
	switch rec.State {
	case job.Waiting:
		hm.step(policy.Event{Submit: hm.submitEvent(en, 0)})
	case job.Placed:
		en.begin()
		hm.step(policy.Event{Resume: &policy.Resume{
			Submit: *hm.submitEvent(en, 0), Running: len(rec.Places),
		}})
		hm.see(en, false)
	}
}

// confirm forgets the former journals of partitions that were taken over, and
// erases those that nobody needs any more.
func (hm *Home) confirm(done map[int]uint64) {
	hm.Clock.Sleep(confirmDelay)
	nd := hm.Member.Node()
	for hm.ctx.Err() == nil {
		var before *clustermap.Map
		ctx, cancel := context.WithTimeout(hm.ctx, handTimeout)
		err := hm.Member.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
			before = mp
			return mp.ConfirmTakeover(nd.Name, done)
		})
		cancel()
		if err == nil {
			hm.eraseUnused(before)
			return
		}
		hm.Log.V(1).Info("Takeover is not confirmed yet.", "cause", err.Error())
		hm.Clock.Sleep(store.Backoff(confirmTry))
	}
}

// eraseUnused erases the journals that were needed before and are not now.
func (hm *Home) eraseUnused(before *clustermap.Map) {
	needed := hm.Member.Map().JournalNames()
	for log := range before.JournalNames() {
		if needed[log] {
			continue
		}
		ctx, cancel := context.WithTimeout(hm.ctx, time.Minute)
		if err := journal.Erase(ctx, hm.Store, log); err != nil {
			hm.Log.V(1).Info("Journal is not erased.", "journal", log, "cause", err.Error())
		}
		cancel()
	}
}
