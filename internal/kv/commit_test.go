package kv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestCommitWithRetry checks that a transaction that is repeated because of faults of the store takes effect at most
// once, and that its error claims no more than is known.
func TestCommitWithRetry(t *testing.T) {
	cases := map[string]struct {
		faults  []memkv.Fault // of the first attempts
		then    memkv.Fault   // of all later attempts
		want    error
		within  time.Duration
		written bool
	}{
		"answered":                      {nil, memkv.None, nil, 10 * time.Millisecond, true},
		"response lost once":            {[]memkv.Fault{memkv.Lost}, memkv.None, kv.ErrConflict, 100 * time.Millisecond, true},
		"not carried out once":          {[]memkv.Fault{memkv.Silent}, memkv.None, nil, 100 * time.Millisecond, true},
		"responses lost three times":    {[]memkv.Fault{memkv.Silent, memkv.Lost, memkv.Silent}, memkv.None, kv.ErrConflict, 400 * time.Millisecond, true},
		"refused, then answered":        {[]memkv.Fault{memkv.Refused, memkv.Refused}, memkv.None, nil, 200 * time.Millisecond, true},
		"always refused":                {nil, memkv.Refused, kv.ErrRefused, time.Second, false},
		"never answered":                {nil, memkv.Silent, kv.ErrNoAnswer, 3 * time.Second, false},
		"refused after a lost response": {[]memkv.Fault{memkv.Lost, memkv.Refused, memkv.Refused}, memkv.None, kv.ErrConflict, 400 * time.Millisecond, true},
		"refused after no answer":       {[]memkv.Fault{memkv.Silent, memkv.Refused}, memkv.None, nil, 400 * time.Millisecond, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := clockwork.NewRealClock() // uses the synctest bubble's time
				st := memkv.New(clock)
				attempts := 0
				st.SetFault(func(string, string) memkv.Fault {
					if attempts++; attempts <= len(tc.faults) {
						return tc.faults[attempts-1]
					}
					return tc.then
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				startedAt := time.Now()
				_, _, err := st.Client("n").CommitWithRetry(ctx,
					kv.CommitOptions{Clock: clock, HedgeDelay: 80 * time.Millisecond, RefusedTimeout: 800 * time.Millisecond},
					kv.Txn{Conditions: []kv.Condition{{Key: "k"}}, Puts: []kv.Put{{Key: "k"}}},
				)
				is.Equal(err, tc.want)
				is.True(time.Since(startedAt) <= tc.within)
				is.Equal(len(st.Keys("k")) == 1, tc.written)
				time.Sleep(5 * time.Second) // lets all attempts end
			})
		})
	}
}
