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

// TestBusyKeys follows keys that are written more often than answers of the store hold in the
// mirror's pauses, as 3,000 workers write their entries. A change is told of within a second, and
// until then the copy says that it may be as old.
func TestBusyKeys(t *testing.T) {
	const keys, page, each, rounds = 3000, 500, 10 * time.Millisecond, 600
	for name, perRound := range map[string]int{"1,000 workers": 7, "3,000 workers": 23} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock() // the bubble's
				st := memkv.New(clock)
				cut := st.Client("n")
				watch := cut.Watch
				cut.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Events, error) {
					ev, err := watch(ctx, prefix, after, wait)
					if len(ev.Items) > page {
						ev.Items = ev.Items[:page]
						ev.Revision = ev.Items[page-1].Revision
					}
					return ev, err
				}
				tl := &tale{}
				mr := mirror.New(clock, logr.Discard(), cut, mirror.Options{
					Prefix: "a/", Wait: time.Second, Pause: 250 * time.Millisecond, OnChange: tl.add,
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
				since := time.Now()
				for {
					age, _ := mr.Age() // before what was told: the mirror runs on in between
					if slices.Contains(tl.told(), "a/news") {
						break
					}
					if age < time.Since(since) {
						t.Fatalf("a change of %v ago is not told of; the copy calls itself %v old", time.Since(since), age)
					}
					if time.Since(since) > time.Second {
						t.Fatalf("a change of %v ago is not told of", time.Since(since))
					}
					write()
				}
			})
		})
	}
}
