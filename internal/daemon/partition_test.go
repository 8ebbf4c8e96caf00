package daemon_test

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// storeProxy forwards TCP connections to an address unless it is blocked.
type storeProxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	blocked bool
	conns   []net.Conn
}

func newStoreProxy(t testing.TB, target string) *storeProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	px := &storeProxy{listener: ln, target: target}
	t.Cleanup(func() { _ = ln.Close(); px.setBlocked(true) })
	go px.serve()
	return px
}

func (px *storeProxy) serve() {
	for {
		in, err := px.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", px.target)
		px.mu.Lock()
		if err != nil || px.blocked {
			_ = in.Close()
			if err == nil {
				_ = out.Close()
			}
			px.mu.Unlock()
			continue
		}
		px.conns = append(px.conns, in, out)
		px.mu.Unlock()
		go func() { _, _ = io.Copy(out, in) }() // ends when the connections are closed
		go func() { _, _ = io.Copy(in, out) }()
	}
}

// setBlocked closes all connections and blocks or unblocks new ones.
func (px *storeProxy) setBlocked(blocked bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.blocked = blocked
	for _, cn := range px.conns {
		_ = cn.Close()
	}
	px.conns = nil
}

// TestPartitionFromStore separates two nodes from two others and from the store, for
// long enough that the others take over their workers. With and without fencing and
// inventory, no worker may exceed its capacity, and no job that is not repeatable may
// run twice.
func TestPartitionFromStore(t *testing.T) {
	cases := map[string][]workermsg.Capability{
		"workers with fencing and inventory": {workermsg.Fencing, workermsg.Inventory},
		"workers with neither":               {},
	}
	for name, capabilities := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bd := newTestbedWith(t, 32, standinworker.Options{
				LeaseTTL: time.Second, HeartbeatInterval: 200 * time.Millisecond, Capabilities: capabilities,
			})
			bd.storeProxies = map[string]*storeProxy{}
			for _, node := range []string{"n1", "n2", "n3", "n4"} {
				bd.storeProxies[node] = newStoreProxy(t, bd.store.Addr())
				bd.start(node)
			}
			bd.waitSlots(32 * 8)
			setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch", "workload/push processors 64")
			submit := func(node, mark string) {
				for i := range 32 { // one for each worker
					_, _ = submitJob(bd.api(node), "push", fmt.Sprint(mark, i), 1, 600, 0) // jobs may be refused
				}
			}
			submit("n1", "first")
			submit("n3", "first of n3 ")
			time.Sleep(time.Second)
			bd.partition([]string{"n1", "n2"}, []string{"n3", "n4"})
			bd.storeProxies["n3"].setBlocked(true)
			bd.storeProxies["n4"].setBlocked(true)
			for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
				submit("n1", fmt.Sprint("n1 ", time.Now().Unix(), " "))
				submit("n3", fmt.Sprint("n3 ", time.Now().Unix(), " "))
			}
			bd.partition(nil, nil)
			bd.storeProxies["n3"].setBlocked(false)
			bd.storeProxies["n4"].setBlocked(false)
			bd.waitSlots(32 * 8)
			starts := map[string]int{}
			for _, rc := range sortedRecords(bd) {
				is.True(rc.Event != standinworker.EventOverCapacity) // no worker exceeds its capacity
				if rc.Event == standinworker.EventBegin {
					starts[rc.Mark]++
					is.True(starts[rc.Mark] == 1) // nothing runs twice
				}
			}
			is.True(len(starts) >= 30) // most of the jobs ran
		})
	}
}
