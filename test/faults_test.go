package test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
)

// three is the cluster that the faults are tried on.
func newThreeNodeCluster(t *testing.T) *cluster {
	t.Helper()
	cl := newCluster(t, options{nodes: []string{"n1", "n2", "n3"}, workers: 24})
	cl.configureWorkloads()
	return cl
}

// TestKillNode kills a node under load. Requests to the other nodes go on; its
// jobs are seen through by their new homes.
func TestKillNode(t *testing.T) {
	is := is.New(t)
	cl := newThreeNodeCluster(t)
	ld := startLoad(cl, 6, 2, func() *client.Client { return cl.api("n1", "n2") })
	time.Sleep(time.Second)
	cl.nodes["n3"].kill()
	delete(cl.nodes, "n3")
	cl.waitWorkers(24)
	time.Sleep(time.Second)
	ld.end().assertNone(t)
	is.True(ld.jobs.Load() > 5)
	ld.log(t)
}

// TestPauseNode stops a node for longer than its leases and lets it go on. It
// wakes up fenced, and joins again.
func TestPauseNode(t *testing.T) {
	cl := newThreeNodeCluster(t)
	ld := startLoad(cl, 6, 2, func() *client.Client { return cl.api("n1", "n2") })
	time.Sleep(time.Second)
	paused := cl.nodes["n3"]
	paused.signal(syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	paused.signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	cl.waitWorkers(24)
	ld.end().assertNone(t)
	ld.log(t)
}

// TestStoreOutage takes the store away, loses its answers, and slows it down.
// Lookups need no store, and nothing is doubled or lost.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	cl := newThreeNodeCluster(t)
	ld := startLoad(cl, 6, 2, func() *client.Client { return cl.api() })
	for _, ft := range []standinstore.Faults{
		{LoseEvery: 3}, {Down: true}, {}, {Slow: 300 * time.Millisecond}, {Hang: false, LoseEvery: 2}, {},
	} {
		cl.failStore(ft)
		time.Sleep(2 * time.Second)
	}
	ld.end().assertNone(t)
	is.Equal(ld.failedLookups.Load(), int64(0)) // no lookup needs the store
	ld.log(t)
}

// TestRollingReplacement replaces every node under load, each by a new one. No
// lookup is lost.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	cl := newThreeNodeCluster(t)
	inService := newBalancer(cl, "n1", "n2", "n3")
	ld := startLoad(cl, 8, 2, inService.client)
	time.Sleep(500 * time.Millisecond)
	for i, name := range []string{"n1", "n2", "n3"} {
		spare := fmt.Sprint("spare-", i+1)
		cl.startNode(spare)
		inService.add(spare)
		old := cl.nodes[name]
		old.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond) // the balancer notices that the node is not ready
		inService.remove(name)
		<-old.done
		is.True(old.cmd.ProcessState.Success()) // the node ended cleanly
		delete(cl.nodes, name)
	}
	cl.waitWorkers(24)
	ld.end().assertNone(t)
	is.Equal(ld.failedLookups.Load(), int64(0)) // a planned stop cuts nothing
	ld.log(t)
}

// TestKillWorkers kills all workers of one process, which takes a whole rack
// away. Every job gets its answer, and nothing that is left is broken.
func TestKillWorkers(t *testing.T) {
	is := is.New(t)
	cl := newThreeNodeCluster(t)
	cl.addWorkers(options{}, 101, 8)
	cl.waitWorkers(32)
	ld := startLoad(cl, 6, 2, func() *client.Client { return cl.api() })
	time.Sleep(time.Second)
	cl.fleets[1].kill()
	for number := 101; number <= 108; number++ {
		delete(cl.workers, fmt.Sprintf("w%04d", number))
	}
	cl.waitWorkers(24)
	time.Sleep(time.Second)
	ld.end().assertNone(t)
	is.True(ld.jobs.Load() > 10)
	ld.log(t)
}

// TestSplitInTwo cuts two nodes off from the other two while all reach the store
// and the workers. Nobody takes anybody out; each side serves lookups with its own
// workers; what needs the other side waits or is refused, and is not doubled.
func TestSplitInTwo(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, options{nodes: []string{"n1", "n2", "n3", "n4"}, workers: 32, relays: true})
	cl.configureWorkloads()
	ld := startLoad(cl, 12, 3, func() *client.Client { return cl.api() })
	time.Sleep(time.Second)
	cl.split([]string{"n1", "n2"}, []string{"n3", "n4"})
	time.Sleep(6 * time.Second)
	list, err := client.JSON[api.Nodes](cl.api("n1"), client.Request{Method: "GET", Path: api.PathNodes})
	is.NoErr(err)
	is.Equal(len(list.Nodes)+len(list.Unreached), 4) // all are members still
	cl.restoreLinks()
	cl.waitWorkers(32)
	ld.end().assertNone(t)
	ld.log(t)
}
