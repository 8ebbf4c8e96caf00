package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/term"
)

// TestUnansweredRegistration has the store carry out the writes of a node's key and answer late, as while many nodes join
// at once. Each write wakes the watches of all nodes, so there must be few of them; and the node must be a member as soon
// as the store answers in time.
func TestUnansweredRegistration(t *testing.T) {
	for name, tc := range map[string]struct {
		answersAfter time.Duration
		most         int // writes within 10 s
	}{
		"in time":  {100 * time.Millisecond, 1},
		"in 0.5 s": {500 * time.Millisecond, 3},
		"in 1.5 s": {1500 * time.Millisecond, 5},
		"never":    {time.Hour, 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock() // the clock of the synctest bubble
				client := memkv.New(clock).Client("n1")
				commit, writes := client.Commit, 0
				client.Commit = func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
					revision, items, err := commit(context.WithoutCancel(ctx), txn)
					if len(txn.Puts) != 1 || txn.Puts[0].Key != joblog.Nodes+"n1" {
						return revision, items, err
					}
					writes++
					select {
					case <-ctx.Done():
						return 0, nil, kv.ErrNoAnswer
					case <-time.After(tc.answersAfter):
						return revision, items, err
					}
				}
				er := term.New(clock, logr.Discard(), client, term.Options{
					Node: "n1", PeerAddr: "n1", TTL: 1200 * time.Millisecond,
					Lead: func(ctx context.Context, _ term.Term) { <-ctx.Done() },
				})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					er.Run(ctx)
				}()
				time.Sleep(10 * time.Second)
				if writes == 0 || writes > tc.most {
					t.Errorf("%d writes in 10 s, want 1 to %d", writes, tc.most)
				}
				if !er.Leading() {
					t.Error("the only node does not lead")
				}
				cancel()
				<-ended
				time.Sleep(10 * time.Second)
			})
		})
	}
}
