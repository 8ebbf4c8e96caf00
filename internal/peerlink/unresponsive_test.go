package peerlink_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/advisor"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/relay"
	"tackbeam.example/tackbeam/internal/standin/netpath"
	"tackbeam.example/tackbeam/internal/standin/ports"
)

const (
	// margin is added to time limits for delays of the test machine.
	margin = 150 * time.Millisecond
	// idle is the number of idle connections between the nodes, as after a period of high load.
	idle = 20
	// overdue is the time after which a request without an answer is sent again.
	overdue = 300 * time.Millisecond
	// writeOverdue is the same for a write, which takes a slow store 250 ms.
	writeOverdue = overdue + 250*time.Millisecond
)

// slow is a job whose phase takes a while to answer, so that concurrent calls use separate connections.
const slow = "slow"

// pair is a node that calls another one over a path that can become unresponsive.
type pair struct {
	t           *testing.T
	path        *netpath.Path
	near        *peerlink.Link
	mu          sync.Mutex
	adviceCalls int
	// answer, if set, produces the far node's error for each request.
	answer func() error
}

func newPair(t *testing.T) *pair {
	t.Helper()
	block, err := ports.Reserve(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = block.Close() })
	address := block.Address(0)
	pr := &pair{t: t}
	far := peerlink.New(logr.Discard(), pr.handle)
	if err := far.Serve(address); err != nil {
		t.Fatal(err)
	}
	if pr.path, err = netpath.New(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pr.path.Close() })
	pr.near = newNear()
	return pr
}

// newNear returns the link of a node that is not called.
func newNear() *peerlink.Link {
	return peerlink.New(logr.Discard(), func(context.Context, peerlink.Request) (peerlink.Reply, error) {
		return peerlink.Reply{}, nil
	})
}

// newPairInMemory returns a pair whose connections are in memory, for a bubble of testing/synctest.
func newPairInMemory(t *testing.T) *pair {
	near, ln := fasthttputil.NewInmemoryListener(), fasthttputil.NewInmemoryListener()
	pr := &pair{t: t, path: netpath.NewInMemory(near, ln)}
	go peerlink.New(logr.Discard(), pr.handle).ServeOn(ln)
	t.Cleanup(func() {
		_ = pr.path.Close()
		_ = ln.Close()
		time.Sleep(httpcall.ServerIdleTimeout) // fasthttp's goroutines for idle connections end, as the bubble requires
	})
	pr.near = newNear().WithDial(func(string, time.Duration) (net.Conn, error) { return near.Dial() })
	return pr
}

func (pr *pair) handle(_ context.Context, rq peerlink.Request) (peerlink.Reply, error) {
	if rq.State == slow {
		time.Sleep(100 * time.Millisecond)
	}
	if pr.answer != nil {
		return peerlink.Reply{}, pr.answer()
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if rq.Advise != nil {
		pr.adviceCalls++
	}
	return peerlink.Reply{Phase: cell.Running, Pending: 7}, nil
}

// openConns leaves a number of idle connections.
func (pr *pair) openConns(count int) {
	pr.t.Helper()
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(pr.t.Context(), time.Second)
			defer cancel()
			if _, err := pr.near.Call(ctx, pr.path.Address(), peerlink.Request{State: slow}); err != nil {
				pr.t.Error(err)
			}
		})
	}
	group.Wait()
}

// TestUnresponsiveConnections guards against failed calls when all open connections between two nodes become
// unresponsive without a reset. Each request to the planner used the next idle connection and failed, as did its
// caller's.
//
// A request must be answered within its timeout of 0.5 s, a relayed write within 1 s. Both are sent again on a new
// connection when they are overdue: after 300 ms, or 550 ms if they include a write to the store.
//
// The test runs in virtual time: in wall time, a busy host delays the second attempt beyond the timeout, and a margin for
// that hides a second attempt that is sent too late.
func TestUnresponsiveConnections(t *testing.T) {
	cases := map[string]struct {
		within time.Duration
		bound  time.Duration
		rq     peerlink.Request
	}{
		"state":           {500 * time.Millisecond, overdue, peerlink.Request{State: "j"}},
		"pending":         {500 * time.Millisecond, overdue, peerlink.Request{Pending: "q"}},
		"relayed state":   {time.Second, overdue, peerlink.Request{State: "j", Relayed: true}},
		"relayed submit":  {time.Second, writeOverdue, peerlink.Request{Submit: &work.Job{ID: "j"}, Relayed: true}},
		"relayed cancel":  {time.Second, writeOverdue, peerlink.Request{Cancel: "j", Relayed: true}},
		"relayed pending": {time.Second, overdue, peerlink.Request{Pending: "q", Relayed: true}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pr := newPairInMemory(t)
				pr.openConns(idle)
				is.Equal(pr.path.Opened(), idle)
				pr.path.Blackhole()
				for range 3 {
					time.Sleep(time.Millisecond) // a connection that answers at the very time of a call is not suspect
					startedAt := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), tc.within)
					reply, err := pr.near.Call(ctx, pr.path.Address(), tc.rq)
					cancel()
					took := time.Since(startedAt)
					t.Logf("answered after %v", took)
					is.NoErr(err)
					is.Equal(reply.Pending, 7)
					is.True(took <= tc.bound)
				}
			})
		})
	}
}

