package cellnode_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/apikey"
	"tackbeam.example/tackbeam/internal/cellnode"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
	"tackbeam.example/tackbeam/internal/standin/ports"
)

const (
	workersPrefix = "workers/"
	configKey     = "config"
)

// queue is the only queue. The configuration's value is a version followed by API keys, and by the prefix of the queue's route if it
// is not a slash.
var queue = work.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 2}

// deployment is a set of nodes with one store and one set of workers.
type deployment struct {
	t     *testing.T
	store *memkv.Store
	fleet *memworkers.Fleet
	// features are the features that are enabled for nodes.
	features feature.Set
	// memoryMB is the memory of nodes by the settings.
	memoryMB int
}

func newDeployment(t *testing.T) *deployment {
	clock := clockwork.NewRealClock()
	const run = 50 * time.Millisecond
	dp := &deployment{t: t, store: memkv.New(clock), fleet: memworkers.New(clock, run)}
	dp.fleet.Add("w1")
	dp.store.Set(workersPrefix+"w1", nil)
	dp.store.Set(configKey, []byte("1"))
	return dp
}

// start starts a node that listens for other nodes on a free port.
func (dp *deployment) start(name string) *cellnode.Node {
	dp.t.Helper()
	block, err := ports.Reserve(1)
	if err != nil {
		dp.t.Fatal(err)
	}
	dp.t.Cleanup(func() { _ = block.Close() })
	nd := cellnode.New(clockwork.NewRealClock(), logr.Discard(), cellnode.Adapter{
		Site:  &site.Site{Node: name, PeerAddr: block.Address(0), StoreWriteRate: 400, Bounds: site.Bounds{JobRetention: time.Minute}, Features: dp.features, MemoryMB: dp.memoryMB},
		Store: dp.store.Client(name), Agents: dp.fleet.Agents(),
		WorkersPrefix: workersPrefix, ConfigKey: configKey,
		DecodeWorker: func(item kv.Item) (planner.WorkerEntry, error) {
			return planner.WorkerEntry{Worker: cell.Worker{
				ID: incarnation.ID(strings.TrimPrefix(item.Key, workersPrefix)), Service: "svc", Capacity: size.New(8000, 8000, 0),
			}}, nil
		},
		DecodeConfig: func(item kv.Item) (*routes.Config, error) {
			cf := &routes.Config{Version: item.Revision, Routes: []routes.Route{{Host: "h", Prefix: "/", Queue: queue}}}
			for at, key := range strings.Fields(string(item.Value))[1:] { // skips the version
				if strings.HasPrefix(key, "/") {
					cf.Routes[0].Prefix = key
					continue
				}
				cf.KeyRequired = true
				cf.Workspaces = append(cf.Workspaces, routes.Workspace{
					Workspace: work.Workspace{Name: "ws" + strconv.Itoa(at), Limit: size.New(4000, 0, 0)},
					Keys:      []apikey.Digest{apikey.Sum([]byte(key))},
				})
			}
			return cf, nil
		},
	})
	for _, sv := range nd.Services() {
		if err := sv.Start(dp.t.Context()); err != nil {
			dp.t.Fatal(err)
		}
		dp.t.Cleanup(func() {
			if err := sv.Stop(context.Background()); err != nil {
				dp.t.Error(err)
			}
		})
	}
	dp.waitFor("node "+name+" is ready", func() bool { return nd.Ready() == nil })
	return nd
}

// silenceReads makes the store leave all reads and watches unanswered. Writes and leases still work.
func (dp *deployment) silenceReads() {
	dp.store.SetFault(func(_, call string) memkv.Fault {
		switch call {
		case "commit", "grant", "keep", "end":
			return memkv.None
		}
		return memkv.RequestLost
	})
}

// awaitPlanner waits until a node gets an answer of the planner, which may be the node itself.
func (dp *deployment) awaitPlanner(what string, nd *cellnode.Node) {
	dp.t.Helper()
	dp.waitFor(what, func() bool {
		_, err := nd.State(dp.t.Context(), nd.View(), routes.Caller{}, "none")
		return fault.Is(err, fault.NotFound)
	})
}

