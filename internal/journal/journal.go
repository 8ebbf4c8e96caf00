// Package journal stores records by group commit: one write to the platform's store carries all records of the last few
// milliseconds.
//
// A journal is a ring of keys. Each write replaces the next key in the ring by compare-and-swap, and carries along the
// records in it that are still current. The successor of a failed node seals the node's journal by winning the
// compare-and-swap on the next key. All later writes by the failed node are refused, even if it was only paused.
package journal

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/wake"
	"tackbeam.example/tackbeam/internal/wire"
)

// Prefix is the prefix of all journals in the store.
const Prefix = "journal/"

const (
	// slots is the number of keys in the ring.
	slots = 64
	// maxBatch is the maximum size of new records in one write.
	maxBatch = 256 << 10
	// maxWrite leaves space for the encoding within the store's maximum value size.
	maxWrite = 900 << 10
	// maxLiveBytes limits the size of all current records in a journal.
	maxLiveBytes = 24 << 20
	// linger is how long the first record of a batch waits for others.
	linger = 4 * time.Millisecond
)

// batch is the value of one key.
type batch struct {
	Seq     uint64           `cbor:"1,keyasint"`
	WriteID string           `cbor:"2,keyasint"`
	Sealed  bool             `cbor:"3,keyasint,omitempty"`
	Records []nodemsg.Record `cbor:"4,keyasint,omitempty"`
	// ReplacedSeq is the number of the batch that a seal replaced and whose records it carries.
	ReplacedSeq uint64 `cbor:"5,keyasint,omitempty"`
}

// order returns the position of the batch's records in the journal.
func (bt batch) order() uint64 {
	if bt.Sealed {
		return bt.ReplacedSeq
	}
	return bt.Seq
}

// location is the slot with the latest version of a record.
type location struct {
	slot   int
	record nodemsg.Record
}

// Pending is an append that is in progress.
type Pending struct {
	records []nodemsg.Record
	done    chan struct{}
	err     error
}

// Done returns a channel that is closed when the records are stored or certainly refused.
func (pd *Pending) Done() <-chan struct{} { return pd.done }

// Err returns the error of the append, or nil. It is valid once Done is closed.
func (pd *Pending) Err() error { return pd.err }

// Journal is the journal written by this node.
type Journal struct {
	clock clockwork.Clock
	log   logr.Logger
	store *store.Client
	name  string

	mu        sync.Mutex
	queue     []*Pending
	locations map[string]location
	liveBytes int
	versions  [slots]uint64
	seq       uint64
	fenced    bool
	wake      wake.Signal
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New returns an empty journal with a name that was not used before.
func New(clock clockwork.Clock, log logr.Logger, cl *store.Client, name string) *Journal {
	jr := &Journal{
		clock: clock, log: log.WithName("journal"), store: cl, name: name,
		locations: map[string]location{}, wake: wake.New(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	jr.cancel = cancel
	jr.wg.Go(func() {
		jr.run(ctx)
	})
	return jr
}

func (jr *Journal) Name() string { return jr.name }

// Stop stops writing. The outcome of an append that is in progress remains unknown.
func (jr *Journal) Stop() {
	jr.cancel()
	jr.wg.Wait()
}

func key(name string, slot int) string { return fmt.Sprintf("%s%s/%02d", Prefix, name, slot) }

// Append queues records to be written. A record without a value deletes its key.
func (jr *Journal) Append(records ...nodemsg.Record) *Pending {
	pd := &Pending{records: records, done: make(chan struct{})}
	jr.mu.Lock()
	defer jr.mu.Unlock()
	switch {
	case jr.fenced:
		pd.fail(errFenced(jr.name))
	case jr.liveBytes > maxLiveBytes:
		pd.fail(fault.New(fault.Full, "journal full; retry when jobs have ended"))
	default:
		jr.queue = append(jr.queue, pd)
		jr.wake.Give()
	}
	return pd
}

func (pd *Pending) fail(err error) {
	pd.err = err
	close(pd.done)
}

func errFenced(name string) error {
	return fault.New(fault.Unavailable, "journal %s was taken over by another node", name)
}

// Wait waits for an append. If the context ends first, records that were not sent are withdrawn, and the error means
// that nothing was stored. If they were sent, the error is marked with AfterStart.
func (jr *Journal) Wait(ctx context.Context, pd *Pending) error {
	select {
	case <-pd.Done():
		return pd.err
	case <-ctx.Done():
	}
	jr.mu.Lock()
	defer jr.mu.Unlock()
	for i, waiting := range jr.queue {
		if waiting == pd {
			jr.queue = append(jr.queue[:i:i], jr.queue[i+1:]...)
			pd.fail(fault.New(fault.Unavailable, "store did not accept the record in time"))
			return pd.err
		}
	}
	return fault.New(fault.Unavailable, "store has not confirmed the record in time").AfterStart()
}

// run writes batches until the context ends.
func (jr *Journal) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			jr.failAll(fault.New(fault.Unavailable, "node is stopping"))
			return
		case <-jr.wake:
		}
		jr.clock.Sleep(linger)
		for jr.writeNext(ctx) {
		}
	}
}

