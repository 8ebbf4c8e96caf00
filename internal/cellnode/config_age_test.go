package cellnode_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/cellnode"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/site"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestConfigAgeWithSlowStore guards against a healthy node that answers a fifth of the calls to unknown routes with
// 503. It reports a route as missing only while its copy of the configuration is younger than 1.8 s. The age counts
// from when the last answered watch was sent, so consecutive watches of 1 s would let it grow from 1 to 2 s. It must
// stay below the bound even if the store takes 250 ms to answer.
func TestConfigAgeWithSlowStore(t *testing.T) {
	const slow = 250 * time.Millisecond
	is.New(t).Equal(countRefusals(t, slow), 0)
}

// TestConfigAgeWithVerySlowStore guards against refused jobs while the store takes 0.4 s for each answer. With watches
// of the usual length, the copy was up to 2 s old when the next one was answered, and a fifth of the jobs were refused.
// Watches must be shorter then.
func TestConfigAgeWithVerySlowStore(t *testing.T) {
	const slow = 400 * time.Millisecond
	is.New(t).Equal(countRefusals(t, slow), 0)
}

// countRefusals returns how many of 2,000 checks a node refuses if its store delays each answer.
func countRefusals(t *testing.T, slow time.Duration) (refused int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock() // uses the synctest bubble's time
		st := memkv.New(clock)
		st.Set(configKey, []byte("1"))
		client := st.Client("n1")
		watch := client.WatchKey
		client.WatchKey = func(ctx context.Context, key string, after uint64, wait time.Duration, maxSize int) (kv.Events, error) {
			time.Sleep(slow)
			return watch(ctx, key, after, wait, maxSize)
		}
		nd := cellnode.New(clock, logr.Discard(), cellnode.Adapter{
			Site: &site.Site{Node: "n1"}, Store: client, ConfigKey: configKey,
			DecodeConfig: func(item kv.Item) (*routes.Config, error) {
				return &routes.Config{Version: item.Revision}, nil
			},
		})
		for _, sv := range nd.Services() {
			if sv.Name != "config" {
				continue
			}
			is.NoErr(sv.Start(t.Context()))
			defer func() { is.NoErr(sv.Stop(context.WithoutCancel(t.Context()))) }()
		}
		time.Sleep(3 * time.Second)
		const checks, interval = 2000, 10 * time.Millisecond
		for range checks {
			time.Sleep(interval)
			if nd.View().Incomplete != nil {
				refused++
			}
		}
		t.Logf("%d of %d checks refused", refused, checks)
	})
	return refused
}
