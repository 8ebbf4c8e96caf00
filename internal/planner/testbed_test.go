package planner_test

import (
	"cmp"
	"context"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/intake"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/kvhealth"
	"tackbeam.example/tackbeam/internal/leases"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/standin/bubbleclock"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
	"tackbeam.example/tackbeam/internal/standin/vmclock"
	"tackbeam.example/tackbeam/internal/term"
)

// workersPrefix is the prefix of the list of workers in the testbed's store.
const workersPrefix = "workers/"

// testbed is a set of nodes with one store and one fleet of workers. It runs in a bubble of package synctest.
type testbed struct {
	t     *testing.T
	clock clockwork.Clock
	store *memkv.Store
	fleet *memworkers.Fleet
	// mu guards nodes, which planners read to ask each other.
	mu    sync.Mutex
	nodes map[string]*node
	// clients are the names by which the store knows the latest processes of nodes.
	clients map[string]string
	// settings are the settings of the queue in the planners' configuration; there are none if its name is empty.
	// Submitted jobs carry accepted instead.
	settings, accepted work.Queue
	// workspaces are the workspaces in the planners' configuration.
	workspaces map[string]work.Workspace
	// serves is the service that the configuration routes a queue to.
	serves atomic.Value
	// wrapStore, if not nil, wraps each node's store; the nodes then use agents instead of the fleet's own.
	wrapStore func(st *kv.Store) *kv.Store
	agents    *agent.Agents
	// features are the optional features that are enabled, advise answers the planners' requests to the advisor.
	features feature.Set
	advise   func(ctx context.Context, rq cell.AdviceRequest) (planner.Advice, error)
	// minInUse is the least number of workers in use.
	minInUse int
	// evacuationsPrefix is the prefix of the keys that name evacuated halls, evacuationTime the bound in the settings.
	evacuationsPrefix string
	evacuationTime    time.Duration
	// heartbeat is the interval in which workers write their entries by the settings.
	heartbeat time.Duration
	// retention is how long ended jobs are known.
	retention time.Duration
	// memoryMB is the memory of nodes by the settings.
	memoryMB int
	// stopTime is how long workers may take to stop a run by the settings.
	stopTime time.Duration
	// peerCommits makes planners send writes through another node if they get no answer.
	peerCommits bool
	// onStart, if not nil, is called with each start that a node sends.
	onStart func(to agent.Target, sr cell.Start)
	// transit, if not nil, returns how long an order to a worker and its answer are under way, in addition to the usual
	// time. Orders and answers may overtake each other.
	transit func(worker, order string) (there, back time.Duration)
	// onBacklog, if not nil, is called with each report of a planner that a node sees.
	onBacklog func(backlog joblog.BacklogSize)
	// onGraceRequest, if not nil, is called with the node that is asked to permit renewals, and reports whether the request is
	// lost.
	onGraceRequest func(of string) (lost bool)
	// logged, if not nil, is called with each line that a node logs.
	logged func(line string)
}

// defaultCapacity is the number of the testbed's tasks that a worker can run at once.
const defaultCapacity = 8

// nodeCount is the number of nodes that planners take to send requests to the advisor.
const nodeCount = 2

// unreadable is the value of an entry in the list of workers that cannot be decoded.
const unreadable = "unreadable"

type node struct {
	planner *planner.Planner
	term    *term.Elector
	intake  *intake.Intake
	cancel  context.CancelFunc
	meters  metrics.Registry
	// latest is the node's latest term, which may begin while the test reads it.
	latest atomic.Pointer[term.Term]
	// suspended is the total time for which the node's VM was suspended.
	suspended atomic.Int64
	// stopped is set if the node does not answer other nodes.
	stopped atomic.Bool
	// cutWorkers has the ids of the workers that do not answer the node's holds.
	cutWorkers atomic.Pointer[[]string]
	// isolated is set if the node neither reaches other nodes nor is reached by them.
	isolated atomic.Bool
	// delayHolds is by how much the node's holds are delayed.
	delayHolds atomic.Int64
}

