package home

import (
	"context"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/journal"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// servePartition returns a page of a partition's records to its new home, once no operation on its jobs is in progress.
func (hm *Home) servePartition(ctx context.Context, hp nodemsg.FetchPartition) (nodemsg.Records, error) {
	if hp.Partition < 0 || hp.Partition >= ids.Partitions {
		return nodemsg.Records{}, fault.New(fault.BadRequest, "no partition %d", hp.Partition)
	}
	for {
		hm.mu.Lock()
		if hm.journal.Name() != hp.Journal {
			hm.mu.Unlock()
			return nodemsg.Records{}, fault.New(fault.NotFound, "this node does not write journal %s", hp.Journal)
		}
		if hm.Member.Map().Homes[hp.Partition].Epoch < hp.Epoch {
			hm.mu.Unlock() // this node has not received the map that moves the partition
		} else if list, ok := hm.frozenRecords(hp); ok {
			hm.mu.Unlock()
			return page(list)
		} else {
			hm.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nodemsg.Records{}, fault.New(fault.Unavailable, "operations on jobs of partition %d are still in progress", hp.Partition)
		case <-hm.Clock.After(freezePollInterval):
		}
	}
}

// frozenRecords returns the records of a frozen partition with keys after hp.After, or false while an operation on one
// of its jobs is in progress. The caller holds the lock.
func (hm *Home) frozenRecords(hp nodemsg.FetchPartition) ([]job.Record, bool) {
	if hm.parts[hp.Partition].state == owned {
		return nil, false
	}
	var list []job.Record
	for _, en := range hm.jobsOf(hp.Partition) {
		if en.busy > 0 || !en.frozen {
			return nil, false
		}
		if en.rec.ID > hp.After {
			list = append(list, en.rec)
		}
	}
	return list, true
}

func page(list []job.Record) (nodemsg.Records, error) {
	var res nodemsg.Records
	size := 0
	for _, rec := range list {
		raw, err := rec.Encode()
		if err != nil {
			return res, err
		}
		size += len(raw.Value)
		if size > pageBytes && len(res.Records) > 0 {
			res.More = true
			break
		}
		res.Records = append(res.Records, raw)
	}
	return res, nil
}

// collectRecords returns the latest record of each job of the partition, from all journals that may hold one.
func (hm *Home) collectRecords(
	part int, epoch uint64, former []string, sealed map[string][]nodemsg.Record,
) (map[string]nodemsg.Record, error) {
	latest := map[string]nodemsg.Record{}
	for _, journalName := range former {
		records, err := hm.readJournal(part, epoch, journalName, sealed)
		if err != nil {
			return nil, err
		}
		for _, rec := range records {
			if p, ok := ids.JobPartition(rec.Key); !ok || p != part {
				continue
			}
			if old, ok := latest[rec.Key]; !ok || rec.Version > old.Version {
				latest[rec.Key] = rec
			}
		}
	}
	return latest, nil
}

// readJournal reads one journal: from the node that writes it while that node is a member, otherwise from the store,
// after the journal has been sealed.
func (hm *Home) readJournal(
	part int, epoch uint64, journalName string, sealed map[string][]nodemsg.Record,
) ([]nodemsg.Record, error) {
	mp := hm.Member.Map()
	for _, nd := range mp.Nodes {
		if nd.JournalName() == journalName {
			return hm.fetch(nd, nodemsg.FetchPartition{Partition: part, Epoch: epoch, Journal: journalName})
		}
	}
	if records, ok := sealed[journalName]; ok {
		return records, nil
	}
	ctx, cancel := context.WithTimeout(hm.ctx, handoverTimeout)
	defer cancel()
	records, err := journal.Seal(ctx, hm.Store, journalName)
	if err == nil {
		sealed[journalName] = records
	}
	return records, err
}

// fetch requests all pages of a partition's records from a node.
func (hm *Home) fetch(nd clustermap.Node, hp nodemsg.FetchPartition) ([]nodemsg.Record, error) {
	ctx, cancel := context.WithTimeout(hm.ctx, handoverTimeout)
	defer cancel()
	var all []nodemsg.Record
	for {
		res, err := hm.fetchPage(ctx, nd, hp)
		if err != nil {
			return nil, err
		}
		all = append(all, res.Records...)
		if !res.More || len(res.Records) == 0 {
			return all, nil
		}
		hp.After = res.Records[len(res.Records)-1].Key
	}
}

func (hm *Home) fetchPage(
	ctx context.Context, nd clustermap.Node, hp nodemsg.FetchPartition,
) (nodemsg.Records, error) {
	if nd.Name == hm.Member.Node().Name {
		return hm.servePartition(ctx, hp)
	}
	return peer.Call[nodemsg.FetchPartition, nodemsg.Records](
		ctx, hm.Peer, nd.Peer, nodemsg.KindFetchPartition, hp)
}
