package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// maxDelay is the time after its confirmation within which a change must be active.
const maxDelay = 3 * time.Second

// TestChangeWithinBound checks that a change becomes active on every node within the bound that the package
// documentation states, and within 3 s, for several sizes and combined faults. Only the readers read the full
// configuration from the store: sending it to each of 1,000 nodes would take 11 s.
func TestChangeWithinBound(t *testing.T) {
	const retry, silent, storeDelay = 500 * time.Millisecond, 530 * time.Millisecond, 250 * time.Millisecond
	nobody := func(*testbed) {}
	resets := func(bd *testbed) {
		for _, nd := range bd.nodes {
			nd.resetConnections()
		}
	}
	cases := map[string]struct {
		fast, small, routes, more int
		before, midway            func(bd *testbed)
		retry                     time.Duration
		fullReads                 int // nodes other than readers that read the full configuration
	}{
		"43 nodes, 4,245 routes":             {6, 37, 4245, 1400, nobody, nobody, 0, 0},
		"43 nodes, 10,000 routes":            {6, 37, 10_000, 1, nobody, nobody, 0, 0},
		"43 nodes, 10,000 routes, 1,400 new": {6, 37, 8600, 1400, nobody, nobody, 0, 0},
		"43 nodes, connections reset":        {6, 37, 10_000, 1400, nobody, resets, retry, 0},
		"1,000 nodes, 5,000 routes":          {140, 860, 5000, 1400, nobody, nobody, 0, 0},
		"1,000 nodes, connections reset":     {140, 860, 5000, 1400, nobody, resets, retry, 0},
		"1,000 nodes with small links":       {0, 1000, 5000, 1400, nobody, nobody, 0, 0},
		"43 nodes, two readers are silent": {6, 37, 5000, 1400, func(bd *testbed) {
			for _, nd := range bd.nodes[:2] {
				nd.set(func() { nd.silent = true })
			}
		}, nobody, 2 * silent, 14},
		"43 nodes that do not reach each other": {6, 37, 5000, 1400, func(bd *testbed) { bd.set(func() { bd.peersSilent = true }) }, nobody,
			2 * silent, 40},
		"43 nodes, a slow store": {6, 37, 5000, 1400, func(bd *testbed) { bd.set(func() { bd.storeDelay = storeDelay }) }, nobody, 2 * storeDelay, 0},
		"12 nodes, one fast":     {1, 11, 5000, 1400, nobody, nobody, 0, 0},
		"one node":               {0, 1, 5000, 1400, nobody, nobody, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, tc.fast, tc.small, tc.routes)
				is.True(bd.awaitActive(time.Minute) < time.Minute) // the first version is active
				time.Sleep(5 * time.Second)
				tc.before(bd)
				bd.out.count()
				bd.write(tc.more, 1)
				time.AfterFunc(100*time.Millisecond, func() { tc.midway(bd) })
				took := bd.awaitActive(time.Minute)
				bound := bd.bound(tc.fast, tc.small, tc.more, tc.fullReads) + tc.retry
				sent := bd.out.count()
				t.Logf("active after %v, bound %v; store sent %.1f MB of %.1f", took.Round(time.Millisecond), bound.Round(time.Millisecond),
					float64(sent)/1e6, float64(bd.size()*len(bd.nodes))/1e6)
				is.True(took <= bound)
				is.True(took <= maxDelay)
			})
		})
	}
}

// bound returns the bound stated in the package documentation.
func (bd *testbed) bound(fast, small, more, fullReads int) time.Duration {
	const answer, changeBytes = 4 * time.Millisecond, 75
	nodes := fast + small
	readers := min(max(3, (nodes+15)/16), nodes)
	if fast > 0 {
		readers = min(readers, fast)
	}
	size, change := bd.size(), (more+1)*changeBytes
	reader := float64(fastLink)
	if readers > fast {
		reader = smallLink
	}
	node := float64(fastLink)
	if small > 0 {
		node = smallLink
	}
	notice := 5*answer + transferTime(window, node)
	read := max(transferTime(nodes*window+(readers+fullReads)*size, storeLink), transferTime(size, reader))
	if fullReads > 0 {
		read += transferTime(size, node)
	}
	decode := time.Duration(size*3/4) * time.Second / decodeRate
	askers := (nodes + readers - 1) / readers
	return notice + read + decode + transferTime(askers*change, reader) + transferTime(change, node)
}

// TestSmallChangeCost limits the bytes that a change of one route costs a node with a small link, and the store.
func TestSmallChangeCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, 6, 37, 5000)
		bd.awaitActive(time.Minute)
		time.Sleep(5 * time.Second)
		last := bd.nodes[len(bd.nodes)-1]
		last.down.count()
		bd.out.count()
		bd.write(1, 1)
		bd.awaitActive(time.Minute)
		received, sent := last.down.count(), bd.out.count()
		t.Logf("a node with a small link received %d bytes, the store sent %d", received, sent)
		is.True(received <= window+1000)
		is.True(sent <= 3*bd.size()+len(bd.nodes)*window)
	})
}