// cut makes workers leave the node's holds unanswered, and all others answer them.
func (nd *node) cut(ids ...string) { nd.cutWorkers.Store(&ids) }

// cutHold wraps the function that sends holds.
func (nd *node) cutHold(hold holdFunc) holdFunc {
	return func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		if cut := nd.cutWorkers.Load(); cut != nil && slices.Contains(*cut, to.Incarnation.WorkerID()) {
			<-ctx.Done()
			return agent.Report{}, agent.ErrNoAnswer
		}
		if delay := time.Duration(nd.delayHolds.Load()); delay > 0 {
			time.AfterFunc(delay, func() { _, _ = hold(context.WithoutCancel(ctx), to, hd) }) // nobody waits for the answer
			<-ctx.Done()
			return agent.Report{}, agent.ErrNoAnswer
		}
		return hold(ctx, to, hd)
	}
}

// observeStart wraps the function that sends starts.
func (bd *testbed) observeStart(start startFunc) startFunc {
	return func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (agent.StartAnswer, error) {
		if bd.onStart != nil {
			bd.onStart(to, sr)
		}
		return start(ctx, to, token, deadline, sr)
	}
}

// delayOrders has orders and their answers be under way for the time that bd.transit returns.
func (bd *testbed) delayOrders(agents *agent.Agents) {
	hold, start, stop := agents.Hold, agents.Start, agents.Stop
	agents.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		return inTransit(ctx, bd, to, "hold", func(ctx context.Context) (agent.Report, error) { return hold(ctx, to, hd) })
	}
	agents.Start = func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (agent.StartAnswer, error) {
		return inTransit(ctx, bd, to, "start", func(ctx context.Context) (agent.StartAnswer, error) {
			return start(ctx, to, token, deadline, sr)
		})
	}
	agents.Stop = func(ctx context.Context, to agent.Target, token uint64, sp cell.Stop) error {
		_, err := inTransit(ctx, bd, to, "stop", func(ctx context.Context) (struct{}, error) { return struct{}{}, stop(ctx, to, token, sp) })
		return err
	}
}

// inTransit makes a call that reaches the worker, and whose answer comes back, after some time. The worker carries it out
// also if the caller has given up meanwhile.
func inTransit[T any](ctx context.Context, bd *testbed, to agent.Target, order string, call func(ctx context.Context) (T, error)) (T, error) {
	const longestCall = 4 * time.Second
	type outcome struct {
		answer T
		err    error
	}
	there, back := bd.transit(to.Incarnation.WorkerID(), order)
	if there == 0 && back == 0 {
		return call(ctx)
	}
	answered := make(chan outcome, 1)
	go func() {
		bd.clock.Sleep(there)
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), longestCall)
		defer cancel()
		answer, err := call(inner)
		bd.clock.Sleep(back)
		answered <- outcome{answer, err}
	}()
	select {
	case oc := <-answered:
		return oc.answer, oc.err
	case <-ctx.Done():
		var none T
		return none, agent.ErrNoAnswer
	}
}

type holdFunc = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error)

// currentTerm returns the node's latest term.
func (nd *node) currentTerm() term.Term { return *nd.latest.Load() }

// newClock returns the node's clock. Monotonic time advances in the bubble; the test sets by how much suspensions
// advance the time of day and the time since boot.
func (nd *node) newClock(bd *testbed) clockwork.Clock {
	clock, err := vmclock.New(bd.clock, func() time.Duration { return time.Duration(nd.suspended.Load()) })
	if err != nil {
		bd.t.Fatal(err)
	}
	return clock
}

func newTestbed(t *testing.T, run time.Duration, workers ...string) *testbed {
	clock := bubbleclock.New()
	bd := &testbed{
		t: t, clock: clock, store: memkv.New(clock), fleet: memworkers.New(clock, run), nodes: map[string]*node{}, clients: map[string]string{}, retention: 2 * time.Minute,
		accepted: work.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 2, Target: time.Second},
	}
	bd.serves.Store("svc")
	bd.fleet.SetLog(bd.log("workers"))
	for _, id := range workers {
		bd.addWorker(id)
	}
	return bd
}

