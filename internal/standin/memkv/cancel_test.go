package memkv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestCanceledWatch guards against an answer to a watch that was canceled before it began.
func TestCanceledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := memkv.New(clockwork.NewRealClock()).Client("n1")
		for range 20 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(2*time.Millisecond, cancel)
			if _, err := client.WatchKey(ctx, "key", 0, time.Millisecond, 0); !errors.Is(err, kv.ErrNoAnswer) {
				t.Errorf("canceled watch: error %v, want %v", err, kv.ErrNoAnswer)
			}
		}
	})
}
