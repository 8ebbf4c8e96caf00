package memworkers_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/standin/bubbleclock"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestBehavior guards against a stand-in for workers in which the members of a gang work without each other, or a run that
// hangs ends or makes progress.
func TestBehavior(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		behavior memworkers.Behavior
		// missing is how many members of the gang are not started, stopped whether the first one is stopped after a second.
		missing int
		stopped bool
		// want describes the first member after 2 s and after 10 s.
		want [2]string
	}{
		"plain":                    {want: [2]string{"done", "done"}},
		"fails":                    {behavior: memworkers.Behavior{Fails: true}, want: [2]string{"failed", "failed"}},
		"long":                     {behavior: memworkers.Behavior{Takes: 4 * second}, want: [2]string{"50%", "done"}},
		"hangs":                    {behavior: memworkers.Behavior{Takes: 4 * second, HangsAfter: second}, want: [2]string{"25%", "25%"}},
		"gang":                     {behavior: memworkers.Behavior{Takes: 4 * second, Gang: 2}, want: [2]string{"50%", "done"}},
		"gang with missing member": {behavior: memworkers.Behavior{Gang: 3}, missing: 1, want: [2]string{"0%", "alone"}},
		"gang with stopped member": {behavior: memworkers.Behavior{Takes: 4 * second, Gang: 2}, stopped: true, want: [2]string{"stopped", "stopped"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := memworkers.New(bubbleclock.New(), second)
				fleet.SetBehavior(func(string, cell.Start) memworkers.Behavior { return tc.behavior })
				agents := fleet.Agents()
				targets := make([]agent.Target, max(tc.behavior.Gang-tc.missing, 1))
				for n := range targets {
					id := fmt.Sprint("w", n)
					fleet.Add(id)
					targets[n].Incarnation = incarnation.New(id, 0)
					start := cell.Start{Task: work.Task{Job: "a", Index: n}, Run: 1, Worker: targets[n].Incarnation}
					_, err := agents.Start(t.Context(), targets[n], 1, time.Hour, start)
					is.NoErr(err)
				}
				time.Sleep(second)
				if tc.stopped {
					is.NoErr(agents.Stop(t.Context(), targets[0], 1, cell.Stop{Task: work.Task{Job: "a"}, Run: 1}))
				}
				time.Sleep(second)
				is.Equal(state(t, agents, targets[0]), tc.want[0])
				for range 8 {
					time.Sleep(second)
					for _, to := range targets {
						_, err := agents.Hold(t.Context(), to, agent.Hold{Token: 1, Deadline: time.Hour})
						is.NoErr(err)
					}
				}
				is.Equal(state(t, agents, targets[0]), tc.want[1])
				if last := targets[len(targets)-1]; tc.stopped {
					is.Equal(state(t, agents, last), "broken")
				}
			})
		})
	}
}

// state describes a worker's only run.
func state(t *testing.T, agents *agent.Agents, to agent.Target) string {
	t.Helper()
	report, err := agents.Hold(t.Context(), to, agent.Hold{Token: 1})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Ends) > 0 {
		return string(report.Ends[0].Result)
	}
	return fmt.Sprintf("%d%%", report.Runs[0].Percent)
}
