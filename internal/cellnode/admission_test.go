package cellnode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/routes"
)

// TestBacklogRefusesJobs checks that jobs are refused as not run, with a time to retry, while the planner reports a
// long backlog. They must be accepted again once the backlog is gone or has not been reported for 3 s.
func TestBacklogRefusesJobs(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	nd := dp.start("n1")
	submit := func(id string) error {
		return nd.Submit(t.Context(), routes.Caller{}, &work.Job{ID: id, Spec: id, Queue: queue, Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0)}}})
	}
	report := func(wait time.Duration) {
		raw, err := joblog.Encode(joblog.BacklogSize{Urgent: wait, Total: wait})
		is.NoErr(err)
		dp.store.Set(joblog.Backlog, raw)
	}
	is.NoErr(submit("before"))
	report(20 * time.Second)
	var err error
	dp.waitFor("a job is refused", func() bool { err = submit("meanwhile"); return err != nil })
	is.True(fault.Is(err, fault.Full))
	is.True(fault.From(err).RetryAfter >= 10*time.Second)
	report(0)
	dp.waitFor("jobs are accepted", func() bool { return submit("after") == nil })
	report(20 * time.Second)
	dp.waitFor("a job is refused again", func() bool { return submit("again") != nil })
	dp.waitFor("jobs are accepted once the report is old", func() bool { return submit("last") == nil })
}
