// Package planner runs the decisions of policy/cell while this node is the planner:
// it feeds them from the journal, the list of workers and the workers' reports, and
// carries their orders out.
package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/term"
)

// WorkerEntry is one worker in the list of workers, by the life that wrote it.
type WorkerEntry struct {
	cell.Worker
	Address string
	Hall    string
}

// Advice is what the advisor said: the workers that may run a step, with tickets
// that are good for a time.
type Advice struct {
	Tickets  []cell.Ticket
	ValidFor time.Duration
}

// Options are the services that a planner uses. The fields are seams.
type Options struct {
	Clock  clockwork.Clock
	Log    logr.Logger
	Store  *kv.Store
	Agents *agent.Agents
	Site   *site.Site
	Meters metrics.Registry
	// WorkersPrefix is where the store has the list of workers, DecodeWorker reads
	// one entry of it.
	WorkersPrefix string
	DecodeWorker  func(item kv.Item) (WorkerEntry, error)
	// Advise asks the advisor through the node that is free soonest.
	Advise func(ctx context.Context, qn cell.AdviceRequest) (Advice, error)
	// ServiceInUse reports whether the configuration sends any queue to a service.
	ServiceInUse func(service string) bool
	// Queue returns the present settings of a queue, or false where its route is gone.
	Queue func(name string) (work.Queue, bool)
	// Workspace returns the present settings of a workspace, or false where the configuration lacks it.
	Workspace func(name string) (work.Workspace, bool)
}

// Planner answers for the cell while this node leads it.
type Planner struct {
	parts Options
	log   logr.Logger

	mu   sync.Mutex
	lead *lead
}

// New returns a planner that does not lead.
func New(pt Options) *Planner {
	return &Planner{parts: pt, log: pt.Log.WithName("planner")}
}

// Lead plans until the context ends.
func (pl *Planner) Lead(ctx context.Context, reign term.Term) {
	ld := newLead(pl.parts, pl.log.WithValues("token", reign.Token), reign)
	pl.set(ld)
	defer pl.set(nil)
	ld.run(ctx)
}

func (pl *Planner) set(ld *lead) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.lead = ld
}

func (pl *Planner) current() (*lead, error) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.lead == nil {
		return nil, notReady("this node does not plan")
	}
	return pl.lead, nil
}

// comeBack is when a caller should ask again while planners change: an election
// takes about the lease's time.
const comeBack = time.Second

func notReady(why string) *fault.Error {
	return fault.New(fault.Unavailable, "%s; ask again", why).After(comeBack)
}

// JobPhase returns the phase of a job of a workspace, or of any where that is empty. It answers NotFound only
// where the journal has been read whole, and waits a little for the end of a job that runs.
func (pl *Planner) JobPhase(ctx context.Context, id, workspace string) (cell.Phase, error) {
	ld, err := pl.current()
	if err != nil {
		return "", err
	}
	return ld.awaitState(ctx, id, workspace)
}

// Pending returns how many accepted jobs of a queue have not begun.
func (pl *Planner) Pending(queue string) (int, error) {
	ld, err := pl.current()
	if err != nil {
		return 0, err
	}
	return ld.pending(queue)
}

// AddBatch takes in a batch that the journal has, before the journal's copy here shows it.
func (pl *Planner) AddBatch(wr joblog.WrittenBatch) error {
	ld, err := pl.current()
	if err != nil {
		return err
	}
	ld.written(wr)
	return nil
}

// ApplySettings takes the present settings of the queues over into the jobs that wait, and those of the workspaces.
func (pl *Planner) ApplySettings() {
	if ld, err := pl.current(); err == nil {
		ld.reroute()
	}
}
