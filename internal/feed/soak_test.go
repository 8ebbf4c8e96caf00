package feed_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// soakSeeds is the environment variable with the number of seeds of TestSoak.
const soakSeeds = "TACKBEAM_FEED_SEEDS"

// TestSoak combines random sizes with random faults: up to 60 nodes and 10,000 routes, series of changes of any
// size and, meanwhile, reset connections, silent nodes, nodes that the store does not answer, and a store that is
// slow, loses answers, refuses calls, does not answer or loses its history. At all times a copy must be no older
// than it reports, and no version may be replaced by an older one. Once the faults have ended, the last version
// must become active on every node in time. Nodes hear of the versions of others, and know whether they lack one.
//
// TACKBEAM_FEED_SEEDS=200 go test ./internal/feed -run TestSoak runs more seeds.
func TestSoak(t *testing.T) {
	seeds := 12
	if given, err := strconv.Atoi(os.Getenv(soakSeeds)); err == nil {
		seeds = given
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sk := newSoak(t, uint64(seed))
				for range 6 + sk.rnd.IntN(6) {
					sk.fault()
					sk.change()
					sk.check(time.Duration(sk.rnd.IntN(2500)) * time.Millisecond)
				}
				sk.clearFaults()
				sk.change()
				sk.awaitActive()
			})
		})
	}
}

// soak is a testbed with random faults and changes.
type soak struct {
	t       *testing.T
	testbed *testbed
	rnd     *rand.Rand
	// confirmed is when the newest version was written, seen the latest version of each node.
	confirmed time.Time
	seen      []uint64
	// heard is the latest version that each node has heard of.
	heard []uint64
}

func newSoak(t *testing.T, seed uint64) *soak {
	const maxFast, maxSmall, maxRoutes = 10, 50, 8000
	rnd := rand.New(rand.NewPCG(seed, 1))
	bd := newTestbed(t, rnd.IntN(maxFast), 1+rnd.IntN(maxSmall), 1+rnd.IntN(maxRoutes))
	if bd.awaitActive(time.Minute) >= time.Minute {
		t.Fatal("the first version is not active after one minute")
	}
	return &soak{t: t, testbed: bd, rnd: rnd, confirmed: time.Now(), seen: make([]uint64, len(bd.nodes)), heard: make([]uint64, len(bd.nodes))}
}

// change writes a version that has some more routes and lacks some.
func (sk *soak) change() {
	const maxMore = 2000
	more := 1
	if sk.rnd.IntN(2) == 0 {
		more = sk.rnd.IntN(maxMore)
	}
	fewer := sk.rnd.IntN(len(sk.testbed.versions[sk.testbed.version].Routes))
	if sk.rnd.IntN(3) > 0 {
		fewer = min(fewer, 1)
	}
	sk.testbed.write(more, fewer)
	sk.confirmed = time.Now()
}

// fault adds one fault, or ends all.
func (sk *soak) fault() {
	some := func(act func(nd *node)) {
		for range 1 + sk.rnd.IntN(len(sk.testbed.nodes)) {
			act(sk.testbed.nodes[sk.rnd.IntN(len(sk.testbed.nodes))])
		}
	}
	store := func(fault memkv.Fault, share float64) {
		rnd := rand.New(rand.NewPCG(sk.rnd.Uint64(), 1)) // used under the store's lock
		sk.testbed.mem.SetFault(func(string, string) memkv.Fault {
			if rnd.Float64() < share {
				return fault
			}
			return memkv.None
		})
	}
	const lossy = 0.35
	switch sk.rnd.IntN(10) {
	case 0:
		some((*node).resetConnections)
	case 1:
		some(func(nd *node) { nd.set(func() { nd.silent = true }) })
	case 2:
		some(func(nd *node) { nd.set(func() { nd.cutOff = true }) })
	case 3:
		sk.testbed.set(func() { sk.testbed.storeDelay = time.Duration(sk.rnd.IntN(400)) * time.Millisecond })
	case 4:
		store(memkv.ResponseLost, lossy)
	case 5:
		store(memkv.Refused, 1)
	case 6:
		store(memkv.RequestLost, 1)
	case 7:
		sk.testbed.mem.Compact()
	case 8:
		sk.testbed.set(func() { sk.testbed.peersSilent = true })
	case 9:
		sk.clearFaults()
	}
}

// clearFaults ends all faults.
func (sk *soak) clearFaults() {
	sk.testbed.mem.SetFault(func(string, string) memkv.Fault { return memkv.None })
	sk.testbed.set(func() { sk.testbed.storeDelay, sk.testbed.peersSilent = 0, false })
	for _, nd := range sk.testbed.nodes {
		nd.set(func() { nd.silent, nd.cutOff = false, false })
	}
}

// check checks every node repeatedly for a while.
func (sk *soak) check(span time.Duration) {
	const every = 20 * time.Millisecond
	for range span / every {
		time.Sleep(every)
		sk.announce()
		for at, nd := range sk.testbed.nodes {
			version := sk.version(nd)
			if version < sk.seen[at] {
				sk.t.Fatalf("node %d: version %d after %d", at, version, sk.seen[at])
			}
			sk.seen[at] = version
			if _, _, missing := nd.feed.Missing(); !missing && version < sk.heard[at] {
				sk.t.Fatalf("node %d: has version %d and says that it lacks none, but has heard of %d", at, version, sk.heard[at])
			}
			age, _ := nd.feed.Age()
			if lacks := time.Since(sk.confirmed); version < sk.testbed.version && age < lacks {
				sk.t.Fatalf("node %d: copy reports an age of %v but lacks a version confirmed %v ago", at, age, lacks)
			}
		}
	}
}

// announce has a node hear of the version of another one.
func (sk *soak) announce() {
	at, from := sk.rnd.IntN(len(sk.testbed.nodes)), sk.rnd.IntN(len(sk.testbed.nodes))
	version := sk.version(sk.testbed.nodes[from])
	sk.heard[at] = max(sk.heard[at], version)
	sk.testbed.nodes[at].feed.Learn(version, []string{"", sk.testbed.nodes[from].member.PeerAddr}[sk.rnd.IntN(2)])
}

func (sk *soak) version(nd *node) (version uint64) {
	nd.set(func() { version = nd.active.Version })
	return version
}

// awaitActive checks that the newest version becomes active on all nodes in time. Calls from before the end of the
// faults may add to that: a call without an answer times out after 1.1 s, and a transfer is completed.
func (sk *soak) awaitActive() {
	const callTimeout = 1100 * time.Millisecond
	nodes := len(sk.testbed.nodes)
	read := transferTime(2*nodes*sk.testbed.size(), storeLink) + 2*transferTime(sk.testbed.size(), smallLink)
	took := sk.testbed.awaitActive(time.Minute)
	sk.t.Logf("%d nodes, %d routes: active after %v", nodes, len(sk.testbed.versions[sk.testbed.version].Routes), took)
	if took > callTimeout+maxDelay+read {
		sk.t.Errorf("newest version active only after %v", took)
	}
	sk.check(maxDelay)
}
