package kv_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/kv"
)

// TestRetry gives short pauses while the store is away, and longer ones each time while it is over its rate.
func TestRetry(t *testing.T) {
	var rt kv.Backoff
	limited := errors.Wrap(kv.ErrRateLimited, "status 429")
	for try, most := range []time.Duration{160, 320, 640, 1280, 2560, 5000, 5000} {
		most *= time.Millisecond
		if got := rt.Next(limited); got < most/2 || got > most {
			t.Errorf("pause %v after refusal %d, want between %v and %v", got, try+1, most/2, most)
		}
	}
	const short = 80 * time.Millisecond
	if got := rt.Next(errors.Wrap(kv.ErrRefused, "status 503")); got < short/2 || got > short {
		t.Errorf("pause %v while the store is away, want %v at most", got, short)
	}
	if got := rt.Next(limited); got > 2*short {
		t.Errorf("pause %v after the first refusal since, want %v at most", got, 2*short)
	}
}