// TestRelayUnresponsive guards against relayed requests that fail on unresponsive connections, so that callers of a
// node without access to the store get no definite answer.
func TestRelayUnresponsive(t *testing.T) {
	is := is.New(t)
	pr := newPair(t)
	pr.openConns(idle)
	pr.path.Blackhole()
	re := relay.Relay{
		Node: "near", Call: pr.near.Call,
		Members: func() []joblog.Member { return []joblog.Member{{Node: "far", PeerAddr: pr.path.Address()}} },
	}
	startedAt := time.Now()
	_, done, err := re.Do(t.Context(), peerlink.Request{Submit: &work.Job{ID: "j"}})
	took := time.Since(startedAt)
	t.Logf("relayed within %v", took)
	is.NoErr(err)
	is.True(done)
	is.True(took <= writeOverdue+margin)
}

// TestRefusedSecondAttempt guards against reporting a job as not run when only the second attempt to submit it, sent
// because the first was overdue, was refused. The first attempt may have been carried out.
//
// The outcome must be reported as unknown.
func TestRefusedSecondAttempt(t *testing.T) {
	cases := map[string]struct {
		rq   peerlink.Request
		want fault.Kind
	}{
		"submit":        {peerlink.Request{Submit: &work.Job{ID: "j"}}, fault.Timeout},
		"cancel":        {peerlink.Request{Cancel: "j"}, fault.Timeout},
		"state request": {peerlink.Request{State: "j"}, fault.Unavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			pr := newPair(t)
			attempts := make(chan struct{}, 2)
			pr.answer = func() error {
				attempts <- struct{}{}
				if len(attempts) == 1 {
					time.Sleep(writeOverdue + margin) // the first attempt is carried out
					return nil
				}
				return fault.New(fault.Unavailable, "the store refused the write; not run")
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := pr.near.Call(ctx, pr.path.Address(), tc.rq)
			is.Equal(len(attempts), 2)
			is.True(fault.Is(err, tc.want))
		})
	}
}

// TestAdviceUnresponsive guards against advice requests through another node that fail on one unresponsive connection
// after another.
//
// One request may fail, after its processing time and 0.7 s; the next one must succeed. No request is sent twice,
// because the advisor serves the calls of a node one at a time.
func TestAdviceUnresponsive(t *testing.T) {
	const takes = 20 * time.Millisecond
	is := is.New(t)
	pr := newPair(t)
	pr.openConns(idle)
	pr.path.Blackhole()
	pool := advisor.New(advisor.Options{
		Clock: clockwork.NewRealClock(), Node: "near", Call: pr.near.Call,
		Members: func() []joblog.Member { return []joblog.Member{{Node: "far", PeerAddr: pr.path.Address()}} },
		Local: func(ctx context.Context, _ cell.AdviceRequest) (planner.Advice, error) {
			<-ctx.Done() // makes the pool use the other node
			return planner.Advice{}, ctx.Err()
		},
	})
	startedAt := time.Now()
	answered := 0
	for answered == 0 && time.Since(startedAt) < 20*time.Second {
		var group sync.WaitGroup
		var mu sync.Mutex
		for range 2 { // the first one uses this node, which is not used for a while then
			group.Go(func() {
				if _, err := pool.Advise(t.Context(), cell.AdviceRequest{Takes: takes, Urgent: true}); err == nil {
					mu.Lock()
					defer mu.Unlock()
					answered++
				}
			})
		}
		group.Wait()
	}
	took := time.Since(startedAt)
	t.Logf("answered after %v", took)
	const failurePause = time.Second
	is.True(took <= 2*(takes+700*time.Millisecond)+failurePause+margin)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	is.Equal(pr.adviceCalls, answered)
}
