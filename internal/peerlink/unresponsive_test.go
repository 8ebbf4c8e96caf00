package peerlink_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/advisor"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
	"tackbeam.example/tackbeam/internal/relay"
	"tackbeam.example/tackbeam/internal/standin/netpath"
)

const (
	// margin is added to bounds for the test machine itself.
	margin = 150 * time.Millisecond
	// idle is how many idle connections a node has to another after a busy time.
	idle = 20
	// overdue is when a question without an answer is sent again.
	overdue = 300 * time.Millisecond
	// writeOverdue is the same for a write: a slow store takes 250 ms for it.
	writeOverdue = overdue + 250*time.Millisecond
)

// slow is the job that a node takes a while to tell of: calls at once need a connection each.
const slow = "slow"

// pair is a node that calls another behind a path that can go silent.
type pair struct {
	t     *testing.T
	path  *netpath.Path
	near  *peerlink.Link
	mu    sync.Mutex
	asked int
	// answer, where set, is what the far node makes of each request.
	answer func() error
}

func newPair(t *testing.T) *pair {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	pr := &pair{t: t}
	far := peerlink.New(logr.Discard(), pr.handle)
	if err := far.Serve(address); err != nil {
		t.Fatal(err)
	}
	if pr.path, err = netpath.New(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pr.path.Close() })
	pr.near = peerlink.New(logr.Discard(), func(context.Context, peerlink.Request) (peerlink.Reply, error) {
		return peerlink.Reply{}, nil
	})
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
		pr.asked++
	}
	return peerlink.Reply{Phase: cell.Running, Pending: 7}, nil
}

// open leaves a number of idle connections behind.
func (pr *pair) open(count int) {
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

// TestSilentCalls: all open connections between two nodes went silent at once, without a
// reset. Each question to the planner was given the next of the kept ones and was lost, and
// its caller with it.
//
// A question is answered within its half second, and a write within a relay's second: they
// are sent again on a new connection when they are overdue, 300 ms after they were sent, or
// 550 ms where a store writes in between.
func TestSilentCalls(t *testing.T) {
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
			t.Parallel()
			is := is.New(t)
			pr := newPair(t)
			pr.open(idle)
			pr.path.Silence()
			for range 3 {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), tc.within)
				reply, err := pr.near.Call(ctx, pr.path.Address(), tc.rq)
				cancel()
				took := time.Since(began)
				t.Logf("answered after %v", took)
				is.NoErr(err)
				is.Equal(reply.Pending, 7)
				is.True(took <= tc.bound+margin)
			}
		})
	}
}

// TestSilentRelay: a node that was cut off from the store relayed its callers' requests on
// connections that had gone silent, and its callers were told that nothing is known.
func TestSilentRelay(t *testing.T) {
	is := is.New(t)
	pr := newPair(t)
	pr.open(idle)
	pr.path.Silence()
	re := relay.Relay{
		Node: "near", Call: pr.near.Call,
		Members: func() []joblog.Member { return []joblog.Member{{Node: "far", PeerAddr: pr.path.Address()}} },
	}
	began := time.Now()
	_, done, err := re.Do(t.Context(), peerlink.Request{Submit: &work.Job{ID: "j"}})
	took := time.Since(began)
	t.Logf("relayed within %v", took)
	is.NoErr(err)
	is.True(done)
	is.True(took <= writeOverdue+margin)
}

// TestRefusedSecondTry: a job that was sent a second time, because the first try was overdue,
// was refused, and its caller was told that it surely does not run. The first try was carried
// out all the same.
//
// A refusal of the second try says nothing of the first: the outcome is not known.
func TestRefusedSecondTry(t *testing.T) {
	cases := map[string]struct {
		rq   peerlink.Request
		want fault.Kind
	}{
		"submit":             {peerlink.Request{Submit: &work.Job{ID: "j"}}, fault.Timeout},
		"cancel":             {peerlink.Request{Cancel: "j"}, fault.Timeout},
		"a question is lost": {peerlink.Request{State: "j"}, fault.Unavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			pr := newPair(t)
			tries := make(chan struct{}, 2)
			pr.answer = func() error {
				tries <- struct{}{}
				if len(tries) == 1 {
					time.Sleep(writeOverdue + margin) // and is carried out
					return nil
				}
				return fault.New(fault.Unavailable, "the store refused the write; not run")
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := pr.near.Call(ctx, pr.path.Address(), tc.rq)
			is.Equal(len(tries), 2)
			is.True(fault.Is(err, tc.want))
		})
	}
}

// TestSilentAdvice: questions to the advisor through another node were lost on one silent
// connection after the other.
//
// One question is lost, after its work and 0.7 s; the next is answered. None is put twice:
// the advisor serves the calls of a node one after the other.
func TestSilentAdvice(t *testing.T) {
	const takes = 20 * time.Millisecond
	is := is.New(t)
	pr := newPair(t)
	pr.open(idle)
	pr.path.Silence()
	pool := advisor.New(advisor.Options{
		Clock: clockwork.NewRealClock(), Node: "near", Call: pr.near.Call,
		Members: func() []joblog.Member { return []joblog.Member{{Node: "far", PeerAddr: pr.path.Address()}} },
		Local: func(ctx context.Context, _ cell.AdviceRequest) (planner.Advice, error) {
			<-ctx.Done() // another node is to answer
			return planner.Advice{}, ctx.Err()
		},
	})
	began := time.Now()
	answered := 0
	for answered == 0 && time.Since(began) < 20*time.Second {
		var group sync.WaitGroup
		var mu sync.Mutex
		for range 2 { // the first goes to this node, which is left alone then
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
	took := time.Since(began)
	t.Logf("answered after %v", took)
	const rest = time.Second
	is.True(took <= 2*(takes+700*time.Millisecond)+rest+margin)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	is.Equal(pr.asked, answered)
}