func (jr *Journal) failAll(err error) {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	for _, pd := range jr.queue {
		pd.fail(err)
	}
	jr.queue = nil
}

// writeNext writes the next batch and reports whether there may be another one.
func (jr *Journal) writeNext(ctx context.Context) bool {
	bt, appends, slot, version := jr.next()
	if bt == nil {
		return false
	}
	raw, err := wire.Encode(bt)
	if err == nil {
		err = jr.put(ctx, slot, version, raw)
	}
	jr.commit(bt, slot, err)
	for _, pd := range appends {
		pd.fail(err)
	}
	return err == nil
}

// next builds the next batch from the records that must be carried along and as many queued appends as fit. It also
// returns these appends, the slot and the version of its key.
func (jr *Journal) next() (*batch, []*Pending, int, uint64) {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	if jr.fenced || len(jr.queue) == 0 {
		return nil, nil, 0, 0
	}
	slot := int(jr.seq % slots)
	bt := &batch{Seq: jr.seq + 1, WriteID: ids.Random(8)}
	size := 0
	for _, loc := range jr.locations {
		if loc.slot == slot {
			bt.Records = append(bt.Records, loc.record)
			size += approxSize(loc.record)
		}
	}
	sort.Slice(bt.Records, func(i, j int) bool { return bt.Records[i].Key < bt.Records[j].Key })
	var appends []*Pending
	newSize := 0
	for len(jr.queue) > 0 {
		appendSize := 0
		for _, rec := range jr.queue[0].records {
			appendSize += approxSize(rec)
		}
		if size+newSize+appendSize > maxWrite || newSize > 0 && newSize+appendSize > maxBatch {
			break
		}
		newSize += appendSize
		bt.Records = append(bt.Records, jr.queue[0].records...)
		appends = append(appends, jr.queue[0])
		jr.queue = jr.queue[1:]
	}
	return bt, appends, slot, jr.versions[slot]
}

// approxSize returns the approximate size of a record in the store.
func approxSize(rec nodemsg.Record) int {
	const overhead = 24
	return len(rec.Key) + len(rec.Value) + overhead
}

// put writes a slot and retries until the store has answered.
func (jr *Journal) put(ctx context.Context, slot int, version uint64, raw []byte) error {
	item, ok, err := jr.store.Put(ctx, store.Journal, store.Write{
		Key: key(jr.name, slot), Value: raw, Version: version,
	})
	if err != nil {
		return err
	}
	if !ok {
		return errFenced(jr.name)
	}
	jr.mu.Lock()
	defer jr.mu.Unlock()
	jr.versions[slot] = item.Version
	return nil
}

// commit records the locations of a written batch's records.
func (jr *Journal) commit(bt *batch, slot int, err error) {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	if err != nil {
		jr.fenced = true
		jr.log.Error(err, "Journal can no longer be written.", "journal", jr.name)
		return
	}
	jr.seq = bt.Seq
	for _, rec := range bt.Records {
		if old, ok := jr.locations[rec.Key]; ok {
			jr.liveBytes -= approxSize(old.record)
			delete(jr.locations, rec.Key)
		}
		if len(rec.Value) > 0 {
			jr.locations[rec.Key] = location{slot: slot, record: rec}
			jr.liveBytes += approxSize(rec)
		}
	}
}

// Fenced reports whether another node has sealed this journal.
func (jr *Journal) Fenced() bool {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	return jr.fenced
}
