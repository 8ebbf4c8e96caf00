package memworkers_test

import (
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

// TestLongLeaseIsCut checks that a lease lasts no longer than the longest one that the platform's workers accept.
func TestLongLeaseIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := memworkers.New(bubbleclock.New(), time.Hour)
		fleet.Add("w1")
		to := agent.Target{Incarnation: incarnation.New("w1", 0)}
		task := work.Task{Job: "a"}
		_, err := fleet.Agents().Start(t.Context(), to, 1, time.Hour, cell.Start{Task: task, Run: 1, Worker: to.Incarnation})
		is.NoErr(err)
		const longest, step = 6 * time.Second, 10 * time.Millisecond
		time.Sleep(longest - step)
		is.True(fleet.Runs(task))
		time.Sleep(2 * step)
		is.True(!fleet.Runs(task))
	})
}
