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

// TestDown calls a store that fails, answers, and has old calls fail after that.
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
	is.True(!he.Down()) // a single lost answer is no outage
	call(500*time.Millisecond, kv.ErrRefused)
	is.True(he.Down())
	call(time.Millisecond, kv.ErrLeaseExpired)
	is.True(!he.Down()) // it has answered
}

// TestOldFailure has a call fail that was sent before one that was answered.
func TestOldFailure(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	he := kvhealth.New(clock, logr.Discard(), metrics.NewRegistry())
	var st *kv.Store
	st = he.Wrap(&kv.Store{
		Renew: func(ctx context.Context, _ uint64) error {
			clock.Advance(2 * time.Second)
			is.NoErr(st.Revoke(ctx, 1)) // answered meanwhile
			return kv.ErrNoAnswer
		},
		Revoke: func(context.Context, uint64) error { return nil },
	})
	is.Equal(st.Renew(t.Context(), 1), kv.ErrNoAnswer)
	is.True(!he.Down())
}
