// Package intake accepts jobs and cancellations on every node. It writes them to the journal in batches and
// reports the outcome of each write exactly.
package intake

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/bootclock"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/wake"
)

// Timeouts and sizes of batches.
const (
	// minInterval is the minimum time between two batches of a node, in which jobs are collected.
	minInterval = 10 * time.Millisecond
	// hedge is how long a write may go without an answer before it is sent again; the store normally answers within
	// 4 ms.
	hedge = 80 * time.Millisecond
	// peerDelay is how long a write may go without an answer before it is sent through another node: two attempts of this
	// node have had no answer then.
	peerDelay = 3 * hedge
	// refusedRetryTime is how long a batch that the store refuses is retried.
	refusedRetryTime = 800 * time.Millisecond
	// commitTimeout limits the time to find out whether a batch was written.
	commitTimeout = 10 * time.Second
	// maxBytes keeps batches far below the store's maximum value size of 1 MB.
	maxBytes = 256 << 10
	// maxOpenWrites is the maximum number of batches without a known outcome.
	maxOpenWrites = 16
	// retryAfter is when a caller should try again after a refusal.
	retryAfter = time.Second
)

// Options configure an Intake.
type Options struct {
	Node string
	// NodeCount returns how many nodes share the store's rate.
	NodeCount func() int
	// WriteRate is the store's limit for writes per second, shared by all nodes.
	WriteRate float64
	// StoreDown reports that the store is unavailable: nothing is sent then.
	StoreDown func() bool
	// CommitThroughPeer, if set, is kv.CommitOptions.Peer of the writes.
	CommitThroughPeer func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error)
	// OnWritten, if set, is called with each batch that the store has, in addition to the answers to its callers.
	OnWritten func(wr joblog.WrittenBatch)
}

// Intake accepts the jobs and cancellations sent to one node.
type Intake struct {
	opts        Options
	clock       clockwork.Clock
	log         logr.Logger
	store       *kv.Store
	incarnation string

	mu      sync.Mutex
	pending *batch
	// full are earlier batches that have reached maxBytes and are written together with the pending one.
	full       []*batch
	openWrites int
	batchCount int
	wake       wake.Signal
}

// batch is the content of one write.
type batch struct {
	joblog.Batch
	bytes int
	done  chan struct{}
	err   error
}

// ids returns the ids of the batch's jobs, and those of cancelled jobs with a leading dash.
func (bt *batch) ids() []string {
	ids := make([]string, 0, len(bt.Jobs)+len(bt.Cancels))
	for at := range bt.Jobs {
		ids = append(ids, bt.Jobs[at].ID)
	}
	for _, id := range bt.Cancels {
		ids = append(ids, "-"+id)
	}
	return ids
}

// New returns an intake; Run writes its batches.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Intake {
	const base = 36
	return &Intake{
		opts: opts, clock: clock, log: log.WithName("intake"), store: st,
		incarnation: strconv.FormatUint(rand.Uint64(), base), wake: wake.New(),
	}
}

// Submit accepts a job. It returns nil once the journal has it, an error of kind BadRequest if the journal cannot hold
// it, one of kind Unavailable if the job will surely not run, and one of kind Timeout if that is unknown.
func (in *Intake) Submit(ctx context.Context, jb *work.Job) error {
	if err := checkEncoding(jb); err != nil {
		return fault.New(fault.BadRequest, "job %q cannot be stored: %v; not run", jb.ID, err)
	}
	const overhead = 200 // bytes of a job in addition to its spec
	return in.write(ctx, len(jb.Spec)+overhead*(1+len(jb.Steps)), func(bt *batch) { bt.Jobs = append(bt.Jobs, *jb) })
}

// checkEncoding returns an error if a value cannot be a part of a batch. It is checked by itself because a batch that
// cannot be encoded is refused with the jobs of all its callers.
func checkEncoding[T any](value T) error {
	_, err := joblog.Encode(value)
	return err
}

// unavailable returns the error for a batch that was not sent because the store is unavailable.
func unavailable() error {
	return fault.New(fault.Unavailable, "the store is unavailable; not run").WithRetryAfter(retryAfter)
}

// Cancel accepts a cancellation by a caller of the given workspace, or by any caller if that is empty. It returns
// the same errors as Submit.
func (in *Intake) Cancel(ctx context.Context, id, workspace string) error {
	if err := checkEncoding([]string{id, workspace}); err != nil {
		return fault.New(fault.BadRequest, "cancellation of job %q cannot be stored: %v", id, err)
	}
	return in.write(ctx, len(id)+len(workspace), func(bt *batch) {
		bt.Cancels = append(bt.Cancels, id)
		if workspace == "" {
			return
		}
		if bt.Cancellers == nil {
			bt.Cancellers = map[string]string{}
		}
		bt.Cancellers[id] = workspace
	})
}

