package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestStateAtTheEnd guards against needless polling by callers that request a job's state just when its last task ends.
// The planner learns of the end some ms later, and the journal has it another 45 ms after that. 99 of 100 callers were
// told that the job was running, and asked again a quarter of a second later.
func TestStateAtTheEnd(t *testing.T) {
	cases := map[string]struct {
		// before is the time from the request to the end of the job's task.
		before time.Duration
		want   cell.Phase
		within time.Duration
	}{
		"as the task ends":    {0, cell.Succeeded, 100 * time.Millisecond},
		"a moment before":     {20 * time.Millisecond, cell.Succeeded, 120 * time.Millisecond},
		"while it runs":       {500 * time.Millisecond, cell.Running, 200 * time.Millisecond},
		"long after it ended": {-time.Second, cell.Succeeded, time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const run = time.Second
				bd := newTestbed(t, run, "w1")
				defer bd.end()
				nd := bd.addNode("n1")
				time.Sleep(time.Second)
				bd.submit(nd, "a", 1)
				for len(bd.fleet.Starts()) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(run - tc.before)
				began := bd.clock.Now()
				phase, err := nd.planner.JobPhase(t.Context(), "a", "")
				if took := bd.clock.Since(began); phase != tc.want || err != nil || took > tc.within {
					t.Errorf("answered %q, %v after %v, want %q within %v", phase, err, took, tc.want, tc.within)
				}
			})
		})
	}
}
