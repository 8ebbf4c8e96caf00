package cellnode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestOldCopyRefuses: a node whose copy of the configuration was 7 s old said so to callers
// of routes that it lacked, and answered the others by the old copy, though their routes had
// been removed. Its other calls to the store were answered meanwhile.
//
// A node that cannot know what is in force refuses at once, says when to come back, and takes
// callers as soon as it knows again.
func TestOldCopyRefuses(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	nd := dp.start("n1")
	job := func(id string) *work.Job { return jobOf(id, work.Step{Count: 1, Need: size.New(1000, 1000, 0)}) }
	dp.until("the node plans", func() bool { _, err := nd.Pending(t.Context(), routes.Caller{}, queue.Name); return err == nil })
	is.NoErr(nd.Submit(t.Context(), routes.Caller{}, job("before")))
	dp.silenceReads()
	time.Sleep(3 * time.Second)
	calls := map[string]func() error{
		"a job":   func() error { return nd.Submit(t.Context(), routes.Caller{}, job("meanwhile")) },
		"a count": func() error { _, err := nd.Pending(t.Context(), routes.Caller{}, queue.Name); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			err := call()
			is.True(time.Since(began) < 100*time.Millisecond) // at once
			is.True(fault.Is(err, fault.Stale))
			is.True(fault.From(err).RetryAfter > 0)
		})
	}
	dp.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	dp.until("the node knows again", func() bool { return nd.Submit(t.Context(), routes.Caller{}, job("after")) == nil })
}
