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

// TestCommitThroughPeer checks the outcome of a transaction that is also sent through another node. It takes effect at most
// once, and the error claims no more than is known.
func TestCommitThroughPeer(t *testing.T) {
	const delay = 200 * time.Millisecond
	cases := map[string]struct {
		own, peer memkv.Fault
		want      error
		within    time.Duration
		written   bool
	}{
		"answered":                          {memkv.None, memkv.None, nil, 10 * time.Millisecond, true},
		"own writes are lost":               {memkv.RequestLost, memkv.None, nil, delay + 10*time.Millisecond, true},
		"own answers are lost":              {memkv.ResponseLost, memkv.None, kv.ErrConflict, delay + 10*time.Millisecond, true},
		"own writes are refused":            {memkv.Refused, memkv.None, nil, delay + 10*time.Millisecond, true},
		"all are refused":                   {memkv.Refused, memkv.Refused, kv.ErrRefused, 2 * time.Second, false},
		"own are refused, the others' lost": {memkv.Refused, memkv.RequestLost, kv.ErrNoAnswer, 3 * time.Second, false},
		"all are lost":                      {memkv.RequestLost, memkv.RequestLost, kv.ErrNoAnswer, 3 * time.Second, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := clockwork.NewRealClock() // uses the synctest bubble's time
				st := memkv.New(clock)
				st.SetFault(func(client, _ string) memkv.Fault {
					if client == "own" {
						return tc.own
					}
					return tc.peer
				})
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				startedAt := time.Now()
				_, _, err := st.Client("own").CommitWithRetry(ctx, kv.CommitOptions{
					Clock: clock, HedgeDelay: 80 * time.Millisecond, RefusedTimeout: 800 * time.Millisecond,
					Peer: st.Client("peer").Commit, PeerDelay: delay,
				}, kv.Txn{Conditions: []kv.Condition{{Key: "k"}}, Puts: []kv.Put{{Key: "k"}}})
				is.Equal(err, tc.want)
				is.True(time.Since(startedAt) <= tc.within)
				is.Equal(len(st.Keys("k")) == 1, tc.written)
				time.Sleep(5 * time.Second) // lets all attempts end
			})
		})
	}
}
