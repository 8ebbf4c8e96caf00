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

// gate passes TCP connections on to an address until it is shut.
type gate struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	shut  bool
	conns []net.Conn
}

func newGate(t testing.TB, target string) *gate {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	ga := &gate{listener: ln, target: target}
	t.Cleanup(func() { _ = ln.Close(); ga.setShut(true) })
	go ga.serve()
	return ga
}

func (ga *gate) serve() {
	for {
		in, err := ga.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", ga.target)
		ga.mu.Lock()
		if err != nil || ga.shut {
			_ = in.Close()
			if err == nil {
				_ = out.Close()
			}
			ga.mu.Unlock()
			continue
		}
		ga.conns = append(ga.conns, in, out)
		ga.mu.Unlock()
		go func() { _, _ = io.Copy(out, in) }() // ends with the connections
		go func() { _, _ = io.Copy(in, out) }()
	}
}

// setShut cuts all connections and refuses new ones, or lets them through again.
func (ga *gate) setShut(shut bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.shut = shut
	for _, cn := range ga.conns {
		_ = cn.Close()
	}
	ga.conns = nil
}

// TestSplitWithoutStore cuts two nodes off from the two others and from the store,
// for long. The others take their workers over. No worker carries more than it
// has, and no job that must not runs twice, whatever the workers can do.
func TestSplitWithoutStore(t *testing.T) {
	cases := map[string][]workermsg.Capability{
		"workers with fencing and inventory": {workermsg.Fencing, workermsg.Inventory},
		"workers with neither":               {},
	}
	for name, capabilities := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bd := newBedOf(t, 32, standinworker.Options{
				LeaseTTL: time.Second, HeartbeatInterval: 200 * time.Millisecond, Capabilities: capabilities,
			})
			bd.gates = map[string]*gate{}
			for _, node := range []string{"n1", "n2", "n3", "n4"} {
				bd.gates[node] = newGate(t, bd.store.Addr())
				bd.start(node)
			}
			bd.waitSlots(32 * 8)
			setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch", "workload/push processors 64")
			submit := func(node, mark string) {
				for i := range 32 { // as many as there are workers
					_, _ = submitJob(bd.api(node), "push", fmt.Sprint(mark, i), 1, 600, 0) // refused ones do not matter
				}
			}
			submit("n1", "first")
			submit("n3", "first of n3 ")
			time.Sleep(time.Second)
			bd.split([]string{"n1", "n2"}, []string{"n3", "n4"})
			bd.gates["n3"].setShut(true)
			bd.gates["n4"].setShut(true)
			for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
				submit("n1", fmt.Sprint("n1 ", time.Now().Unix(), " "))
				submit("n3", fmt.Sprint("n3 ", time.Now().Unix(), " "))
			}
			bd.split(nil, nil)
			bd.gates["n3"].setShut(false)
			bd.gates["n4"].setShut(false)
			bd.waitSlots(32 * 8)
			begun := map[string]int{}
			for _, rc := range inOrder(bd) {
				is.True(rc.Event != standinworker.EventOverCapacity) // no worker is over its size
				if rc.Event == standinworker.EventBegin {
					begun[rc.Mark]++
					is.True(begun[rc.Mark] == 1) // nothing runs twice
				}
			}
			is.True(len(begun) >= 30) // there was work
		})
	}
}
