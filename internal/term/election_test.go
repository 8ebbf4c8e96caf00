package term

import (
	"context"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
)

// TestConcurrentElectionUpdates guards against a race in which two concurrent updates for the same election, from
// the campaign response and the watch, end the term that has just begun.
func TestConcurrentElectionUpdates(t *testing.T) {
	const elections = 5000
	for range elections {
		er := New(clockwork.NewRealClock(), logr.Discard(), emptyStore(), Options{
			Node: "n1", Lead: func(ctx context.Context, _ Term) { <-ctx.Done() },
		})
		er.lease, er.loaded = 1, true
		raw, err := joblog.Encode(joblog.Election{Node: "n1", Number: 1, Nonce: er.nonce})
		if err != nil {
			t.Fatal(err)
		}
		items := []kv.Item{{Key: joblog.Leader, Value: raw, Revision: 7}}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { er.onChange(items, false) })
		}
		wg.Wait()
		if !er.Leading() {
			t.Fatal("node is not the planner although it holds the leader's key")
		}
		er.stepDown("test finished")
	}
}

// emptyStore answers reads of single keys only.
func emptyStore() *kv.Store {
	return &kv.Store{Get: func(_ context.Context, key string, _ int) (kv.Item, uint64, error) { return kv.Item{Key: key}, 0, nil }}
}
