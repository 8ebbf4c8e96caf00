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

// patience bounds every wait; it is no measure.
const patience = 60 * time.Second

// skewed is a clock that is ahead of the real one, or behind it.
type skewed struct {
	clockwork.Clock
	ahead time.Duration
}

// Now returns the skewed time.
func (sk skewed) Now() time.Time { return sk.Clock.Now().Add(sk.ahead) }

// Since returns the time since a moment of the skewed clock.
func (sk skewed) Since(at time.Time) time.Duration { return sk.Now().Sub(at) }

// Until returns the time until a moment of the skewed clock.
func (sk skewed) Until(at time.Time) time.Duration { return at.Sub(sk.Now()) }

// bed is a cluster in one process.
type bed struct {
	t       testing.TB
	dir     string
	store   *standinstore.Store
	list    *standinvms.List
	workers *fleet.Fleet
	nodes   map[string]*daemon.Daemon
	// skew is how far the clocks of some nodes are ahead.
	skew map[string]time.Duration
	keep time.Duration
	// gates stand between some nodes and the store.
	gates map[string]*gate
}

// quick is a worker whose lease runs out soon.
var quick = standinworker.Options{Lease: 2 * time.Second, Beat: 200 * time.Millisecond}

// newBed starts nodes over count workers.
func newBed(t testing.TB, count int, names ...string) *bed {
	t.Helper()
	return newBedOf(t, count, quick, names...)
}

// newBedOf starts nodes over count workers of a pattern.
func newBedOf(t testing.TB, count int, pattern standinworker.Options, names ...string) *bed {
	t.Helper()
	bd := &bed{t: t, dir: t.TempDir(), nodes: map[string]*daemon.Daemon{}}
	must(t, keys.Issue(bd.dir, []string{"n1", "n2", "n3", "n4"}))
	var err error
	bd.store, err = standinstore.New(standinstore.Options{Writes: 1000, Reads: 10000})
	must(t, err)
	bd.list, err = standinvms.New("")
	must(t, err)
	bd.workers, err = fleet.New(fleet.Options{Count: count, First: 1, Halls: 2, Rack: 4, Worker: pattern})
	must(t, err)
	for _, vm := range bd.workers.VMs() {
		bd.list.Put(vm)
	}
	t.Cleanup(func() {
		_ = bd.workers.Close()
		_ = bd.list.Close()
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

func (bd *bed) settings(name string) *settings.Settings {
	st := settings.New()
	st.Node = name
	st.HTTP.Listen, st.Peer.Listen = "127.0.0.1:0", "127.0.0.1:0"
	st.Peer.Cert = filepath.Join(bd.dir, name+keys.CertSuffix)
	st.Peer.Key = filepath.Join(bd.dir, name+keys.KeySuffix)
	st.Peer.CA = filepath.Join(bd.dir, keys.CAFile)
	st.Store.Addresses = []string{bd.store.Addr()}
	if ga := bd.gates[name]; ga != nil {
		st.Store.Addresses = []string{ga.listener.Addr().String()}
	}
	st.Store.LeaseTTL = 2 * time.Second
	st.VMs.Address = bd.list.Addr()
	st.VMs.Interval = 100 * time.Millisecond
	st.Owner.MaxLease, st.Owner.LeaseGuard = 3*time.Second, 2*time.Second
	st.Member.HeartbeatInterval, st.Member.SuspectAfter = 100*time.Millisecond, 800*time.Millisecond
	st.Limits.UnreadyDelay, st.Limits.DrainTimeout = 0, time.Second
	if bd.keep > 0 {
		st.Limits.JobRetention = bd.keep
	}
	st.Limits.QueryAfter = 200 * time.Millisecond
	st.Limits.MaxLookupBody, st.Limits.MaxJobBody = 1024, 1024
	return st
}

// start starts a node; it is stopped with the test.
func (bd *bed) start(name string) *daemon.Daemon {
	bd.t.Helper()
	clock := skewed{clockwork.NewRealClock(), bd.skew[name]}
	dm, err := daemon.New(bd.settings(name), clock, logr.Discard())
	must(bd.t, err)
	must(bd.t, dm.Start(context.Background()))
	bd.nodes[name] = dm
	bd.t.Cleanup(func() { _ = dm.Stop() })
	return dm
}

func (bd *bed) api(name string) *client.Client {
	return client.New(5*time.Second, bd.nodes[name].HTTPAddr())
}

// ended waits for a job's answer.
func (bd *bed) ended(id string) (vw api.Job) {
	bd.t.Helper()
	bd.eventually("job "+id+" has its answer", func() bool {
		var err error
		vw, err = client.JSON[api.Job](bd.api("n1"), client.Request{Method: "GET", Path: api.PathJobs + "/" + id})
		return err == nil && vw.Answer != ""
	})
	return vw
}

func (bd *bed) eventually(what string, holds func() bool) {
	bd.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	bd.t.Fatalf("not reached: %s", what)
}

// split cuts the links between two groups of nodes; without groups, all work.
func (bd *bed) split(one, other []string) {
	cut := func(names, from []string) {
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
	cut(one, other)
	cut(other, one)
}

// waitSlots waits until the nodes together have so many free slots.
func (bd *bed) waitSlots(slots int) {
	bd.t.Helper()
	bd.eventually("all workers attached", func() bool {
		free := 0
		for _, dm := range bd.nodes {
			free += dm.FreeSlots()
		}
		return free == slots
	})
}
