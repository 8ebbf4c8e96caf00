package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// addPair adds two nodes, of which the first plans and knows the second.
func (bd *testbed) addPair() (first, second *node) {
	first, second = bd.addTwo()
	time.Sleep(300 * time.Millisecond)
	synctest.Wait()
	return first, second
}

// TestLeadershipIsNotHeldIdle guards against a cell that stays without a planner, in which callers got 503 from all
// nodes although the store answered. A planner yielded, and the store refused writes for 2.5 s after its term had
// ended, so that the leader's key stayed. The node went on renewing the lease that the key depends on, so no other node
// could be elected, and it did not plan itself, because it reacted only to changes of the members' keys. Nobody planned
// 120 s after the store accepted writes again.
//
// A term that ends by the report of a worker leaves the same state. A second term with the same token would take the
// records of the first for its own.
func TestLeadershipIsNotHeldIdle(t *testing.T) {
	commits := func(of string, fault memkv.Fault) func(client, call string) memkv.Fault {
		return func(client, call string) memkv.Fault {
			if call == "commit" && (of == "" || of == client) {
				return fault
			}
			return memkv.None
		}
	}
	yield := func(nd *node) { nd.currentTerm().Yield("test") }
	depose := func(nd *node) { nd.currentTerm().StepDown("test") }
	cases := map[string]struct {
		end   func(nd *node)
		fault func(client, call string) memkv.Fault
		lasts time.Duration
	}{
		"writes refused temporarily":                    {yield, commits("", memkv.Refused), 2500 * time.Millisecond},
		"writes unanswered temporarily":                 {yield, commits("", memkv.RequestLost), 2500 * time.Millisecond},
		"planner's writes refused permanently":          {yield, commits("n1", memkv.Refused), time.Hour},
		"planner's writes unanswered permanently":       {yield, commits("n1", memkv.RequestLost), time.Hour},
		"stepped down":                                  {depose, commits("", memkv.None), 0},
		"stepped down while answers to writes are lost": {depose, commits("", memkv.ResponseLost), 2500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				first, _ := bd.addPair()
				token := first.currentTerm().Token
				bd.store.SetFault(tc.fault)
				bd.clock.AfterFunc(tc.lasts, func() { bd.store.SetFault(commits("", memkv.None)) })
				tc.end(first)
				time.Sleep(100 * time.Millisecond)
				const within = 5 * time.Second // more than twice the TTL of the lease
				began := time.Now()
				for bd.leader() == nil && time.Since(began) < within {
					time.Sleep(10 * time.Millisecond)
				}
				synctest.Wait()
				is.True(bd.leader() != nil) // some node plans again
				is.True(bd.leader().currentTerm().Token > token)
				t.Log("planner after", time.Since(began))
				time.Sleep(10 * time.Second)
				is.True(bd.leader() != nil)
			})
		})
	}
}

// TestLoadKeepsPages guards against a new planner that does not become ready while the store loses a third of its
// answers: requests about jobs got 503 to the end, because the planner was still reading the journal. A journal of 100
// s has 5 pages of records and 11 of batches. One unanswered page made all pages of its kind be read again, so that 11
// pages took 123 s on average.
func TestLoadKeepsPages(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { loadLossy(t, seed) })
		})
	}
}

