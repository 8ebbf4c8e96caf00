// Package cellnode is a node that keeps nothing: it accepts jobs into the store's
// journal, answers callers, and plans for the cell while it is elected.
package cellnode

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/door"

	"tackbeam.example/tackbeam/internal/advisor"
	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/connlimit"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/intake"
	"tackbeam.example/tackbeam/internal/kernel"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/kvhealth"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/relay"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/term"
)

// Adapter is what a platform's adapter provides. The fields are seams.
type Adapter struct {
	Site   *site.Site
	Store  *kv.Store
	Agents *agent.Agents
	// Limit bounds the node's connections; nil means no limit.
	Limit *connlimit.Limit
	// WorkersPrefix is where the store lists the workers.
	WorkersPrefix string
	DecodeWorker  func(item kv.Item) (planner.WorkerEntry, error)
	// ConfigKey is where the store has the configuration.
	ConfigKey    string
	DecodeConfig func(item kv.Item) (*routes.Config, error)
	// Advise asks the advisor from this node; nil where there is none.
	Advise func(ctx context.Context, qn cell.Question) (planner.Advice, error)
}

// Times of a node.
const (
	// termTTL is how long the planner's place stays taken after it died. A store that
	// answers 60 times slower than its 4 ms still lets two renewals in time.
	termTTL = 1200 * time.Millisecond
	// comeBack is when a caller should ask again.
	comeBack = time.Second
)

// Node is one node.
type Node struct {
	adapter Adapter
	clock   clockwork.Clock
	log     logr.Logger
	meters  metrics.Registry
	health  *kvhealth.Health
	table   *routes.Table
	config  *feed.Feed
	intake  *intake.Intake
	term    *term.Term
	planner *planner.Planner
	link    *peerlink.Link
	pool    *advisor.Pool
	relay   *relay.Relay
	began   time.Time
	doorMu  sync.Mutex
	door    door.Door

	stopping chan struct{}
}

// New assembles a node.
func New(clock clockwork.Clock, log logr.Logger, ad Adapter) *Node {
	nd := &Node{
		adapter: ad, clock: clock, log: log, meters: metrics.NewRegistry(),
		began: clock.Now(), table: &routes.Table{}, stopping: make(chan struct{}),
	}
	nd.health = kvhealth.New(clock, log, nd.meters)
	st := nd.health.Wrap(ad.Store)
	nd.term = term.New(clock, log, st, term.Options{
		Node: ad.Site.Node, Peers: ad.Site.Peers, Hall: ad.Site.Hall, Processors: ad.Site.Processors, Link: ad.Site.Link,
		TTL: max(termTTL, ad.Site.Bounds.MinLease), Reads: ad.Site.Reads,
		Backlog: nd.noteBacklog,
		Lead:    func(ctx context.Context, reign term.Reign) { nd.planner.Lead(ctx, reign) },
	})
	nd.intake = intake.New(clock, log, st, intake.Options{
		Node: ad.Site.Node, Writes: ad.Site.Writes, Down: nd.health.Down,
		Nodes: func() int { return len(nd.term.Members()) }, Written: nd.written,
	})
	nd.link = peerlink.New(log, nd.handle).WithLimit(ad.Limit)
	nd.registerConnectionGauges()
	nd.config = feed.New(clock, log, st, feed.Options{
		Key: ad.ConfigKey, Decode: ad.DecodeConfig, InForce: nd.configure,
		Node: ad.Site.Node, Link: ad.Site.Link, Members: nd.term.Members, Ask: nd.askConfig,
	})
	nd.pool = advisor.New(advisor.Parts{
		Clock: clock, Node: ad.Site.Node, Members: nd.term.Members, Local: nd.advise, Call: nd.link.Call,
	})
	nd.health.OnReturn(nd.config.Refresh)
	nd.measureConfig()
	nd.relay = &relay.Relay{Node: ad.Site.Node, Members: nd.term.Members, Call: nd.link.Call}
	nd.planner = planner.New(planner.Options{
		Clock: clock, Log: log, Store: st, Agents: ad.Agents, Site: ad.Site, Metrics: nd.meters,
		WorkersPrefix: ad.WorkersPrefix, DecodeWorker: ad.DecodeWorker,
		Advise: nd.pool.Advise, Queue: nd.table.Queue, Workspace: nd.table.Workspace, ServiceInUse: nd.table.Serves,
	})
	return nd
}

// registerConnectionGauges adds gauges for the node's connections and their limit to its metrics.
func (nd *Node) registerConnectionGauges() {
	for name, value := range map[string]func() int64{
		"connections.open": nd.adapter.Limit.Open, "connections.evicted": nd.adapter.Limit.Evicted,
		"connections.refused": nd.adapter.Limit.Refused,
	} {
		metrics.NewRegisteredFunctionalGauge(name, nd.meters, value)
	}
}

// Meters returns the node's measures.
func (nd *Node) Meters() metrics.Registry { return nd.meters }

// Table returns the configuration in force.
func (nd *Node) Table() *routes.Table { return nd.table }

// Services lists what the kernel starts, in order.
func (nd *Node) Services() []*kernel.Service {
	return []*kernel.Service{
		{
			Name: "link", Build: func(*kernel.Kernel) (any, error) { return nd.link, nil },
			Start: func(context.Context) error { return nd.link.Serve(nd.adapter.Site.Peers) },
			Stop:  func(context.Context) error { return nil }, // ends with the process: others may be waiting
		},
		nd.background("config", nd.config, nd.config.Run),
		nd.background("intake", nd.intake, nd.intake.Run),
		nd.background("term", nd.term, nd.term.Run),
	}
}

// background makes a service of a loop that runs until the node stops.
func (nd *Node) background(name string, value any, run func(ctx context.Context)) *kernel.Service {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return &kernel.Service{
		Name: name, Build: func(*kernel.Kernel) (any, error) { return value, nil },
		Start: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		Stop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	}
}

// Stop makes the node leave: callers go elsewhere, and another node plans.
func (nd *Node) Stop(ctx context.Context) {
	close(nd.stopping)
	nd.term.Resign(ctx)
}

// Stopping reports whether Stop was called.
func (nd *Node) Stopping() bool {
	select {
	case <-nd.stopping:
		return true
	default:
		return false
	}
}

// Ready reports why the node takes no callers, or nil.
func (nd *Node) Ready() error {
	switch {
	case nd.Stopping():
		return fault.New(fault.Draining, "the node stops")
	case nd.table.Config() == nil:
		return fault.New(fault.Unavailable, "no configuration yet")
	case nd.health.Down():
		return fault.New(fault.Unavailable, "the store is away")
	}
	return nil
}
