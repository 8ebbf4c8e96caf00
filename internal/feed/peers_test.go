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
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/bubbleclock"
)

// agedPeers plays a store that goes silent, and other nodes. Of those that are asked at one time, the first ones have
// copies of the age old, the others of the age young.
type agedPeers struct {
	old, young time.Duration
	oldCount   int

	silent atomic.Bool
	mu     sync.Mutex
	// asked counts the requests of the present check, which began at the time checked; most is its maximum.
	asked, most int
	checked     time.Time
}

func (ap *agedPeers) store() *kv.Store {
	return &kv.Store{
		Get: func(_ context.Context, key string, _ int) (kv.Item, uint64, error) {
			return kv.Item{Key: key, Revision: 1}, 1, nil
		},
		WatchKey: func(ctx context.Context, _ string, after uint64, wait time.Duration, _ int) (kv.Events, error) {
			if ap.silent.Load() {
				<-ctx.Done()
				return kv.Events{}, kv.ErrNoAnswer
			}
			time.Sleep(wait)
			return kv.Events{Revision: after}, nil
		},
	}
}

// request answers a request for the state of another node's copy.
func (ap *agedPeers) request(context.Context, string, feed.Request) (feed.Response, error) {
	const answer = time.Millisecond
	time.Sleep(answer)
	ap.mu.Lock()
	defer ap.mu.Unlock()
	if time.Since(ap.checked) > 100*time.Millisecond {
		ap.checked, ap.asked = time.Now(), 0
	}
	ap.asked++
	ap.most = max(ap.most, ap.asked)
	age := ap.young
	if ap.asked <= ap.oldCount {
		age = ap.old
	}
	return feed.Response{Revision: 1, At: 1, Age: age}, nil
}

// TestAsksUntilCopyIsYoung guards against a node that keeps a copy too old to serve callers by, although another node
// has a younger one, and against many requests while the store answers nobody.
func TestAsksUntilCopyIsYoung(t *testing.T) {
	for name, tc := range map[string]struct {
		old, young time.Duration
		oldCount   int
		// maxAge is the greatest age of the copy, maxAsked the greatest number of requests at one time; 0 means any.
		maxAge   time.Duration
		maxAsked int
	}{
		"first copies are old":       {old: 1150 * time.Millisecond, young: 300 * time.Millisecond, oldCount: 6, maxAge: 1800 * time.Millisecond},
		"all copies are young":       {young: 300 * time.Millisecond, maxAge: 1800 * time.Millisecond, maxAsked: 1},
		"the store answers no node":  {old: time.Minute, oldCount: 100, maxAsked: 3},
		"all copies are rather old":  {old: 1150 * time.Millisecond, oldCount: 100, maxAsked: 10},
		"one node answers at a time": {old: 1700 * time.Millisecond, young: 0, oldCount: 9, maxAge: 1800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ap := &agedPeers{old: tc.old, young: tc.young, oldCount: tc.oldCount}
				members := []joblog.Member{{Node: "asker", Link: smallLink}}
				for at := range 20 {
					members = append(members, joblog.Member{Node: fmt.Sprint("n", at), Link: fastLink})
				}
				fd := feed.New(bubbleclock.New(), logr.Discard(), ap.store(), feed.Options{
					Key: key, Node: "asker", Link: smallLink,
					Decode:   func(kv.Item) (*routes.Config, error) { return &routes.Config{Version: 1}, nil },
					Activate: func(*routes.Config) bool { return true },
					Members:  func() []joblog.Member { return members },
					Request:  ap.request,
				})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { fd.Run(ctx) })
				defer running.Wait()
				defer cancel()
				time.Sleep(5 * time.Second)
				ap.silent.Store(true)
				oldest := time.Duration(0)
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					age, _ := fd.Age()
					oldest = max(oldest, age)
				}
				if tc.maxAge > 0 && oldest >= tc.maxAge {
					t.Errorf("oldest copy %v, want less than %v", oldest, tc.maxAge)
				}
				if tc.maxAsked > 0 && ap.most > tc.maxAsked {
					t.Errorf("%d nodes asked at one time, want at most %d", ap.most, tc.maxAsked)
				}
			})
		})
	}
}

// TestPeerCheckIsBounded guards against a node that waits for silent nodes, one after the other, before its next call to
// the store.
func TestPeerCheckIsBounded(t *testing.T) {
	for name, answering := range map[string]int{"all are silent": 0, "one reaches the store": 1, "five reach the store": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const maxDuration = 900 * time.Millisecond
				ap := &agedPeers{old: 1150 * time.Millisecond, oldCount: 100}
				members := []joblog.Member{{Node: "asker", Link: smallLink}}
				for at := range 20 {
					members = append(members, joblog.Member{Node: fmt.Sprint("n", at), Link: fastLink})
				}
				const pause = 100 * time.Millisecond // between two checks
				var asked int
				var began, ended time.Time
				var longest time.Duration
				request := func(ctx context.Context, addr string, rq feed.Request) (feed.Response, error) {
					if time.Since(ended) > pause {
						began, asked = time.Now(), 0
					}
					defer func() { ended, longest = time.Now(), max(longest, time.Since(began)) }()
					if asked++; asked <= answering {
						return ap.request(ctx, addr, rq)
					}
					<-ctx.Done()
					return feed.Response{}, ctx.Err()
				}
				fd := feed.New(bubbleclock.New(), logr.Discard(), ap.store(), feed.Options{
					Key: key, Node: "asker", Link: smallLink,
					Decode:   func(kv.Item) (*routes.Config, error) { return &routes.Config{Version: 1}, nil },
					Activate: func(*routes.Config) bool { return true },
					Members:  func() []joblog.Member { return members },
					Request:  request,
				})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { fd.Run(ctx) })
				defer running.Wait()
				defer cancel()
				time.Sleep(5 * time.Second)
				ap.silent.Store(true)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				if longest == 0 || longest > maxDuration {
					t.Errorf("nodes were asked for %v at one time, want at most %v", longest, maxDuration)
				}
			})
		})
	}
}
