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

// measureOutage makes the store unavailable for 30 s while clients send lookups and
// jobs, and counts the store's calls in each second after its recovery.
func (cl *cluster) measureOutage(tm *times) {
	const down, after = 30 * time.Second, 15
	cl.failStore(standinstore.Faults{Down: true})
	startedAt := time.Now()
	var wg sync.WaitGroup
	var failed atomic.Int64
	var mu sync.Mutex
	var last time.Time
	for n := 0; time.Since(startedAt) < down; n++ {
		if _, err := cl.api().Do(lookupRequest("during the outage")); err != nil {
			failed.Add(1)
		}
		if n%10 == 0 {
			tm.OutageJobs++
			wg.Add(1)
			go func() {
				defer wg.Done()
				cl.submitUntilAccepted(n)
				mu.Lock()
				defer mu.Unlock()
				last = time.Now()
			}()
		}
		time.Sleep(10 * time.Millisecond)
	}
	cl.failStore(standinstore.Faults{})
	recoveredAt := time.Now()
	before := cl.storeCounts()
	for range after {
		previous := cl.storeCounts()
		time.Sleep(time.Second)
		current := cl.storeCounts()
		tm.OutageWrites = append(tm.OutageWrites, current.Writes-previous.Writes)
		tm.OutageReads = append(tm.OutageReads, current.Reads-previous.Reads)
	}
	wg.Wait()
	tm.OutageRefused = cl.storeCounts().RateLimited - before.RateLimited
	tm.OutageAccepted = last.Sub(recoveredAt).Seconds()
	tm.OutageFailedLookups = failed.Load()
}

// submitUntilAccepted submits a job repeatedly, with the same idempotency key, until
// it is accepted.
func (cl *cluster) submitUntilAccepted(n int) {
	cl.eventually("job is accepted", func() bool {
		_, err := client.Send[api.Job](cl.api(), client.Request{
			Method: "POST", Path: api.PathJobs, Headers: map[string]string{api.HeaderIdempotencyKey: fmt.Sprint("outage-", n)},
		}, api.JobRequest{Workload: "push", Workspace: workspaceOf(n)})
		return err == nil
	})
}
