package routediff_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/routediff"
	"tackbeam.example/tackbeam/internal/routes"
)

// version returns a version with a route for each name, served by the given service.
func version(revision uint64, service string, names ...string) *routes.Config {
	cf := &routes.Config{Version: revision + 100, Revision: revision}
	for _, name := range names {
		cf.Routes = append(cf.Routes, routes.Route{Host: "h", Prefix: "/" + name + "/", Queue: work.Queue{Name: name, Service: service}})
	}
	return cf
}

// byName returns a version's routes by name, because their order does not matter.
func byName(cf *routes.Config) map[string]routes.Route {
	out := map[string]routes.Route{}
	for _, rt := range cf.Routes {
		out[rt.Queue.Name] = rt
	}
	return out
}

// TestBetween checks that a diff leads from one version to the other and contains only what differs.
func TestBetween(t *testing.T) {
	cases := map[string]struct {
		old, cf      *routes.Config
		put, removed int
	}{
		"no change":                         {version(3, "s", "a", "b"), version(7, "s", "a", "b"), 0, 0},
		"one route added":                   {version(3, "s", "a", "b"), version(7, "s", "a", "b", "c"), 1, 0},
		"one route removed":                 {version(3, "s", "a", "b"), version(7, "s", "b"), 0, 1},
		"other routes":                      {version(3, "s", "a", "b"), version(7, "s", "c"), 1, 2},
		"another service":                   {version(3, "s", "a", "b"), version(7, "r", "a", "b"), 2, 0},
		"last route removed":                {version(3, "s", "a"), version(7, "s"), 0, 1},
		"first route added":                 {version(3, "s"), version(7, "s", "a"), 1, 0},
		"duplicate name in the old version": {version(3, "s", "a", "a"), version(7, "s", "a", "b"), 2, 0},
		"duplicate name in the new version": {version(3, "s", "a"), version(7, "s", "b", "b"), 2, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tc.cf.Limits.MaxBody = 4000
			df := routediff.Between(tc.old, tc.cf)
			is.Equal(len(df.Put), tc.put)
			is.Equal(len(df.Removed), tc.removed)
			is.Equal(df.Size(), tc.put+tc.removed)
			raw, err := cbor.Marshal(df)
			is.NoErr(err)
			var sent routediff.Diff
			is.NoErr(cbor.Unmarshal(raw, &sent))
			got, err := sent.Apply(tc.old)
			is.NoErr(err)
			is.Equal(byName(got), byName(tc.cf))
			is.Equal(len(got.Routes), len(tc.cf.Routes))
			is.Equal([]any{got.Version, got.Revision, got.Limits}, []any{tc.cf.Version, tc.cf.Revision, tc.cf.Limits})
		})
	}
}

// TestApplyToOtherRevision checks that a diff is not applied to a version that it was not made from.
func TestApplyToOtherRevision(t *testing.T) {
	is := is.New(t)
	df := routediff.Between(version(3, "s", "a"), version(7, "s", "b"))
	for _, old := range []*routes.Config{nil, version(4, "s", "a")} {
		_, err := df.Apply(old)
		is.True(err != nil)
	}
	cf, err := routediff.Full(version(7, "s", "b")).Apply(nil)
	is.NoErr(err)
	is.Equal(cf.Revision, uint64(7))
}

// TestChain applies a series of diffs between random versions.
func TestChain(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(3, 4))
	now := version(1, "s")
	have := now
	for revision := uint64(2); revision < 200; revision++ {
		var names []string
		for n := range 12 {
			if rnd.IntN(2) == 0 {
				names = append(names, fmt.Sprint(n))
			}
		}
		next := version(revision, fmt.Sprint("s", rnd.IntN(3)), names...)
		var err error
		have, err = routediff.Between(now, next).Apply(have)
		is.NoErr(err)
		is.Equal(byName(have), byName(next))
		now = next
	}
}

// TestBytes limits the encoded size of a diff.
func TestBytes(t *testing.T) {
	const totalRoutes = 10_000
	var names []string
	for n := range totalRoutes {
		names = append(names, fmt.Sprintf("r-%07d", n))
	}
	old := version(3, "huvo11a", names[:totalRoutes-1400]...)
	cases := map[string]struct {
		cf       *routes.Config
		maxBytes int
	}{
		"one route":    {version(7, "huvo11a", names[:totalRoutes-1399]...), 200},
		"1,400 routes": {version(7, "huvo11a", names...), 1400 * 90},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := cbor.Marshal(routediff.Between(old, tc.cf))
			is.NoErr(err)
			t.Log(len(raw), "bytes")
			is.True(len(raw) <= tc.maxBytes)
		})
	}
}
