package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestBusyKeys follows keys that are written more often than the store's answers can report in the mirror's
// pauses, as with the entries of 3,000 workers. A change must be reported within a second, and until then the copy
// must report an age at least as large.
func TestBusyKeys(t *testing.T) {
	const keys, page, each, rounds = 3000, 500, 10 * time.Millisecond, 600
	for name, perRound := range map[string]int{"1,000 workers": 7, "3,000 workers": 23} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock() // the clock of the synctest bubble
				st := memkv.New(clock)
				client := st.Client("n")
				watch := client.Watch
				client.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Events, error) {
					ev, err := watch(ctx, prefix, after, wait)
					if len(ev.Items) > page {
						ev.Items = ev.Items[:page]
						ev.Revision = ev.Items[page-1].Revision
					}
					return ev, err
				}
				rc := &recorder{}
				mr := mirror.New(clock, logr.Discard(), client, mirror.Options{
					Prefix: "a/", Wait: time.Second, Pause: 250 * time.Millisecond, OnChange: rc.record,
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go mr.Run(ctx)
				n := 0
				write := func() {
					for range perRound {
						n++
						st.Set(fmt.Sprint("a/", n%keys), nil)
					}
					time.Sleep(each)
				}
				for range rounds {
					write()
				}
				st.Set("a/news", nil)
				written := time.Now()
				for {
					age, _ := mr.Age() // taken before the reported keys, because the mirror keeps running
					if slices.Contains(rc.reported(), "a/news") {
						break
					}
					if age < time.Since(written) {
						t.Fatalf("a change from %v ago is not reported, but the copy reports an age of %v", time.Since(written), age)
					}
					if time.Since(written) > time.Second {
						t.Fatalf("a change from %v ago is not reported", time.Since(written))
					}
					write()
				}
			})
		})
	}
}
