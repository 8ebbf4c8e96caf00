package term_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/term"
)

const (
	graceTTL = 2 * time.Second
	// graceTime is how long a permission may be used.
	graceTime = 1500 * time.Millisecond
)

// graceBed is a set of electors with one store.
type graceBed struct {
	t      *testing.T
	store  *memkv.Store
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// silent are the nodes that the store does not answer, unreachable those that other nodes do not reach.
	silent, unreachable map[string]bool
	// unrenewed are the nodes whose renewals get lost.
	unrenewed map[string]bool
	// unrecorded is set while writes of the record get lost.
	unrecorded atomic.Bool
	// recordDelay is how long writes of the record are under way. Their answers are lost.
	recordDelay atomic.Int64
	ttl         time.Duration
	terms       map[string]term.Term
	electors    map[string]*term.Elector
	cancels     map[string]context.CancelFunc
	// requests is the number of requests for a permission, renewalTime how long a renewal takes.
	requests    int
	renewalTime time.Duration
}

func newGraceBed(t *testing.T, nodes ...string) *graceBed {
	return newGraceBedOf(t, graceTTL, nodes...)
}

func newGraceBedOf(t *testing.T, ttl time.Duration, nodes ...string) *graceBed {
	gb := &graceBed{
		t: t, ttl: ttl, store: memkv.New(clockwork.NewRealClock()), silent: map[string]bool{}, unreachable: map[string]bool{}, unrenewed: map[string]bool{},
		terms: map[string]term.Term{}, electors: map[string]*term.Elector{}, cancels: map[string]context.CancelFunc{},
	}
	gb.ctx, gb.cancel = context.WithCancel(t.Context())
	gb.store.SetFault(func(client, _ string) memkv.Fault {
		gb.mu.Lock()
		defer gb.mu.Unlock()
		if gb.silent[client] || gb.silent["all"] {
			return memkv.RequestLost
		}
		return memkv.None
	})
	for _, node := range nodes {
		gb.add(node)
		time.Sleep(100 * time.Millisecond)
	}
	return gb
}

// end stops the electors, and waits for the calls that the store leaves unanswered.
func (gb *graceBed) end() {
	const longestCall = 10 * time.Second
	gb.cancel()
	time.Sleep(longestCall + time.Second)
}

func (gb *graceBed) add(node string) {
	client := gb.store.Client(node)
	renew := client.Renew
	client.Renew = func(ctx context.Context, lease uint64) error {
		gb.mu.Lock()
		wait, lost := gb.renewalTime, gb.unrenewed[node]
		gb.mu.Unlock()
		time.Sleep(wait)
		if lost {
			<-ctx.Done()
			return kv.ErrNoAnswer
		}
		return renew(ctx, lease)
	}
	commit := client.Commit
	client.Commit = func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
		if gb.unrecorded.Load() && len(txn.Puts) > 0 && txn.Puts[0].Key == joblog.Grace {
			<-ctx.Done()
			return 0, nil, kv.ErrNoAnswer
		}
		if delay := time.Duration(gb.recordDelay.Load()); delay > 0 && len(txn.Puts) > 0 && txn.Puts[0].Key == joblog.Grace {
			time.AfterFunc(delay, func() { _, _, _ = commit(context.Background(), txn) }) // its outcome is observed in the store
			<-ctx.Done()
			return 0, nil, kv.ErrNoAnswer
		}
		return commit(ctx, txn)
	}
	er := term.New(clockwork.NewRealClock(), logr.Discard(), client, term.Options{
		Node: node, PeerAddr: node + ":1", TTL: gb.ttl, RequestGrace: gb.requestGrace,
		RequestPermissionsLeft: gb.requestPermissionsLeft,
		Lead: func(ctx context.Context, tm term.Term) {
			gb.mu.Lock()
			gb.terms[node] = tm
			gb.mu.Unlock()
			<-ctx.Done()
		},
	})
	gb.mu.Lock()
	gb.electors[node] = er
	ctx, cancel := context.WithCancel(gb.ctx)
	gb.cancels[node] = cancel
	gb.mu.Unlock()
	go er.Run(ctx)
}