// TestCutOffFromStore checks that nodes which the store does not answer learn of changes from others, and learn
// that there are none, so that their copies stay fresh.
func TestCutOffFromStore(t *testing.T) {
	cases := map[string]int{"one with a small link": 20, "two of the readers": 2, "all but one": 42}
	for name, cutOff := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, 6, 37, 5000)
				bd.awaitActive(time.Minute)
				time.Sleep(5 * time.Second)
				var cutNodes []*node
				for at, nd := range bd.nodes {
					if name == "one with a small link" && at == cutOff || name != "one with a small link" && at < cutOff {
						nd.set(func() { nd.cutOff = true })
						cutNodes = append(cutNodes, nd)
					}
				}
				oldest := time.Duration(0)
				check := func(span time.Duration) {
					for range span / (20 * time.Millisecond) {
						time.Sleep(20 * time.Millisecond)
						for _, nd := range cutNodes {
							age, _ := nd.feed.Age()
							oldest = max(oldest, age)
						}
					}
				}
				check(5 * time.Second)
				bd.write(1400, 1)
				check(10 * time.Second)
				t.Logf("oldest copy %v", oldest)
				for _, nd := range cutNodes {
					is.True(nd.upToDate())
				}
				if len(cutNodes) == 1 {
					is.True(oldest < 1800*time.Millisecond) // calls are refused if the copy is older
				}
			})
		})
	}
}

// TestAgeIsUpperBound checks that a copy never reports an age less than that of a change that it lacks, even if
// answers are lost.
func TestAgeIsUpperBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, 3, 9, 2000)
		bd.awaitActive(time.Minute)
		lost := 0
		bd.mem.SetFault(func(string, string) memkv.Fault {
			if lost++; lost%3 == 0 {
				return memkv.Lost
			}
			return memkv.None
		})
		for round := range 40 {
			bd.write(1+round%2*300, 1)
			confirmed := time.Now()
			if round%5 == 0 {
				bd.nodes[round%len(bd.nodes)].resetConnections()
			}
			for range 75 {
				time.Sleep(20 * time.Millisecond)
				for _, nd := range bd.nodes {
					age, loaded := nd.feed.Age()
					is.True(loaded)
					is.True(nd.upToDate() || age >= time.Since(confirmed))
				}
			}
		}
	})
}

// TestAgeCountsSuspensions suspends a node's VM: its copy is older by that time when it resumes, until the store
// or another node has answered again.
func TestAgeCountsSuspensions(t *testing.T) {
	for _, suspension := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		t.Run(suspension.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, 2, 1, 300)
				bd.awaitActive(time.Minute)
				nd := bd.nodes[0]
				before, _ := nd.feed.Age()
				nd.suspended.Store(int64(suspension))
				age, loaded := nd.feed.Age()
				is.True(loaded)
				is.Equal(age, before+suspension)
				time.Sleep(3 * time.Second)
				age, _ = nd.feed.Age()
				is.True(age < 2*time.Second)
			})
		})
	}
}

// TestLostHistory makes the store lose its history while nodes cannot watch. Nodes that have the newest version
// must be able to watch again without reading it.
func TestLostHistory(t *testing.T) {
	for name, changed := range map[string]bool{"nothing changed": false, "one change": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, 6, 37, 5000)
				bd.awaitActive(time.Minute)
				time.Sleep(5 * time.Second)
				bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.Refused })
				time.Sleep(time.Second)
				bd.mem.Set("other", nil)
				if changed {
					bd.write(1, 1)
				}
				bd.mem.Forget()
				bd.out.count()
				bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.None })
				is.True(bd.awaitActive(time.Minute) < maxDelay)
				time.Sleep(3 * time.Second)
				for _, nd := range bd.nodes {
					age, _ := nd.feed.Age()
					is.True(age < 1300*time.Millisecond)
					is.True(!nd.feed.Behind())
				}
				sent := bd.out.count()
				t.Logf("store sent %.1f MB", float64(sent)/1e6)
				is.True(sent <= 2*3*bd.size()+4*len(bd.nodes)*window)
			})
		})
	}
}

// TestUndecodableVersion checks that the active version stays if a later one cannot be decoded, and that the next
// one is applied.
func TestUndecodableVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, 1, 1, 10)
		bd.awaitActive(time.Minute)
		good := bd.versions[bd.version]
		bd.write(1, 0)
		bd.set(func() { delete(bd.versions, bd.version) })
		time.Sleep(3 * time.Second)
		for _, nd := range bd.nodes {
			nd.set(func() { is.Equal(nd.active.Version, good.Version) })
			is.True(!nd.feed.Behind())
		}
		bd.set(func() { bd.versions[bd.version] = &routes.Config{Version: bd.version, Routes: good.Routes} })
		bd.write(1, 0)
		is.True(bd.awaitActive(time.Minute) < time.Second)
	})
}

// TestRefreshAfterOutage makes the store ignore every call for a while. Once it answers another call of the node,
// Refresh must bring the copy up to date at once instead of after the timeout of the pending call.
func TestRefreshAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, 1, 0, 10)
		bd.awaitActive(time.Minute)
		nd := bd.nodes[0]
		for _, outage := range []time.Duration{5000 * time.Millisecond, 5170 * time.Millisecond, 5340 * time.Millisecond} {
			bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
			time.Sleep(outage)
			bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.None })
			nd.feed.Refresh()
			time.Sleep(20 * time.Millisecond)
			age, _ := nd.feed.Age()
			is.True(age <= 20*time.Millisecond)
			time.Sleep(3 * time.Second)
		}
	})
}
