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
func (bd *bed) addPair() (first, second *node) {
	first, second = bd.addTwo()
	time.Sleep(300 * time.Millisecond)
	synctest.Wait()
	return first, second
}

// TestPlaceIsNotHeldIdle is the story of a cell that nobody planned for good: callers got
// 503 from every node, though all were up and the store answered. The planner gave its
// place up; its reign ended first, then the store took no writes for 2.5 s, so that the
// leader's key stayed. The node went on renewing the lease that carries the key, so no
// other could be elected, and it did not plan either, since only a change of the members'
// keys had it look. In virtual time nobody planned 120 s after the store took writes again.
//
// A reign that ends by the word of a worker leaves the same state behind, and a second
// reign under the same token would take the records of the first for its own.
func TestPlaceIsNotHeldIdle(t *testing.T) {
	commits := func(of string, fault memkv.Fault) func(client, call string) memkv.Fault {
		return func(client, call string) memkv.Fault {
			if call == "commit" && (of == "" || of == client) {
				return fault
			}
			return memkv.None
		}
	}
	yield := func(nd *node) { nd.reign().Yield("test") }
	depose := func(nd *node) { nd.reign().StepDown("test") }
	cases := map[string]struct {
		end   func(nd *node)
		fault func(client, call string) memkv.Fault
		lasts time.Duration
	}{
		"writes refused for a while":    {yield, commits("", memkv.Refused), 2500 * time.Millisecond},
		"writes silent for a while":     {yield, commits("", memkv.Silent), 2500 * time.Millisecond},
		"its writes refused for good":   {yield, commits("n1", memkv.Refused), time.Hour},
		"its writes silent for good":    {yield, commits("n1", memkv.Silent), time.Hour},
		"deposed":                       {depose, commits("", memkv.None), 0},
		"deposed while writes are lost": {depose, commits("", memkv.Lost), 2500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, time.Second, "w1")
				defer bd.end()
				first, _ := bd.addPair()
				token := first.reign().Token
				bd.store.SetFault(tc.fault)
				time.AfterFunc(tc.lasts, func() { bd.store.SetFault(commits("", memkv.None)) })
				tc.end(first)
				time.Sleep(100 * time.Millisecond)
				const within = 5 * time.Second // the lease's time twice, and some
				began := time.Now()
				for bd.leader() == nil && time.Since(began) < within {
					time.Sleep(10 * time.Millisecond)
				}
				synctest.Wait()
				is.True(bd.leader() != nil) // somebody plans again
				is.True(bd.leader().reign().Token > token)
				t.Log("planner after", time.Since(began))
				time.Sleep(10 * time.Second)
				is.True(bd.leader() != nil)
			})
		})
	}
}

// TestLoadKeepsPages is the story of a cell whose new planner did not get ready: the store
// lost a third of its answers, the planner before had been stopped, and questions about jobs
// got 503, "the planner reads the journal", to the end. A day of 100 s leaves 5 pages of
// records and 11 of batches; one page without an answer had all pages of its kind read
// again, so that 11 took 123 s on average.
func TestLoadKeepsPages(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { loadLossy(t, seed) })
		})
	}
}

