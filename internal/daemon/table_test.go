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

func setCell(cl *client.Client, value, expect string) (table.Kept, error) {
	return client.Send[table.Kept](cl, client.Request{
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

// TestRaceForACell lets operators at two nodes set the same cell, again and
// again, while the store loses answers. One of each pair wins; the other is told
// both values; every node ends with the winner's, and no version goes down.
func TestRaceForACell(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 2, "n1", "n2")
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
		is.NoErr(a.err)                                           // one wins
		is.True(fault.Is(b.err, fault.Conflict))                  // the other does not
		is.True(strings.Contains(b.err.Error(), `"`+b.value+`"`)) // and is told its own value
		is.True(strings.Contains(b.err.Error(), `"`+a.value+`"`)) // and the winner's
		value = a.value
	}
	for _, name := range []string{"n1", "n2"} {
		bd.eventually("the winner is in force", func() bool {
			got, _ := weight(bd.api(name))
			return got == value
		})
	}
}

// TestCutNode edits the table while one node is cut off from the other. The
// answer names the node that has not confirmed; that node still gets the edit
// by its watch, and a late push of an old row changes nothing.
func TestCutNode(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 2, "n1", "n2")
	setCells(t, bd.api("n1"), "workspace/brno weight 1")
	cut := func(string) bool { return true }
	bd.nodes["n1"].Peer().Block(cut)
	bd.nodes["n2"].Peer().Block(cut)
	kept, err := setCell(bd.api("n1"), "7", "1")
	is.NoErr(err)
	is.Equal(kept.Unconfirmed, []string{"n2"}) // said so, not passed over
	bd.eventually("the watch brings the edit", func() bool {
		got, _ := weight(bd.api("n2"))
		return got == "7"
	})
}

// deafGate lets a node's calls to the store through, except its watches: these hang,
// so that the node learns of no change that it does not read itself.
func deafGate(t *testing.T, bd *bed) *gate {
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
	return newGate(t, server.Listener.Addr().String())
}

// TestEditNamesNewMembers edits the table at a node that has not been told yet of
// another one's joining. The answer names that one among those without the edit.
func TestEditNamesNewMembers(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 2)
	bd.gates = map[string]*gate{"n1": deafGate(t, bd)}
	bd.start("n1")
	bd.waitSlots(16)
	cl := store.New(clockwork.NewRealClock(), store.HTTP([]string{bd.store.Addr()}), store.Options{
		Writes: 1000, Reads: 1000, Timeout: patience,
	})
	for joined := false; !joined; { // n1 may write the map meanwhile
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
	kept, err := setCell(bd.api("n1"), "7", "")
	is.NoErr(err)
	is.Equal(kept.Unconfirmed, []string{"n2"})
}

// TestIsolatedNode cuts a node off from the store and from the other node. It
// says that its table may be stale, and takes no jobs.
func TestIsolatedNode(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 2, "n1", "n2")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/push class batch")
	cut := func(string) bool { return true }
	bd.nodes["n1"].Peer().Block(cut)
	bd.nodes["n2"].Peer().Block(cut)
	bd.store.SetFaults(standinstore.Faults{Down: true})
	bd.eventually("the node knows that it may be stale", func() bool {
		tb, err := client.JSON[api.Table](bd.api("n1"), client.Request{Method: "GET", Path: api.PathTable})
		return err == nil && tb.Stale
	})
	_, err := client.Send[api.Job](bd.api("n1"), client.Request{Method: "POST", Path: api.PathJobs},
		api.JobRequest{Workload: "push", Workspace: "brno"})
	is.True(fault.Is(err, fault.Stale))
	is.True(!fault.From(err).Begun) // not run
	bd.nodes["n1"].Peer().Block(nil)
	bd.nodes["n2"].Peer().Block(nil)
	bd.eventually("the nodes hear each other; with the store down for both nothing is stale", func() bool {
		tb, err := client.JSON[api.Table](bd.api("n1"), client.Request{Method: "GET", Path: api.PathTable})
		return err == nil && !tb.Stale
	})
}

// TestEditInAnOutage says of an edit that the store did not take that it is not
// kept, and of one without an answer that it may be.
func TestEditInAnOutage(t *testing.T) {
	cases := map[string]struct {
		faults standinstore.Faults
		begun  bool
	}{
		"down":  {standinstore.Faults{Down: true}, false},
		"hangs": {standinstore.Faults{Hang: true}, false}, // the read before the write already fails
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newBed(t, 1, "n1")
			setCells(t, bd.api("n1"), "workspace/brno weight 1")
			bd.store.SetFaults(tc.faults)
			_, err := setCell(client.New(time.Second, bd.nodes["n1"].HTTPAddr()), "2", "1")
			is.Equal(fault.From(err).Kind, fault.Unavailable)
			is.Equal(fault.From(err).Begun, tc.begun)
			bd.store.SetFaults(standinstore.Faults{})
			got, _ := weight(bd.api("n1"))
			is.Equal(got, "1")
		})
	}
}
