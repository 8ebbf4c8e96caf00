package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
)

// measureOutage takes the store away for half a minute while lookups and jobs
// come, and counts the store's calls in each second after its return.
func (cl *cluster) measureOutage(tm *times) {
	const down, after = 30 * time.Second, 15
	cl.failStore(standinstore.Faults{Down: true})
	began := time.Now()
	var wg sync.WaitGroup
	var lost atomic.Int64
	var mu sync.Mutex
	var last time.Time
	for n := 0; time.Since(began) < down; n++ {
		if _, err := cl.api().Do(lookupRequest("during the outage")); err != nil {
			lost.Add(1)
		}
		if n%10 == 0 {
			tm.OutageJobs++
			wg.Add(1)
			go func() {
				defer wg.Done()
				cl.submitUntilKept(n)
				mu.Lock()
				defer mu.Unlock()
				last = time.Now()
			}()
		}
		time.Sleep(10 * time.Millisecond)
	}
	cl.failStore(standinstore.Faults{})
	back := time.Now()
	before := cl.counts()
	for range after {
		was := cl.counts()
		time.Sleep(time.Second)
		is := cl.counts()
		tm.OutageWrites = append(tm.OutageWrites, is.Writes-was.Writes)
		tm.OutageReads = append(tm.OutageReads, is.Reads-was.Reads)
	}
	wg.Wait()
	tm.OutageRefused = cl.counts().RateLimited - before.RateLimited
	tm.OutageKept = last.Sub(back).Seconds()
	tm.OutageLost = lost.Load()
}

// submitUntilKept submits a job, again and again under its key, until it is accepted.
func (cl *cluster) submitUntilKept(n int) {
	cl.eventually("job is accepted", func() bool {
		_, err := client.Send[api.Job](cl.api(), client.Request{
			Method: "POST", Path: api.PathJobs, Headers: map[string]string{api.HeaderIdempotencyKey: fmt.Sprint("outage-", n)},
		}, api.JobRequest{Workload: "push", Workspace: workspaceOf(n)})
		return err == nil
	})
}
