package httpcall_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/standin/netpath"
)

const (
	// large is the size of a response that takes 2 s at slowLink, in bytes per second.
	large    = 500_000
	slowLink = large / 2
	// firstByte is the deadline for a streamed response to begin, stall the longest pause within it.
	firstByte = 500 * time.Millisecond
	stall     = time.Second
	// inTransit is more than slowLink takes for the header of a response and one chunk of the path.
	inTransit = 40 * time.Millisecond
)

// newSlowServer returns a server that sends a large response, and delays the response to "/held". Dates in headers would
// need a goroutine that outlives a bubble of testing/synctest.
func newSlowServer() *fasthttp.Server {
	return &fasthttp.Server{Logger: httpcall.LibraryLogger(logr.Discard()), NoDefaultDate: true, Handler: func(rc *fasthttp.RequestCtx) {
		switch string(rc.Path()) {
		case "/held":
			time.Sleep(time.Second)
		case "/slow":
			time.Sleep(work)
			rc.SetBodyString("done")
			return
		case "/short":
			rc.SetBodyString("done")
			return
		}
		rc.SetBody(make([]byte, large))
	}}
}

// newSlowRemote starts a server behind a slow link.
func newSlowRemote(t *testing.T) *remote {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newSlowServer()
	go func() { _ = server.Serve(ln) }() // returns when the listener is closed
	path, err := netpath.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	path.SetBandwidth(slowLink)
	t.Cleanup(func() {
		_ = path.Close()
		_ = ln.Close()
	})
	return &remote{t: t, path: path, calls: httpcall.New(2), server: server}
}

// newSlowRemoteInMemory starts the same in a bubble of testing/synctest.
func newSlowRemoteInMemory(t *testing.T) *remote {
	near, ln := fasthttputil.NewInmemoryListener(), fasthttputil.NewInmemoryListener()
	server := newSlowServer()
	go func() { _ = server.Serve(ln) }() // returns when the listener is closed
	path := netpath.NewInMemory(near, ln)
	path.SetBandwidth(slowLink)
	t.Cleanup(func() {
		_ = path.Close()
		_ = ln.Close()
		time.Sleep(httpcall.ServerIdleTimeout) // fasthttp's goroutines for idle connections end, as the bubble requires
	})
	calls := httpcall.New(2).WithDial(func(string, time.Duration) (net.Conn, error) { return near.Dial() })
	return &remote{t: t, path: path, calls: calls, server: server}
}

// TestStreamed checks that a streamed response may take any time while data arrives, and that the call fails if it
// stalls or does not begin in time. It runs in virtual time: in wall time, a busy host delays the path as well, and a
// margin for that hides limits of the call that are too long.
func TestStreamed(t *testing.T) {
	cases := map[string]struct {
		path       string
		rq         httpcall.Request
		stallAfter time.Duration // after the request is sent; 0 for none
		ok         bool
		within     time.Duration
	}{
		"slow":               {"/", httpcall.Request{Streamed: true}, 0, true, 2 * time.Second},
		"delayed, then slow": {"/held", httpcall.Request{Streamed: true, ServerWait: time.Second}, 0, true, 3 * time.Second},
		"stalls midway":      {"/", httpcall.Request{Streamed: true}, 700 * time.Millisecond, false, 700*time.Millisecond + stall},
		"no response":        {"/held", httpcall.Request{Streamed: true, ServerWait: time.Second}, 300 * time.Millisecond, false, time.Second + firstByte},
		"delayed too long":   {"/held", httpcall.Request{Streamed: true}, 0, false, firstByte},
	}
	for name, tc := range cases {
		for _, longPoll := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fr := newSlowRemoteInMemory(t)
					if tc.stallAfter > 0 {
						time.AfterFunc(tc.stallAfter, fr.path.Blackhole)
					}
					rq := tc.rq
					rq.LongPoll = longPoll
					startedAt := time.Now()
					err := fr.call(tc.path, rq, rq.ServerWait+firstByte)
					took := time.Since(startedAt)
					t.Logf("%v after %v", err, took)
					is.Equal(err == nil, tc.ok)
					is.True(took <= tc.within+inTransit)
				})
			})
		}
	}
}

// TestStreamedIsCanceled checks that canceling the context ends a call also while its response arrives.
func TestStreamedIsCanceled(t *testing.T) {
	is := is.New(t)
	fr := newSlowRemote(t)
	ctx, cancel := context.WithTimeout(t.Context(), firstByte)
	defer cancel()
	const after = 300 * time.Millisecond
	time.AfterFunc(after, cancel)
	startedAt := time.Now()
	_, err := fr.calls.Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Address: fr.path.Address(), Path: "/", LongPoll: true, Streamed: true})
	is.True(err != nil)
	is.True(time.Since(startedAt) <= after+margin)
}

// TestMaxBody guards against receiving too large a response in full: the call must fail before much of it has arrived,
// and the next one must succeed at once.
func TestMaxBody(t *testing.T) {
	is := is.New(t)
	fr := newSlowRemote(t)
	const maxBody = 64 << 10
	startedAt := time.Now()
	err := fr.call("/", httpcall.Request{Streamed: true, LongPoll: true, MaxBody: maxBody}, time.Second)
	is.True(errors.Is(err, httpcall.ErrTooLarge))
	is.True(time.Since(startedAt) <= margin)
	is.NoErr(fr.call("/short", httpcall.Request{Streamed: true, LongPoll: true, MaxBody: maxBody}, time.Second))
	time.Sleep(margin)
	t.Log("bytes carried:", fr.path.BytesReturned())
	is.True(fr.path.BytesReturned() <= maxBody)
}

// TestStreamedIsNotOverdue guards against closing the idle connections of an address while a streamed response arrives.
func TestStreamedIsNotOverdue(t *testing.T) {
	is := is.New(t)
	fr := newSlowRemote(t)
	fr.openConns(2)
	opened := fr.path.Opened()
	const deadline = 1500 * time.Millisecond // passes while the response arrives
	done := make(chan error, 1)
	go func() { done <- fr.call("/", httpcall.Request{Streamed: true}, deadline) }()
	time.Sleep(time.Second) // longer than a response may take to begin
	is.NoErr(fr.call("/short", httpcall.Request{}, time.Second))
	is.Equal(fr.path.Opened(), opened)
	is.NoErr(<-done)
}