func (in *Intake) write(ctx context.Context, bytes int, add func(*batch)) error {
	if in.opts.StoreDown() {
		return unavailable()
	}
	in.mu.Lock()
	if in.openWrites+len(in.full) >= maxOpenWrites {
		in.mu.Unlock()
		return fault.New(fault.Unavailable, "too many writes are pending; not run").WithRetryAfter(retryAfter)
	}
	if in.pending != nil && in.pending.bytes > maxBytes {
		in.full, in.pending = append(in.full, in.pending), nil
	}
	if in.pending == nil {
		in.pending = &batch{done: make(chan struct{})}
	}
	bt := in.pending
	add(bt)
	bt.bytes += bytes
	in.mu.Unlock()
	in.wake.Notify()
	select {
	case <-bt.done:
		return bt.err
	case <-ctx.Done():
		return fault.New(fault.Timeout, "the journal has not answered in time; send it again").MarkMayHaveRun()
	}
}

// Run writes batches until the context ends, and then the last one.
func (in *Intake) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			in.flush(&group)
			return
		case <-in.wake:
		}
		in.flush(&group)
		loop.Sleep(ctx, in.clock, in.interval())
	}
}

// interval returns the time between two batches, so that all nodes together use at most half of the store's write
// rate.
func (in *Intake) interval() time.Duration {
	const share = 0.5
	if in.opts.WriteRate <= 0 {
		return minInterval
	}
	return max(minInterval, time.Duration(float64(in.opts.NodeCount())/(in.opts.WriteRate*share)*float64(time.Second)))
}

// flush begins the writes of all batches that have been collected.
func (in *Intake) flush(group *sync.WaitGroup) {
	in.mu.Lock()
	batches := in.full
	if in.pending != nil {
		batches = append(batches, in.pending)
	}
	in.full, in.pending = nil, nil
	in.mu.Unlock()
	for _, bt := range batches {
		in.send(group, bt)
	}
}

// send begins the write of a batch.
func (in *Intake) send(group *sync.WaitGroup, bt *batch) {
	if in.opts.StoreDown() { // detected while the batch was collected
		bt.err = unavailable()
		close(bt.done)
		in.log.Info("Batch was not sent: store is unavailable.", "ids", bt.ids())
		return
	}
	in.mu.Lock()
	in.openWrites++
	in.batchCount++
	key := joblog.BatchKey(in.opts.Node, in.incarnation, in.batchCount)
	in.mu.Unlock()
	group.Go(func() {
		bt.err = in.commit(key, bt)
		close(bt.done)
		in.mu.Lock()
		in.openWrites--
		in.mu.Unlock()
	})
}

// commit writes a batch under a key that only this batch uses, so that a write whose answer was lost can be
// distinguished from one that failed.
func (in *Intake) commit(key string, bt *batch) error {
	bt.CreatedAt = bootclock.Wall(in.clock)
	raw, err := joblog.Encode(&bt.Batch)
	if err != nil {
		return fault.New(fault.Internal, "batch could not be encoded: %v", err)
	}
	txn := kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: raw}}}
	began := in.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	revision, _, err := in.store.CommitWithRetry(ctx, kv.CommitOptions{
		Clock: in.clock, HedgeDelay: hedge, Peer: in.opts.CommitThroughPeer, PeerDelay: peerDelay, RefusedTimeout: refusedRetryTime,
	}, txn)
	age := in.clock.Since(began)
	switch {
	case err == nil || errors.Is(err, kv.ErrConflict): // only this batch uses the key
		in.log.Info("Batch written.", "key", key, "ids", bt.ids(),
			"revision", revision, "took", age.String())
		if err == nil && in.opts.OnWritten != nil {
			go in.opts.OnWritten(joblog.WrittenBatch{Key: key, Revision: revision, Batch: bt.Batch}) // ends by its own timeout
		}
		return nil
	case errors.Is(err, kv.ErrRefused):
		in.log.Info("Store refused the batch.", "key", key, "ids", bt.ids(), "took", age.String())
		return fault.New(fault.Unavailable, "the store refused the write; not run").WithRetryAfter(retryAfter)
	}
	in.log.Info("Outcome of the batch is unknown.", "key", key, "ids", bt.ids(), "took", age.String(), "reason", err.Error())
	return fault.New(fault.Timeout, "the journal did not answer; send it again").MarkMayHaveRun()
}