// restart ends the process of a node and starts it again once its key has gone.
func (gb *graceBed) restart(nodes ...string) {
	for _, node := range nodes {
		gb.cancels[node]()
	}
	time.Sleep(2 * graceTTL)
	for _, node := range nodes {
		gb.add(node)
	}
}

// pause has the store answer some nodes no more until their leases are over.
func (gb *graceBed) pause(nodes ...string) {
	for _, node := range nodes {
		gb.set(gb.silent, node, true)
	}
	time.Sleep(graceTTL + 500*time.Millisecond)
	for _, node := range nodes {
		gb.set(gb.silent, node, false)
	}
}

func (gb *graceBed) requestGrace(ctx context.Context, of joblog.Member, token uint64) error {
	const latency = 2 * time.Millisecond
	time.Sleep(latency)
	gb.mu.Lock()
	lost, er := gb.unreachable[of.Node], gb.electors[of.Node]
	gb.requests++
	gb.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errors.New("the node does not answer")
	}
	return er.GrantGrace(token)
}

func (gb *graceBed) requestPermissionsLeft(ctx context.Context, of joblog.Member, token uint64) (time.Duration, error) {
	gb.mu.Lock()
	lost, er := gb.unreachable[of.Node], gb.electors[of.Node]
	gb.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, errors.New("the node does not answer")
	}
	return er.PermissionsLeft(token)
}

func (gb *graceBed) set(nodes map[string]bool, node string, value bool) {
	gb.mu.Lock()
	defer gb.mu.Unlock()
	nodes[node] = value
}

func (gb *graceBed) term(node string) term.Term {
	gb.mu.Lock()
	defer gb.mu.Unlock()
	return gb.terms[node]
}

// lastToken returns the token of the latest term.
func (gb *graceBed) lastToken() (token uint64) {
	gb.mu.Lock()
	defer gb.mu.Unlock()
	for _, tm := range gb.terms {
		token = max(token, tm.Token)
	}
	return token
}

// lastRenewal returns when the last confirmed renewal of a planner was sent.
func (gb *graceBed) lastRenewal(node string) time.Time {
	return time.Now().Add(-gb.term(node).SinceRenewal())
}

// awaitEnd waits until a planner may renew no leases of workers any more.
func (gb *graceBed) awaitEnd(node string) time.Time {
	const limit, step = 10 * time.Second, time.Millisecond
	for began := time.Now(); gb.term(node).MayRenewLeases(); time.Sleep(step) {
		if time.Since(began) > limit {
			gb.t.Fatalf("%s may renew leases for more than %v", node, limit)
		}
	}
	return time.Now()
}

