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

// caller waits until a node knows a key, and returns its caller.
func (dp *deployment) caller(nd *cellnode.Node, key string) routes.Caller {
	dp.t.Helper()
	var cr routes.Caller
	dp.until("the node knows key "+key, func() (ok bool) {
		cr, ok = nd.Table().Caller(apikey.Of([]byte(key)))
		return ok
	})
	return cr
}

func jobOf(id string, step work.Step) *work.Job {
	return &work.Job{ID: id, Spec: id, Queue: queue, Steps: []work.Step{step}}
}

// TestKeyTakenAwayWhileCutOff: nodes that are cut off from the store pass their callers' calls on. By their own
// copy of the configuration, callers whose keys had been taken away were served on.
func TestKeyTakenAwayWhileCutOff(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.store.Set(configKey, []byte("1 first second"))
	near, cut := dp.start("n1"), dp.start("n2")
	stays, goes := dp.caller(cut, "second"), dp.caller(cut, "first")
	step := work.Step{Count: 1, Need: size.New(1000, 1000, 0)}
	dp.until("jobs are taken", func() bool { return cut.Submit(t.Context(), goes, jobOf("before", step)) == nil })
	dp.store.SetFault(func(client, _ string) memkv.Fault {
		if client == "n2" {
			return memkv.Refused
		}
		return memkv.None
	})
	dp.until("the second node sees that it is cut off", func() bool { return cut.Ready() != nil })
	dp.store.Set(configKey, []byte("2 third second"))
	dp.caller(near, "third")
	is.True(fault.Is(cut.Submit(t.Context(), goes, jobOf("after", step)), fault.Unauthorized))
	is.True(fault.Is(cut.Cancel(t.Context(), goes, "before"), fault.Unauthorized))
	_, err := cut.State(t.Context(), goes, "before")
	is.True(fault.Is(err, fault.Unauthorized))
	_, err = cut.Pending(t.Context(), goes, queue.Name)
	is.True(fault.Is(err, fault.Unauthorized))
	is.NoErr(cut.Submit(t.Context(), stays, jobOf("other", step)))
}

// TestOldCopyKnowsNoKeys: a node whose copy of the configuration is old cannot know whether a key is still good,
// and refuses each call with it.
func TestOldCopyKnowsNoKeys(t *testing.T) {
	dp := newDeployment(t)
	dp.store.Set(configKey, []byte("1 first"))
	nd := dp.start("n1")
	cr := dp.caller(nd, "first")
	step := work.Step{Count: 1, Need: size.New(1000, 1000, 0)}
	dp.until("jobs are taken", func() bool { return nd.Submit(t.Context(), cr, jobOf("before", step)) == nil })
	dp.silenceReads()
	time.Sleep(3 * time.Second)
	calls := map[string]func() error{
		"a job":    func() error { return nd.Submit(t.Context(), cr, jobOf("meanwhile", step)) },
		"a cancel": func() error { return nd.Cancel(t.Context(), cr, "before") },
		"a state":  func() error { _, err := nd.State(t.Context(), cr, "before"); return err },
		"a count":  func() error { _, err := nd.Pending(t.Context(), cr, queue.Name); return err },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			if err := call(); !fault.Is(err, fault.Stale) || fault.From(err).RetryAfter <= 0 {
				t.Errorf("answer %v, want one that the copy is old and when to come back", err)
			}
		})
	}
}

// TestWorkspaceOfAJob keeps a job from callers of other workspaces, and refuses at once what can never run.
func TestWorkspaceOfAJob(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.store.Set(configKey, []byte("1 first second"))
	nd := dp.start("n1")
	owner, other := dp.caller(nd, "first"), dp.caller(nd, "second")
	step := work.Step{Count: 3, Need: size.New(2000, 1000, 0)}
	dp.until("jobs are taken", func() bool { return nd.Submit(t.Context(), owner, jobOf("a", step)) == nil })
	dp.until("the planner knows the job", func() bool { _, err := nd.State(t.Context(), owner, "a"); return err == nil })
	_, err := nd.State(t.Context(), other, "a")
	is.True(fault.Is(err, fault.NotFound))
	is.NoErr(nd.Cancel(t.Context(), other, "a")) // tells nothing, does nothing
	dp.until("the job succeeds", func() bool {
		phase, err := nd.State(t.Context(), owner, "a")
		return err == nil && phase == cell.Succeeded
	})
	step.Gang = true // six cores at once, where four may run
	is.True(fault.Is(nd.Submit(t.Context(), owner, jobOf("b", step)), fault.NeverFits))
}
