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
	// patience bounds calls that are answered; it is no measure.
	patience = 60 * time.Second
	// hung is how long a call that hangs is waited for; any time will do.
	hung = 50 * time.Millisecond
)

// pair starts a stand-in and a client of it.
func pair(t *testing.T) (*standinstore.Store, *store.Client) {
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
	_, cl := pair(t)
	ctx := context.Background()
	first, ok, err := cl.Put(ctx, store.Rest, store.Write{Key: "k", Value: []byte("1")})
	is.NoErr(err)
	is.True(ok)
	_, ok, err = cl.Put(ctx, store.Rest, store.Write{Key: "k", Value: []byte("2")})
	is.NoErr(err)
	is.True(!ok) // a key that is there cannot be made
	now, ok, err := cl.Put(ctx, store.Rest, store.Write{Key: "k", Value: []byte("2"), Version: first.Version})
	is.NoErr(err)
	is.True(ok)
	late, ok, err := cl.Put(ctx, store.Rest, store.Write{Key: "k", Value: []byte("3"), Version: first.Version})
	is.NoErr(err)
	is.True(!ok)                        // an old version loses
	is.Equal(late.Version, now.Version) // and learns what is there
}

// TestLostReplies loses the answer to every write after it took effect. Each
// write is settled as the one that it was.
func TestLostReplies(t *testing.T) {
	is := is.New(t)
	st, cl := pair(t)
	st.SetFaults(standinstore.Faults{LoseEvery: 1})
	version := uint64(0)
	for n := range 5 {
		if n == 3 {
			st.SetFaults(standinstore.Faults{LoseEvery: 2})
		}
		item, ok, err := cl.Put(context.Background(), store.Rest, store.Write{
			Key: "k", Value: []byte{byte(n)}, Version: version,
		})
		is.NoErr(err)
		is.True(ok)
		is.True(item.Version > version)
		version = item.Version
	}
	is.Equal(st.Counts().Revision, int64(5)) // each write took effect once
	is.True(st.Counts().Lost > 0)            // replies were lost indeed
}

// TestOutageSaysWhetherTheWriteMayBeIn gives a write up between two of its tries, when
// none is under way: of one that is, nobody can say whether it is in.
func TestOutageSaysWhetherTheWriteMayBeIn(t *testing.T) {
	cases := map[string]struct {
		faults  standinstore.Faults
		timeout time.Duration
		begun   bool
	}{
		"down: surely not written":  {standinstore.Faults{Down: true}, patience, false},
		"hangs: may be written yet": {standinstore.Faults{Hang: true}, hung, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st, _ := pair(t)
			st.SetFaults(tc.faults)
			clock := clockwork.NewFakeClock()
			cl := store.New(clock, store.HTTP([]string{st.Addr()}), store.Options{
				Writes: 1000, Reads: 1000, Timeout: tc.timeout,
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			const tries = 4
			go func() {
				for try := 1; clock.BlockUntilContext(ctx, 1) == nil; try++ { // the pause after a try
					if try == tries {
						cancel()
						return
					}
					clock.Advance(time.Minute) // over any pause
				}
			}()
			_, ok, err := cl.Put(ctx, store.Ownership, store.Write{Key: "k", Value: []byte("1")})
			is.True(!ok)
			is.Equal(fault.From(err).Kind, fault.Unavailable)
			is.Equal(fault.From(err).MayHaveRun, tc.begun)
			is.True(cl.Down())
			_, writes, failed, _ := cl.Calls()
			is.Equal(writes, int64(tries))
			is.True(failed >= tries)                 // the reads that settle a write fail too
			is.Equal(st.Counts().Revision, int64(0)) // neither fault lets a write take effect
		})
	}
}

// lagging is a context whose deadline has passed, but whose timer has not fired.
type lagging struct{ context.Context }

// Deadline returns a time that has passed.
func (lagging) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestCallPastItsTime makes a write whose time is over before it is sent. The write
// is not sent, and the caller is told that it surely is not in.
func TestCallPastItsTime(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancelExpired := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelExpired()
	cases := map[string]context.Context{
		"the caller gave up":        cancelled,
		"the deadline has passed":   expired,
		"the deadline's timer lags": lagging{t.Context()},
	}
	for name, ctx := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st, _ := pair(t)
			body := storemsg.PutRequest{Key: "k", Value: []byte("1")}
			_, oc, err := store.HTTP([]string{st.Addr()}).Put(ctx, body)
			is.True(err != nil)
			is.Equal(oc, store.Refused)
			is.Equal(st.Counts().Writes, int64(0))
		})
	}
}

// TestLeaseLapses lets a lease run out; its key goes, and a watch tells.
func TestLeaseLapses(t *testing.T) {
	is := is.New(t)
	_, cl := pair(t)
	ctx := context.Background()
	var id string
	var item storemsg.Item
	for ok := false; !ok; { // a slow machine may let the lease lapse before its use
		var err error
		id, _, err = cl.Grant(ctx, "", 200*time.Millisecond)
		is.NoErr(err)
		item, ok, _ = cl.Put(ctx, store.Rest, store.Write{Key: "live/a", Value: []byte("x"), Lease: id})
	}
	res, err := cl.Watch(ctx, store.Rest, "live/", item.Version, 20*time.Second)
	is.NoErr(err)
	is.Equal(len(res.Items), 1)
	is.True(res.Items[0].Deleted)
	_, ok, err := cl.Grant(ctx, id, time.Second)
	is.NoErr(err)
	is.True(!ok) // a lapsed lease is not renewed
}

// TestBudget spends the calls of one moment, class by class. What a lower class
// must leave, a higher one may still spend.
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
	want := map[store.Class]int64{store.Rest: 50, store.Table: 70, store.Journal: 90, store.Ownership: 100}
	for _, class := range []store.Class{store.Rest, store.Table, store.Journal, store.Ownership} {
		for range 100 {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(5*time.Millisecond, cancel) // a call that has to wait gives up
			_, _ = cl.Get(ctx, class, "k")
			cancel()
		}
		reads, _, _, _ := cl.Calls()
		is.Equal(reads, want[class]) // the class leaves its reserve
	}
}

// TestFollowSpendsInItsClass follows keys, class by class, once the lowest class has
// spent its calls. Whoever follows in a higher class reads and watches all the same.
func TestFollowSpendsInItsClass(t *testing.T) {
	cases := map[string]struct {
		class   store.Class
		watches bool
	}{
		"ownership": {store.Ownership, true},
		"journal":   {store.Journal, true},
		"table":     {store.Table, true},
		"rest":      {store.Rest, false},
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
					return storemsg.ItemsResponse{}, store.Lost, ctx.Err()
				},
			}, store.Options{Writes: 100, Reads: 1000, Timeout: time.Second})
			cl.SetNodes(9) // 100 reads a second for this node
			clock.Advance(time.Minute)
			for range 50 { // what the lowest class may spend
				_, err := cl.Get(ctx, store.Rest, "k")
				is.NoErr(err)
			}
			go func() {
				if clock.BlockUntilContext(ctx, 1) == nil {
					watched <- false // it waits for calls that only time brings
				}
			}()
			done := make(chan struct{})
			go func() {
				defer close(done)
				cl.Follow(ctx, store.Following{
					Class: tc.class, All: func([]storemsg.Item, uint64) {}, Changed: func([]storemsg.Item) {},
				})
			}()
			is.Equal(<-watched, tc.watches)
			cancel()
			<-done
		})
	}
}
