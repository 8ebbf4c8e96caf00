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

// TestConcurrentElectionUpdates guards against a race in which two concurrent updates for the
// same election, from the campaign response and the watch, depose the reign that was just begun.
func TestConcurrentElectionUpdates(t *testing.T) {
	const elections = 5000
	for range elections {
		tm := New(clockwork.NewRealClock(), logr.Discard(), &kv.Store{}, Options{
			Node: "n1", Lead: func(ctx context.Context, _ Term) { <-ctx.Done() },
		})
		tm.lease, tm.loaded = 1, true
		raw, err := joblog.Encode(joblog.Election{Node: "n1", Number: 1, Nonce: tm.nonce})
		if err != nil {
			t.Fatal(err)
		}
		items := []kv.Item{{Key: joblog.Leader, Value: raw, Revision: 7}}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { tm.changed(items, false) })
		}
		wg.Wait()
		if !tm.Leading() {
			t.Fatal("node is not leading although it holds the leader's key")
		}
		tm.depose("test finished")
	}
}
