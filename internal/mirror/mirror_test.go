package mirror_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// tale is what a mirror has told of.
type tale struct {
	mu   sync.Mutex
	keys []string
}

func (tl *tale) add(items []kv.Item, _ bool) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	for _, item := range items {
		key := item.Key
		if item.Deleted {
			key = "-" + key
		}
		tl.keys = append(tl.keys, key)
	}
}

// told returns the keys so far, those that are gone with a dash.
func (tl *tale) told() []string {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return slices.Clone(tl.keys)
}

// follow runs a mirror of a store.
func follow(t *testing.T, st *memkv.Store) (*mirror.Mirror, *tale) {
	clock := clockwork.NewRealClock() // the bubble's
	tl := &tale{}
	mr := mirror.New(clock, logr.Discard(), st.Client("n"), mirror.Options{
		Prefix: "a/", Wait: 2 * time.Second, OnChange: tl.add,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go mr.Run(ctx)
	return mr, tl
}

// TestOrder tells of keys in the order of their changes, whatever their names are.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		st.Set("a/z", nil)
		st.Set("a/b", nil)
		st.Set("other", nil)
		_, tl := follow(t, st)
		time.Sleep(time.Second)
		is.Equal(tl.told(), []string{"a/z", "a/b"})
		st.Set("a/m", nil)
		st.Remove("a/z")
		time.Sleep(time.Second)
		is.Equal(tl.told(), []string{"a/z", "a/b", "a/m", "-a/z"})
	})
}

// TestLostHistory reads all keys again where the changes since the last look are
// forgotten, and tells of each change once.
func TestLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		st.Set("a/x", nil)
		st.Set("a/y", nil)
		_, tl := follow(t, st)
		time.Sleep(time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.Refused })
		time.Sleep(time.Second)
		st.Remove("a/x")
		st.Set("a/w", nil)
		st.Forget()
		st.SetFault(func(string, string) memkv.Fault { return memkv.None })
		time.Sleep(time.Second)
		is.Equal(tl.told(), []string{"a/x", "a/y", "a/w", "-a/x"})
	})
}

// TestSilence gives a dead watch up after its wait and a second, and tells its age.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		mr, tl := follow(t, st)
		time.Sleep(time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
		time.Sleep(2 * time.Second)
		age, loaded := mr.Age()
		is.True(loaded)
		is.True(age > 2*time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.None })
		st.Set("a/x", nil)
		time.Sleep(2 * time.Second)
		is.Equal(tl.told(), []string{"a/x"})
		age, _ = mr.Age()
		is.True(age < 2*time.Second)
	})
}

// TestRefreshDuringRead has the store swallow the reading of all keys. Once it is known
// to answer again, Refresh reads anew at once instead of waiting for that call's end.
func TestRefreshDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		mr, tl := follow(t, st)
		time.Sleep(time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
		st.Set("a/new", nil)
		time.Sleep(10 * time.Second) // the watch is given up, and the read after it is sent
		st.SetFault(func(string, string) memkv.Fault { return memkv.None })
		time.Sleep(100 * time.Millisecond)
		mr.Refresh()
		time.Sleep(200 * time.Millisecond)
		is.Equal(tl.told(), []string{"a/new"})
		age, _ := mr.Age()
		is.True(age < time.Second)
	})
}
