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

// soakSeeds names the environment variable that says how many seeds TestSoak draws from.
const soakSeeds = "TACKBEAM_FEED_SEEDS"

// TestSoak stacks sizes with faults, both drawn from a seed: up to 60 nodes and 10,000 routes,
// changes of any size in series, and meanwhile reset connections, silent nodes, nodes that the
// store does not answer, a store that is slow, loses answers, refuses, is silent or forgets. At
// every moment a copy's age is true, and no version comes back older; once the faults are over,
// what was written last is in force on every node in time.
//
// TACKBEAM_FEED_SEEDS=200 go test ./internal/feed -run TestSoak plays more seeds.
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
					sk.look(time.Duration(sk.rnd.IntN(2500)) * time.Millisecond)
				}
				sk.calm()
				sk.change()
				sk.inForce()
			})
		})
	}
}

// soak is a bed whose faults and changes are drawn.
type soak struct {
	t   *testing.T
	bed *bed
	rnd *rand.Rand
	// confirmed is when the newest version was written, seen the latest version of each node.
	confirmed time.Time
	seen      []uint64
}

func newSoak(t *testing.T, seed uint64) *soak {
	const mostFast, mostSmall, mostRoutes = 10, 50, 8000
	rnd := rand.New(rand.NewPCG(seed, 1))
	bd := newBed(t, rnd.IntN(mostFast), 1+rnd.IntN(mostSmall), 1+rnd.IntN(mostRoutes))
	if bd.until(time.Minute) >= time.Minute {
		t.Fatal("the first version did not come")
	}
	return &soak{t: t, bed: bd, rnd: rnd, confirmed: time.Now(), seen: make([]uint64, len(bd.nodes))}
}

// change writes a version that has some routes more, and lacks some.
func (sk *soak) change() {
	const mostMore = 2000
	more := 1
	if sk.rnd.IntN(2) == 0 {
		more = sk.rnd.IntN(mostMore)
	}
	fewer := sk.rnd.IntN(len(sk.bed.versions[sk.bed.version].Routes))
	if sk.rnd.IntN(3) > 0 {
		fewer = min(fewer, 1)
	}
	sk.bed.write(more, fewer)
	sk.confirmed = time.Now()
}

// fault brings one more fault about, or ends some.
func (sk *soak) fault() {
	some := func(act func(nd *node)) {
		for range 1 + sk.rnd.IntN(len(sk.bed.nodes)) {
			act(sk.bed.nodes[sk.rnd.IntN(len(sk.bed.nodes))])
		}
	}
	store := func(fault memkv.Fault, share float64) {
		rnd := rand.New(rand.NewPCG(sk.rnd.Uint64(), 1)) // used under the store's lock
		sk.bed.mem.SetFault(func(string, string) memkv.Fault {
			if rnd.Float64() < share {
				return fault
			}
			return memkv.None
		})
	}
	const lossy = 0.35
	switch sk.rnd.IntN(10) {
	case 0:
		some((*node).cutLinks)
	case 1:
		some(func(nd *node) { nd.set(func() { nd.dead = true }) })
	case 2:
		some(func(nd *node) { nd.set(func() { nd.cut = true }) })
	case 3:
		sk.bed.set(func() { sk.bed.slow = time.Duration(sk.rnd.IntN(400)) * time.Millisecond })
	case 4:
		store(memkv.Lost, lossy)
	case 5:
		store(memkv.Refused, 1)
	case 6:
		store(memkv.Silent, 1)
	case 7:
		sk.bed.mem.Forget()
	case 8:
		sk.bed.set(func() { sk.bed.mute = true })
	case 9:
		sk.calm()
	}
}

// calm ends all faults.
func (sk *soak) calm() {
	sk.bed.mem.SetFault(func(string, string) memkv.Fault { return memkv.None })
	sk.bed.set(func() { sk.bed.slow, sk.bed.mute = 0, false })
	for _, nd := range sk.bed.nodes {
		nd.set(func() { nd.dead, nd.cut = false, false })
	}
}

// look checks every node for a while.
func (sk *soak) look(span time.Duration) {
	const every = 20 * time.Millisecond
	for range span / every {
		time.Sleep(every)
		for at, nd := range sk.bed.nodes {
			version := sk.version(nd)
			if version < sk.seen[at] {
				sk.t.Fatalf("node %d: version %d after %d", at, version, sk.seen[at])
			}
			sk.seen[at] = version
			age, _ := nd.feed.Age()
			if lacks := time.Since(sk.confirmed); version < sk.bed.version && age < lacks {
				sk.t.Fatalf("node %d: copy said to be %v old lacks a version confirmed %v ago", at, age, lacks)
			}
		}
	}
}

func (sk *soak) version(nd *node) (version uint64) {
	nd.set(func() { version = nd.taken.Version })
	return version
}

// inForce checks that the newest version comes to all nodes in time. What is on the way from
// before the calm may take a while: a silent call is given up after 1.1 s, a transfer ends.
func (sk *soak) inForce() {
	const rest = 1100 * time.Millisecond
	nodes := len(sk.bed.nodes)
	read := transfer(2*nodes*sk.bed.size(), storeLink) + 2*transfer(sk.bed.size(), smallLink)
	took := sk.bed.until(time.Minute)
	sk.t.Logf("%d nodes, %d routes: in force after %v", nodes, len(sk.bed.versions[sk.bed.version].Routes), took)
	if took > rest+inForce+read {
		sk.t.Errorf("in force after %v", took)
	}
	sk.look(inForce)
}
