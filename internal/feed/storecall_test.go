package feed_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routediff"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/bubbleclock"
)

// TestLongTimeoutKeepsCopyFresh guards against a node that asks others less often while its calls to the store time
// out later, so that callers are refused although another node reaches the store.
func TestLongTimeoutKeepsCopyFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxAge = 1800 * time.Millisecond // calls are refused if the copy is older
		bd := newTestbed(t, 1, 1, 5000)
		bd.awaitActive(time.Minute)
		time.Sleep(5 * time.Second)
		nd := bd.nodes[1]
		nd.set(func() { nd.cutOff = true })
		bd.set(func() { bd.peersSilent = true })
		time.Sleep(10 * time.Second)
		bd.set(func() { bd.peersSilent = false })
		time.Sleep(maxDelay)
		oldest := time.Duration(0)
		for range 500 {
			time.Sleep(20 * time.Millisecond)
			age, _ := nd.feed.Age()
			oldest = max(oldest, age)
		}
		if oldest >= maxAge {
			t.Errorf("oldest copy %v, want less than %v", oldest, maxAge)
		}
	})
}

// TestLongTimeoutDelaysNoChange guards against a node that knows of a change and asks the readers for it only between
// calls to the store that time out late.
func TestLongTimeoutDelaysNoChange(t *testing.T) {
	for _, silence := range []time.Duration{10 * time.Second, 11 * time.Second, 12 * time.Second, 13 * time.Second} {
		t.Run(fmt.Sprint("readers silent for ", silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 3, 1, 5000)
				bd.awaitActive(time.Minute)
				time.Sleep(5 * time.Second)
				nd := bd.nodes[3]
				bd.set(func() { bd.peersSilent = true })
				bd.write(1400, 1)
				time.Sleep(200 * time.Millisecond)
				nd.set(func() { nd.cutOff = true })
				time.Sleep(silence)
				if !nd.feed.Behind() || nd.upToDate() {
					t.Fatal("node does not know that it lacks a change")
				}
				for _, rd := range bd.nodes[:2] {
					rd.set(func() { rd.silent = true })
				}
				bd.set(func() { bd.peersSilent = false })
				began := time.Now()
				for !nd.upToDate() && time.Since(began) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				if took := time.Since(began); took > maxDelay {
					t.Errorf("change active %v after a reader answers again, want at most %v", took, maxDelay)
				}
			})
		})
	}
}

// TestLateNoticeOfKnownChange guards against a node that reads the full configuration because the store announces a
// large change just after another node has sent it.
func TestLateNoticeOfKnownChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		an := &announcer{sent: make(chan struct{})}
		fd := feed.New(bubbleclock.New(), logr.Discard(), an.store(), an.options())
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { fd.Run(ctx) })
		defer running.Wait()
		defer cancel()
		time.Sleep(5 * time.Second)
		an.silent.Store(true)
		select {
		case <-an.sent:
		case <-time.After(10 * time.Second):
			t.Fatal("other node was not asked while the store was silent")
		}
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			if fd.Behind() {
				t.Fatal("node that has the change counts as behind")
			}
		}
		if reads := an.fullReads.Load(); reads > 0 {
			t.Errorf("%d full reads, want 0", reads)
		}
	})
}

// announcer plays another node, which sends a change when it is asked during a watch, and a store, which is silent
// until then and announces the change soon after.
type announcer struct {
	silent, watching atomic.Bool
	fullReads        atomic.Int64
	// sent is closed when the change has been sent.
	sent chan struct{}
}

func (an *announcer) store() *kv.Store {
	return &kv.Store{
		Get: func(_ context.Context, key string, maxSize int) (kv.Item, uint64, error) {
			if maxSize == 0 {
				an.fullReads.Add(1)
			}
			return kv.Item{Key: key, Revision: 1}, 1, nil
		},
		WatchKey: func(ctx context.Context, _ string, after uint64, wait time.Duration, _ int) (kv.Events, error) {
			if after > 1 || !an.silent.Load() {
				time.Sleep(wait)
				return kv.Events{Revision: after}, nil
			}
			an.watching.Store(true)
			defer an.watching.Store(false)
			select {
			case <-an.sent:
				time.Sleep(5 * time.Millisecond)
				return kv.Events{}, kv.ErrTooLarge
			case <-ctx.Done():
				return kv.Events{}, kv.ErrNoAnswer
			}
		},
	}
}

func (an *announcer) options() feed.Options {
	return feed.Options{
		Key: key, Node: "asker", Link: smallLink,
		Decode:   func(kv.Item) (*routes.Config, error) { return &routes.Config{Version: 1}, nil },
		Activate: func(*routes.Config) bool { return true },
		Members: func() []joblog.Member {
			return []joblog.Member{{Node: "asker", Link: smallLink}, {Node: "other", Link: fastLink}}
		},
		Request: func(_ context.Context, _ string, rq feed.Request) (feed.Response, error) {
			switch {
			case rq.Have > 1:
				time.Sleep(rq.MaxWait)
				return feed.Response{Revision: 2, At: 2}, nil
			case !an.watching.Load():
				return feed.Response{Revision: 1, At: 1, Age: time.Minute}, nil
			}
			close(an.sent)
			change := routediff.Full(&routes.Config{Version: 2, Revision: 2})
			return feed.Response{Changes: []*routediff.Diff{change}, Revision: 2, At: 2}, nil
		},
	}
}
