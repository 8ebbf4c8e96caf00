package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/storemsg"
)

const (
	// callTimeout is a generous timeout for calls that are answered.
	callTimeout = 60 * time.Second
	// hung is the timeout of calls to a store that hangs; any value would do.
	hung = 50 * time.Millisecond
)

// startStore starts a stand-in store and returns it with a client.
func startStore(t *testing.T) (*standinstore.Store, *store.Client) {
	t.Helper()
	st, err := standinstore.New(standinstore.Options{Writes: 1000, Reads: 1000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	cl := store.New(clockwork.NewRealClock(), store.HTTP([]string{st.Addr()}), store.Options{
		Writes: 1000, Reads: 1000, Timeout: 300 * time.Millisecond,
	})
	cl.SetNodes(1)
	return st, cl
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	_, cl := startStore(t)
	ctx := context.Background()
	first, ok, err := cl.Put(ctx, store.Other, store.Write{Key: "k", Value: []byte("1")})
	is.NoErr(err)
	is.True(ok)
	_, ok, err = cl.Put(ctx, store.Other, store.Write{Key: "k", Value: []byte("2")})
	is.NoErr(err)
	is.True(!ok) // the key already exists
	now, ok, err := cl.Put(ctx, store.Other, store.Write{Key: "k", Value: []byte("2"), Version: first.Version})
	is.NoErr(err)
	is.True(ok)
	late, ok, err := cl.Put(ctx, store.Other, store.Write{Key: "k", Value: []byte("3"), Version: first.Version})
	is.NoErr(err)
	is.True(!ok)                        // the version is outdated
	is.Equal(late.Version, now.Version) // and the current item is returned
}

// TestLostResponses guards against writes that are reported wrongly or applied twice because their responses are lost
// after they took effect.
func TestLostResponses(t *testing.T) {
	is := is.New(t)
	st, cl := startStore(t)
	st.SetFaults(standinstore.Faults{LoseEvery: 1})
	version := uint64(0)
	for n := range 5 {
		if n == 3 {
			st.SetFaults(standinstore.Faults{LoseEvery: 2})
		}
		item, ok, err := cl.Put(context.Background(), store.Other, store.Write{
			Key: "k", Value: []byte{byte(n)}, Version: version,
		})
		is.NoErr(err)
		is.True(ok)
		is.True(item.Version > version)
		version = item.Version
	}
	is.Equal(st.Counts().Revision, int64(5)) // each write took effect once
	is.True(st.Counts().Lost > 0)            // responses were lost
}

// TestOutageError checks that the error of a write that is canceled during an outage tells whether it may have taken
// effect. The write is canceled between two attempts, because the outcome of an attempt in progress is unknown.
func TestOutageError(t *testing.T) {
	cases := map[string]struct {
		faults         standinstore.Faults
		timeout        time.Duration
		mayHaveApplied bool
	}{
		"down: certainly not written": {standinstore.Faults{Down: true}, callTimeout, false},
		"hangs: may be written":       {standinstore.Faults{Hang: true}, hung, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st, _ := startStore(t)
			st.SetFaults(tc.faults)
			clock := clockwork.NewFakeClock()
			cl := store.New(clock, store.HTTP([]string{st.Addr()}), store.Options{
				Writes: 1000, Reads: 1000, Timeout: tc.timeout,
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			const attempts = 4
			go func() {
				for attempt := 1; clock.BlockUntilContext(ctx, 1) == nil; attempt++ { // the pause after an attempt
					if attempt == attempts {
						cancel()
						return
					}
					clock.Advance(time.Minute) // longer than any pause
				}
			}()
			_, ok, err := cl.Put(ctx, store.Ownership, store.Write{Key: "k", Value: []byte("1")})
			is.True(!ok)
			is.Equal(fault.From(err).Kind, fault.Unavailable)
			is.Equal(fault.From(err).Begun, tc.mayHaveApplied)
			is.True(cl.Down())
			_, writes, failed, _ := cl.Calls()
			is.Equal(writes, int64(attempts))
			is.True(failed >= attempts)              // the reads that determine the outcome fail too
			is.Equal(st.Counts().Revision, int64(0)) // no write takes effect with either fault
		})
	}
}

// lagging is a context whose deadline has passed but whose timer has not fired.
type lagging struct{ context.Context }

func (lagging) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestExpiredCall guards against sending a write whose time is over, and against reporting that it may have taken
// effect.
func TestExpiredCall(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancelExpired := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelExpired()
	cases := map[string]context.Context{
		"canceled":                   cancelled,
		"deadline passed":            expired,
		"timer lags behind deadline": lagging{t.Context()},
	}
	for name, ctx := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st, _ := startStore(t)
			body := storemsg.PutRequest{Key: "k", Value: []byte("1")}
			_, oc, err := store.HTTP([]string{st.Addr()}).Put(ctx, body)
			is.True(err != nil)
			is.Equal(oc, store.Refused)
			is.Equal(st.Counts().Writes, int64(0))
		})
	}
}

