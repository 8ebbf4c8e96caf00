// Package planner runs the decisions of policy/cell while this node is the planner. It feeds them from the journal, the
// list of workers and the workers' reports, and carries out the resulting orders.
package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/leases"
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/term"
)

// WorkerEntry is a worker's entry in the list of workers, with the incarnation that wrote it.
type WorkerEntry struct {
	cell.Worker
	Address string
}

// Advice is the advisor's answer to an advice request: the workers that may run a step, with tickets that are valid for
// a limited time.
type Advice struct {
	Tickets  []cell.Ticket
	ValidFor time.Duration
}

// Options are the services that a planner uses. Tests may replace each of them.
type Options struct {
	Clock   clockwork.Clock
	Log     logr.Logger
	Store   *kv.Store
	Agents  *agent.Agents
	Site    *site.Site
	Metrics metrics.Registry
	// WorkersPrefix is the store's prefix of the list of workers. DecodeWorker decodes one entry of the list.
	WorkersPrefix string
	DecodeWorker  func(item kv.Item) (WorkerEntry, error)
	// EvacuationsPrefix is the store's prefix of the keys that name evacuated data halls; empty if the deployment has
	// none.
	EvacuationsPrefix string
	// Advise asks the advisor through the node that is expected to be free first.
	Advise func(ctx context.Context, qn cell.AdviceRequest) (Advice, error)
	// NodeCount returns the number of registered nodes, which send requests to the advisor; nil if it is not known.
	NodeCount func() int
	// ServiceInUse reports whether the configuration routes any queue to a service.
	ServiceInUse func(service string) bool
	// Queue returns the current settings of a queue, or false if it has no route.
	Queue func(name string) (work.Queue, bool)
	// OnVersion is called with the version of a job's settings before the job is planned; nil if it is not needed.
	OnVersion func(version uint64)
	// StoreOutage returns how long the latest outage of the store lasted for this node, and when it was over; nil if that is not
	// known.
	StoreOutage func() (length time.Duration, end time.Time)
	// Leases asks the node that led a term about the leases of workers that it renewed.
	Leases func(ctx context.Context, of term.Previous, rq leases.Request) (leases.Report, error)
	// CommitThroughPeer, if set, is kv.CommitOptions.Peer of the writes of records.
	CommitThroughPeer func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error)
	// MinInUse is how many workers of a service are in use even if there is no work; 0 means a default.
	MinInUse int
	// Workspace returns the current settings of a workspace, or false if the configuration lacks it.
	Workspace func(name string) (work.Workspace, bool)
}

// Planner plans for the cell while this node leads it.
type Planner struct {
	opts Options
	log  logr.Logger

	startedAt time.Time

	mu     sync.Mutex
	leader *leader
	// ended is the latest term that has ended, nil if none has.
	ended *endedTerm
	// disclaimed is the latest term of which another planner was told that this process has not led it.
	disclaimed uint64
}

// New returns a planner that does not lead.
func New(opts Options) *Planner {
	return &Planner{opts: opts, log: opts.Log.WithName("planner"), startedAt: opts.Clock.Now()}
}

// Lead plans until ctx is done.
func (pl *Planner) Lead(ctx context.Context, tm term.Term) {
	ld := newLeader(pl.opts, pl.log.WithValues("token", tm.Token), tm)
	if !pl.begin(ld) {
		tm.StepDown("a later planner was told that this node has not led the term")
		return
	}
	defer pl.end(ld)
	ld.run(ctx)
}

// begin reports whether the term may begin.
func (pl *Planner) begin(ld *leader) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if ld.term.Token <= pl.disclaimed {
		return false
	}
	pl.leader = ld
	return true
}

func (pl *Planner) end(ld *leader) {
	ended := ld.endedTerm()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.leader, pl.ended = nil, ended
}

func (pl *Planner) current() (*leader, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.leader == nil {
		return nil, unavailable("this node is not the planner")
	}
	return pl.leader, nil
}

// retryAfter is the time after which callers should try again during a change of planners. An election takes about the
// TTL of the lease.
const retryAfter = time.Second

func unavailable(why string) *fault.Error {
	return fault.New(fault.Unavailable, "%s; try again", why).WithRetryAfter(retryAfter)
}

// JobPhase returns the phase of a job of a workspace, or of any workspace if workspace is empty. It returns NotFound
// only if the journal has been read completely. If the job is running, it waits briefly for the job's end.
func (pl *Planner) JobPhase(ctx context.Context, id, workspace string) (cell.Phase, error) {
	ld, err := pl.current()
	if err != nil {
		return "", err
	}
	return ld.awaitPhase(ctx, id, workspace)
}

// Pending returns the number of accepted jobs of a queue that have not begun.
func (pl *Planner) Pending(queue string) (int, error) {
	ld, err := pl.current()
	if err != nil {
		return 0, err
	}
	return ld.pending(queue)
}

// AddBatch adds a batch that the journal has, before the local copy of the journal shows it. It reports whether the planner now
// knows of its jobs, and the classes of these of which no more may be accepted.
func (pl *Planner) AddBatch(wr joblog.WrittenBatch) (full []memquota.Class, applied bool, err error) {
	ld, err := pl.current()
	if err != nil {
		return nil, false, err
	}
	full, applied = ld.addBatch(wr)
	return full, applied, nil
}

// ClaimMemory reserves memory for a job, which may then be accepted. The error is of kind Full if there is not enough.
func (pl *Planner) ClaimMemory(cm memquota.Claim) error {
	ld, err := pl.current()
	if err != nil {
		return err
	}
	return ld.claimMemory(cm)
}

// ApplySettings applies the current settings of queues and workspaces to waiting jobs.
func (pl *Planner) ApplySettings() {
	if ld, err := pl.current(); err == nil {
		ld.applySettings()
	}
}
