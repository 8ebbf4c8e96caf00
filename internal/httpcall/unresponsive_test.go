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

// Times of the other side.
const (
	// work is what a slow call takes there: calls sent at once need a connection each.
	work = 100 * time.Millisecond
	// patience is the deadline of a call in these tests, as a start has it.
	patience = 200 * time.Millisecond
	// margin is added to bounds for the test machine itself.
	margin = 150 * time.Millisecond
)

// far is another side behind a path that can go silent.
type far struct {
	t     *testing.T
	path  *netpath.Path
	calls *httpcall.Caller
	// server counts its connections.
	server *fasthttp.Server
}

func newFar(t *testing.T, maxConns int) *far {
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
	go func() { _ = server.Serve(ln) }() // ends with the listener
	path, err := netpath.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = path.Close()
		_ = ln.Close()
	})
	return &far{t: t, path: path, calls: httpcall.New(maxConns), server: server}
}

func (fr *far) call(path string, rq httpcall.Request, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(fr.t.Context(), patience)
	defer cancel()
	rq.Method, rq.Address, rq.Path = fasthttp.MethodGet, fr.path.Address(), path
	_, err := fr.calls.Do(ctx, rq)
	return err
}

// open makes a number of calls at once, each on a connection of its own.
func (fr *far) open(count int) {
	fr.t.Helper()
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			if err := fr.call("/slow", httpcall.Request{}, time.Second); err != nil {
				fr.t.Error(err)
			}
		})
	}
	group.Wait()
}

// TestSilence: a call on a kept connection that had gone silent failed at its deadline, and
// the next call was given the next kept connection, silent as well. With eight of them, as
// many calls were lost one after the other, each for its whole time.
//
// One call is lost, at its deadline; the next ones are answered.
func TestSilence(t *testing.T) {
	cases := map[string]struct {
		idle  int
		busy  int
		polls bool
	}{
		"one idle":             {idle: 1},
		"eight idle":           {idle: 8},
		"eight idle, to polls": {idle: 8, polls: true},
		"eight idle and busy":  {idle: 8, busy: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fr := newFar(t, 32)
			fr.open(tc.idle + tc.busy)
			var group sync.WaitGroup
			for range tc.busy {
				group.Go(func() {
					if fr.call("/slow", httpcall.Request{}, patience) == nil {
						t.Error("a call that the path has swallowed was answered")
					}
				})
			}
			time.Sleep(work / 2)
			fr.path.Silence()
			began := time.Now()
			lost := 0
			for fr.call("/", httpcall.Request{LongPoll: tc.polls}, patience) != nil {
				lost++
			}
			took := time.Since(began)
			group.Wait()
			t.Logf("%d calls lost, answered after %v", lost, took)
			is.True(lost <= 1)
			is.True(took <= patience+margin)
		})
	}
}

// TestSilenceAmongMany: calls that are made at once, each shortly after the last, took one
// silent connection each and were all lost, long after the first of them was overdue.
//
// Those that are made once the first is overdue are answered.
func TestSilenceAmongMany(t *testing.T) {
	const overdue = 300 * time.Millisecond
	const step = 50 * time.Millisecond
	const longPatience = 1200 * time.Millisecond
	is := is.New(t)
	fr := newFar(t, 64)
	fr.open(24)
	fr.path.Silence()
	var group sync.WaitGroup
	var mu sync.Mutex
	var lost time.Duration
	began := time.Now()
	for range 16 {
		sent := time.Since(began)
		group.Go(func() {
			if fr.call("/", httpcall.Request{}, longPatience) != nil {
				mu.Lock()
				defer mu.Unlock()
				lost = max(lost, sent)
			}
		})
		time.Sleep(step)
	}
	group.Wait()
	t.Logf("the last call that was lost was sent after %v", lost)
	is.True(lost <= overdue+step)
}

// TestProvenConnections: connections that have answered since the overdue call was sent are
// kept, for new ones are dear.
func TestProvenConnections(t *testing.T) {
	is := is.New(t)
	fr := newFar(t, 32)
	fr.open(2)
	var group sync.WaitGroup
	group.Go(func() {
		if fr.call("/slow", httpcall.Request{}, work/2) == nil { // gives a slow answer up
			t.Error("an answer came before it was due")
		}
	})
	time.Sleep(work / 4)
	is.NoErr(fr.call("/", httpcall.Request{}, patience)) // on the other connection
	group.Wait()
	is.NoErr(fr.call("/", httpcall.Request{}, patience))
	is.Equal(fr.path.Opened(), 2)
}

// TestDeadlineWhileConnecting has calls wait for a connection: they end at their deadline,
// and surely were not sent.
func TestDeadlineWhileConnecting(t *testing.T) {
	is := is.New(t)
	fr := newFar(t, 1)
	var group sync.WaitGroup
	group.Go(func() {
		if err := fr.call("/slow", httpcall.Request{}, time.Second); err != nil {
			t.Error(err)
		}
	})
	time.Sleep(work / 4)
	err := fr.call("/", httpcall.Request{}, work/4)
	group.Wait()
	is.True(errors.Is(err, httpcall.ErrNotSent))
}

// TestSilenceOfAll: calls at once held every connection that an address may have, all silent.
// Further calls found none free until the first gave theirs up, a second later; a lease was
// over before that.
//
// A connection whose call is overdue does not count as one of them: a call made then is
// answered. There are not more than three times as many all the same.
func TestSilenceOfAll(t *testing.T) {
	const (
		overdue      = 300 * time.Millisecond
		most         = 8
		longPatience = 1200 * time.Millisecond
	)
	is := is.New(t)
	fr := newFar(t, most)
	fr.open(most)
	fr.path.Silence()
	var group sync.WaitGroup
	for range most {
		group.Go(func() {
			if fr.call("/", httpcall.Request{}, longPatience) == nil {
				t.Error("a call that the path has swallowed was answered")
			}
		})
	}
	time.Sleep(work)
	began := time.Now()
	is.NoErr(fr.call("/", httpcall.Request{}, longPatience)) // waits for a connection
	took := time.Since(began)
	t.Logf("answered after %v", took)
	is.True(took <= overdue+margin)
	group.Wait()

	// The silent ones have been given up here; the other side still has them.
	before, peak := int(fr.server.GetOpenConnectionsCount())-1, 0
	for range 6 {
		for range most {
			group.Go(func() { _ = fr.call("/slow", httpcall.Request{ServerWait: -overdue}, longPatience) }) // overdue at once
		}
		time.Sleep(work / 10)
		peak = max(peak, int(fr.server.GetOpenConnectionsCount())-before)
	}
	group.Wait()
	t.Logf("at most %d connections for %d calls", peak, 6*most)
	is.True(peak > most)
	is.True(peak <= 3*most)
}
