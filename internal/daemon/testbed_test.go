package daemon_test

import (
	"context"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/daemon"
	"tackbeam.example/tackbeam/internal/keys"
	"tackbeam.example/tackbeam/internal/settings"
	"tackbeam.example/tackbeam/internal/standin/fleet"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/standin/standinvms"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// waitTimeout limits every wait for a condition. It is generous, so that only a
// condition that is never reached fails a test.
const waitTimeout = 60 * time.Second

// skewedClock is a clock that is ahead of another clock by an offset, or behind it.
type skewedClock struct {
	clockwork.Clock
	offset time.Duration
}

// Now returns the time with the offset added.
func (sk skewedClock) Now() time.Time { return sk.Clock.Now().Add(sk.offset) }

// Since returns the time since a moment on this clock.
func (sk skewedClock) Since(at time.Time) time.Duration { return sk.Now().Sub(at) }

// Until returns the time until a moment on this clock.
func (sk skewedClock) Until(at time.Time) time.Duration { return at.Sub(sk.Now()) }

// testbed is a cluster in one process: nodes, a store, a list of VMs and workers.
type testbed struct {
	t       testing.TB
	dir     string
	store   *standinstore.Store
	vms     *standinvms.List
	workers *fleet.Fleet
	nodes   map[string]*daemon.Daemon
	// clockOffsets holds how far the clocks of some nodes are ahead.
	clockOffsets map[string]time.Duration
	keepJobs     time.Duration
	// storeProxies are the proxies between some nodes and the store.
	storeProxies map[string]*storeProxy
}

// shortLease configures a worker with a short lease.
var shortLease = standinworker.Options{LeaseTTL: 2 * time.Second, HeartbeatInterval: 200 * time.Millisecond}

// newTestbed starts nodes and count workers with short leases.
func newTestbed(t testing.TB, count int, names ...string) *testbed {
	t.Helper()
	return newTestbedWith(t, count, shortLease, names...)
}

// newTestbedWith starts nodes and count workers with the given options.
func newTestbedWith(t testing.TB, count int, pattern standinworker.Options, names ...string) *testbed {
	t.Helper()
	bd := &testbed{t: t, dir: t.TempDir(), nodes: map[string]*daemon.Daemon{}}
	must(t, keys.Issue(bd.dir, []string{"n1", "n2", "n3", "n4"}))
	var err error
	bd.store, err = standinstore.New(standinstore.Options{WriteRate: 1000, ReadRate: 10000})
	must(t, err)
	bd.vms, err = standinvms.New("")
	must(t, err)
	bd.workers, err = fleet.New(fleet.Options{Count: count, FirstNumber: 1, Halls: 2, RackSize: 4, Worker: pattern})
	must(t, err)
	for _, vm := range bd.workers.VMs() {
		bd.vms.Put(vm)
	}
	t.Cleanup(func() {
		_ = bd.workers.Close()
		_ = bd.vms.Close()
		_ = bd.store.Close()
	})
	for _, name := range names {
		bd.start(name)
	}
	if len(names) > 0 {
		bd.waitSlots(count * 8)
	}
	return bd
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (bd *testbed) settings(name string) *settings.Settings {
	st := settings.New()
	st.Node = name
	st.HTTP.Listen, st.Peer.Listen = "127.0.0.1:0", "127.0.0.1:0"
	st.Peer.Cert = filepath.Join(bd.dir, name+keys.CertSuffix)
	st.Peer.Key = filepath.Join(bd.dir, name+keys.KeySuffix)
	st.Peer.CA = filepath.Join(bd.dir, keys.CAFile)
	st.Store.Addresses = []string{bd.store.Addr()}
	if px := bd.storeProxies[name]; px != nil {
		st.Store.Addresses = []string{px.listener.Addr().String()}
	}
	st.Store.LeaseTTL = 2 * time.Second
	st.VMs.Address = bd.vms.Addr()
	st.VMs.Interval = 100 * time.Millisecond
	st.Owner.MaxLease, st.Owner.LeaseGuard = 3*time.Second, 2*time.Second
	st.Member.HeartbeatInterval, st.Member.SuspectAfter = 100*time.Millisecond, 800*time.Millisecond
	st.Limits.UnreadyDelay, st.Limits.DrainTimeout = 0, time.Second
	if bd.keepJobs > 0 {
		st.Limits.JobRetention = bd.keepJobs
	}
	st.Limits.QueryAfter = 200 * time.Millisecond
	st.Limits.MaxLookupBody, st.Limits.MaxJobBody = 1024, 1024
	return st
}

// start starts a node, which is stopped at the end of the test.
func (bd *testbed) start(name string) *daemon.Daemon {
	bd.t.Helper()
	clock := skewedClock{clockwork.NewRealClock(), bd.clockOffsets[name]}
	dm, err := daemon.New(bd.settings(name), clock, logr.Discard())
	must(bd.t, err)
	must(bd.t, dm.Start(context.Background()))
	bd.nodes[name] = dm
	bd.t.Cleanup(func() { _ = dm.Stop() })
	return dm
}

func (bd *testbed) api(name string) *client.Client {
	return client.New(5*time.Second, bd.nodes[name].HTTPAddr())
}

// waitJob waits until a job has ended.
func (bd *testbed) waitJob(id string) (vw api.Job) {
	bd.t.Helper()
	bd.eventually("job "+id+" has ended", func() bool {
		var err error
		vw, err = client.JSON[api.Job](bd.api("n1"), client.Request{Method: "GET", Path: api.PathJobs + "/" + id})
		return err == nil && vw.Answer != ""
	})
	return vw
}

func (bd *testbed) eventually(condition string, holds func() bool) {
	bd.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	bd.t.Fatalf("condition not reached: %s", condition)
}

// partition blocks the connections between two groups of nodes. Without groups it
// unblocks all connections.
func (bd *testbed) partition(one, other []string) {
	block := func(names, from []string) {
		for _, name := range names {
			bd.nodes[name].Peer().Block(func(addr string) bool {
				return slices.ContainsFunc(from, func(far string) bool { return bd.nodes[far].Peer().Addr() == addr })
			})
		}
	}
	if len(one)+len(other) == 0 {
		for _, dm := range bd.nodes {
			dm.Peer().Block(nil)
		}
	}
	block(one, other)
	block(other, one)
}

// waitSlots waits until the nodes have the given number of free slots in total.
func (bd *testbed) waitSlots(slots int) {
	bd.t.Helper()
	bd.eventually("all slots are free", func() bool {
		free := 0
		for _, dm := range bd.nodes {
			free += dm.FreeSlots()
		}
		return free == slots
	})
}