func (bd *testbed) addWorker(id string) {
	bd.fleet.Add(id)
	bd.list(id)
}

// list writes the entry of a worker's current incarnation, with additional words.
func (bd *testbed) list(id string, words ...string) {
	value := append([]string{"born", strconv.FormatInt(bd.fleet.StartedAt(id), 10)}, words...)
	bd.store.Set(workersPrefix+id, []byte(strings.Join(value, " ")))
}

// restart ends the incarnations of workers with all their runs. After the time away, each begins another one under the
// same id, and writes its entry one heartbeat later.
func (bd *testbed) restart(away time.Duration, ids ...string) {
	const heartbeatDelay = 100 * time.Millisecond
	for _, id := range ids {
		bd.fleet.Kill(id)
		bd.clock.AfterFunc(away, func() { bd.fleet.Add(id) })
		bd.clock.AfterFunc(away+heartbeatDelay, func() { bd.list(id) })
	}
}

// log returns a logger whose output is shown if the test fails.
func (bd *testbed) log(name string) logr.Logger {
	return funcr.New(func(prefix, args string) {
		bd.t.Log(bd.clock.Now().Format("05.000"), name, prefix, args)
		if bd.logged != nil {
			bd.logged(args)
		}
	}, funcr.Options{})
}

func (bd *testbed) addNode(name string) *node { return bd.addNodeOf(name, 1) }

// addTwo adds a node, which becomes the planner, and another one a little later.
func (bd *testbed) addTwo() (first, second *node) {
	const apart = 100 * time.Millisecond
	first = bd.addNode("n1")
	time.Sleep(apart)
	return first, bd.addNode("n2")
}

// setStopTime makes workers take the time that the settings allow to stop a run.
func (bd *testbed) setStopTime(stopTime time.Duration) {
	bd.stopTime = stopTime
	bd.fleet.SetStopTime(stopTime)
}

// clearFaults makes the workers carry out and answer all orders from now on.
func (bd *testbed) clearFaults() {
	bd.fleet.SetFault(func(string, string) memworkers.Fault { return memworkers.None })
}

// cutOff makes the store leave all calls of one node unanswered.
func (bd *testbed) cutOff(name string) {
	bd.store.SetFault(func(client, _ string) memkv.Fault {
		if client == name {
			return memkv.RequestLost
		}
		return memkv.None
	})
}

// lose has a node's process die, and its calls to the store get no answers.
func (bd *testbed) lose(name string) {
	bd.cutOff(name)
	bd.nodes[name].cancel()
}

// resign has a node leave in an orderly way.
func (bd *testbed) resign(nd *node) {
	ctx, cancel := context.WithTimeout(bd.t.Context(), time.Second)
	defer cancel()
	nd.term.Resign(ctx)
}

// seedCount returns the number of seeds to play: what an environment variable says, or a default.
func seedCount(t *testing.T, variable, fallback string) uint64 {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv(variable), fallback), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seeds
}

