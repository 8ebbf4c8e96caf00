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

// recorder records the keys that a mirror reports.
type recorder struct {
	mu   sync.Mutex
	keys []string
}

func (rc *recorder) record(items []kv.Item, _ bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, item := range items {
		key := item.Key
		if item.Deleted {
			key = "-" + key
		}
		rc.keys = append(rc.keys, key)
	}
}

// reported returns the keys reported so far, removed ones with a leading dash.
func (rc *recorder) reported() []string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return slices.Clone(rc.keys)
}

// start runs a mirror of a store.
func start(t *testing.T, st *memkv.Store) (*mirror.Mirror, *recorder) {
	clock := clockwork.NewRealClock() // the clock of the synctest bubble
	rc := &recorder{}
	mr := mirror.New(clock, logr.Discard(), st.Client("n"), mirror.Options{
		Prefix: "a/", Wait: 2 * time.Second, OnChange: rc.record,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go mr.Run(ctx)
	return mr, rc
}

// TestOrder checks that keys are reported in the order of their changes, not by name.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		st.Set("a/z", nil)
		st.Set("a/b", nil)
		st.Set("other", nil)
		_, rc := start(t, st)
		time.Sleep(time.Second)
		is.Equal(rc.reported(), []string{"a/z", "a/b"})
		st.Set("a/m", nil)
		st.Remove("a/z")
		time.Sleep(time.Second)
		is.Equal(rc.reported(), []string{"a/z", "a/b", "a/m", "-a/z"})
	})
}

// TestLostHistory checks that all keys are read again if the store has lost the history since the last watch, and
// that each change is reported once.
func TestLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		st.Set("a/x", nil)
		st.Set("a/y", nil)
		_, rc := start(t, st)
		time.Sleep(time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.Refused })
		time.Sleep(time.Second)
		st.Remove("a/x")
		st.Set("a/w", nil)
		st.Forget()
		st.SetFault(func(string, string) memkv.Fault { return memkv.None })
		time.Sleep(time.Second)
		is.Equal(rc.reported(), []string{"a/x", "a/y", "a/w", "-a/x"})
	})
}

// TestSilence checks that an unanswered watch is given up after its wait and a grace period, and that the
// reported age covers that time.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		mr, rc := start(t, st)
		time.Sleep(time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
		time.Sleep(2 * time.Second)
		age, loaded := mr.Age()
		is.True(loaded)
		is.True(age > 2*time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.None })
		st.Set("a/x", nil)
		time.Sleep(2 * time.Second)
		is.Equal(rc.reported(), []string{"a/x"})
		age, _ = mr.Age()
		is.True(age < 2*time.Second)
	})
}

// TestRefreshDuringRead makes the store ignore the read of all keys. Once the store is known to answer again,
// Refresh must start a new read at once instead of waiting for the timeout of the pending call.
func TestRefreshDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memkv.New(clockwork.NewRealClock())
		mr, rc := start(t, st)
		time.Sleep(time.Second)
		st.SetFault(func(string, string) memkv.Fault { return memkv.Silent })
		st.Set("a/new", nil)
		time.Sleep(10 * time.Second) // the watch times out, and the read after it is sent
		st.SetFault(func(string, string) memkv.Fault { return memkv.None })
		time.Sleep(100 * time.Millisecond)
		mr.Refresh()
		time.Sleep(200 * time.Millisecond)
		is.Equal(rc.reported(), []string{"a/new"})
		age, _ := mr.Age()
		is.True(age < time.Second)
	})
}
