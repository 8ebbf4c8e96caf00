// Package journal keeps records in the platform's store by group commit: one
// write carries all records of the last moments.
//
// A journal is a ring of keys. Each write replaces the key after the former
// one by compare-and-swap, and first copies forward what still stands in it. The
// successor of a dead node seals its journal by winning the next key; whatever
// the dead node, perhaps only paused, writes afterwards is refused.
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

// Sizes of a journal.
const (
	// slots is the number of keys in the ring.
	slots = 64
	// maxBatch is the size of new records in one write.
	maxBatch = 256 << 10
	// maxWrite leaves room for the encoding within the store's largest value.
	maxWrite = 900 << 10
	// maxLive bounds what a journal keeps.
	maxLive = 24 << 20
	// linger is how long the first record of a batch waits for others.
	linger = 4 * time.Millisecond
)

// batch is the value of one key.
type batch struct {
	Seq     uint64           `cbor:"1,keyasint"`
	WriteID string           `cbor:"2,keyasint"`
	Sealed  bool             `cbor:"3,keyasint,omitempty"`
	Records []nodemsg.Record `cbor:"4,keyasint,omitempty"`
	// Was is the number of the batch whose records a seal carries on.
	Was uint64 `cbor:"5,keyasint,omitempty"`
}

// order is the place of the batch's records in the journal's order.
func (bt batch) order() uint64 {
	if bt.Sealed {
		return bt.Was
	}
	return bt.Seq
}

// place is where the newest copy of a record stands.
type place struct {
	slot   int
	record nodemsg.Record
}

// Pending is an append under way.
type Pending struct {
	records []nodemsg.Record
	done    chan struct{}
	err     error
}

// Done is closed when the records are kept or surely refused.
func (pd *Pending) Done() <-chan struct{} { return pd.done }

// Err returns why the records are not kept; it is valid after Done.
func (pd *Pending) Err() error { return pd.err }

// Journal is the journal that this node writes.
type Journal struct {
	clock clockwork.Clock
	log   logr.Logger
	store *store.Client
	name  string

	mu       sync.Mutex
	queue    []*Pending
	places   map[string]place
	live     int
	versions [slots]uint64
	seq      uint64
	fenced   bool
	wake     wake.Signal
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// New returns an empty journal of a fresh name.
func New(clock clockwork.Clock, log logr.Logger, cl *store.Client, name string) *Journal {
	jr := &Journal{
		clock: clock, log: log.WithName("journal"), store: cl, name: name,
		places: map[string]place{}, wake: wake.New(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	jr.cancel = cancel
	jr.wg.Go(func() {
		jr.run(ctx)
	})
	return jr
}

// Name returns the journal's name.
func (jr *Journal) Name() string { return jr.name }

// Stop ends the writing; appends that are still under way fail as unknown.
func (jr *Journal) Stop() {
	jr.cancel()
	jr.wg.Wait()
}

func key(name string, slot int) string { return fmt.Sprintf("%s%s/%02d", Prefix, name, slot) }

// Append puts records in line. A record without a value ends its key.
func (jr *Journal) Append(records ...nodemsg.Record) *Pending {
	pd := &Pending{records: records, done: make(chan struct{})}
	jr.mu.Lock()
	defer jr.mu.Unlock()
	switch {
	case jr.fenced:
		pd.fail(errFenced(jr.name))
	case jr.live > maxLive:
		pd.fail(fault.New(fault.Full, "the journal is full; come back when jobs have ended"))
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

// Wait waits for an append. When the context ends first, records that were
// not yet sent are withdrawn and the error says that nothing was kept; otherwise
// the error is marked as begun.
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
			pd.fail(fault.New(fault.Unavailable, "the store did not take the record in time"))
			return pd.err
		}
	}
	return fault.New(fault.Unavailable, "the store has not confirmed the record in time").MarkMayHaveRun()
}

// run writes one batch after another.
func (jr *Journal) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			jr.failAll(fault.New(fault.Unavailable, "the node is stopping"))
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

// writeNext writes the next batch and reports whether there may be more.
func (jr *Journal) writeNext(ctx context.Context) bool {
	bt, taken, slot, version := jr.next()
	if bt == nil {
		return false
	}
	raw, err := wire.Encode(bt)
	if err == nil {
		err = jr.put(ctx, slot, version, raw)
	}
	jr.commit(bt, slot, err)
	for _, pd := range taken {
		pd.fail(err)
	}
	return err == nil
}

// next takes what fits from the queue and adds what must be copied forward.
func (jr *Journal) next() (*batch, []*Pending, int, uint64) {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	if jr.fenced || len(jr.queue) == 0 {
		return nil, nil, 0, 0
	}
	slot := int(jr.seq % slots)
	bt := &batch{Seq: jr.seq + 1, WriteID: ids.Random(8)}
	size := 0
	for _, pl := range jr.places {
		if pl.slot == slot {
			bt.Records = append(bt.Records, pl.record)
			size += weight(pl.record)
		}
	}
	sort.Slice(bt.Records, func(i, j int) bool { return bt.Records[i].Key < bt.Records[j].Key })
	var taken []*Pending
	fresh := 0
	for len(jr.queue) > 0 {
		more := 0
		for _, rec := range jr.queue[0].records {
			more += weight(rec)
		}
		if size+fresh+more > maxWrite || fresh > 0 && fresh+more > maxBatch {
			break
		}
		fresh += more
		bt.Records = append(bt.Records, jr.queue[0].records...)
		taken = append(taken, jr.queue[0])
		jr.queue = jr.queue[1:]
	}
	return bt, taken, slot, jr.versions[slot]
}

// weight is the size of a record in the store, roughly.
func weight(rec nodemsg.Record) int {
	const overhead = 24
	return len(rec.Key) + len(rec.Value) + overhead
}

// put writes a slot, for as long as it takes, until the store has answered.
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

// commit notes where the records of a written batch stand now.
func (jr *Journal) commit(bt *batch, slot int, err error) {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	if err != nil {
		jr.fenced = true
		jr.log.Error(err, "Journal cannot be written any more.", "journal", jr.name)
		return
	}
	jr.seq = bt.Seq
	for _, rec := range bt.Records {
		if old, ok := jr.places[rec.Key]; ok {
			jr.live -= weight(old.record)
			delete(jr.places, rec.Key)
		}
		if len(rec.Value) > 0 {
			jr.places[rec.Key] = place{slot: slot, record: rec}
			jr.live += weight(rec)
		}
	}
}

// Fenced reports whether another node has sealed this journal.
func (jr *Journal) Fenced() bool {
	jr.mu.Lock()
	defer jr.mu.Unlock()
	return jr.fenced
}