// waitFor waits for a condition that must become true, with no time limit of its own.
func (dp *deployment) waitFor(what string, reached func() bool) {
	dp.t.Helper()
	const step = 10 * time.Millisecond
	for !reached() {
		select {
		case <-dp.t.Context().Done():
			dp.t.Fatalf("test ends before %s", what)
		case <-time.After(step):
		}
	}
}

// TestDisconnectedNode guards against a node that loses its callers' jobs while it cannot reach the store. It must
// relay them through the other node and still report their phases. If neither node reaches the store, jobs must be
// refused as not run.
func TestDisconnectedNode(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	first, second := dp.start("n1"), dp.start("n2")
	job := func(id string) *work.Job {
		return &work.Job{ID: id, Spec: id, Queue: queue, Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0)}}}
	}
	is.NoErr(second.Submit(t.Context(), second.View(), routes.Caller{}, job("before")))
	disconnected := map[string]bool{"n2": true}
	dp.store.SetFault(func(client, _ string) memkv.Fault {
		if disconnected[client] {
			return memkv.Refused
		}
		return memkv.None
	})
	dp.waitFor("the second node notices that it cannot reach the store", func() bool { return second.Ready() != nil })
	is.NoErr(second.Submit(t.Context(), second.View(), routes.Caller{}, job("after")))
	is.NoErr(second.Cancel(t.Context(), second.View(), routes.Caller{}, "before"))
	dp.waitFor("the relayed job succeeds", func() bool {
		phase, err := second.State(t.Context(), second.View(), routes.Caller{}, "after")
		return err == nil && phase == cell.Succeeded
	})

	both := map[string]bool{"n1": true, "n2": true}
	dp.store.SetFault(func(client, _ string) memkv.Fault {
		if both[client] {
			return memkv.Refused
		}
		return memkv.None
	})
	dp.waitFor("the first node notices it too", func() bool { return first.Ready() != nil })
	is.True(fault.Is(second.Submit(t.Context(), second.View(), routes.Caller{}, job("never")), fault.Unavailable)) // not run
}

// TestNotifiesPlanner guards against jobs that wait for the planner's copy of the journal. The planner's reads are
// blocked, as a slow store delays them by half a second; jobs accepted by any node must start nevertheless.
func TestNotifiesPlanner(t *testing.T) {
	dp := newDeployment(t)
	planner := dp.start("n1")
	dp.awaitPlanner("the first node plans", planner)
	nodes := map[string]*cellnode.Node{"planner": planner, "other": dp.start("n2")}
	for _, nd := range nodes {
		dp.awaitPlanner("the planner is known", nd)
	}
	dp.store.SetFault(func(client, call string) memkv.Fault {
		if client == "n1" && (call == "watch" || call == "range") {
			return memkv.RequestLost
		}
		return memkv.None
	})
	for name, nd := range nodes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(nd.Submit(t.Context(), nd.View(), routes.Caller{}, &work.Job{ID: name, Spec: "s", Queue: queue, Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0)}}}))
			const timeout = 10 * time.Second // only reached if the test fails
			timedOut := time.After(timeout)
			for phase := cell.Queued; phase != cell.Succeeded; phase, _ = nd.State(t.Context(), nd.View(), routes.Caller{}, name) {
				select {
				case <-timedOut:
					t.Fatalf("job phase is %q", phase)
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
}

// TestNextPlannerLearnsLeases guards against a planner that waits for leases of which the previous planner's node knows
// that they have expired.
func TestNextPlannerLearnsLeases(t *testing.T) {
	dp := newDeployment(t)
	dp.awaitPlanner("the first node plans", dp.start("n1"))
	second := dp.start("n2")
	dp.awaitPlanner("the second node knows the planner", second)
	dp.store.SetFault(func(client, _ string) memkv.Fault {
		if client == "n1" {
			return memkv.Refused
		}
		return memkv.None
	})
	dp.store.RevokeLeases()
	reports := metrics.GetOrRegisterCounter("planner.lease_reports", second.Meters())
	dp.waitFor("the node that led the term has reported its leases", func() bool { return reports.Count() == 1 })
}