// loadLossy has a planner load a long journal while a third of the store's answers is lost.
func loadLossy(t *testing.T, seed uint64) {
	is := is.New(t)
	bd := newBed(t, time.Second, "w1")
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
			return memkv.Lost
		}
		return memkv.None
	})
	const within = 12 * time.Second // callers are served again that long after a fault
	began := time.Now()
	for time.Since(began) < within {
		if _, err := first.planner.JobPhase(t.Context(), "none", ""); fault.Is(err, fault.NotFound) {
			t.Log("ready after", time.Since(began))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the planner still reads the journal after", within)
}

// TestDeposedReignLetsGo is the story of a node that was planner, lost its place, and was of
// no use for 10 s: it sent its callers to itself, and when it was elected again it did not
// begin. The reign's write that removes old keys had got no answer; it had no deadline, and
// the call over HTTP held on for 10 s. What ended the reign waited for it: the one that
// follows the members' keys, and the node's next reign.
func TestDeposedReignLetsGo(t *testing.T) {
	cases := map[string]struct {
		nodes []string
		end   func(bd *bed, nd *node)
	}{
		"its own next reign": {[]string{"n1"}, func(bd *bed, _ *node) { bd.store.Revoke() }},
		"the reign of another node": {[]string{"n1", "n2"}, func(_ *bed, nd *node) {
			nd.reign().Yield("test")
		}},
		"a lease that is over": {[]string{"n1", "n2"}, func(bd *bed, _ *node) { bd.store.Revoke() }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, time.Second, "w1")
				defer time.Sleep(10 * time.Second) // the call without an answer ends
				defer bd.end()
				raw, err := joblog.Encode(&joblog.Batch{}) // nobody needs it
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
							return memkv.Silent
						}
					}
					return memkv.None
				})
				time.Sleep(600 * time.Millisecond) // old keys are removed after 10 s
				synctest.Wait()
				is.Equal(asked, 1)
				token := first.reign().Token
				began := time.Now()
				tc.end(bd, first)
				const within = time.Second // of the 3 s that a caller waits
				for !answers(bd, first, token) && time.Since(began) < within {
					time.Sleep(10 * time.Millisecond)
				}
				t.Log("next planner answers after", time.Since(began))
				is.True(answers(bd, first, token)) // a later planner, which the node knows
				bd.addNode("n9")
				time.Sleep(200 * time.Millisecond)
				is.Equal(len(first.term.Members()), len(tc.nodes)+1) // it follows the members
			})
		})
	}
}

// answers reports whether a planner with a token after another answers, and a node knows it.
func answers(bd *bed, nd *node, after uint64) bool {
	synctest.Wait()
	el, ok := nd.term.Leader()
	leader := bd.leader()
	if !ok || leader == nil || bd.nodes[el.Node] != leader || leader.reign().Token <= after {
		return false
	}
	_, err := leader.planner.JobPhase(bd.t.Context(), "none", "")
	return fault.Is(err, fault.NotFound)
}

// TestEndedReignIsNotProven is the story of a task that could be started twice: a planner's
// reign ended, by the word of a worker or since its lease ran out, while the node stayed a
// member or got another lease. The old reign's work may go on for a while, and asked whether
// its lease surely holds before it sent a start; it was told of the node's present lease, on
// which a later planner, or none, rests. In virtual time a reign counted as proven when the
// next planner had begun, in both cases.
func TestEndedReignIsNotProven(t *testing.T) {
	cases := map[string]func(bd *bed, nd *node){
		"deposed":    func(_ *bed, nd *node) { nd.reign().StepDown("test") },
		"lease lost": func(bd *bed, _ *node) { bd.store.Revoke() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, time.Second, "w1")
				defer bd.end()
				first, _ := bd.addPair()
				old := first.reign()
				is.True(old.LeaseHeld())
				is.True(old.SinceRenewal() < time.Second)
				end(bd, first)
				const within = 3 * time.Second // the lease's time, and some
				began := time.Now()
				for !answers(bd, first, old.Token) && time.Since(began) < within {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(answers(bd, first, old.Token)) // a later planner
				is.True(bd.leader().reign().LeaseHeld())
				is.True(!old.LeaseHeld())                 // it would start tasks under the old token
				is.True(old.SinceRenewal() > time.Minute) // it would renew the workers' leases
			})
		})
	}
}

// TestJoinKeepsPlanner is the story of a rolling restart that cost one load of the journal
// more than it has nodes, in which callers got 503: a node that was too slow gave its place
// up, the next planner died, and the first planned again, being alone. When another node was
// listed, within 10 s of the giving up, the planner was deposed: that it leaves the place to
// others counted for the reign that already ran. In virtual time the token changed as soon
// as the other node was listed.
func TestJoinKeepsPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newBed(t, time.Second, "w1")
		defer bd.end()
		first, second := bd.addPair()
		yielded := time.Now()
		first.reign().Yield("test")
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		is.True(!first.term.Leading())
		is.True(second.term.Leading()) // the place is left to others
		second.cancel()                // dies
		delete(bd.nodes, "n2")
		const within = 5 * time.Second // the lease's time twice, and some
		for began := time.Now(); !first.term.Leading() && time.Since(began) < within; {
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		is.True(first.term.Leading()) // alone
		token := first.reign().Token
		const abstains = 10 * time.Second
		is.True(time.Since(yielded) < abstains-time.Second) // it is no candidate yet
		bd.addNode("n3")
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(first.term.Leading())
		is.Equal(first.reign().Token, token) // no change of planner without need
	})
}
