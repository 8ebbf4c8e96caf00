package kv_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/kv"
)

// TestBackoff checks that pauses stay short while the store is unavailable, and grow while calls exceed its rate limit.
func TestBackoff(t *testing.T) {
	var bo kv.Backoff
	rateLimited := errors.Wrap(kv.ErrRateLimited, "status 429")
	for attempt, longest := range []time.Duration{160, 320, 640, 1280, 2560, 5000, 5000} {
		longest *= time.Millisecond
		if got := bo.Next(rateLimited); got < longest/2 || got > longest {
			t.Errorf("pause %v after rate limit error %d, want between %v and %v", got, attempt+1, longest/2, longest)
		}
	}
	const short = 80 * time.Millisecond
	if got := bo.Next(errors.Wrap(kv.ErrRefused, "status 503")); got < short/2 || got > short {
		t.Errorf("pause %v while the store is unavailable, want %v at most", got, short)
	}
	if got := bo.Next(rateLimited); got > 2*short {
		t.Errorf("pause %v after the first rate limit error since, want %v at most", got, 2*short)
	}
}
