package term_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/term"
)

// rateLimiter counts the calls of a store per second and refuses those beyond its rates, as the real store does.
type rateLimiter struct {
	clock         clockwork.Clock
	writes, reads int
	second        int64
	// wrote and read count the calls of the current second, calls and refused those of the whole test.
	wrote, read    int
	calls, refused int
	// byKind counts the calls of each kind.
	byKind map[string]int
	// busy makes the store refuse every call.
	busy bool
}

// observer is the client whose calls are not counted.
const observer = "observer"

// fault refuses every call while the store is busy, including blocked watches when they wake up.
func (rl *rateLimiter) fault(client, call string) memkv.Fault {
	if client == observer || !rl.busy {
		return memkv.None
	}
	return rl.limit(client, call)
}

// limit counts a call and refuses it if the store is busy or the rate for reads or writes is exceeded.
func (rl *rateLimiter) limit(client, call string) memkv.Fault {
	if client == observer {
		return memkv.None
	}
	if second := rl.clock.Now().Unix(); second != rl.second {
		rl.second, rl.wrote, rl.read = second, 0, 0
	}
	count, limit := &rl.read, rl.reads
	if call == "commit" || call == "grant" || call == "end" {
		count, limit = &rl.wrote, rl.writes
	}
	*count++
	rl.calls++
	rl.byKind[call]++
	if rl.busy || *count > limit {
		rl.refused++
		return memkv.Limited
	}
	return memkv.None
}

// startupTime is the time between the start of the nodes and the first traffic.
const startupTime = 10 * time.Second

// testbed is a number of nodes that share one store.
type testbed struct {
	limiter *rateLimiter
	store   *kv.Store
	nodes   []*term.Elector
	cancel  context.CancelFunc
	// cancels stop the nodes one by one.
	cancels []context.CancelFunc
	// latest is the term that began last.
	latest atomic.Pointer[term.Term]
}

func newTestbed(t *testing.T, nodes, writes, reads int) *testbed {
	clock := clockwork.NewRealClock() // the clock of the synctest bubble
	store := memkv.New(clock)
	ctx, cancel := context.WithCancel(t.Context())
	bd := &testbed{limiter: &rateLimiter{clock: clock, writes: writes, reads: reads, byKind: map[string]int{}}, store: store.Client(observer), cancel: cancel}
	store.SetFault(bd.limiter.fault)
	store.SetLimit(bd.limiter.limit)
	store.Set("config", []byte("1"))
	for n := range nodes {
		name := fmt.Sprintf("n%03d", n)
		er := term.New(clock, logr.Discard(), store.Client(name), term.Options{
			Node: name, PeerAddr: name, Processors: 0.4, TTL: 1200 * time.Millisecond, ReadRate: float64(reads),
			Lead: func(ctx context.Context, tm term.Term) {
				bd.latest.Store(&tm)
				<-ctx.Done()
			},
		})
		nodeCtx, cancel := context.WithCancel(ctx)
		bd.cancels = append(bd.cancels, cancel)
		go er.Run(nodeCtx)
		go feed.New(clock, logr.Discard(), store.Client(name), feed.Options{
			Key: "config", Node: name, Members: er.Members,
			Decode:   func(kv.Item) (*routes.Config, error) { return &routes.Config{Version: 1}, nil },
			Activate: func(*routes.Config) bool { return true },
			Request: func(context.Context, string, feed.Request) (feed.Response, error) {
				return feed.Response{}, errors.New("requests to other nodes are not supported")
			},
		}).Run(ctx)
		bd.nodes = append(bd.nodes, er)
	}
	return bd
}

// stop stops the nodes.
func (bd *testbed) stop() {
	bd.cancel()
	time.Sleep(15 * time.Second)
}

