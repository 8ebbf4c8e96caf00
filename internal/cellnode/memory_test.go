package cellnode_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/cellnode"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/routes"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// chain is a job of steps that each come after the one before.
func chain(id string, steps int) *work.Job {
	jb := &work.Job{ID: id, Spec: id, Queue: queue}
	jb.Queue.Priority = 1
	for num := range steps {
		st := work.Step{Count: 1, Need: size.New(1, 0, 0)}
		if num > 0 {
			st.After = []int{num - 1}
		}
		jb.Steps = append(jb.Steps, st)
	}
	return jb
}

func submitJob(t *testing.T, nd *cellnode.Node, jb *work.Job) error {
	return nd.Submit(t.Context(), nd.View(), routes.Caller{}, jb)
}

// journaledBytes returns what the jobs in the journal take of a planner's memory.
func (dp *deployment) journaledBytes() (bytes int64) {
	dp.t.Helper()
	page, err := dp.store.Client("test").Range(dp.t.Context(), joblog.Batches, "", false)
	if err != nil {
		dp.t.Fatal(err)
	}
	for _, item := range page.Items {
		bt, err := joblog.Decode[joblog.Batch](item.Value)
		if err != nil {
			dp.t.Fatal(err)
		}
		for at := range bt.Jobs {
			bytes += bt.Jobs[at].Footprint()
		}
	}
	return bytes
}

// TestLargeJobsAreRefused guards against large jobs that were all accepted, by several nodes at once, and took each planner over
// its memory. Refused callers must be told when to come back, and other work must be accepted all the while.
func TestLargeJobsAreRefused(t *testing.T) {
	const jobs, steps, memoryMB = 40, 7000, 200
	is := is.New(t)
	dp := newDeployment(t)
	dp.memoryMB = memoryMB
	nodes := []*cellnode.Node{dp.start("n1"), dp.start("n2"), dp.start("n3")}
	for _, nd := range nodes {
		dp.awaitPlanner("the planner answers", nd)
	}
	results := make(chan error)
	for num := range jobs {
		go func() { results <- submitJob(t, nodes[num%len(nodes)], chain(fmt.Sprint("large", num), steps)) }()
	}
	accepted := 0
	for range jobs {
		err := <-results
		if err == nil {
			accepted++
			continue
		}
		is.True(fault.Is(err, fault.Full))
		is.True(fault.From(err).RetryAfter >= time.Second)
	}
	t.Logf("%d jobs were accepted", accepted)
	is.True(accepted > 0 && accepted < jobs)
	is.True(dp.journaledBytes() <= memoryMB*1_000_000/2)
	for num, nd := range nodes {
		small := chain(fmt.Sprint("small", num), 1)
		small.Queue.Priority = 0
		is.NoErr(submitJob(t, nd, small))
	}
	refused := int64(0)
	for _, nd := range nodes {
		refused += metrics.GetOrRegisterCounter("callers.refused_for_memory", nd.Meters()).Count()
	}
	is.Equal(refused, int64(jobs-accepted))
}

// TestMemoryWithoutPlanner guards against jobs that are accepted without a bound of their memory while there is no planner, and
// against refusing all of them.
func TestMemoryWithoutPlanner(t *testing.T) {
	const memoryMB, steps = 200, 10
	is := is.New(t)
	dp := newDeployment(t)
	dp.memoryMB = memoryMB
	dp.preventElection()
	nd := dp.start("n1")
	err := submitJob(t, nd, chain("large", 9000))
	is.True(fault.Is(err, fault.Unavailable))
	is.True(fault.From(err).RetryAfter >= time.Second)
	window, each := memquota.Window(memoryMB*1_000_000/2, 1), chain("job0", steps).Footprint()
	accepted := int64(0)
	for ; accepted < 2*window/each; accepted++ {
		if err = submitJob(t, nd, chain(fmt.Sprint("job", accepted), steps)); err != nil {
			break
		}
	}
	t.Logf("%d jobs of %d bytes were accepted, the window is %d bytes", accepted, each, window)
	is.True(fault.Is(err, fault.Unavailable))
	is.True(accepted*each <= window && (accepted+100)*each > window)
	dp.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	dp.waitFor("jobs are accepted", func() bool { return submitJob(t, nd, chain("next", steps)) == nil })
}

// TestJobOverMemory guards against a job that no planner can hold, and that would be refused with a time to retry for good.
func TestJobOverMemory(t *testing.T) {
	is := is.New(t)
	dp := newDeployment(t)
	dp.memoryMB = 20
	nd := dp.start("n1")
	large := chain("large", 9000)
	for num := range large.Steps {
		large.Steps[num].After = nil // all of them can run at once
	}
	is.True(fault.Is(submitJob(t, nd, large), fault.NeverFits))
}
