package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// inForce is within how long of its confirmation a change has to be in force.
const inForce = 3 * time.Second

// TestBound has a change in force on every node within the bound that the package states, and
// within 3 s, at sizes and under faults that stack. The store sends the whole to the readers only:
// to each of 1,000 nodes it would take 11 s.
func TestBound(t *testing.T) {
	const retry, silent, slow = 500 * time.Millisecond, 530 * time.Millisecond, 250 * time.Millisecond
	nobody := func(*bed) {}
	resets := func(bd *bed) {
		for _, nd := range bd.nodes {
			nd.cutLinks()
		}
	}
	cases := map[string]struct {
		fast, small, routes, more int
		before, midway            func(bd *bed)
		retry                     time.Duration
		whole                     int // nodes that read whole beside the readers
	}{
		"43 nodes, 4,245 routes":         {6, 37, 4245, 1400, nobody, nobody, 0, 0},
		"43 nodes, 10,000 routes":        {6, 37, 10_000, 1, nobody, nobody, 0, 0},
		"43 nodes, 10,000, many more":    {6, 37, 8600, 1400, nobody, nobody, 0, 0},
		"43 nodes, connections reset":    {6, 37, 10_000, 1400, nobody, resets, retry, 0},
		"1,000 nodes, 5,000 routes":      {140, 860, 5000, 1400, nobody, nobody, 0, 0},
		"1,000 nodes, connections reset": {140, 860, 5000, 1400, nobody, resets, retry, 0},
		"1,000 small nodes":              {0, 1000, 5000, 1400, nobody, nobody, 0, 0},
		"43 nodes, two readers are silent": {6, 37, 5000, 1400, func(bd *bed) {
			for _, nd := range bd.nodes[:2] {
				nd.set(func() { nd.dead = true })
			}
		}, nobody, 2 * silent, 14},
		"43 nodes, which do not reach each other": {6, 37, 5000, 1400, func(bd *bed) { bd.set(func() { bd.mute = true }) }, nobody,
			2 * silent, 40},
		"43 nodes, a slow store": {6, 37, 5000, 1400, func(bd *bed) { bd.set(func() { bd.slow = slow }) }, nobody, 2 * slow, 0},
		"12 nodes, one fast":     {1, 11, 5000, 1400, nobody, nobody, 0, 0},
		"one node":               {0, 1, 5000, 1400, nobody, nobody, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, tc.fast, tc.small, tc.routes)
				is.True(bd.until(time.Minute) < time.Minute) // the first version is there
				time.Sleep(5 * time.Second)
				tc.before(bd)
				bd.out.count()
				bd.write(tc.more, 1)
				time.AfterFunc(100*time.Millisecond, func() { tc.midway(bd) })
				took := bd.until(time.Minute)
				bound := bd.bound(tc.fast, tc.small, tc.more, tc.whole) + tc.retry
				sent := bd.out.count()
				t.Logf("in force after %v, bound %v; store sent %.1f MB of %.1f", took.Round(time.Millisecond), bound.Round(time.Millisecond),
					float64(sent)/1e6, float64(bd.size()*len(bd.nodes))/1e6)
				is.True(took <= bound)
				is.True(took <= inForce)
			})
		})
	}
}

// bound is the one that the package states.
func (bd *bed) bound(fast, small, more, whole int) time.Duration {
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
	notice := 5*answer + transfer(window, node)
	read := max(transfer(nodes*window+(readers+whole)*size, storeLink), transfer(size, reader))
	if whole > 0 {
		read += transfer(size, node)
	}
	decode := time.Duration(size*3/4) * time.Second / decodePace
	askers := (nodes + readers - 1) / readers
	return notice + read + decode + transfer(askers*change, reader) + transfer(change, node)
}

// TestChangeIsCheap bounds what a change of one route costs a small node, and the store.
func TestChangeIsCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newBed(t, 6, 37, 5000)
		bd.until(time.Minute)
		time.Sleep(5 * time.Second)
		last := bd.nodes[len(bd.nodes)-1]
		last.down.count()
		bd.out.count()
		bd.write(1, 1)
		bd.until(time.Minute)
		received, sent := last.down.count(), bd.out.count()
		t.Logf("a small node received %d bytes, the store sent %d", received, sent)
		is.True(received <= window+1000)
		is.True(sent <= 3*bd.size()+len(bd.nodes)*window)
	})
}

