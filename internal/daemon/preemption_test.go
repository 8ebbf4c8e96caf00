package daemon_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/owner"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// submitJob submits a job and waits for its end for up to wait seconds.
func submitJob(cl *client.Client, workload, mark string, tasks int, run, wait float64) (api.Job, error) {
	return client.Send[api.Job](cl, client.Request{
		Method: "POST", Path: api.PathJobs, Query: map[string]string{"wait": fmt.Sprint(wait)},
		Wait: time.Duration(wait * float64(time.Second)),
	}, api.JobRequest{
		Workload: workload, Workspace: "brno", Tasks: tasks, Payload: map[string]any{"run": run, "mark": mark},
	})
}

// setTable sets up a table with workloads whose tasks use a whole worker, except for
// those of workload small.
func setTable(t *testing.T, cl *client.Client) {
	t.Helper()
	setCells(t, cl, "workspace/brno weight 1",
		"workload/push class batch", "workload/push processors 64", "workload/push repeatable yes",
		"workload/once class batch", "workload/once processors 64",
		"workload/small class batch", "workload/small processors 16", "workload/small repeatable yes",
		"workload/gang class gang", "workload/gang processors 64",
		"workload/urgent class batch", "workload/urgent processors 64", "workload/urgent priority 9")
}

// runTwoJobs submits two jobs concurrently and waits until both have run.
func runTwoJobs(t *testing.T, what string, submit func(i int) (api.Job, error)) {
	t.Helper()
	is := is.New(t)
	answers := make(chan api.Job, 2)
	for i := range 2 {
		go func() {
			vw, err := submit(i)
			if err != nil {
				t.Error(err)
			}
			answers <- vw
		}()
	}
	for range 2 {
		vw := <-answers
		is.Equal(vw.Answer, "ran")
		t.Logf("%s placed %v after it was submitted", what, vw.Placed.Sub(vw.Submitted).Round(time.Millisecond))
	}
}

// TestUrgentPreemption fills every worker with long tasks and submits urgent jobs. Each
// must preempt one repeatable task, which runs again later. Tasks that are not
// repeatable must not be stopped.
func TestUrgentPreemption(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 4, "n1", "n2")
	cl := bd.api("n1")
	setTable(t, cl)
	for i := range 4 {
		workload := []string{"push", "once"}[i%2]
		_, err := submitJob(cl, workload, fmt.Sprint(workload, i), 1, 3, 0)
		is.NoErr(err)
	}
	bd.eventually("every worker runs a task", func() bool { return len(sortedRecords(bd)) == 4 })
	runTwoJobs(t, "urgent job", func(i int) (api.Job, error) {
		return submitJob(cl, "urgent", fmt.Sprint("urgent", i), 1, 1, 20)
	})
	bd.eventually("the preempted tasks ran again", func() bool {
		ends := map[string]int{}
		for _, rc := range sortedRecords(bd) {
			if rc.Event == standinworker.EventEnd {
				ends[rc.Mark]++
			}
		}
		return ends["push0"]+ends["push2"] == 4 && ends["once1"] == 1 && ends["once3"] == 1
	})
	stopped := counters(t, bd.api("n1"))[owner.CounterPreempted] + counters(t, bd.api("n2"))[owner.CounterPreempted]
	is.Equal(stopped, int64(2)) // no more than needed
}

// TestGangUnderSmallTasks submits gangs that need every worker while small tasks keep
// arriving. A gang must reserve capacity as it becomes free, and run while small tasks
// continue to arrive. Two such gangs must not block each other.
func TestGangUnderSmallTasks(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 4, "n1", "n2")
	setTable(t, bd.api("n1"))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 20 { // more than the 16 that fit at the same time
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					_, _ = submitJob(bd.api([]string{"n1", "n2"}[i%2]), "small", fmt.Sprintf("s%d-%d", i, n), 1, 0.3, 30)
				}
			}
		}()
	}
	time.Sleep(time.Second)
	runTwoJobs(t, "gang", func(i int) (api.Job, error) {
		return submitJob(bd.api([]string{"n1", "n2"}[i]), "gang", fmt.Sprint("gang", i), 4, 0.1, 60)
	})
	close(stop)
	wg.Wait()
	for _, rc := range sortedRecords(bd) {
		is.True(rc.Event != standinworker.EventOverCapacity) // no worker exceeded its capacity
	}
}
