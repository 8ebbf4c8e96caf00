package cellnode_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/cellnode"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestBacklogRefusesJobs checks that jobs are refused as not run, with a time to retry, while the planner reports a
// long backlog. They must be accepted again once the backlog is gone or has not been reported for 3 s.
func TestBacklogRefusesJobs(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	nd := dp.start("n1")
	submit := func(id string) error {
		return nd.Submit(t.Context(), nd.View(), routes.Caller{}, &work.Job{ID: id, Spec: id, Queue: queue, Steps: []work.Step{{Count: 1, Need: size.New(1000, 1000, 0)}}})
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

// preventElection makes the store grant no leases, so that no node becomes the planner.
func (dp *deployment) preventElection() {
	dp.store.SetFault(func(_, call string) memkv.Fault {
		if call == "grant" {
			return memkv.RequestLost
		}
		return memkv.None
	})
}

// submitTasks submits a job of a number of tasks.
func submitTasks(t *testing.T, nd *cellnode.Node, id string, count int) error {
	return nd.Submit(t.Context(), nd.View(), routes.Caller{}, &work.Job{ID: id, Spec: id, Queue: queue, Steps: []work.Step{{Count: count, Need: size.New(1000, 1000, 0)}}})
}

// TestUnplannedJobsAreBounded guards against a node that accepts jobs without a bound while there is no planner, and
// against one that still refuses them when a planner has reported. Without the feature, all jobs are accepted.
func TestUnplannedJobsAreBounded(t *testing.T) {
	tests := map[string]struct {
		features feature.Set
		refuses  bool
	}{
		"enabled":     {features: feature.RoomAdmission, refuses: true},
		"not enabled": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dp := newDeployment(t)
			dp.features = tt.features
			dp.preventElection()
			nd := dp.start("n1")
			is.NoErr(submitTasks(t, nd, "first", 1000))
			err := submitTasks(t, nd, "second", 200)
			is.Equal(err != nil, tt.refuses)
			if !tt.refuses {
				return
			}
			is.True(fault.Is(err, fault.Full))
			retryAfter := fault.From(err).RetryAfter
			is.True(retryAfter >= time.Second)
			is.True(retryAfter <= 2*time.Second)
			is.NoErr(submitTasks(t, nd, "small", 100)) // it still fits
			is.Equal(metrics.GetOrRegisterCounter("callers.refused_without_planner", nd.Meters()).Count(), int64(1))
			dp.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
			dp.waitFor("jobs are accepted", func() bool { return submitTasks(t, nd, "third", 2000) == nil })
		})
	}
}

// TestShareRefusesJobs guards against jobs that are accepted although the planner admits none of their workspace, and
// against a report that still refuses jobs 3 s later, when nothing is known of its planner.
func TestShareRefusesJobs(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.features = feature.RoomAdmission
	dp.preventElection()
	nd := dp.start("n1")
	raw, err := joblog.Encode(joblog.BacklogSize{Term: 1, Shares: []joblog.AdmittedShare{{Service: queue.Service, Drain: 2 * time.Second}}})
	is.NoErr(err)
	dp.store.Set(joblog.Backlog, raw)
	dp.waitFor("a job is refused", func() bool { err = submitTasks(t, nd, "a", 1); return err != nil })
	is.True(fault.Is(err, fault.Full))
	is.True(fault.From(err).RetryAfter >= 2*time.Second)
	is.True(metrics.GetOrRegisterCounter("callers.refused_for_room", nd.Meters()).Count() > 0)
	dp.waitFor("jobs are accepted once the report is old", func() bool { return submitTasks(t, nd, "b", 1) == nil })
}

// TestReportsWhileSubmitting guards against a deadlock between a report of the planner, which arrives under the
// elector's lock, and a job, for which the node asks the elector for the planner.
func TestReportsWhileSubmitting(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.features = feature.RoomAdmission
	dp.preventElection()
	nd := dp.start("n1")
	report := func(admitted float64) {
		raw, err := joblog.Encode(joblog.BacklogSize{Term: 1, Shares: []joblog.AdmittedShare{{Service: queue.Service, Admitted: admitted}}})
		is.NoErr(err)
		dp.store.Set(joblog.Backlog, raw)
	}
	report(0)
	dp.waitFor("a job is refused", func() bool { return submitTasks(t, nd, "a", 1) != nil })
	const reports, callers = 2000, 2
	ended := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					_ = submitTasks(t, nd, "b", 1) // refused
				}
			}
		})
	}
	for n := range reports {
		report(0.001 / float64(n+1))
		time.Sleep(100 * time.Microsecond)
	}
	close(ended)
	group.Wait()
}
