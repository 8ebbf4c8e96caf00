package peer_test

import (
	"context"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/keys"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/wire"
)

// newPeer returns a peer that calls itself name and has the certificate issued to cert.
func newPeer(t *testing.T, dir, name, cert string) *peer.Peer {
	t.Helper()
	keyring, err := keys.New(clockwork.NewRealClock(), logr.Discard(), filepath.Join(dir, cert+keys.CertSuffix),
		filepath.Join(dir, cert+keys.KeySuffix), filepath.Join(dir, keys.CAFile))
	if err != nil {
		t.Fatal(err)
	}
	pr, err := peer.New(name, "127.0.0.1:0", keyring, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pr.Close() })
	return pr
}

func issue(t *testing.T, names ...string) string {
	t.Helper()
	dir := t.TempDir()
	if err := keys.Issue(dir, names); err != nil {
		t.Fatal(err)
	}
	return dir
}

func call(from *peer.Peer, addr string, size int) (nodemsg.Rows, error) {
	return peer.Call[nodemsg.Row, nodemsg.Rows](context.Background(), from, addr, nodemsg.KindRowPush,
		nodemsg.Row{Key: "k", Value: []byte(strings.Repeat("x", size))})
}

// TestCallAuthorization checks that only nodes with a certificate of the same CA, and
// issued to their own name, reach a handler.
func TestCallAuthorization(t *testing.T) {
	dir, otherCA := issue(t, "a", "b"), issue(t, "a", "b")
	server := newPeer(t, dir, "a", "a")
	var calls atomic.Int64
	peer.Handle(server, nodemsg.KindRowPush, func(_ context.Context, from string, rw nodemsg.Row) (nodemsg.Rows, error) {
		calls.Add(1)
		return nodemsg.Rows{Rows: []nodemsg.Row{{Key: from, Version: uint64(len(rw.Value))}}}, nil
	})
	if err := server.Serve(); err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		from *peer.Peer
		size int
		kind fault.Kind
	}{
		"a node of the cluster":       {newPeer(t, dir, "b", "b"), 10, ""},
		"a large message":             {newPeer(t, dir, "b", "b"), 900 << 10, ""},
		"a message over the limit":    {newPeer(t, dir, "b", "b"), wire.MaxMessageSize, fault.TooLarge},
		"a name that is not its own":  {newPeer(t, dir, "c", "b"), 10, fault.Denied},
		"a certificate of another CA": {newPeer(t, otherCA, "b", "b"), 10, fault.Unavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := calls.Load()
			got, err := call(tc.from, server.Addr(), tc.size)
			if tc.kind == "" {
				is.NoErr(err)
				is.Equal(got.Rows, []nodemsg.Row{{Key: "b", Version: uint64(tc.size)}})
				return
			}
			is.Equal(fault.From(err).Kind, tc.kind)
			is.Equal(calls.Load(), before) // the handler was not called
		})
	}
}

// TestFailedCallOutcome checks that a call over a blocked connection fails as not
// carried out, and a call without a response as possibly carried out.
func TestFailedCallOutcome(t *testing.T) {
	is := is.New(t)
	dir := issue(t, "a", "b")
	server, caller := newPeer(t, dir, "a", "a"), newPeer(t, dir, "b", "b")
	entered := make(chan struct{})
	peer.Handle(server, nodemsg.KindRowPush, func(ctx context.Context, _ string, _ nodemsg.Row) (nodemsg.Rows, error) {
		close(entered)
		<-ctx.Done()
		return nodemsg.Rows{}, ctx.Err()
	})
	is.NoErr(server.Serve())
	caller.Block(func(string) bool { return true })
	_, err := call(caller, server.Addr(), 1)
	is.True(!fault.From(err).MayHaveRun)
	caller.Block(nil)
	go func() {
		<-entered
		_ = server.Close()
	}()
	_, err = call(caller, server.Addr(), 1)
	is.True(fault.From(err).MayHaveRun)
}
