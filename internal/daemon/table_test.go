package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/storemsg"
	"tackbeam.example/tackbeam/internal/table"
	"tackbeam.example/tackbeam/internal/wire"
)

func setCell(cl *client.Client, value, expect string) (table.EditResult, error) {
	return client.Send[table.EditResult](cl, client.Request{
		Method: "PUT", Path: "/v1/table/workspace/brno/weight",
	}, api.CellRequest{Value: value, Expect: &expect})
}

func weight(cl *client.Client) (string, uint64) {
	row, err := client.JSON[table.Row](cl, client.Request{Method: "GET", Path: "/v1/table/workspace/brno"})
	if err != nil {
		return "", 0
	}
	return row.Cells["weight"], row.Version
}

// TestConcurrentCellEdits sets the same cell at two nodes concurrently, several times,
// while the store loses responses. One edit of each pair must succeed, the other must
// get a conflict that names both values, and all nodes must end with the winning value.
func TestConcurrentCellEdits(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 2, "n1", "n2")
	setCells(t, bd.api("n1"), "workspace/brno weight 1")
	bd.store.SetFaults(standinstore.Faults{DropResponseEvery: 3})
	value := "1"
	for n := 2; n < 12; n++ {
		type answer struct {
			value string
			err   error
		}
		answers := make(chan answer, 2)
		for i, name := range []string{"n1", "n2"} {
			mine := fmt.Sprint(10*n + i)
			go func() {
				_, err := setCell(bd.api(name), mine, value)
				answers <- answer{mine, err}
			}()
		}
		a, b := <-answers, <-answers
		if a.err != nil {
			a, b = b, a
		}
		is.NoErr(a.err)                                           // one edit succeeds
		is.True(fault.Is(b.err, fault.Conflict))                  // the other is a conflict
		is.True(strings.Contains(b.err.Error(), `"`+b.value+`"`)) // that names its own value
		is.True(strings.Contains(b.err.Error(), `"`+a.value+`"`)) // and the winning one
		value = a.value
	}
	for _, name := range []string{"n1", "n2"} {
		bd.eventually("the winning value is active", func() bool {
			got, _ := weight(bd.api(name))
			return got == value
		})
	}
}

// TestEditWithUnreachableNode edits the table while the two nodes cannot reach each
// other. The response must name the node that has not confirmed the edit, and that
// node must still receive the edit through its watch on the store.
func TestEditWithUnreachableNode(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 2, "n1", "n2")
	setCells(t, bd.api("n1"), "workspace/brno weight 1")
	all := func(string) bool { return true }
	bd.nodes["n1"].Peer().Block(all)
	bd.nodes["n2"].Peer().Block(all)
	result, err := setCell(bd.api("n1"), "7", "1")
	is.NoErr(err)
	is.Equal(result.Unconfirmed, []string{"n2"}) // reported as unconfirmed
	bd.eventually("the watch delivers the edit", func() bool {
		got, _ := weight(bd.api("n2"))
		return got == "7"
	})
}

// proxyWithoutWatches forwards a node's calls to the store, but lets watches hang, so
// that the node only sees changes that it reads itself.
func proxyWithoutWatches(t *testing.T, bd *testbed) *storeProxy {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: bd.store.Addr()})
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == storemsg.WatchPath {
			<-t.Context().Done()
			return
		}
		proxy.ServeHTTP(rw, rq)
	}))
	t.Cleanup(server.Close)
	return newStoreProxy(t, server.Listener.Addr().String())
}

// TestEditNamesNewMembers edits the table at a node that does not yet know that
// another node has joined. The response must list the new node as unconfirmed.
func TestEditNamesNewMembers(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 2)
	bd.storeProxies = map[string]*storeProxy{"n1": proxyWithoutWatches(t, bd)}
	bd.start("n1")
	bd.waitSlots(16)
	cl := store.New(clockwork.NewRealClock(), store.HTTP([]string{bd.store.Addr()}), store.Options{
		Writes: 1000, Reads: 1000, Timeout: waitTimeout,
	})
	for joined := false; !joined; { // n1 may write the map concurrently
		item, err := cl.Get(t.Context(), store.Ownership, clustermap.Key)
		is.NoErr(err)
		mp := clustermap.New()
		is.NoErr(wire.Decode(item.Value, mp))
		raw, err := wire.Encode(mp.Join(clustermap.Node{Name: "n2", Incarnation: "first", Peer: "127.0.0.1:1"}))
		is.NoErr(err)
		_, joined, err = cl.Put(t.Context(), store.Ownership, store.Write{
			Key: clustermap.Key, Value: raw, Version: item.Version,
		})
		is.NoErr(err)
	}
	result, err := setCell(bd.api("n1"), "7", "")
	is.NoErr(err)
	is.Equal(result.Unconfirmed, []string{"n2"})
}

// TestIsolatedNode isolates a node from the store and from the other node. It must
// report that its table may be stale, and refuse jobs.
func TestIsolatedNode(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 2, "n1", "n2")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch")
	all := func(string) bool { return true }
	bd.nodes["n1"].Peer().Block(all)
	bd.nodes["n2"].Peer().Block(all)
	bd.store.SetFaults(standinstore.Faults{Down: true})
	bd.eventually("the node reports its table as stale", func() bool {
		tb, err := client.JSON[api.Table](bd.api("n1"), client.Request{Method: "GET", Path: api.PathTable})
		return err == nil && tb.Stale
	})
	_, err := client.Send[api.Job](bd.api("n1"), client.Request{Method: "POST", Path: api.PathJobs},
		api.JobRequest{Workload: "push", Workspace: "brno"})
	is.True(fault.Is(err, fault.Stale))
	is.True(!fault.From(err).MayHaveRun) // not run
	bd.nodes["n1"].Peer().Block(nil)
	bd.nodes["n2"].Peer().Block(nil)
	bd.eventually("the nodes reach each other, and nothing is stale while the store is down for both", func() bool {
		tb, err := client.JSON[api.Table](bd.api("n1"), client.Request{Method: "GET", Path: api.PathTable})
		return err == nil && !tb.Stale
	})
}

// TestEditDuringStoreOutage checks that an edit during an outage of the store is
// reported as not stored if the store certainly has not stored it.
func TestEditDuringStoreOutage(t *testing.T) {
	cases := map[string]struct {
		faults     standinstore.Faults
		mayHaveRun bool
	}{
		"down":  {standinstore.Faults{Down: true}, false},
		"hangs": {standinstore.Faults{Hang: true}, false}, // the read before the write already fails
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newTestbed(t, 1, "n1")
			setCells(t, bd.api("n1"), "workspace/brno weight 1")
			bd.store.SetFaults(tc.faults)
			_, err := setCell(client.New(time.Second, bd.nodes["n1"].HTTPAddr()), "2", "1")
			is.Equal(fault.From(err).Kind, fault.Unavailable)
			is.Equal(fault.From(err).MayHaveRun, tc.mayHaveRun)
			bd.store.SetFaults(standinstore.Faults{})
			got, _ := weight(bd.api("n1"))
			is.Equal(got, "1")
		})
	}
}
