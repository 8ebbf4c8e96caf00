package cellnode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/apikey"
	"tackbeam.example/tackbeam/internal/cellnode"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// caller waits until a node knows an API key, and returns its caller.
func (dp *deployment) caller(nd *cellnode.Node, key string) routes.Caller {
	dp.t.Helper()
	var cr routes.Caller
	dp.waitFor("the node knows key "+key, func() (ok bool) {
		cr, ok = nd.View().Caller(apikey.Sum([]byte(key)))
		return ok
	})
	return cr
}

func jobOf(id string, step work.Step) *work.Job {
	return &work.Job{ID: id, Spec: id, Queue: queue, Steps: []work.Step{step}}
}

// TestRevokedKeyThroughRelay guards against nodes without access to the store that relay calls with revoked API keys,
// because the keys are still valid in their own copy of the configuration.
func TestRevokedKeyThroughRelay(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.store.Set(configKey, []byte("1 first second"))
	connected, disconnected := dp.start("n1"), dp.start("n2")
	valid, revoked := dp.caller(disconnected, "second"), dp.caller(disconnected, "first")
	step := work.Step{Count: 1, Need: size.New(1000, 1000, 0)}
	dp.waitFor("jobs are accepted", func() bool {
		return disconnected.Submit(t.Context(), disconnected.View(), revoked, jobOf("before", step)) == nil
	})
	dp.store.SetFault(func(client, _ string) memkv.Fault {
		if client == "n2" {
			return memkv.Refused
		}
		return memkv.None
	})
	dp.waitFor("the second node notices that it cannot reach the store", func() bool { return disconnected.Ready() != nil })
	dp.store.Set(configKey, []byte("2 third second"))
	dp.caller(connected, "third")
	is.True(fault.Is(disconnected.Submit(t.Context(), disconnected.View(), revoked, jobOf("after", step)), fault.Unauthorized))
	is.True(fault.Is(disconnected.Cancel(t.Context(), disconnected.View(), revoked, "before"), fault.Unauthorized))
	_, err := disconnected.State(t.Context(), disconnected.View(), revoked, "before")
	is.True(fault.Is(err, fault.Unauthorized))
	_, err = disconnected.Pending(t.Context(), disconnected.View(), revoked, queue.Name)
	is.True(fault.Is(err, fault.Unauthorized))
	is.NoErr(disconnected.Submit(t.Context(), disconnected.View(), valid, jobOf("other", step)))
}

// TestMovedRouteThroughRelay guards against nodes without access to the store whose callers' jobs run in a queue that their host and
// path no longer lead to.
func TestMovedRouteThroughRelay(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	connected, disconnected := dp.start("n1"), dp.start("n2")
	job := func(id string) *work.Job { return jobOf(id, work.Step{Count: 1, Need: size.New(1000, 1000, 0)}) }
	dp.waitFor("jobs are accepted", func() bool {
		return disconnected.Submit(t.Context(), disconnected.View(), routes.Caller{}, job("before")) == nil
	})
	dp.store.SetFault(func(client, _ string) memkv.Fault {
		if client == "n2" {
			return memkv.Refused
		}
		return memkv.None
	})
	dp.waitFor("the second node notices that it cannot reach the store", func() bool { return disconnected.Ready() != nil })
	before := disconnected.View()
	is.NoErr(disconnected.Submit(t.Context(), before, routes.Caller{}, job("relayed")))
	dp.awaitVersion(connected, dp.store.Set(configKey, []byte("2 /elsewhere/")))
	err := disconnected.Submit(t.Context(), before, routes.Caller{}, job("after"))
	is.True(fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Stale)) // not run
}

// TestStaleConfigRefusesKeys guards against accepting API keys by a stale copy of the configuration, which cannot tell
// whether a key is still valid.
func TestStaleConfigRefusesKeys(t *testing.T) {
	dp := newDeployment(t)
	dp.store.Set(configKey, []byte("1 first"))
	nd := dp.start("n1")
	cr := dp.caller(nd, "first")
	step := work.Step{Count: 1, Need: size.New(1000, 1000, 0)}
	dp.waitFor("jobs are accepted", func() bool { return nd.Submit(t.Context(), nd.View(), cr, jobOf("before", step)) == nil })
	dp.silenceReads()
	time.Sleep(3 * time.Second)
	calls := map[string]func() error{
		"a job":    func() error { return nd.Submit(t.Context(), nd.View(), cr, jobOf("meanwhile", step)) },
		"a cancel": func() error { return nd.Cancel(t.Context(), nd.View(), cr, "before") },
		"a state":  func() error { _, err := nd.State(t.Context(), nd.View(), cr, "before"); return err },
		"a count":  func() error { _, err := nd.Pending(t.Context(), nd.View(), cr, queue.Name); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			if err := call(); !fault.Is(err, fault.Stale) || fault.From(err).RetryAfter <= 0 {
				t.Errorf("got %v, want a stale configuration error with a retry time", err)
			}
		})
	}
}

// TestWorkspaceOfJob checks that jobs are hidden from callers of other workspaces, and that jobs above the workspace's
// limit are refused at once.
func TestWorkspaceOfJob(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.store.Set(configKey, []byte("1 first second"))
	nd := dp.start("n1")
	owner, other := dp.caller(nd, "first"), dp.caller(nd, "second")
	step := work.Step{Count: 3, Need: size.New(2000, 1000, 0)}
	dp.waitFor("jobs are accepted", func() bool { return nd.Submit(t.Context(), nd.View(), owner, jobOf("a", step)) == nil })
	dp.waitFor("the planner knows the job", func() bool { _, err := nd.State(t.Context(), nd.View(), owner, "a"); return err == nil })
	_, err := nd.State(t.Context(), nd.View(), other, "a")
	is.True(fault.Is(err, fault.NotFound))
	is.NoErr(nd.Cancel(t.Context(), nd.View(), other, "a")) // succeeds without effect, to reveal nothing
	dp.waitFor("the job succeeds", func() bool {
		phase, err := nd.State(t.Context(), nd.View(), owner, "a")
		return err == nil && phase == cell.Succeeded
	})
	step.Gang = true // needs six cores at once, with a limit of four
	is.True(fault.Is(nd.Submit(t.Context(), nd.View(), owner, jobOf("b", step)), fault.NeverFits))
}
