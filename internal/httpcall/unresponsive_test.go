package httpcall_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/standin/netpath"
)

const (
	// work is how long the server takes for /slow, so that concurrent calls use separate connections.
	work = 100 * time.Millisecond
	// callTimeout is the deadline of a call, the same as for starting a task.
	callTimeout = 200 * time.Millisecond
	// margin is added to time limits for delays of the test machine.
	margin = 150 * time.Millisecond
)

// remote is a server behind a network path that can become unresponsive.
type remote struct {
	t     *testing.T
	path  *netpath.Path
	calls *httpcall.Caller
	// server provides the number of its open connections.
	server *fasthttp.Server
}

func newRemote(t *testing.T, maxConns int) *remote {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		if string(rc.Path()) == "/slow" {
			time.Sleep(work)
		}
		rc.SetBodyString("done")
	}}
	go func() { _ = server.Serve(ln) }() // returns when the listener is closed
	path, err := netpath.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = path.Close()
		_ = ln.Close()
	})
	return &remote{t: t, path: path, calls: httpcall.New(maxConns), server: server}
}

func (re *remote) call(path string, rq httpcall.Request, callTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(re.t.Context(), callTimeout)
	defer cancel()
	rq.Method, rq.Address, rq.Path = fasthttp.MethodGet, re.path.Address(), path
	_, err := re.calls.Do(ctx, rq)
	return err
}

// openConns makes concurrent calls that use one connection each.
func (re *remote) openConns(count int) {
	re.t.Helper()
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			if err := re.call("/slow", httpcall.Request{}, time.Second); err != nil {
				re.t.Error(err)
			}
		})
	}
	group.Wait()
}

// TestUnresponsive guards against repeated failures on unresponsive connections. A call on such a connection failed at
// its deadline, and the next call used the next one: with eight of them, eight calls in a row failed after their full
// timeout.
//
// At most one call may fail, at its deadline.
func TestUnresponsive(t *testing.T) {
	cases := map[string]struct {
		idle     int
		busy     int
		longPoll bool
	}{
		"one idle":              {idle: 1},
		"eight idle":            {idle: 8},
		"eight idle, long poll": {idle: 8, longPoll: true},
		"eight idle and busy":   {idle: 8, busy: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			re := newRemote(t, 32)
			re.openConns(tc.idle + tc.busy)
			var group sync.WaitGroup
			for range tc.busy {
				group.Go(func() {
					if re.call("/slow", httpcall.Request{}, callTimeout) == nil {
						t.Error("a call on an unresponsive path was answered")
					}
				})
			}
			time.Sleep(work / 2)
			re.path.Blackhole()
			startedAt := time.Now()
			failed := 0
			for re.call("/", httpcall.Request{LongPoll: tc.longPoll}, callTimeout) != nil {
				failed++
			}
			took := time.Since(startedAt)
			group.Wait()
			t.Logf("%d calls failed, then one succeeded after %v", failed, took)
			is.True(failed <= 1)
			is.True(took <= callTimeout+margin)
		})
	}
}

// TestUnresponsiveConcurrent guards against overlapping calls that each take another unresponsive connection and fail,
// even long after the first of them is overdue.
//
// Calls made once the first is overdue must succeed.
func TestUnresponsiveConcurrent(t *testing.T) {
	const overdue = 300 * time.Millisecond
	const step = 50 * time.Millisecond
	const longTimeout = 1200 * time.Millisecond
	is := is.New(t)
	re := newRemote(t, 64)
	re.openConns(24)
	re.path.Blackhole()
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed time.Duration
	startedAt := time.Now()
	for range 16 {
		sent := time.Since(startedAt)
		group.Go(func() {
			if re.call("/", httpcall.Request{}, longTimeout) != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = max(failed, sent)
			}
		})
		time.Sleep(step)
	}
	group.Wait()
	t.Logf("the last call that failed was sent after %v", failed)
	is.True(failed <= overdue+step)
}

// TestResponsiveConnections guards against closing connections that have answered since the overdue call was sent,
// because opening new ones is expensive.
func TestResponsiveConnections(t *testing.T) {
	is := is.New(t)
	re := newRemote(t, 32)
	re.openConns(2)
	var group sync.WaitGroup
	group.Go(func() {
		if re.call("/slow", httpcall.Request{}, work/2) == nil { // does not wait for the response
			t.Error("call succeeded before the response was due")
		}
	})
	time.Sleep(work / 4)
	is.NoErr(re.call("/", httpcall.Request{}, callTimeout)) // on the other connection
	group.Wait()
	is.NoErr(re.call("/", httpcall.Request{}, callTimeout))
	is.Equal(re.path.Opened(), 2)
}

// TestDeadlineWhileConnecting checks that calls that wait for a connection end at their deadline with ErrNotSent.
func TestDeadlineWhileConnecting(t *testing.T) {
	is := is.New(t)
	re := newRemote(t, 1)
	var group sync.WaitGroup
	group.Go(func() {
		if err := re.call("/slow", httpcall.Request{}, time.Second); err != nil {
			t.Error(err)
		}
	})
	time.Sleep(work / 4)
	err := re.call("/", httpcall.Request{}, work/4)
	group.Wait()
	is.True(errors.Is(err, httpcall.ErrNotSent))
}

// TestUnresponsiveMaxConns guards against calls that find no free connection because overdue calls hold all of them.
// They waited a second for the first of those to end, while a lease expired.
//
// Connections of overdue calls must not count against the maximum, but there may be at most three times as many in
// total.
func TestUnresponsiveMaxConns(t *testing.T) {
	const (
		overdue     = 300 * time.Millisecond
		maxConns    = 8
		longTimeout = 1200 * time.Millisecond
	)
	is := is.New(t)
	re := newRemote(t, maxConns)
	re.openConns(maxConns)
	re.path.Blackhole()
	var group sync.WaitGroup
	for range maxConns {
		group.Go(func() {
			if re.call("/", httpcall.Request{}, longTimeout) == nil {
				t.Error("a call on an unresponsive path was answered")
			}
		})
	}
	time.Sleep(work)
	startedAt := time.Now()
	is.NoErr(re.call("/", httpcall.Request{}, longTimeout)) // waits for a connection
	took := time.Since(startedAt)
	t.Logf("answered after %v", took)
	is.True(took <= overdue+margin)
	group.Wait()

	// The client has given up the unresponsive connections, but they are still open on the server.
	before, peak := int(re.server.GetOpenConnectionsCount())-1, 0
	for range 6 {
		for range maxConns {
			group.Go(func() { _ = re.call("/slow", httpcall.Request{ServerWait: -overdue}, longTimeout) }) // overdue at once
		}
		time.Sleep(work / 10)
		peak = max(peak, int(re.server.GetOpenConnectionsCount())-before)
	}
	group.Wait()
	t.Logf("at most %d connections for %d calls", peak, 6*maxConns)
	is.True(peak > maxConns)
	is.True(peak <= 3*maxConns)
}
