// Package intake accepts jobs and cancels on every node: it writes them to the
// journal in batches and says what became of them, no more and no less.
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

// Times and sizes of batches.
const (
	// gap is the shortest time between two batches of a node; jobs gather in it.
	gap = 10 * time.Millisecond
	// hedge is how long a write may be without an answer before it is sent again: the
	// store answers in 4 ms.
	hedge = 80 * time.Millisecond
	// refusedFor is how long a batch that the store refuses is tried again.
	refusedFor = 800 * time.Millisecond
	// settleFor is how long a batch with an unknown outcome is settled.
	settleFor = 10 * time.Second
	// maxBytes keeps a batch far under the store's largest value of 1 MB.
	maxBytes = 256 << 10
	// maxWriting is the number of batches whose outcome may be open at once.
	maxWriting = 16
	// comeBack is when a caller should try again after the store refused.
	comeBack = time.Second
)

// Options of an intake.
type Options struct {
	Node string
	// NodeCount returns how many nodes share the store's rate.
	NodeCount func() int
	// WriteRate is the store's rate for all nodes, a second.
	WriteRate float64
	// StoreDown reports that the store is away: nothing is sent then.
	StoreDown func() bool
	// OnWritten is called, beside the callers' answers, with each batch that the store has; nil
	// calls nobody.
	OnWritten func(wr joblog.WrittenBatch)
}

// Intake is one node's intake.
type Intake struct {
	opts        Options
	clock       clockwork.Clock
	log         logr.Logger
	store       *kv.Store
	incarnation string

	mu      sync.Mutex
	open    *batch
	writing int
	count   int
	wake    wake.Signal
}

// batch is what waits for one write.
type batch struct {
	joblog.Batch
	bytes int
	done  chan struct{}
	err   error
}

// ids returns what the batch is about: the jobs' ids, and those of cancelled ones with
// a dash.
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

// New returns an intake that Run serves.
func New(clock clockwork.Clock, log logr.Logger, st *kv.Store, opts Options) *Intake {
	const base = 36
	return &Intake{
		opts: opts, clock: clock, log: log.WithName("intake"), store: st,
		incarnation: strconv.FormatUint(rand.Uint64(), base), wake: wake.New(),
	}
}

// Submit accepts a job. It returns nil once the journal has it, an error of kind
// Unavailable where it surely never runs, and Timeout where that is not known.
func (in *Intake) Submit(ctx context.Context, jb *work.Job) error {
	const overhead = 200 // bytes of a job beside its text
	return in.write(ctx, len(jb.Spec)+overhead*(1+len(jb.Steps)), func(bt *batch) { bt.Jobs = append(bt.Jobs, *jb) })
}

// away is the answer to what was not sent since the store is away.
func away() error {
	return fault.New(fault.Unavailable, "the store is away; not run").After(comeBack)
}

// Cancel accepts a cancel by a workspace's caller, or by any caller where that is empty, with the same errors.
func (in *Intake) Cancel(ctx context.Context, id, workspace string) error {
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
		return away()
	}
	in.mu.Lock()
	if in.writing >= maxWriting {
		in.mu.Unlock()
		return fault.New(fault.Unavailable, "too many writes are open; not run").After(comeBack)
	}
	if in.open == nil || in.open.bytes > maxBytes {
		in.open = &batch{done: make(chan struct{})}
	}
	bt := in.open
	add(bt)
	bt.bytes += bytes
	in.mu.Unlock()
	in.wake.Give()
	select {
	case <-bt.done:
		return bt.err
	case <-ctx.Done():
		return fault.New(fault.Timeout, "the journal has not answered in time; send it again").AfterStart()
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
		loop.Pause(ctx, in.clock, in.pause())
	}
}

// pause keeps all nodes together within half of the store's rate.
func (in *Intake) pause() time.Duration {
	const share = 0.5
	if in.opts.WriteRate <= 0 {
		return gap
	}
	return max(gap, time.Duration(float64(in.opts.NodeCount())/(in.opts.WriteRate*share)*float64(time.Second)))
}

func (in *Intake) flush(group *sync.WaitGroup) {
	in.mu.Lock()
	bt := in.open
	in.open = nil
	if bt == nil {
		in.mu.Unlock()
		return
	}
	if in.opts.StoreDown() { // found while the batch gathered
		in.mu.Unlock()
		bt.err = away()
		close(bt.done)
		in.log.Info("Batch was not sent: the store is away.", "ids", bt.ids())
		return
	}
	in.writing++
	in.count++
	key := joblog.BatchKey(in.opts.Node, in.incarnation, in.count)
	in.mu.Unlock()
	group.Go(func() {
		bt.err = in.commit(key, bt)
		close(bt.done)
		in.mu.Lock()
		in.writing--
		in.mu.Unlock()
	})
}

// commit writes a batch under a key that only it uses, so that a try whose answer
// was lost can be told from one that failed.
func (in *Intake) commit(key string, bt *batch) error {
	bt.CreatedAt = bootclock.Wall(in.clock)
	raw, err := joblog.Encode(&bt.Batch)
	if err != nil {
		return fault.New(fault.Internal, "batch cannot be written: %v", err)
	}
	txn := kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: raw}}}
	began := in.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), settleFor)
	defer cancel()
	revision, _, err := in.store.CommitWithRetry(ctx, kv.CommitOptions{Clock: in.clock, HedgeDelay: hedge, RefusedTimeout: refusedFor}, txn)
	age := in.clock.Since(began)
	switch {
	case err == nil || errors.Is(err, kv.ErrConflict): // only this batch uses the key
		in.log.Info("Batch is written.", "key", key, "ids", bt.ids(),
			"revision", revision, "took", age.String())
		if err == nil && in.opts.OnWritten != nil {
			go in.opts.OnWritten(joblog.WrittenBatch{Key: key, Revision: revision, Batch: bt.Batch}) // bounded by its call
		}
		return nil
	case errors.Is(err, kv.ErrRefused):
		in.log.Info("Batch was refused.", "key", key, "ids", bt.ids(), "took", age.String())
		return fault.New(fault.Unavailable, "the store refused the write; not run").After(comeBack)
	}
	in.log.Info("Batch's outcome is not known.", "key", key, "ids", bt.ids(), "took", age.String(), "reason", err.Error())
	return fault.New(fault.Timeout, "the journal did not answer; send it again").AfterStart()
}
