package httpcall_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/standin/netpath"
)

const (
	// large is a body that takes 2 s at the rate of slowLink, in bytes a second.
	large    = 500_000
	slowLink = large / 2
	// firstByte and stall are the bounds of an answer that flows.
	firstByte = 500 * time.Millisecond
	stall     = time.Second
)

// newStore is a far side that answers with a large body over a slow link, and holds "/held"
// back for a while.
func newStore(t *testing.T) *far {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
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
	go func() { _ = server.Serve(ln) }() // ends with the listener
	path, err := netpath.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	path.Narrow(slowLink)
	t.Cleanup(func() {
		_ = path.Close()
		_ = ln.Close()
	})
	return &far{t: t, path: path, calls: httpcall.New(2), server: server}
}

// TestFlows waits for an answer as long as it keeps coming, however long that takes, and gives
// up one that stops or does not begin.
func TestFlows(t *testing.T) {
	cases := map[string]struct {
		path    string
		rq      httpcall.Request
		silence time.Duration // after the sending; 0 is none
		ok      bool
		within  time.Duration
	}{
		"slow and whole":      {"/", httpcall.Request{Streamed: true}, 0, true, 2 * time.Second},
		"held, then slow":     {"/held", httpcall.Request{Streamed: true, ServerWait: time.Second}, 0, true, 3 * time.Second},
		"silent midway":       {"/", httpcall.Request{Streamed: true}, 700 * time.Millisecond, false, 700*time.Millisecond + stall},
		"silent at first":     {"/held", httpcall.Request{Streamed: true, ServerWait: time.Second}, 300 * time.Millisecond, false, time.Second + firstByte},
		"held longer than is": {"/held", httpcall.Request{Streamed: true}, 0, false, firstByte},
	}
	for name, tc := range cases {
		for _, polls := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				fr := newStore(t)
				if tc.silence > 0 {
					time.AfterFunc(tc.silence, fr.path.Silence)
				}
				rq := tc.rq
				rq.LongPoll = polls
				began := time.Now()
				err := fr.call(tc.path, rq, rq.ServerWait+firstByte)
				took := time.Since(began)
				t.Logf("%v after %v", err, took)
				is.Equal(err == nil, tc.ok)
				is.True(took <= tc.within+2*margin)
			})
		}
	}
}

// TestFlowIsGivenUp ends with its caller's interest, also while the answer comes.
func TestFlowIsGivenUp(t *testing.T) {
	is := is.New(t)
	fr := newStore(t)
	ctx, cancel := context.WithTimeout(t.Context(), firstByte)
	defer cancel()
	const after = 300 * time.Millisecond
	time.AfterFunc(after, cancel)
	began := time.Now()
	_, err := fr.calls.Do(ctx, httpcall.Request{Method: fasthttp.MethodGet, Address: fr.path.Address(), Path: "/", LongPoll: true, Streamed: true})
	is.True(err != nil)
	is.True(time.Since(began) <= after+margin)
}

// TestMost does not take an answer that is too large: little of it has come by then, and the
// next call goes through at once.
func TestMost(t *testing.T) {
	is := is.New(t)
	fr := newStore(t)
	const most = 64 << 10
	began := time.Now()
	err := fr.call("/", httpcall.Request{Streamed: true, LongPoll: true, MaxBody: most}, time.Second)
	is.True(errors.Is(err, httpcall.ErrTooLarge))
	is.True(time.Since(began) <= margin)
	is.NoErr(fr.call("/short", httpcall.Request{Streamed: true, LongPoll: true, MaxBody: most}, time.Second))
	time.Sleep(margin)
	t.Log("carried", fr.path.Carried())
	is.True(fr.path.Carried() <= most)
}

// TestFlowIsNotOverdue leaves the idle connections of an address alone while an answer comes.
func TestFlowIsNotOverdue(t *testing.T) {
	is := is.New(t)
	fr := newStore(t)
	fr.open(2)
	opened := fr.path.Opened()
	done := make(chan error, 1)
	go func() { done <- fr.call("/", httpcall.Request{Streamed: true}, 10*time.Second) }()
	time.Sleep(time.Second) // more than an answer may take to begin
	is.NoErr(fr.call("/short", httpcall.Request{}, time.Second))
	is.Equal(fr.path.Opened(), opened)
	is.NoErr(<-done)
}