// loadLossy has a planner load a long journal while a third of the store's answers is lost.
func loadLossy(t *testing.T, seed uint64) {
	is := is.New(t)
	bd := newTestbed(t, time.Second, "w1")
	defer bd.end()
	const page, records, batches = 500, 5, 11
	for n := range records * page {
		raw, err := joblog.Encode([]cell.Record{})
		is.NoErr(err)
		bd.store.Set(joblog.RecordKey(1, n), raw)
	}
	for n := range batches * page {
		raw, err := joblog.Encode(&joblog.Batch{})
		is.NoErr(err)
		bd.store.Set(joblog.BatchKey("n0", "x", n), raw)
	}
	first := bd.addNode("n1")
	time.Sleep(10 * time.Millisecond)
	const lost = 0.35
	rnd := rand.New(rand.NewPCG(seed, 1))
	bd.store.SetFault(func(_, call string) memkv.Fault {
		if call == "range" && rnd.Float64() < lost {
			return memkv.ResponseLost
		}
		return memkv.None
	})
	const within = 12 * time.Second // callers must be served again that long after a fault
	began := time.Now()
	for time.Since(began) < within {
		if _, err := first.planner.JobPhase(t.Context(), "none", ""); fault.Is(err, fault.NotFound) {
			t.Log("ready after", time.Since(began))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the planner is not ready after", within)
}

// TestEndedTermReleasesNode guards against a former planner that is of no use for 10 s: it sent its callers to itself,
// and did not begin its next term when it was elected again. The end of the term waited for the write that removes old
// keys, which had no deadline of its own and got no answer, so that the HTTP call lasted for 10 s. The end of the term
// in turn delayed both the watch on the members' keys and the node's next term.
func TestEndedTermReleasesNode(t *testing.T) {
	cases := map[string]struct {
		nodes []string
		end   func(bd *testbed, nd *node)
	}{
		"next term of the same node": {[]string{"n1"}, func(bd *testbed, _ *node) { bd.store.RevokeLeases() }},
		"term of another node": {[]string{"n1", "n2"}, func(_ *testbed, nd *node) {
			nd.currentTerm().Yield("test")
		}},
		"expired lease": {[]string{"n1", "n2"}, func(bd *testbed, _ *node) { bd.store.RevokeLeases() }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, time.Second, "w1")
				defer time.Sleep(10 * time.Second) // until the unanswered call has ended
				defer bd.end()
				raw, err := joblog.Encode(&joblog.Batch{}) // no longer needed
				is.NoErr(err)
				bd.store.Set(joblog.BatchKey("n0", "x", 1), raw)
				for _, name := range tc.nodes {
					bd.addNode(name)
					time.Sleep(100 * time.Millisecond)
				}
				first := bd.nodes["n1"]
				time.Sleep(9500 * time.Millisecond)
				asked := 0
				bd.store.SetFault(func(client, call string) memkv.Fault {
					if call == "commit" && client == "n1" {
						if asked++; asked == 1 {
							return memkv.RequestLost
						}
					}
					return memkv.None
				})
				time.Sleep(600 * time.Millisecond) // old keys are removed after 10 s
				synctest.Wait()
				is.Equal(asked, 1)
				token := first.currentTerm().Token
				began := time.Now()
				tc.end(bd, first)
				const within = time.Second // callers wait for 3 s
				for !answers(bd, first, token) && time.Since(began) < within {
					time.Sleep(10 * time.Millisecond)
				}
				t.Log("next planner answers after", time.Since(began))
				is.True(answers(bd, first, token)) // a later planner, which the node knows
				bd.addNode("n9")
				time.Sleep(200 * time.Millisecond)
				is.Equal(len(first.term.Members()), len(tc.nodes)+1) // it follows the changes of members
			})
		})
	}
}

// answers reports whether a planner with a token higher than after answers, and the node knows it.
func answers(bd *testbed, nd *node, after uint64) bool {
	synctest.Wait()
	el, ok := nd.term.Leader()
	leader := bd.leader()
	if !ok || leader == nil || bd.nodes[el.Node] != leader || leader.currentTerm().Token <= after {
		return false
	}
	_, err := leader.planner.JobPhase(bd.t.Context(), "none", "")
	return fault.Is(err, fault.NotFound)
}

// TestEndedTermHoldsNoLease guards against a task that is started twice. A term ended, by the report of a worker or
// because its lease expired, while the node remained a member or got another lease. Work of the ended term may go on
// for a while, and checks before a start that its lease is held. It was told of the node's present lease, on which a
// later planner, or none, depends, so that the ended term seemed to hold its lease when the next planner had begun.
func TestEndedTermHoldsNoLease(t *testing.T) {
	cases := map[string]func(bd *testbed, nd *node){
		"stepped down": func(_ *testbed, nd *node) { nd.currentTerm().StepDown("test") },
		"lease lost":   func(bd *testbed, _ *node) { bd.store.RevokeLeases() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				first, _ := bd.addPair()
				old := first.currentTerm()
				is.True(old.LeaseHeld())
				is.True(old.SinceRenewal() < time.Second)
				end(bd, first)
				const within = 3 * time.Second // more than the TTL of the lease
				began := time.Now()
				for !answers(bd, first, old.Token) && time.Since(began) < within {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(answers(bd, first, old.Token)) // a later planner
				is.True(bd.leader().currentTerm().LeaseHeld())
				is.True(!old.LeaseHeld())                 // otherwise it would start tasks with the old token
				is.True(old.SinceRenewal() > time.Minute) // otherwise it would renew the workers' leases
			})
		})
	}
}

// TestJoinKeepsPlanner guards against a needless change of the planner in a rolling restart, in which callers get 503
// while the journal is loaded once more. A slow node yielded, the next planner died, and the first node planned again
// because it was alone. When another node joined within 10 s of the yield, the planner was made to step down: its
// abstention from candidacy was applied to the running term.
func TestJoinKeepsPlanner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		first, second := bd.addPair()
		yielded := time.Now()
		first.currentTerm().Yield("test")
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		is.True(!first.term.Leading())
		is.True(second.term.Leading()) // the first node leaves the leadership to others
		second.cancel()                // the second node dies
		delete(bd.nodes, "n2")
		const within = 5 * time.Second // more than twice the TTL of the lease
		for began := time.Now(); !first.term.Leading() && time.Since(began) < within; {
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		is.True(first.term.Leading()) // it is alone
		token := first.currentTerm().Token
		const abstains = 10 * time.Second
		is.True(time.Since(yielded) < abstains-time.Second) // it is still abstaining
		bd.addNode("n3")
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(first.term.Leading())
		is.Equal(first.currentTerm().Token, token) // no change of planner without need
	})
}