// TestMayRenewLeases checks for how long a planner without the store renews the leases of workers: as long as its own
// lease lasts, and beyond that for 1.5 s after the last time that all nodes permitted it, but for no more than 4 s in all.
func TestMayRenewLeases(t *testing.T) {
	// A planner stops 0.1 s early, and its last request may be two intervals of 0.25 s old.
	const step, early = 5 * time.Millisecond, 600 * time.Millisecond
	for name, tc := range map[string]struct {
		arrange func(gb *graceBed)
		// most is the longest time, whole is set if all of it is used. It counts from the last renewal, or from the return of arrange
		// if fromNow is set.
		most    time.Duration
		whole   bool
		fromNow bool
	}{
		"store answers the others": {func(gb *graceBed) { gb.set(gb.silent, "n1", true) }, graceTTL, true, false},
		"a node is not reached": {func(gb *graceBed) {
			gb.set(gb.unreachable, "n3", true)
			gb.set(gb.silent, "all", true)
		}, graceTTL, true, false},
		"a member's key cannot be decoded": {func(gb *graceBed) {
			gb.store.Set(joblog.Nodes+"n9", []byte("?"))
			time.Sleep(100 * time.Millisecond)
			gb.set(gb.silent, "all", true)
		}, graceTTL, true, false},
		"store answers nobody": {func(gb *graceBed) { gb.set(gb.silent, "all", true) }, term.MaxUnrenewed, true, false},
		"store answers nobody, then a node is not reached": {func(gb *graceBed) {
			gb.set(gb.silent, "all", true)
			time.Sleep(1700 * time.Millisecond)
			gb.set(gb.unreachable, "n2", true)
		}, graceTime, true, true},
		"planner's term has ended": {func(gb *graceBed) {
			gb.set(gb.silent, "all", true)
			time.Sleep(2200 * time.Millisecond)
			gb.term("n1").StepDown("test")
		}, 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gb := newGraceBed(t, "n1", "n2", "n3")
				defer gb.end()
				time.Sleep(20 * time.Second)
				from := gb.lastRenewal("n1")
				tc.arrange(gb)
				if tc.fromNow {
					from = time.Now()
				}
				lasted := gb.awaitEnd("n1").Sub(from)
				if lasted > tc.most+step {
					t.Errorf("leases were renewed for %v, more than %v", lasted, tc.most)
				}
				if least := tc.most - early; tc.whole && lasted < least {
					t.Errorf("leases were renewed for %v, less than %v", lasted, least)
				}
			})
		})
	}
}

// TestRecordEndsPermissions guards against a planner that uses a permission after it has recorded a node that did not give
// it, and which relies on that.
func TestRecordEndsPermissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const permitted, recorded = 1800 * time.Millisecond, 60 * time.Millisecond
		gb := newGraceBed(t, "n1")
		defer gb.end()
		time.Sleep(20 * time.Second)
		gb.set(gb.unrenewed, "n1", true)
		renewed := gb.lastRenewal("n1")
		time.Sleep(time.Until(renewed.Add(permitted)))
		gb.add("n2")
		time.Sleep(recorded)
		gb.set(gb.silent, "n1", true)
		if lasted := gb.awaitEnd("n1").Sub(renewed); lasted > graceTTL {
			t.Errorf("leases were renewed for %v, more than %v", lasted, graceTTL)
		}
	})
}

// TestSlowStoreNeedsNoPermission guards against calls to all nodes each time that a slow store answers a renewal.
func TestSlowStoreNeedsNoPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gb := newGraceBed(t, "n1", "n2")
		defer gb.end()
		gb.mu.Lock()
		gb.renewalTime = 250 * time.Millisecond
		gb.mu.Unlock()
		time.Sleep(20 * time.Second)
		gb.mu.Lock()
		defer gb.mu.Unlock()
		if gb.requests > 0 {
			t.Errorf("%d requests while the store answers", gb.requests)
		}
	})
}

// TestStaleMembers guards against a planner that goes on without the permission of a node of which it does not know,
// because its copy of the members is old.
func TestStaleMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gb := newGraceBed(t, "n1", "n2")
		defer gb.end()
		time.Sleep(10 * time.Second)
		gb.store.SetFault(func(client, call string) memkv.Fault {
			gb.mu.Lock()
			defer gb.mu.Unlock()
			if gb.silent["all"] || client == "n1" && (call == "watch" || call == "range") {
				return memkv.RequestLost
			}
			return memkv.None
		})
		time.Sleep(5 * time.Second)
		gb.add("n3")
		time.Sleep(10 * time.Second)
		renewed := gb.lastRenewal("n1")
		gb.set(gb.silent, "all", true)
		if lasted := gb.awaitEnd("n1").Sub(renewed); lasted > graceTTL {
			t.Errorf("leases were renewed for %v after the last renewal without the permission of n3", lasted)
		}
	})
}

