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

// newThreeNodeCluster starts three nodes and 24 workers.
func newThreeNodeCluster(t *testing.T) *cluster {
	t.Helper()
	cl := newCluster(t, options{nodes: []string{"n1", "n2", "n3"}, workers: 24})
	cl.configureWorkloads()
	return cl
}

// TestKillNode kills a node under load. The other nodes keep serving requests, and the
// new homes of its jobs run these to their end.
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
	ld.logSummary(t)
}

// TestPauseNode stops a node for longer than its leases last. When it resumes, it is
// fenced and joins again.
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
	ld.logSummary(t)
}

// TestStoreOutage makes the store unavailable, drops its responses and slows it down.
// Lookups do not need the store, and no job is lost or run twice.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	cl := newThreeNodeCluster(t)
	ld := startLoad(cl, 6, 2, func() *client.Client { return cl.api() })
	for _, ft := range []standinstore.Faults{
		{DropResponseEvery: 3}, {Down: true}, {}, {Slow: 300 * time.Millisecond}, {Hang: false, DropResponseEvery: 2}, {},
	} {
		cl.failStore(ft)
		time.Sleep(2 * time.Second)
	}
	ld.end().assertNone(t)
	is.Equal(ld.failedLookups.Load(), int64(0)) // lookups do not need the store
	ld.logSummary(t)
}

// TestRollingReplacement replaces each node in turn by a new one, under load. No lookup
// fails.
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
		time.Sleep(200 * time.Millisecond) // time in which a load balancer sees that the node is not ready
		inService.remove(name)
		<-old.exited
		is.True(old.cmd.ProcessState.Success()) // the node exited cleanly
		delete(cl.nodes, name)
	}
	cl.waitWorkers(24)
	ld.end().assertNone(t)
	is.Equal(ld.failedLookups.Load(), int64(0)) // a planned stop interrupts no lookup
	ld.logSummary(t)
}

// TestKillWorkers kills all workers of one process, which is the loss of a whole rack.
// Every job still gets an outcome, and no guarantee is violated.
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
	ld.logSummary(t)
}

// TestSplitInTwo blocks the traffic between two pairs of nodes, while all nodes reach
// the store and the workers. No node is removed from the cluster map. Each side serves
// lookups with its own workers; requests that need the other side wait or are refused,
// and nothing runs twice.
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
	is.Equal(len(list.Nodes)+len(list.Unreached), 4) // all are still members
	cl.restoreLinks()
	cl.waitWorkers(32)
	ld.end().assertNone(t)
	ld.logSummary(t)
}
