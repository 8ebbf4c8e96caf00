package httpcall_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/connlimit"
	"tackbeam.example/tackbeam/internal/httpcall"
)

// multiServer is an HTTP server that listens on several addresses.
type multiServer struct {
	t         *testing.T
	server    *fasthttp.Server
	addresses []string
	// release is closed to answer the requests for /held.
	release chan struct{}
}

func newMultiServer(t *testing.T, count int) *multiServer {
	t.Helper()
	ms := &multiServer{t: t, release: make(chan struct{})}
	ms.server = &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/held" {
			<-ms.release
		}
	}}
	for range count {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = ms.server.Serve(ln) }() // returns when the listener is closed
		t.Cleanup(func() { _ = ln.Close() })
		ms.addresses = append(ms.addresses, ln.Addr().String())
	}
	return ms
}

// call sends a request to the address with index at.
func (ms *multiServer) call(calls *httpcall.Caller, at int, path string, callTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ms.t.Context(), callTimeout)
	defer cancel()
	_, err := calls.Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Address: ms.addresses[at], Path: path})
	return err
}

// TestLimitOfConnections guards against idle connections exhausting the file descriptors of the process: a call to
// another address closes the least recently used ones.
func TestLimitOfConnections(t *testing.T) {
	is := is.New(t)
	const maxConns, addresses = 4, 24
	ms := newMultiServer(t, addresses)
	limit := connlimit.New(logr.Discard(), maxConns)
	calls := httpcall.New(16).WithLimit(limit)
	for range 2 {
		for at := range addresses {
			is.NoErr(ms.call(calls, at, "/", callTimeout))
			is.True(limit.Open() <= maxConns)
		}
	}
	before := limit.Evicted()
	for at := addresses - maxConns; at < addresses; at++ {
		is.NoErr(ms.call(calls, at, "/", callTimeout))
	}
	is.Equal(limit.Evicted(), before) // the most recently used connections are still open
	is.Equal(limit.Refused(), int64(0))
}

// TestWaitsAtLimit guards against calls that fail at the limit instead of waiting for a connection until their
// deadline. Callers set up with CountAgainst must not wait.
func TestWaitsAtLimit(t *testing.T) {
	is := is.New(t)
	const maxConns = 4
	ms := newMultiServer(t, 3*maxConns)
	limit := connlimit.New(logr.Discard(), maxConns)
	calls, counted := httpcall.New(16).WithLimit(limit), httpcall.New(16).CountAgainst(limit)
	var group sync.WaitGroup
	for at := range maxConns {
		group.Go(func() { is.NoErr(ms.call(calls, at, "/held", 10*time.Second)) })
	}
	for limit.Open() < maxConns {
		time.Sleep(time.Millisecond)
	}
	err := ms.call(calls, maxConns, "/", work/10)
	is.True(errors.Is(err, httpcall.ErrNoDescriptor))
	is.True(errors.Is(err, httpcall.ErrNotSent))
	is.NoErr(ms.call(counted, maxConns, "/", callTimeout))
	time.AfterFunc(work, func() { close(ms.release) })
	is.NoErr(ms.call(calls, maxConns+1, "/", 5*time.Second))
	group.Wait()
	is.True(limit.Open() <= maxConns)
}
