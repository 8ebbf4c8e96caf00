package feed_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestWatchRate checks how many calls a node makes to the store while nothing changes, since all nodes together share the
// store's rate, and that the copy never gets too old to be used: neither while each answer takes as long as that of a
// slow store, nor when one watch is dropped.
func TestWatchRate(t *testing.T) {
	const span, slow, maxCallsPerSecond = 60 * time.Second, 250 * time.Millisecond, 2
	for name, tc := range map[string]struct {
		maxAge time.Duration
		calls  float64 // per second, at most
	}{
		"default":             {0, maxCallsPerSecond},
		"changes within 2 s":  {1800 * time.Millisecond, maxCallsPerSecond},
		"changes within 3 s":  {2800 * time.Millisecond, 1},
		"changes within 5 s":  {4800 * time.Millisecond, 0.5},
		"changes within 60 s": {59800 * time.Millisecond, 0.5},
	} {
		for fault, dropped := range map[string]bool{"slow": false, "dropped": true} {
			t.Run(name+"/"+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					mem := memkv.New(clockwork.NewRealClock()) // uses the synctest bubble's time
					mem.Set(key, []byte("1"))
					st := mem.Client("n")
					calls, watch := 0, st.WatchKey
					st.WatchKey = func(ctx context.Context, key string, after uint64, wait time.Duration, maxSize int) (kv.Events, error) {
						calls++
						if dropped && calls%10 == 0 {
							<-ctx.Done()
							return kv.Events{}, kv.ErrNoAnswer
						}
						if !dropped {
							time.Sleep(slow)
						}
						return watch(ctx, key, after, wait, maxSize)
					}
					fd := feed.New(clockwork.NewRealClock(), logr.Discard(), st, feed.Options{
						Key: key, MaxAge: tc.maxAge, Members: func() []joblog.Member { return nil },
						Decode:   func(item kv.Item) (*routes.Config, error) { return &routes.Config{Version: item.Revision}, nil },
						Activate: func(*routes.Config) bool { return true },
					})
					ctx, cancel := context.WithCancel(t.Context())
					ended := make(chan struct{})
					go func() {
						defer close(ended)
						fd.Run(ctx)
					}()
					defer func() {
						cancel()
						<-ended
					}()
					time.Sleep(time.Second)
					calls = 0
					limit := tc.maxAge
					if limit == 0 {
						limit = 1800 * time.Millisecond
					}
					for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						if age, loaded := fd.Age(); !loaded || age > limit {
							t.Fatalf("the copy is %v old, more than %v", age, limit)
						}
					}
					if rate := float64(calls) / span.Seconds(); !dropped && rate > tc.calls {
						t.Errorf("%.2f calls a second, more than %.2f", rate, tc.calls)
					}
				})
			})
		}
	}
}
