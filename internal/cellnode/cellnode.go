// Package cellnode implements a stateless node: it writes jobs to the journal in the store, answers callers, and acts
// as the planner while it is elected.
package cellnode

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/admission"
	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/memwindow"

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

// Adapter is what a platform provides to a node. Tests replace its fields.
type Adapter struct {
	Site   *site.Site
	Store  *kv.Store
	Agents *agent.Agents
	// Limit bounds the node's connections; nil means no limit.
	Limit *connlimit.Limit
	// WorkersPrefix is the prefix of the workers' keys in the store.
	WorkersPrefix string
	DecodeWorker  func(item kv.Item) (planner.WorkerEntry, error)
	// EvacuationsPrefix is the prefix of the keys that name evacuated data halls; empty if the deployment has none.
	EvacuationsPrefix string
	// ConfigKey is the key of the configuration in the store.
	ConfigKey    string
	DecodeConfig func(item kv.Item) (*routes.Config, error)
	// Advise sends a request to the advisor; nil if the deployment has no advisor.
	Advise func(ctx context.Context, rq cell.AdviceRequest) (planner.Advice, error)
}

const (
	// termTTL is how long the planner's lease outlives a planner that crashed. It leaves time for two renewals with a
	// store that takes 60 times its usual 4 ms.
	termTTL = 1200 * time.Millisecond
	// retryAfter is the time after which a caller should retry.
	retryAfter = time.Second
)

// Node is one node of a deployment.
type Node struct {
	adapter     Adapter
	clock       clockwork.Clock
	log         logr.Logger
	meters      metrics.Registry
	health      *kvhealth.Health
	store       *kv.Store
	table       *routes.Table
	config      *feed.Feed
	intake      *intake.Intake
	term        *term.Elector
	planner     *planner.Planner
	link        *peerlink.Link
	pool        *advisor.Pool
	relay       *relay.Relay
	startedAt   time.Time
	admissionMu sync.Mutex
	admission   admission.Controller
	memoryMu    sync.Mutex
	memory      *memwindow.Window
	// refusesUnplanned is set once a job was refused because there is no planner, until there is one.
	refusesUnplanned bool

	stopping chan struct{}
}

// New returns a node that is started through its Services.
func New(clock clockwork.Clock, log logr.Logger, ad Adapter) *Node {
	nd := &Node{
		adapter: ad, clock: clock, log: log, meters: metrics.NewRegistry(),
		startedAt: clock.Now(), table: &routes.Table{}, memory: memwindow.New(), stopping: make(chan struct{}),
	}
	nd.health = kvhealth.New(clock, log, nd.meters)
	st := nd.health.Wrap(ad.Store)
	nd.store = st
	nd.term = term.New(clock, log, st, term.Options{
		Node: ad.Site.Node, PeerAddr: ad.Site.PeerAddr, Hall: ad.Site.Hall, Processors: ad.Site.Processors, Link: ad.Site.LinkMbps,
		TTL: max(termTTL, ad.Site.Bounds.MinLease), ReadRate: ad.Site.StoreReadRate,
		OnBacklog: nd.updateBacklog, RequestGrace: nd.requestGrace, RequestPermissionsLeft: nd.requestPermissionsLeft,
		Lead: func(ctx context.Context, tm term.Term) { nd.planner.Lead(ctx, tm) },
	})
	nd.intake = intake.New(clock, log, st, intake.Options{
		Node: ad.Site.Node, WriteRate: ad.Site.StoreWriteRate, StoreDown: nd.health.Down,
		NodeCount: func() int { return len(nd.term.Members()) }, OnWritten: nd.onWritten,
		CommitThroughPeer: nd.commitThroughPeer,
	})
	nd.link = peerlink.New(log, nd.handle).WithLimit(ad.Limit).WithConfig(
		func() uint64 { return nd.table.View().Version() },
		func(version uint64, address string) { nd.config.Learn(version, address) },
	)
	nd.registerConnectionGauges()
	nd.config = feed.New(clock, log, st, feed.Options{
		Key: ad.ConfigKey, Decode: ad.DecodeConfig, MaxAge: nd.staleAfter(), Activate: nd.activate,
		Node: ad.Site.Node, Link: ad.Site.LinkMbps, Members: nd.term.Members, Request: nd.requestConfig,
	})
	nd.pool = advisor.New(advisor.Options{
		Clock: clock, Node: ad.Site.Node, Members: nd.term.Members, Local: nd.advise, Call: nd.link.Call,
	})
	nd.health.OnRecovery(nd.config.Refresh)
	nd.registerConfigGauges()
	nd.relay = &relay.Relay{Node: ad.Site.Node, Members: nd.term.Members, Call: nd.link.Call}
	nd.planner = planner.New(planner.Options{
		Clock: clock, Log: log, Store: st, Agents: ad.Agents, Site: ad.Site, Metrics: nd.meters,
		WorkersPrefix: ad.WorkersPrefix, DecodeWorker: ad.DecodeWorker, EvacuationsPrefix: ad.EvacuationsPrefix,
		Advise: nd.pool.Advise, Queue: nd.table.Queue, Workspace: nd.table.Workspace, ServiceInUse: nd.table.HasService,
		OnVersion:   func(version uint64) { nd.config.Learn(version, "") },
		StoreOutage: nd.health.LastOutage,
		Leases:      nd.requestLeases, CommitThroughPeer: nd.commitThroughPeer, NodeCount: func() int { return len(nd.term.Members()) },
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

// Meters returns the registry of the node's metrics.
func (nd *Node) Meters() metrics.Registry { return nd.meters }

// Services returns the services for the kernel, in start order.
func (nd *Node) Services() []*kernel.Service {
	return []*kernel.Service{
		{
			Name: "link", Build: func(*kernel.Kernel) (any, error) { return nd.link, nil },
			Start: func(context.Context) error { return nd.link.Serve(nd.adapter.Site.PeerAddr) },
			Stop:  func(context.Context) error { return nil }, // runs until the process exits: other nodes may be waiting
		},
		nd.background("config", nd.config, nd.config.Run),
		nd.background("intake", nd.intake, nd.intake.Run),
		nd.background("term", nd.term, nd.term.Run),
	}
}

// background returns a service that runs a loop until it is stopped.
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

// Stop makes the node refuse callers and give up its part in the election, so that another node becomes the planner.
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

// Ready returns why the node does not accept callers, or nil.
func (nd *Node) Ready() error {
	switch {
	case nd.Stopping():
		return fault.New(fault.Draining, "node is stopping")
	case nd.table.Config() == nil:
		return fault.New(fault.Unavailable, "no configuration loaded")
	case nd.health.Down():
		return fault.New(fault.Unavailable, "store unavailable")
	}
	return nil
}
