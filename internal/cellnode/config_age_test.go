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

// TestCalmConfiguration is the story of callers who asked for a route that does not exist
// and got 503 a fifth of the time, though nothing was wrong. A node says that a route does
// not exist while its copy of the configuration is younger than 1.8 s; the copy's age counts
// from the sending of the last watch that was answered, so watches of 1 s, one after the
// other, let it grow from 1 to 2 s. It must stay below the bound with an answer of a slow
// store as well.
func TestCalmConfiguration(t *testing.T) {
	const slow = 250 * time.Millisecond
	is.New(t).Equal(refusedBy(t, slow), 0)
}

// TestSlowConfiguration is the story of a store that took 0.4 s for each answer: a fifth of the jobs
// were refused, because the copy was up to 2 s old when the next watch was answered. Watches are
// shorter then.
func TestSlowConfiguration(t *testing.T) {
	const slow = 400 * time.Millisecond
	is.New(t).Equal(refusedBy(t, slow), 0)
}

// refusedBy returns how many of 2,000 looks a node refuses whose store takes longer for each answer.
func refusedBy(t *testing.T, slow time.Duration) (refused int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock() // the bubble's
		st := memkv.New(clock)
		st.Set(configKey, []byte("1"))
		client := st.Client("n1")
		watch := client.WatchKey
		client.WatchKey = func(ctx context.Context, key string, after uint64, wait time.Duration, most int) (kv.Events, error) {
			time.Sleep(slow)
			return watch(ctx, key, after, wait, most)
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
		const looks, every = 2000, 10 * time.Millisecond
		for range looks {
			time.Sleep(every)
			if nd.CheckConfig() != nil {
				refused++
			}
		}
		t.Logf("%d of %d looks refused", refused, looks)
	})
	return refused
}