// synced returns how many nodes know all members and the planner, or 0 while some nodes are not registered in the
// store.
func (bd *testbed) synced() int {
	page, err := bd.store.Range(context.Background(), joblog.Nodes, "", false)
	if err != nil || len(page.Items) < len(bd.nodes) {
		return 0
	}
	count := 0
	for _, er := range bd.nodes {
		if _, planned := er.Leader(); planned && len(er.Members()) == len(bd.nodes) {
			count++
		}
	}
	return count
}

// awaitSynced waits until all nodes know all members, and returns the time that took.
func (bd *testbed) awaitSynced(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	const step = 100 * time.Millisecond
	for took := time.Duration(0); ; took += step {
		if bd.synced() == len(bd.nodes) {
			return took
		}
		if took >= limit {
			t.Fatalf("%d of %d nodes know all members after %v; %d calls, %d refused",
				bd.synced(), len(bd.nodes), limit, bd.limiter.calls, bd.limiter.refused)
		}
		time.Sleep(step)
	}
}

// TestManyNodes guards against an overload in which each change in the list of members woke the watches of all
// nodes. That used up the store's rate, renewals were refused, leases expired, and the members that left and
// joined woke the watches again. 301 nodes on a store with 400 writes and 2,000 reads per second made 486,274
// calls in a day and served nobody.
//
// All nodes must be registered soon after a cold start and after a store outage of 5 s, and must use less than
// half of the read rate when idle.
func TestManyNodes(t *testing.T) {
	cases := map[string]struct {
		nodes, writes, reads int
	}{
		"small deployment":  {9, 400, 2000},
		"medium deployment": {43, 1200, 6000},
		"large deployment":  {147, 3200, 16000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkManyNodes(t, tc.nodes, tc.writes, tc.reads) })
		})
	}
}

// TestManyNodesAtRateLimit runs as many nodes as the rates of a small deployment's store can bear.
func TestManyNodesAtRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkManyNodes(t, 301, 400, 2000) })
}

func checkManyNodes(t *testing.T, nodes, writes, reads int) {
	const idleTime = 10 * time.Second
	bd := newTestbed(t, nodes, writes, reads)
	defer bd.stop()
	t.Logf("all members known after %v; %d calls, %d refused", bd.awaitSynced(t, startupTime), bd.limiter.calls, bd.limiter.refused)
	time.Sleep(10 * time.Second) // until leases have their final TTL
	clear(bd.limiter.byKind)
	before, refused := bd.limiter.calls, bd.limiter.refused
	time.Sleep(idleTime)
	if rate := float64(bd.limiter.calls-before) / idleTime.Seconds(); rate > float64(reads)/2 || bd.limiter.refused > refused {
		t.Errorf("%.0f calls per second when idle, %d refused in 10 s: %v", rate, bd.limiter.refused-refused, bd.limiter.byKind)
	}
	bd.limiter.busy = true
	time.Sleep(5 * time.Second)
	bd.limiter.busy = false
	t.Logf("all members known again after %v; %d calls, %d refused", bd.awaitSynced(t, startupTime), bd.limiter.calls, bd.limiter.refused)
}

// TestPlannerWithLongLease stops the first candidates, so that a node with a longer lease becomes the planner. It
// must renew its lease as often as any planner; otherwise it could start no tasks between two renewals.
func TestPlannerWithLongLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, candidates = 301, 12
		bd := newTestbed(t, nodes, 400, 2000)
		defer bd.stop()
		time.Sleep(30 * time.Second) // until leases have their final TTL
		before := bd.latest.Load().Token
		for at, cancel := range bd.cancels {
			if at < candidates || bd.nodes[at].Leading() {
				cancel()
			}
		}
		time.Sleep(10 * time.Second)
		tm := bd.latest.Load()
		if tm.Token == before {
			t.Fatal("no planner 10 s after the planner and the first candidates stopped")
		}
		const samples = 100
		notHeld := 0
		for range samples {
			if !tm.LeaseHeld() {
				notHeld++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if notHeld > 0 {
			t.Errorf("the planner's lease is not held in %d of %d checks", notHeld, samples)
		}
	})
}
