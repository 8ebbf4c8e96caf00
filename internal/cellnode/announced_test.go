package cellnode_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/cellnode"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// silenceReadsOf makes the store leave all reads and watches of one node unanswered.
func (dp *deployment) silenceReadsOf(name string) {
	dp.store.SetFault(func(client, call string) memkv.Fault {
		if client == name && (call == "watch" || call == "range") {
			return memkv.RequestLost
		}
		return memkv.None
	})
}

// awaitVersion waits until a node has a version.
func (dp *deployment) awaitVersion(nd *cellnode.Node, version uint64) {
	dp.t.Helper()
	dp.waitFor("the node has the version", func() bool { return nd.View().Version() == version })
}

// TestNodesLearnVersionsFromEachOther guards against a node that acts on another one's version and serves its own older one.
func TestNodesLearnVersionsFromEachOther(t *testing.T) {
	step := work.Step{Count: 1, Need: size.New(1000, 1000, 0)}
	cases := map[string]struct {
		// late is the node whose reads of the store are not answered, and act makes the nodes talk. The first node plans.
		late string
		act  func(dp *deployment, first, second *cellnode.Node, jb *work.Job)
	}{
		"planner from the node that accepts a job": {"n1", func(dp *deployment, _, second *cellnode.Node, jb *work.Job) {
			is.New(dp.t).NoErr(second.Submit(dp.t.Context(), second.View(), routes.Caller{}, jb))
		}},
		"node that accepts a job from the planner": {"n2", func(dp *deployment, _, second *cellnode.Node, jb *work.Job) {
			is.New(dp.t).NoErr(second.Submit(dp.t.Context(), second.View(), routes.Caller{}, jb))
		}},
		"node that asks for a state from the planner": {"n2", func(dp *deployment, _, second *cellnode.Node, _ *work.Job) {
			_, err := second.State(dp.t.Context(), second.View(), routes.Caller{}, "none")
			is.New(dp.t).True(fault.Is(err, fault.NotFound))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const within = 450 * time.Millisecond // the node's own watch fails after 0.5 s or more
			dp := newDeployment(t)
			first := dp.start("n1")
			dp.awaitPlanner("the first node plans", first)
			second := dp.start("n2")
			dp.awaitPlanner("the second node knows the planner", second)
			late, other := first, second
			if tc.late == "n2" {
				late, other = second, first
			}
			time.Sleep(time.Second) // the copies are up to date
			dp.silenceReadsOf(tc.late)
			version := dp.store.Set(configKey, []byte("2"))
			dp.awaitVersion(other, version)
			is.New(t).True(late.View().Version() < version)
			jb := jobOf("job", step)
			jb.Queue.Version = second.View().Version()
			tc.act(dp, first, second, jb)
			asked := time.Now()
			dp.awaitVersion(late, version)
			if took := time.Since(asked); took > within {
				t.Errorf("the node has the version after %v", took)
			}
		})
	}
}

// TestRefusesWhileVersionIsMissing guards against a planner that starts jobs of a later version and goes on serving its own.
func TestRefusesWhileVersionIsMissing(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	nd := dp.start("n1")
	dp.awaitPlanner("the node plans", nd)
	time.Sleep(time.Second) // the copy is up to date
	dp.silenceReadsOf("n1")
	jb := jobOf("job", work.Step{Count: 1, Need: size.New(1000, 1000, 0)})
	jb.Queue.Version = nd.View().Version() + 1
	is.NoErr(nd.Submit(t.Context(), nd.View(), routes.Caller{}, jb))
	dp.waitFor("the job succeeds", func() bool {
		phase, err := nd.State(t.Context(), nd.View(), routes.Caller{}, "job")
		return err == nil && phase == cell.Succeeded
	})
	dp.waitFor("the node refuses callers", func() bool { return nd.View().Err != nil })
	vw := nd.View()
	is.True(vw.Age < 1800*time.Millisecond) // the copy alone would be young enough
	is.True(fault.Is(vw.Err, fault.Stale))
	is.True(strings.Contains(vw.Err.Error(), "is in use on other nodes"))
	is.True(fault.From(vw.Err).RetryAfter > 0)
	is.True(fault.Is(nd.Submit(t.Context(), nd.View(), routes.Caller{}, jobOf("refused", jb.Steps[0])), fault.Stale))
	_, err := nd.Pending(t.Context(), nd.View(), routes.Caller{}, queue.Name)
	is.True(fault.Is(err, fault.Stale))

	dp.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	dp.waitFor("the store has confirmed the node's version", func() bool { return nd.View().Err == nil })
}
