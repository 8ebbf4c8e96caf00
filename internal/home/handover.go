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

// hand gives a page of a partition's records to its new home, once no step on
// its jobs is under way.
func (hm *Home) hand(ctx context.Context, hp nodemsg.HandPartition) (nodemsg.Records, error) {
	if hp.Partition < 0 || hp.Partition >= ids.Partitions {
		return nodemsg.Records{}, fault.New(fault.BadRequest, "no partition %d", hp.Partition)
	}
	for {
		hm.mu.Lock()
		if hm.journal.Name() != hp.Log {
			hm.mu.Unlock()
			return nodemsg.Records{}, fault.New(fault.NotFound, "this node does not write journal %s", hp.Log)
		}
		if hm.Member.Map().Homes[hp.Partition].Epoch < hp.Epoch {
			hm.mu.Unlock() // the map that moves the partition has not come yet
		} else if list, ok := hm.quiet(hp); ok {
			hm.mu.Unlock()
			return page(list)
		} else {
			hm.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nodemsg.Records{}, fault.New(fault.Unavailable, "work on partition %d is still under way", hp.Partition)
		case <-hm.Clock.After(freezeWait):
		}
	}
}

// quiet returns the records of a frozen partition after a key, or false while a
// step on one of its jobs is under way. The caller holds the lock.
func (hm *Home) quiet(hp nodemsg.HandPartition) ([]job.Record, bool) {
	if hm.parts[hp.Partition].state == owned {
		return nil, false
	}
	var list []job.Record
	for _, en := range hm.inPart(hp.Partition) {
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

// gather returns the newest record of each job of the partition, from all the
// journals that may hold some.
func (hm *Home) gather(
	part int, epoch uint64, former []string, sealed map[string][]nodemsg.Record,
) (map[string]nodemsg.Record, error) {
	best := map[string]nodemsg.Record{}
	for _, log := range former {
		records, err := hm.recordsOf(part, epoch, log, sealed)
		if err != nil {
			return nil, err
		}
		for _, rec := range records {
			if p, ok := ids.JobPartition(rec.Key); !ok || p != part {
				continue
			}
			if old, ok := best[rec.Key]; !ok || rec.Version > old.Version {
				best[rec.Key] = rec
			}
		}
	}
	return best, nil
}

// recordsOf reads one journal: from the node that writes it if it is a member
// still, otherwise from the store, sealed first.
func (hm *Home) recordsOf(
	part int, epoch uint64, log string, sealed map[string][]nodemsg.Record,
) ([]nodemsg.Record, error) {
	mp := hm.Member.Map()
	for _, nd := range mp.Nodes {
		if nd.JournalName() == log {
			return hm.fetch(nd, nodemsg.HandPartition{Partition: part, Epoch: epoch, Log: log})
		}
	}
	if records, ok := sealed[log]; ok {
		return records, nil
	}
	ctx, cancel := context.WithTimeout(hm.ctx, handTimeout)
	defer cancel()
	records, err := journal.Seal(ctx, hm.Store, log)
	if err == nil {
		sealed[log] = records
	}
	return records, err
}

// fetch asks a node for all pages of a partition's records.
func (hm *Home) fetch(nd clustermap.Node, hp nodemsg.HandPartition) ([]nodemsg.Record, error) {
	ctx, cancel := context.WithTimeout(hm.ctx, handTimeout)
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
	ctx context.Context, nd clustermap.Node, hp nodemsg.HandPartition,
) (nodemsg.Records, error) {
	if nd.Name == hm.Member.Node().Name {
		return hm.hand(ctx, hp)
	}
	return peer.Call[nodemsg.HandPartition, nodemsg.Records](
		ctx, hm.Peer, nd.Peer, nodemsg.KindHandPartition, hp)
}