// TestCutOffIsCurrent has some nodes get no answer of the store: others tell them of changes, and
// that there are none, so that their copies stay young.
func TestCutOffIsCurrent(t *testing.T) {
	cases := map[string]int{"a small one": 20, "two of the readers": 2, "all but one": 42}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, 6, 37, 5000)
				bd.until(time.Minute)
				time.Sleep(5 * time.Second)
				var off []*node
				for at, nd := range bd.nodes {
					if name == "a small one" && at == cut || name != "a small one" && at < cut {
						nd.set(func() { nd.cut = true })
						off = append(off, nd)
					}
				}
				oldest := time.Duration(0)
				look := func(span time.Duration) {
					for range span / (20 * time.Millisecond) {
						time.Sleep(20 * time.Millisecond)
						for _, nd := range off {
							age, _ := nd.feed.Age()
							oldest = max(oldest, age)
						}
					}
				}
				look(5 * time.Second)
				bd.write(1400, 1)
				look(10 * time.Second)
				t.Logf("oldest copy %v", oldest)
				for _, nd := range off {
					is.True(nd.has())
				}
				if len(off) == 1 {
					is.True(oldest < 1800*time.Millisecond) // its callers were never refused
				}
			})
		})
	}
}

// TestAgeIsTrue never says of a copy that it is younger than the change that it lacks, whatever
// is lost on the way.
func TestAgeIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newBed(t, 3, 9, 2000)
		bd.until(time.Minute)
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
				bd.nodes[round%len(bd.nodes)].cutLinks()
			}
			for range 75 {
				time.Sleep(20 * time.Millisecond)
				for _, nd := range bd.nodes {
					age, loaded := nd.feed.Age()
					is.True(loaded)
					is.True(nd.has() || age >= time.Since(confirmed))
				}
			}
		}
	})
}

// TestAgeCountsSuspensions has a node's VM suspended: its copy is older by that when it wakes, until
// the store or another node has answered again.
func TestAgeCountsSuspensions(t *testing.T) {
	for _, away := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, 2, 1, 300)
				bd.until(time.Minute)
				nd := bd.nodes[0]
				before, _ := nd.feed.Age()
				nd.suspended.Store(int64(away))
				age, loaded := nd.feed.Age()
				is.True(loaded)
				is.Equal(age, before+away)
				time.Sleep(3 * time.Second)
				age, _ = nd.feed.Age()
				is.True(age < 2*time.Second)
			})
		})
	}
}

// TestLostHistory has the store forget its history while nodes cannot watch: those that have the
// newest version find their place again without reading it.
func TestLostHistory(t *testing.T) {
	for name, changed := range map[string]bool{"nothing changed": false, "a change meanwhile": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newBed(t, 6, 37, 5000)
				bd.until(time.Minute)
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
				is.True(bd.until(time.Minute) < inForce)
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

// TestUnreadable keeps the version in force where a later one cannot be read, and takes the next.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newBed(t, 1, 1, 10)
		bd.until(time.Minute)
		good := bd.versions[bd.version]
		bd.write(1, 0)
		bd.set(func() { delete(bd.versions, bd.version) })
		time.Sleep(3 * time.Second)
		for _, nd := range bd.nodes {
			nd.set(func() { is.Equal(nd.taken.Version, good.Version) })
			is.True(!nd.feed.Behind())
		}
		bd.set(func() { bd.versions[bd.version] = &routes.Config{Version: bd.version, Routes: good.Routes} })
		bd.write(1, 0)
		is.True(bd.until(time.Minute) < time.Second)
	})
}

// TestReturn has the store swallow every call for a while. Its answer to another call of the node
// brings the copy up to date at once, rather than the end of the one that is waited for.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newBed(t, 1, 0, 10)
		bd.until(time.Minute)
		nd := bd.nodes[0]
		for _, away := range []time.Duration{5000 * time.Millisecond, 5170 * time.Millisecond, 5340 * time.Millisecond} {
			bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
			time.Sleep(away)
			bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.None })
			nd.feed.Refresh()
			time.Sleep(20 * time.Millisecond)
			age, _ := nd.feed.Age()
			is.True(age <= 20*time.Millisecond)
			time.Sleep(3 * time.Second)
		}
	})
}
