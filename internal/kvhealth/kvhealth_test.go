package kvhealth_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/kvhealth"
)

// TestDown checks when a store that fails for a while and then answers counts as unavailable.
func TestDown(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	he := kvhealth.New(clock, logr.Discard(), metrics.NewRegistry())
	var takes time.Duration
	var outcome error
	st := he.Wrap(&kv.Store{Renew: func(context.Context, uint64) error {
		clock.Advance(takes)
		return outcome
	}})
	call := func(took time.Duration, err error) {
		takes, outcome = took, err
		is.Equal(st.Renew(t.Context(), 1), err)
	}
	call(300*time.Millisecond, kv.ErrNoAnswer)
	is.True(!he.Down()) // a single unanswered call is no outage
	call(500*time.Millisecond, kv.ErrRefused)
	is.True(he.Down())
	length, _ := he.LastOutage()
	is.Equal(length, time.Duration(0)) // it is not over
	call(time.Millisecond, kv.ErrLeaseExpired)
	is.True(!he.Down()) // an expired lease is an answer
	length, end := he.LastOutage()
	is.Equal(length, 801*time.Millisecond)
	is.Equal(end, clock.Now())
	call(300*time.Millisecond, kv.ErrNoAnswer)
	call(time.Millisecond, nil)
	length, _ = he.LastOutage()
	is.Equal(length, 801*time.Millisecond) // a short failure is no outage
}

// TestEarlierFailure checks that a failed call does not count if a call that was sent later was answered.
func TestEarlierFailure(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	he := kvhealth.New(clock, logr.Discard(), metrics.NewRegistry())
	var st *kv.Store
	st = he.Wrap(&kv.Store{
		Renew: func(ctx context.Context, _ uint64) error {
			clock.Advance(2 * time.Second)
			is.NoErr(st.Revoke(ctx, 1)) // answered in the meantime
			return kv.ErrNoAnswer
		},
		Revoke: func(context.Context, uint64) error { return nil },
	})
	is.Equal(st.Renew(t.Context(), 1), kv.ErrNoAnswer)
	is.True(!he.Down())
}