// addNodeOf adds a node that may use a share of a core.
func (bd *testbed) addNodeOf(name string, processors float64) *node {
	client := name
	if earlier, restarted := bd.clients[name]; restarted {
		client = earlier + "'" // calls of the earlier process are not those of this one
	}
	bd.clients[name] = client
	st, agents := bd.store.Client(client), bd.fleet.Agents()
	nd := &node{meters: metrics.NewRegistry()}
	agents.Hold, agents.Start = nd.cutHold(agents.Hold), bd.observeStart(agents.Start)
	if bd.transit != nil {
		bd.delayOrders(agents)
	}
	if bd.wrapStore != nil {
		st, agents = bd.wrapStore(st), bd.agents
	}
	var peerCommit func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error)
	if bd.peerCommits {
		peerCommit = bd.store.Client("peer of " + name).Commit
	}
	clock := nd.newClock(bd)
	health := kvhealth.New(clock, bd.log(name), nd.meters)
	st = health.Wrap(st)
	nd.planner = planner.New(planner.Options{
		Clock: clock, Log: bd.log(name), Store: st, Agents: agents, Metrics: nd.meters,
		Site: &site.Site{Bounds: site.Bounds{
			JobRetention: bd.retention, EvacuationTime: bd.evacuationTime, StopTimeout: bd.stopTime, Heartbeat: bd.heartbeat,
		}, Features: bd.features, MemoryMB: bd.memoryMB},
		WorkersPrefix: workersPrefix, EvacuationsPrefix: bd.evacuationsPrefix, MinInUse: bd.minInUse,
		DecodeWorker: func(item kv.Item) (planner.WorkerEntry, error) {
			id := strings.TrimPrefix(item.Key, workersPrefix)
			if string(item.Value) == unreadable {
				return planner.WorkerEntry{}, errors.New("the entry cannot be decoded")
			}
			return decodeEntry(id, string(item.Value)), nil
		},
		ServiceInUse: func(service string) bool { return bd.serves.Load() == service },
		Queue:        func(string) (work.Queue, bool) { return bd.settings, bd.settings.Name != "" },
		Workspace: func(name string) (work.Workspace, bool) {
			ws, ok := bd.workspaces[name]
			return ws, ok
		},
		StoreOutage: health.LastOutage,
		Leases: func(ctx context.Context, of term.Previous, rq leases.Request) (leases.Report, error) {
			return bd.leases(ctx, nd, of, rq)
		}, CommitThroughPeer: peerCommit, Advise: bd.advise, NodeCount: func() int { return nodeCount },
	})
	nd.term = term.New(clock, bd.log(name), st, term.Options{Node: name, Processors: processors, TTL: 2 * time.Second, OnBacklog: bd.onBacklog, RequestGrace: func(ctx context.Context, of joblog.Member, token uint64) error {
		return bd.requestGrace(ctx, nd, of.Node, token)
	}, RequestPermissionsLeft: func(ctx context.Context, of joblog.Member, token uint64) (time.Duration, error) {
		return bd.requestPermissionsLeft(ctx, nd, of.Node, token)
	}, Lead: func(ctx context.Context, tm term.Term) {
		nd.latest.Store(&tm)
		nd.planner.Lead(ctx, tm)
	}})
	nd.intake = intake.New(clock, bd.log(name), st, intake.Options{
		Node: name, NodeCount: func() int { return 2 }, StoreDown: func() bool { return false },
	})
	ctx, cancel := context.WithCancel(bd.t.Context())
	nd.cancel = func() {
		nd.stopped.Store(true)
		cancel()
	}
	go nd.term.Run(ctx)
	go nd.intake.Run(ctx)
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.nodes[name] = nd
	return nd
}

// peer returns a node that another one reaches, or an error.
func (bd *testbed) peer(from *node, name string) (*node, error) {
	bd.mu.Lock()
	nd := bd.nodes[name]
	bd.mu.Unlock()
	if nd == nil || nd.stopped.Load() || nd != from && (nd.isolated.Load() || from.isolated.Load()) {
		return nil, errors.New("the node does not answer")
	}
	return nd, nil
}

// requestGrace asks a node to permit renewals of workers' leases.
func (bd *testbed) requestGrace(ctx context.Context, from *node, name string, token uint64) error {
	nd, err := bd.peer(from, name)
	if err == nil && bd.onGraceRequest != nil && bd.onGraceRequest(name) {
		err = errors.New("the request was lost")
	}
	if err != nil {
		<-ctx.Done()
		return err
	}
	return nd.term.GrantGrace(token)
}

// requestPermissionsLeft asks a node for how much longer earlier planners can use its permissions.
func (bd *testbed) requestPermissionsLeft(ctx context.Context, from *node, name string, token uint64) (time.Duration, error) {
	nd, err := bd.peer(from, name)
	if err != nil {
		<-ctx.Done()
		return 0, err
	}
	return nd.term.PermissionsLeft(token)
}

