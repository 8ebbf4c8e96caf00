package journal

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/wire"
)

// read returns a journal's batches and the versions of its keys, both by slot.
func read(ctx context.Context, cl *store.Client, name string) (map[int]batch, map[int]uint64, error) {
	items, _, err := cl.List(ctx, store.Ownership, Prefix+name+"/")
	if err != nil {
		return nil, nil, err
	}
	batches, versions := map[int]batch{}, map[int]uint64{}
	for _, item := range items {
		var slot int
		if _, err := fmt.Sscanf(strings.TrimPrefix(item.Key, Prefix+name+"/"), "%d", &slot); err != nil {
			return nil, nil, errors.Wrapf(err, "journal key %s", item.Key)
		}
		var bt batch
		if err := wire.Decode(item.Value, &bt); err != nil {
			return nil, nil, errors.Wrapf(err, "journal key %s", item.Key)
		}
		batches[slot], versions[slot] = bt, item.Version
	}
	return batches, versions, nil
}

// Seal prevents further writes to a journal and returns the latest record of each key. It only reads a journal that is
// already sealed.
func Seal(ctx context.Context, cl *store.Client, name string) ([]nodemsg.Record, error) {
	for {
		batches, versions, err := read(ctx, cl, name)
		if err != nil {
			return nil, err
		}
		head := newest(batches)
		if head.Sealed {
			return newestRecords(batches), nil
		}
		slot := int(head.Seq % slots)
		seal := batch{Seq: head.Seq + 1, WriteID: ids.Random(8), Sealed: true}
		// The seal replaces the slot's batch, so it must carry the batch's records.
		seal.Records, seal.ReplacedSeq = batches[slot].Records, batches[slot].Seq
		raw, err := wire.Encode(seal)
		if err != nil {
			return nil, err
		}
		_, ok, err := cl.Put(ctx, store.Ownership, store.Write{
			Key: key(name, slot), Value: raw, Version: versions[slot],
		})
		if err != nil {
			return nil, err
		}
		if ok {
			batches[slot] = seal
			return newestRecords(batches), nil
		}
	}
}

func newest(batches map[int]batch) batch {
	var head batch
	for _, bt := range batches {
		if bt.Seq > head.Seq {
			head = bt
		}
	}
	return head
}

// newestRecords returns the latest record of each key.
func newestRecords(batches map[int]batch) []nodemsg.Record {
	ordered := make([]batch, 0, len(batches))
	for _, bt := range batches {
		ordered = append(ordered, bt)
	}
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].order() < ordered[j].order() })
	last := map[string]nodemsg.Record{}
	for _, bt := range ordered {
		for _, rec := range bt.Records {
			last[rec.Key] = rec
		}
	}
	records := make([]nodemsg.Record, 0, len(last))
	for _, rec := range last {
		if len(rec.Value) > 0 {
			records = append(records, rec)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// Erase deletes a journal's records, which must no longer be needed. The seal remains: a writer that was paused all the
// time would otherwise take the empty slot for one that it has not used yet, and continue.
func Erase(ctx context.Context, cl *store.Client, name string) error {
	if _, err := Seal(ctx, cl, name); err != nil {
		return err
	}
	batches, versions, err := read(ctx, cl, name)
	if err != nil {
		return err
	}
	head := newest(batches)
	for slot, bt := range batches {
		wr := store.Write{Key: key(name, slot), Version: versions[slot], Delete: true}
		if bt.Seq == head.Seq {
			if len(bt.Records) == 0 {
				continue
			}
			wr.Delete = false
			if wr.Value, err = wire.Encode(batch{Seq: bt.Seq, WriteID: ids.Random(8), Sealed: true}); err != nil {
				return err
			}
		}
		if _, _, err := cl.Put(ctx, store.Other, wr); err != nil {
			return err
		}
	}
	return nil
}
