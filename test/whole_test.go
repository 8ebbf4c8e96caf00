package test

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/client"
)

// TestWholePath runs three nodes, a store and fifty workers under load without faults.
// No request may fail, and a replay of each node's trace must make the same decisions.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, options{nodes: []string{"n1", "n2", "n3"}, workers: 50})
	cl.configureWorkloads()
	ld := startLoad(cl, 12, 3, func() *client.Client { return cl.api() })
	time.Sleep(3 * time.Second)
	ld.end().assertNone(t)
	calls := cl.storeCounts()
	is.Equal(len(ld.errors), 0)      // no request failed
	is.True(ld.lookups.Load() > 100) // the load was not trivial
	is.True(ld.jobs.Load() > 20)
	for name, pr := range cl.nodes {
		pr.signal(syscall.SIGTERM)
		<-pr.exited
		trace := filepath.Join(cl.dir, name+".trace")
		out, err := exec.Command(filepath.Join(binaries, "tackbeam"), "replay", trace).CombinedOutput()
		t.Logf("%s", out)
		is.NoErr(err) // the replay makes the same decisions
	}
	t.Logf("%d lookups, %d jobs, store %+v", ld.lookups.Load(), ld.jobs.Load(), calls)
}
