package planner_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// logLines are the lines that the nodes of a testbed have logged.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (ll *logLines) add(line string) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.lines = append(ll.lines, line)
}

// has reports whether any line contains all of the parts.
func (ll *logLines) has(parts ...string) bool {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	for _, line := range ll.lines {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}

// TestLostTaskIsLogged guards against a long-running task that lacks a run without a trace of why. Its worker w1 stops
// answering just before another node plans, and no other worker has room for it until w1 answers again.
func TestLostTaskIsLogged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var ll logLines
		bd := newTestbed(t, time.Hour, "w1")
		bd.logged = ll.add
		defer bd.end()
		first, second := bd.addTwo()
		bd.submitJob(second, &work.Job{
			ID: "lasting", Spec: "lasting", Queue: bd.accepted,
			Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Second, LongRunning: true}},
		})
		time.Sleep(2 * time.Second)
		bd.fleet.SetFault(func(string, string) memworkers.Fault { return memworkers.RequestLost })
		first.cancel()
		time.Sleep(20 * time.Second)
		if lacking := metrics.GetOrRegisterGauge("planner.long_running_lacking", second.meters).Value(); lacking != 1 {
			t.Errorf("%d long-running tasks lack a run, want 1", lacking)
		}
		bd.clearFaults()
		time.Sleep(5 * time.Second)
		for name, parts := range map[string][]string{
			"recovery":          {`"Recovery waits for workers."`, `"workers"=1`, `"first"=["w1@`},
			"end of recovery":   {`"Recovery is complete`, `"last"=["w1@`, `"last_count"=1`, `"last_silent_for"=`},
			"task's own reason": {`"Step is waiting."`, `"step"="lasting.0.0"`, `"waits_for"="capacity"`, `"tasks"=1`},
			"restart":           {`"Long-running task runs again."`, `"task"="lasting.0.0.0"`, `"worker"="w1@`},
		} {
			if !ll.has(parts...) {
				t.Errorf("%s: no line has all of %q", name, parts)
			}
		}
		restart, ok := second.meters.Get("planner.long_running_restart").(metrics.Histogram)
		if !ok || restart.Count() != 1 || time.Duration(restart.Max()) < 15*time.Second {
			t.Errorf("histogram of the restart is %v", restart)
		}
	})
}