// TestLeaseExpires checks that the key of an expired lease is deleted, and that a watch reports it.
func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	_, cl := startStore(t)
	ctx := context.Background()
	var id string
	var item storemsg.Item
	for ok := false; !ok; { // on a slow machine, the lease may expire before it is used
		var err error
		id, _, err = cl.Grant(ctx, "", 200*time.Millisecond)
		is.NoErr(err)
		item, ok, _ = cl.Put(ctx, store.Other, store.Write{Key: "live/a", Value: []byte("x"), Lease: id})
	}
	res, err := cl.Watch(ctx, store.Other, "live/", item.Version, 20*time.Second)
	is.NoErr(err)
	is.Equal(len(res.Items), 1)
	is.True(res.Items[0].Deleted)
	_, ok, err := cl.Grant(ctx, id, time.Second)
	is.NoErr(err)
	is.True(!ok) // an expired lease cannot be renewed
}

// TestBudget checks that each class leaves its reserve of the burst to the higher classes.
func TestBudget(t *testing.T) {
	is := is.New(t)
	st, err := standinstore.New(standinstore.Options{})
	is.NoErr(err)
	defer func() { _ = st.Close() }()
	clock := clockwork.NewFakeClock()
	cl := store.New(clock, store.HTTP([]string{st.Addr()}), store.Options{
		Writes: 100, Reads: 1000, Timeout: time.Second,
	})
	cl.SetNodes(9) // 100 reads a second for this node
	clock.Advance(time.Minute)
	want := map[store.Class]int64{store.Other: 50, store.Table: 70, store.Journal: 90, store.Ownership: 100}
	for _, class := range []store.Class{store.Other, store.Table, store.Journal, store.Ownership} {
		for range 100 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(5*time.Millisecond, cancel) // cancels a call that has to wait
			_, _ = cl.Get(ctx, class, "k")
			cancel()
		}
		reads, _, _, _ := cl.Calls()
		is.Equal(reads, want[class]) // the class leaves its reserve
	}
}

// TestFollowUsesItsClass guards against followers of higher classes that wait for budget once the lowest class has used
// up its part.
func TestFollowUsesItsClass(t *testing.T) {
	cases := map[string]struct {
		class   store.Class
		watches bool
	}{
		"ownership": {store.Ownership, true},
		"journal":   {store.Journal, true},
		"table":     {store.Table, true},
		"other":     {store.Other, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			clock := clockwork.NewFakeClock()
			watched := make(chan bool, 2)
			cl := store.New(clock, store.Transport{
				Get: func(context.Context, storemsg.GetRequest) (storemsg.ItemsResponse, store.Outcome, error) {
					return storemsg.ItemsResponse{}, store.Answered, nil
				},
				Watch: func(ctx context.Context, _ storemsg.WatchRequest) (storemsg.ItemsResponse, store.Outcome, error) {
					watched <- true
					<-ctx.Done()
					return storemsg.ItemsResponse{}, store.NoAnswer, ctx.Err()
				},
			}, store.Options{Writes: 100, Reads: 1000, Timeout: time.Second})
			cl.SetNodes(9) // 100 reads a second for this node
			clock.Advance(time.Minute)
			for range 50 { // uses up the part of the lowest class
				_, err := cl.Get(ctx, store.Other, "k")
				is.NoErr(err)
			}
			go func() {
				if clock.BlockUntilContext(ctx, 1) == nil {
					watched <- false // waits for more budget
				}
			}()
			done := make(chan struct{})
			go func() {
				defer close(done)
				cl.Follow(ctx, store.FollowOptions{
					Class: tc.class, OnSnapshot: func([]storemsg.Item, uint64) {}, OnChange: func([]storemsg.Item) {},
				})
			}()
			is.Equal(<-watched, tc.watches)
			cancel()
			<-done
		})
	}
}
