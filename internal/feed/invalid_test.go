package feed_test

import (
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/routes"
)

// TestInvalidValueKeepsVersion guards against nodes that take a value that cannot be decoded or has a lower version, that pass such
// a version on to nodes that have just started, or that refuse callers because of it.
func TestInvalidValueKeepsVersion(t *testing.T) {
	value := func(version uint64) []byte { return binary.BigEndian.AppendUint64(nil, version) }
	cases := map[string]func(bd *testbed) []byte{
		"cannot be decoded": func(*testbed) []byte { return value(1 << 40) },
		"lower version": func(bd *testbed) []byte {
			bd.set(func() { bd.versions[1] = &routes.Config{Version: 1} })
			return value(1)
		},
	}
	for name, invalid := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, 0, 6, 20)
				bd.write(1, 0)
				bd.awaitActive(time.Minute)
				bd.mem.Set(key, invalid(bd))
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					for _, nd := range bd.nodes {
						age, _ := nd.feed.Age()
						is.True(nd.upToDate())
						is.True(age < 1800*time.Millisecond)
					}
				}
				rs, err := bd.nodes[0].feed.Serve(t.Context(), feed.Request{})
				is.NoErr(err)
				is.Equal(rs.Changes[len(rs.Changes)-1].Version, bd.version)
				bd.write(1, 0)
				is.True(bd.awaitActive(time.Second) < time.Second) // the next valid one
			})
		})
	}
}