// TestGrantGrace checks when a node permits the planner of a term to renew the leases of workers.
func TestGrantGrace(t *testing.T) {
	for name, tc := range map[string]struct {
		arrange func(gb *graceBed)
		granted bool
	}{
		"store answers": {func(*graceBed) {}, false},
		"store does not answer": {func(gb *graceBed) {
			gb.set(gb.silent, "all", true)
			time.Sleep(graceTTL / 2)
		}, true},
		"node has lost its lease": {func(gb *graceBed) {
			gb.set(gb.silent, "all", true)
			time.Sleep(2 * graceTTL)
		}, true},
		"another term has begun": {func(gb *graceBed) {
			gb.term("n1").Yield("test")
			time.Sleep(time.Second)
			gb.set(gb.silent, "all", true)
			time.Sleep(graceTTL / 2)
		}, false},
		"another term has begun and ended": {func(gb *graceBed) {
			gb.term("n1").Yield("test")
			time.Sleep(time.Second)
			for _, node := range []string{"n2", "n3"} {
				if gb.electors[node].Leading() {
					gb.term(node).Yield("test")
				}
			}
			time.Sleep(time.Second)
			gb.set(gb.silent, "all", true)
			time.Sleep(2 * graceTTL)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gb := newGraceBed(t, "n1", "n2", "n3")
				defer gb.end()
				time.Sleep(10 * time.Second)
				token := gb.term("n1").Token
				tc.arrange(gb)
				for _, node := range []string{"n2", "n3"} {
					if err := gb.electors[node].GrantGrace(token); (err == nil) != tc.granted {
						t.Errorf("GrantGrace of %s = %v", node, err)
					}
				}
			})
		})
	}
}

// TestRenewalsEnd checks what a new planner knows of the time until which earlier ones may have renewed leases of workers.
func TestRenewalsEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		arrange func(gb *graceBed)
		// most is the time from the election until then, least is checked too.
		least, most time.Duration
	}{
		"key has expired":      {func(gb *graceBed) { gb.set(gb.silent, "n1", true) }, 0, 0},
		"planner has resigned": {func(gb *graceBed) { gb.electors["n1"].Resign(gb.ctx) }, 0, 0},
		"permission was given": {func(gb *graceBed) {
			gb.set(gb.silent, "n1", true)
			time.Sleep(900 * time.Millisecond)
			gb.set(gb.silent, "all", true)
			time.Sleep(1200 * time.Millisecond)
			gb.set(gb.silent, "all", false)
		}, time.Millisecond, graceTime},
		"leases were lost": {func(gb *graceBed) {
			gb.set(gb.silent, "n1", true)
			gb.store.RevokeLeases()
		}, graceTTL - 100*time.Millisecond, graceTTL},
		"nodes have started again": {func(gb *graceBed) {
			gb.restart("n2")
			time.Sleep(time.Second)
			gb.set(gb.silent, "n1", true)
		}, 0, 0},
		"nodes have lost their leases": {func(gb *graceBed) {
			gb.pause("n2")
			time.Sleep(time.Second)
			gb.set(gb.silent, "n1", true)
		}, 0, 0},
		"all nodes have lost their leases": {func(gb *graceBed) {
			gb.pause("n1", "n2")
			time.Sleep(time.Second)
			for _, node := range []string{"n1", "n2"} {
				if gb.electors[node].Leading() {
					gb.set(gb.silent, node, true)
				}
			}
		}, 0, 0},
		"node has joined": {func(gb *graceBed) {
			gb.add("n0")
			time.Sleep(time.Second)
			gb.set(gb.silent, "n1", true)
			gb.set(gb.silent, "n2", true)
		}, 0, 0},
		"node has started again just before": {func(gb *graceBed) {
			gb.cancels["n2"]()
			gb.set(gb.silent, "n1", true)
			time.Sleep(graceTTL - 200*time.Millisecond)
			gb.add("n2")
		}, 0, graceTTL},
		"node has just registered": {func(gb *graceBed) {
			gb.set(gb.silent, "n2", true)
			gb.set(gb.silent, "n1", true)
			gb.add("n0")
		}, 0, graceTTL},
		"node has just registered, and reaches no other": {func(gb *graceBed) {
			gb.set(gb.silent, "n2", true)
			gb.set(gb.silent, "n1", true)
			gb.set(gb.unreachable, "n2", true)
			gb.set(gb.unreachable, "n1", true)
			gb.add("n0")
		}, term.MaxUnrenewed - graceTTL, term.MaxUnrenewed - graceTTL + graceTTL/3},
		"election before was of an earlier version": {func(gb *graceBed) {
			gb.set(gb.silent, "n1", true)
			el := joblog.Election{Node: "n1", PeerAddr: "n1:1", Number: 2, Previous: gb.term("n1").Token, Grace: true}
			raw, err := joblog.Encode(el)
			if err != nil {
				gb.t.Fatal(err)
			}
			puts := []kv.Put{{Key: joblog.Leader, Value: raw}, {Key: joblog.TermNumber, Value: []byte("2")}}
			if _, _, err := gb.store.Client("n0").Commit(gb.ctx, kv.Txn{Puts: puts}); err != nil {
				gb.t.Fatal(err)
			}
			time.Sleep(time.Second)
			gb.store.Delete(joblog.Leader)
		}, term.MaxUnrenewed - graceTTL, term.MaxUnrenewed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				gb := newGraceBed(t, "n1", "n2")
				defer gb.end()
				time.Sleep(20 * time.Second)
				tc.arrange(gb)
				last := gb.lastToken()
				var next term.Term
				var elected time.Time
				for range 5000 {
					time.Sleep(time.Millisecond)
					for _, node := range []string{"n0", "n1", "n2"} {
						if tm := gb.term(node); tm.Token > last && elected.IsZero() {
							next, elected = tm, time.Now()
						}
					}
				}
				is.True(!elected.IsZero())
				const step = 2 * time.Millisecond
				known, ok := next.AwaitRenewalsEnd(gb.ctx)
				is.True(ok)
				if end := known.Sub(elected); end > tc.most+step || end < tc.least-step {
					t.Errorf("renewals end %v after the election, want %v to %v", end, tc.least, tc.most)
				}
			})
		})
	}
}

