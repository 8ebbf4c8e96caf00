package memkv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestLimitCountsWatchOnce guards against charging a blocked watch to the rate limit again on every wakeup. The
// platform's store counts a blocked watch as one call.
func TestLimitCountsWatchOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		watches := 0
		st.SetLimit(func(_, call string) memkv.Fault {
			if call == "watch" {
				if watches++; watches > 1 {
					return memkv.Limited
				}
			}
			return memkv.None
		})
		go func() {
			for range 10 {
				time.Sleep(20 * time.Millisecond)
				st.Set("other", nil)
			}
			st.Set("k", []byte("v"))
		}()
		events, err := st.Client("n").Watch(t.Context(), "k", 0, time.Second)
		is.NoErr(err)
		is.Equal(len(events.Items), 1)
		is.Equal(watches, 1)
		_, err = st.Client("n").Watch(t.Context(), "k", events.Revision, time.Second)
		is.Equal(err, kv.ErrRateLimited)
	})
}
