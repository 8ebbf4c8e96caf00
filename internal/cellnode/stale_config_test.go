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

// TestStaleConfigRefuses guards against a node that serves removed routes from a stale copy of the configuration while
// its other calls to the store are answered. Such a node reported that its copy was 7 s old only to callers of routes
// that the copy lacked.
//
// It must refuse at once, with a time to retry, and accept callers as soon as the copy is current again.
func TestStaleConfigRefuses(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	nd := dp.start("n1")
	job := func(id string) *work.Job { return jobOf(id, work.Step{Count: 1, Need: size.New(1000, 1000, 0)}) }
	dp.waitFor("the node is the planner", func() bool {
		_, err := nd.Pending(t.Context(), nd.View(), routes.Caller{}, queue.Name)
		return err == nil
	})
	is.NoErr(nd.Submit(t.Context(), nd.View(), routes.Caller{}, job("before")))
	dp.silenceReads()
	time.Sleep(3 * time.Second)
	calls := map[string]func() error{
		"a job":   func() error { return nd.Submit(t.Context(), nd.View(), routes.Caller{}, job("meanwhile")) },
		"a count": func() error { _, err := nd.Pending(t.Context(), nd.View(), routes.Caller{}, queue.Name); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			startedAt := time.Now()
			err := call()
			is.True(time.Since(startedAt) < 100*time.Millisecond) // does not wait for the store
			is.True(fault.Is(err, fault.Stale))
			is.True(fault.From(err).RetryAfter > 0)
		})
	}
	before := nd.View()
	dp.store.Set(configKey, []byte("2"))
	dp.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	dp.waitFor("the node has a current configuration again", func() bool { return nd.Submit(t.Context(), nd.View(), routes.Caller{}, job("after")) == nil })
	is.True(fault.Is(nd.Submit(t.Context(), before, routes.Caller{}, job("looked up before")), fault.Stale)) // though the copy is current by now
	is.True(before.Incomplete != nil)
}