// TestNewNodeDefers guards against a node that is elected just after it has joined, although another one could take over: it
// would have to wait for renewals that it cannot know of.
func TestNewNodeDefers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gb := newGraceBed(t, "n1", "n2")
		defer gb.end()
		time.Sleep(20 * time.Second)
		gb.set(gb.silent, "n1", true)
		time.Sleep(time.Second)
		for _, node := range []string{"a1", "a2", "z1", "z2"} {
			gb.add(node)
		}
		time.Sleep(3 * time.Second)
		if !gb.electors["n2"].Leading() {
			t.Error("the node that had been registered for long was not elected")
		}
	})
}

// TestManyNodesPermit checks that the permission of as many nodes as the largest deployment has is renewed in time.
func TestManyNodesPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 600
		gb := newGraceBed(t, "n1")
		defer gb.end()
		for n := range nodes {
			value, err := joblog.Encode(joblog.Member{Node: fmt.Sprint("m", n)})
			if err != nil {
				t.Fatal(err)
			}
			gb.store.Set(joblog.Nodes+fmt.Sprint("m", n), value)
			gb.electors[fmt.Sprint("m", n)] = gb.electors["n1"]
		}
		time.Sleep(10 * time.Second)
		gb.set(gb.silent, "all", true)
		time.Sleep(graceTTL / 2)
		end := gb.awaitEnd("n1")
		const margin = 100 * time.Millisecond
		if unrenewed := end.Sub(gb.lastRenewal("n1")); unrenewed < term.MaxUnrenewed-margin {
			t.Errorf("leases are renewed for %v without the store, want %v", unrenewed, term.MaxUnrenewed-margin)
		}
	})
}
