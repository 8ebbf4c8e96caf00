package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// announcedBound is how long a node may take to get a version that it has heard of from another node: 0.1 s for the store, and
// the request.
const announcedBound = 150 * time.Millisecond

// TestAnnouncedVersionIsRequested guards against nodes that keep an older version than one that they have heard of until their own
// watch is answered.
func TestAnnouncedVersionIsRequested(t *testing.T) {
	cases := map[string]struct {
		address string
		before  func(bd *testbed)
		bound   time.Duration
	}{
		"from the node that has it":         {"5", func(*testbed) {}, announcedBound},
		"from a reader":                     {"", func(*testbed) {}, announcedBound},
		"although readers are silent":       {"5", func(bd *testbed) { silence(bd.nodes[1:4]) }, announcedBound},
		"although the announcer is silent":  {"5", func(bd *testbed) { silence(bd.nodes[5:6]) }, announcedBound + 300*time.Millisecond},
		"in the pause after a failed watch": {"5", func(*testbed) { time.Sleep(550 * time.Millisecond) }, announcedBound},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, 0, 8, 20)
				bd.awaitActive(time.Minute)
				time.Sleep(2 * time.Second)
				late := bd.nodes[7]
				late.set(func() { late.cutOff = true })
				tc.before(bd)
				bd.write(1, 1)
				time.Sleep(50 * time.Millisecond)
				is.True(!late.upToDate())
				late.feed.Learn(bd.version, tc.address)
				began := time.Now()
				for !late.upToDate() && time.Since(began) < time.Second {
					time.Sleep(time.Millisecond)
				}
				t.Logf("active after %v", time.Since(began))
				is.True(time.Since(began) <= tc.bound)
				_, _, missing := late.feed.Missing()
				is.True(!missing)
			})
		})
	}
}

func silence(nodes []*node) {
	for _, nd := range nodes {
		nd.set(func() { nd.silent = true })
	}
}

// TestMissingVersion checks from when on a node knows that it lacks a version, and when no longer.
func TestMissingVersion(t *testing.T) {
	const apart = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, 0, 2, 20)
		bd.awaitActive(time.Minute)
		time.Sleep(2 * time.Second)
		nd := bd.nodes[1]
		bd.set(func() { bd.peersSilent = true })
		lose := func(client, _ string) memkv.Fault {
			if client == nd.member.Node {
				return memkv.RequestLost
			}
			return memkv.None
		}
		bd.mem.SetFault(lose)
		nd.feed.Learn(bd.version, "")
		_, _, missing := nd.feed.Missing()
		is.True(!missing) // it has this one

		bd.write(1, 0)
		nd.feed.Learn(bd.version, "")
		time.Sleep(apart)
		bd.write(1, 0)
		nd.feed.Learn(bd.version, "")
		nd.feed.Learn(bd.version-1, "") // late news
		time.Sleep(apart)
		version, since, missing := nd.feed.Missing()
		is.True(missing)
		is.Equal(version, bd.version)
		is.Equal(since, 2*apart) // since the first one that it lacks
		is.True(nd.feed.Behind())

		bd.mem.SetFault(func(string, string) memkv.Fault { return memkv.None })
		time.Sleep(2 * time.Second)
		_, _, missing = nd.feed.Missing()
		is.True(!missing)
		is.True(nd.upToDate())
	})
}

// TestVersionThatStoreLacks guards against nodes that refuse callers for ever because of a version that is not in the store.
func TestVersionThatStoreLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, 0, 4, 20)
		bd.awaitActive(time.Minute)
		time.Sleep(2 * time.Second)
		nd := bd.nodes[3]
		for more := range uint64(40) {
			nd.feed.Learn(bd.version+1+more, "0")
		}
		version, _, missing := nd.feed.Missing()
		is.True(missing)
		is.Equal(version, bd.version+40)
		time.Sleep(2 * time.Second)
		_, _, missing = nd.feed.Missing()
		is.True(!missing) // a later call to the store has confirmed the copy
		is.True(!nd.feed.Behind())
		is.True(nd.upToDate())
	})
}