// leases answers requests about leases as the nodes do that are running.
func (bd *testbed) leases(_ context.Context, from *node, of term.Previous, rq leases.Request) (leases.Report, error) {
	nd, err := bd.peer(from, of.Node)
	if err != nil {
		return leases.Report{}, err
	}
	report, err := nd.planner.Leases(rq)
	report.Node = of.Node
	return report, err
}

// decodeEntry decodes a worker's entry: words, some of which are followed by a value.
func decodeEntry(id, value string) planner.WorkerEntry {
	en := planner.WorkerEntry{Worker: cell.Worker{ID: incarnation.New(id, 0), Service: "svc"}}
	capacity := int64(defaultCapacity)
	words := strings.Fields(value)
	for at, word := range words {
		switch word {
		case "of":
			en.Service = words[at+1]
		case "room":
			capacity, _ = strconv.ParseInt(words[at+1], 10, 64) // always valid in tests
		case "born":
			born, _ := strconv.ParseInt(words[at+1], 10, 64)
			en.ID = incarnation.New(id, born)
		case "hall":
			en.Hall = words[at+1]
		case "draining":
			en.Draining = true
		}
	}
	en.Capacity = size.New(1000*capacity, 8000, 0)
	return en
}

// leader returns the node that plans, or nil. An elected node whose planner has not begun yet does not plan.
func (bd *testbed) leader() *node {
	for _, nd := range bd.nodes {
		if nd.term.Leading() && nd.latest.Load() != nil {
			return nd
		}
	}
	return nil
}

// awaitLeader waits until a node plans.
func (bd *testbed) awaitLeader(nd *node) {
	for bd.leader() != nd {
		time.Sleep(time.Millisecond)
	}
}

// answerOneHold makes a worker that has just restarted answer the first hold that reaches it, and no later one. The call
// before that fails, since its connection has ended.
func (bd *testbed) answerOneHold(id string) {
	calls := 0
	bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
		if worker != id || order != "hold" {
			return memworkers.None
		}
		if calls++; calls <= 2 {
			return memworkers.None
		}
		return memworkers.RequestLost
	})
}

func (bd *testbed) submit(nd *node, id string, tasks int) {
	bd.t.Helper()
	bd.submitJob(nd, newJob(bd.accepted, id, tasks))
}

// newJob returns a job with small tasks.
func newJob(qu work.Queue, id string, tasks int) *work.Job {
	return &work.Job{
		ID: id, Spec: id, Queue: qu,
		Steps: []work.Step{{Count: tasks, Need: size.New(1000, 1000, 0), Estimate: time.Second}},
	}
}

func (bd *testbed) submitJob(nd *node, jb *work.Job) {
	bd.t.Helper()
	ctx, cancel := context.WithTimeout(bd.t.Context(), 3*time.Second)
	defer cancel()
	if err := nd.intake.Submit(ctx, jb); err != nil {
		bd.t.Fatalf("submit %s: %v", jb.ID, err)
	}
}

// await waits until a job has a phase. It fails the test if that takes too long.
func (bd *testbed) await(id string, want cell.Phase, within time.Duration) {
	bd.t.Helper()
	const step = 10 * time.Millisecond
	var last any
	for waited := time.Duration(0); waited < within; waited += step {
		if nd := bd.leader(); nd != nil {
			phase, err := nd.planner.JobPhase(bd.t.Context(), id, "")
			if err == nil && phase == want {
				return
			}
			last = []any{phase, err}
		}
		time.Sleep(step)
	}
	bd.t.Fatalf("job %s is not %s after %v: %v", id, want, within, last)
}

// end stops the nodes and reports invariants that were violated.
func (bd *testbed) end() {
	for _, nd := range bd.nodes {
		nd.cancel()
	}
	time.Sleep(5 * time.Second)
	for _, what := range bd.fleet.Violations() {
		bd.t.Error(what)
	}
}
